"""Slopes of the real programs, measured from outside by their processor time."""

import time

import anyio

from pistachiowell.bench.callers import Caller
from pistachiowell.bench.load import load_plan
from pistachiowell.bench.plan import PLAIN, RigPlan, ServerSpec
from pistachiowell.bench.procfs import cpu_s, rss_bytes
from pistachiowell.bench.rig import Rig
from pistachiowell.bench.slopes import US_PER_S, Slope, measurement

IDLE_S = 8.0
FEW_AGENTS = 2
MANY_AGENTS = 14
STREAMS = 40
SHORT_WORDS = 1
LONG_WORDS = 151
ROUNDS = 3
TRIES = 5
OPEN_STREAMS = 80
WORD_S = 0.029
KIB = 1024


class _Meter:
    """Processor time and memory of the routers and agents of a rig."""

    def __init__(self, rig):
        self._rig = rig
        self._groups = {"router": rig.routers, "agent": rig.agents}

    def cpu(self):
        """Returns the sums of processor time by role."""
        return self._sums(cpu_s)

    def rss(self):
        """Returns the sums of resident memory by role."""
        return self._sums(rss_bytes)

    def _sums(self, read):
        pids = {name: process.pid for name, process in self._rig.processes.items()}
        return {
            role: sum(read(pids[name]) for name in names)
            for role, names in self._groups.items()
        }

    def difference(self, before, after):
        """Returns what was added, by role."""
        return {role: after[role] - before[role] for role in after}


@measurement("idle")
def measure_idle():
    """Measures idle programs with few and with many agents."""
    few, few_rss = _idle_with(FEW_AGENTS)
    many, many_rss = _idle_with(MANY_AGENTS)
    more = MANY_AGENTS - FEW_AGENTS
    per_agent = (many["router"] - few["router"]) / more
    base = few["router"] - FEW_AGENTS * per_agent
    per_agent_bytes = (many_rss["router"] - few_rss["router"]) / more
    base_bytes = few_rss["router"] - FEW_AGENTS * per_agent_bytes
    return [
        Slope(
            "router: idle second, no agents",
            1,
            round(base * US_PER_S),
            memory_bytes=round(base_bytes),
        ),
        Slope(
            "router: idle second, one more agent",
            more,
            round(per_agent * US_PER_S),
            memory_bytes=round(per_agent_bytes),
        ),
        Slope(
            "agent: idle second, two routers",
            MANY_AGENTS,
            round(many["agent"] * US_PER_S),
            memory_bytes=round(many_rss["agent"]),
        ),
    ]


def _idle_with(agents):
    """Returns processor time for each second and memory, each for one process."""
    desks = [
        ServerSpec(f"desk-{number}", "osu", "stock-1", PLAIN)
        for number in range(agents - 1)
    ]
    engine = ServerSpec("engine-1", "osu", "chat-1")
    with Rig(RigPlan(servers=(engine, *desks))) as rig:
        meter = _Meter(rig)
        counts = {"router": len(rig.routers), "agent": len(rig.agents)}
        seconds = _idle(rig, meter)
        memory = meter.rss()
        return (
            {role: seconds[role] / count for role, count in counts.items()},
            {role: memory[role] / count for role, count in counts.items()},
        )


@measurement("live")
def measure_live():
    """Measures idle programs, requests, words and open streams in a rig."""
    with Rig(load_plan(WORD_S, OPEN_STREAMS, 4 * OPEN_STREAMS)) as rig:
        meter = _Meter(rig)
        idle = _idle(rig, meter)
        _warm_up(rig)
        short, short_s = _cost(rig, meter, SHORT_WORDS, idle)
        long, _ = _cost(rig, meter, LONG_WORDS, idle)
        memory = _open_memory(rig, meter)
    requests = ROUNDS * STREAMS
    slopes = []
    for role in ("router", "agent"):
        per_request = short[role] / requests
        words = LONG_WORDS - SHORT_WORDS
        per_word = (long[role] - short[role]) / requests / words
        slopes.append(
            Slope(f"{role}: request", requests, round(per_request * US_PER_S))
        )
        slopes.append(
            Slope(f"{role}: word", requests * words, round(per_word * US_PER_S, 1))
        )
        held = round(memory[role] / OPEN_STREAMS)
        slopes.append(Slope(f"{role}: open stream", OPEN_STREAMS, memory_bytes=held))
    return slopes


def _warm_up(rig):
    for router in rig.routers:
        reply = rig.chat("hello", router=router)
        assert reply.status == 200, reply


def _idle(rig, meter):
    """Returns the processor time of idle programs for each second, by role."""
    before = meter.cpu()
    time.sleep(IDLE_S)
    used = meter.difference(before, meter.cpu())
    return {role: seconds / IDLE_S for role, seconds in used.items()}


def _cost(rig, meter, words, idle):
    """Returns the processor time of rounds of streams, without that of idling."""
    before, started = meter.cpu(), time.monotonic()
    for _ in range(ROUNDS):
        anyio.run(_send, rig, STREAMS, words)
    took_s = time.monotonic() - started
    used = meter.difference(before, meter.cpu())
    net = {role: used[role] - idle[role] * took_s for role in used}
    return net, took_s


async def _send(rig, count, words):
    caller = Caller()
    account = rig.plan.accounts[0][0]
    key = rig.plan.api_key_prefix + account
    outcomes = []

    async def send(number):
        url = rig.url(rig.routers[number % len(rig.routers)])
        prompt = f"stream {number} words={words}"
        for _ in range(TRIES):
            outcome = await caller.chat(url, key, "chat", prompt, words)
            if outcome.whole:
                break
        outcomes.append(outcome)

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(send, number)
    await caller.aclose()
    failed = [outcome for outcome in outcomes if not outcome.whole]
    assert not failed, f"{len(failed)} failed, such as {failed[0]}"


def _open_memory(rig, meter):
    """Returns the memory that open streams add, by role."""
    return anyio.run(_hold_streams, rig, meter)


async def _hold_streams(rig, meter):
    before = meter.rss()
    async with anyio.create_task_group() as group:
        group.start_soon(_send, rig, OPEN_STREAMS, LONG_WORDS)
        await anyio.sleep(LONG_WORDS * WORD_S / 2)
        return meter.difference(before, meter.rss())
