"""Marginal costs of the real programs in a rig.

The processor time and resident memory of the processes are read from ``/proc``. The
cost of one more item is the difference between two loads divided by the difference in
items.
"""

import time

import anyio

from pistachiowell.bench.callers import Caller
from pistachiowell.bench.load import load_plan
from pistachiowell.bench.marginal_costs import US_PER_S, MarginalCost, measurement
from pistachiowell.bench.plan import PLAIN, RigPlan, ServerSpec
from pistachiowell.bench.procfs import cpu_s, rss_bytes
from pistachiowell.bench.rig import Rig

IDLE_S = 8.0
FEW_AGENTS = 2
MANY_AGENTS = 14
STREAMS = 40
SHORT_WORDS = 1
LONG_WORDS = 151
ROUNDS = 3
MAX_TRIES = 5
OPEN_STREAMS = 80
WORD_S = 0.029
KIB = 1024


class _Meter:
    """Reads processor time and memory of the routers and agents of a rig."""

    def __init__(self, rig):
        self._rig = rig
        self._groups = {"router": rig.routers, "agent": rig.agents}

    def cpu(self):
        """Returns the total processor time in seconds by role."""
        return self._sums(cpu_s)

    def rss(self):
        """Returns the total resident memory in bytes by role."""
        return self._sums(rss_bytes)

    def _sums(self, read):
        pids = {name: process.pid for name, process in self._rig.processes.items()}
        return {
            role: sum(read(pids[name]) for name in names)
            for role, names in self._groups.items()
        }

    def difference(self, before, after):
        """Returns the increase between two readings, by role."""
        return {role: after[role] - before[role] for role in after}


@measurement("idle")
def measure_idle():
    """Measures idle programs with few and with many agents.

    The difference gives the cost of one more agent at a router.
    """
    few, few_rss = _measure_idle_rig(FEW_AGENTS)
    many, many_rss = _measure_idle_rig(MANY_AGENTS)
    more = MANY_AGENTS - FEW_AGENTS
    per_agent = (many["router"] - few["router"]) / more
    base = few["router"] - FEW_AGENTS * per_agent
    per_agent_bytes = (many_rss["router"] - few_rss["router"]) / more
    base_bytes = few_rss["router"] - FEW_AGENTS * per_agent_bytes
    return [
        MarginalCost(
            "router: idle second, no agents",
            1,
            round(base * US_PER_S),
            memory_bytes=round(base_bytes),
        ),
        MarginalCost(
            "router: idle second, one more agent",
            more,
            round(per_agent * US_PER_S),
            memory_bytes=round(per_agent_bytes),
        ),
        MarginalCost(
            "agent: idle second, two routers",
            MANY_AGENTS,
            round(many["agent"] * US_PER_S),
            memory_bytes=round(many_rss["agent"]),
        ),
    ]


def _measure_idle_rig(agents):
    """Returns processor time per second and memory of one idle process by role."""
    plain_servers = [
        ServerSpec(f"desk-{number}", "osu", "stock-1", PLAIN)
        for number in range(agents - 1)
    ]
    engine = ServerSpec("engine-1", "osu", "chat-1")
    with Rig(RigPlan(servers=(engine, *plain_servers))) as rig:
        meter = _Meter(rig)
        counts = {"router": len(rig.routers), "agent": len(rig.agents)}
        seconds = _idle_cpu(rig, meter)
        memory = meter.rss()
        return (
            {role: seconds[role] / count for role, count in counts.items()},
            {role: memory[role] / count for role, count in counts.items()},
        )


@measurement("live")
def measure_live():
    """Measures requests, words and open streams.

    Streams of one word give the cost of a request. The difference from long streams
    gives the cost of a word.
    """
    with Rig(load_plan(WORD_S, OPEN_STREAMS, 4 * OPEN_STREAMS)) as rig:
        meter = _Meter(rig)
        idle = _idle_cpu(rig, meter)
        _warm_up(rig)
        short, short_s = _streams_cpu(rig, meter, SHORT_WORDS, idle)
        long, _ = _streams_cpu(rig, meter, LONG_WORDS, idle)
        memory = _open_stream_memory(rig, meter)
    requests = ROUNDS * STREAMS
    costs = []
    for role in ("router", "agent"):
        per_request = short[role] / requests
        words = LONG_WORDS - SHORT_WORDS
        per_word = (long[role] - short[role]) / requests / words
        costs.append(
            MarginalCost(f"{role}: request", requests, round(per_request * US_PER_S))
        )
        costs.append(
            MarginalCost(
                f"{role}: word", requests * words, round(per_word * US_PER_S, 1)
            )
        )
        stream_bytes = round(memory[role] / OPEN_STREAMS)
        costs.append(
            MarginalCost(
                f"{role}: open stream", OPEN_STREAMS, memory_bytes=stream_bytes
            )
        )
    return costs


def _warm_up(rig):
    for router in rig.routers:
        reply = rig.chat("hello", router=router)
        assert reply.status == 200, reply


def _idle_cpu(rig, meter):
    """Returns the processor time per second of idle programs, by role."""
    before = meter.cpu()
    time.sleep(IDLE_S)
    used = meter.difference(before, meter.cpu())
    return {role: seconds / IDLE_S for role, seconds in used.items()}


def _streams_cpu(rig, meter, words, idle):
    """Returns the processor time of streams by role, and their duration in seconds.

    The processor time that idle programs use in the same time is subtracted.
    """
    before, started = meter.cpu(), time.monotonic()
    for _ in range(ROUNDS):
        anyio.run(_send_streams, rig, STREAMS, words)
    took_s = time.monotonic() - started
    used = meter.difference(before, meter.cpu())
    net = {role: used[role] - idle[role] * took_s for role in used}
    return net, took_s


async def _send_streams(rig, count, words):
    caller = Caller()
    account = rig.plan.accounts[0][0]
    key = rig.plan.api_key_prefix + account
    outcomes = []

    async def send(number):
        url = rig.url(rig.routers[number % len(rig.routers)])
        prompt = f"stream {number} words={words}"
        for _ in range(MAX_TRIES):
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


def _open_stream_memory(rig, meter):
    """Returns the memory in bytes that open streams add, by role."""
    return anyio.run(_measure_open_streams, rig, meter)


async def _measure_open_streams(rig, meter):
    before = meter.rss()
    async with anyio.create_task_group() as group:
        group.start_soon(_send_streams, rig, OPEN_STREAMS, LONG_WORDS)
        await anyio.sleep(LONG_WORDS * WORD_S / 2)
        return meter.difference(before, meter.rss())
