"""Open-loop, seeded load through the routers of a rig.

Run ``python -m pistachiowell.bench.load --help``. Requests arrive at seeded random
times whether or not earlier ones have ended; count and time are bounded.
"""

import json
import sys
from collections import Counter
from dataclasses import asdict, dataclass, replace
from random import Random

import anyio
from absl import flags

from pistachiowell.bench.callers import Caller
from pistachiowell.bench.plan import DEFAULT_SERVERS, MODEL, RigPlan, default_rows
from pistachiowell.bench.procfs import cpu_s, rss_bytes
from pistachiowell.bench.rig import Rig
from pistachiowell.core.commandline import parse_flags

USAGE = "Usage: python -m pistachiowell.bench.load [--rate_per_s N] [--duration_s N]"
MAX_REQUESTS = 20_000
ROUTES = ("chat", "labels", "reports")
ROUTE_WEIGHTS = (6, 3, 1)
BILL_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What is sent.

    Attributes:
        rate_per_s: Mean arrivals per second.
        duration_s: Time during which requests arrive.
        mean_words: Mean length of an answer.
        max_words: Longest answer.
        seed: Seed of arrivals and lengths.
    """

    rate_per_s: float = 40.0
    duration_s: float = 10.0
    mean_words: int = 40
    max_words: int = 400
    seed: int = 1


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What came of a load.

    Attributes:
        requests: Requests sent.
        answered: Whole answers.
        broken: Answers with status 200 that were not whole.
        refused: Number by error code.
        first_p50_s: Median of the time to the first word.
        first_p95_s: 95th percentile of it.
        total_p95_s: 95th percentile of the time to the end.
        counted_tokens: Tokens in the usage of the answers.
        billed_tokens: Tokens in the journals.
        router_cpu_s: Processor time of the routers.
        agent_cpu_s: Processor time of the agents.
        router_rss_bytes: Largest resident memory of a router after the load.
    """

    requests: int
    answered: int
    broken: int
    refused: dict
    first_p50_s: float
    first_p95_s: float
    total_p95_s: float
    counted_tokens: int
    billed_tokens: int
    router_cpu_s: float
    agent_cpu_s: float
    router_rss_bytes: int


def percentile(values, share):
    """Returns the value below which a share of the values lies; 0 for none.

    Examples:
        >>> percentile([3, 1, 2, 4], 0.5)
        2
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, min(len(ordered), round(share * len(ordered))) - 1)]


def draw_requests(plan, accounts):
    """Draws the arrivals of a load.

    Args:
        plan: A ``LoadPlan``.
        accounts: Names of the client accounts.

    Returns:
        A list of ``(time in seconds, account, route, words)``.
    """
    rng = Random(plan.seed)
    at = 0.0
    requests = []
    while len(requests) < MAX_REQUESTS:
        at += rng.expovariate(plan.rate_per_s)
        if at > plan.duration_s:
            break
        words = min(plan.max_words, 1 + int(rng.expovariate(1.0 / plan.mean_words)))
        route = rng.choices(ROUTES, ROUTE_WEIGHTS)[0]
        requests.append((at, rng.choice(accounts), route, words))
    return requests


async def send_load(rig, plan):
    """Sends a load through all routers of a rig in turn.

    Args:
        rig: A running ``Rig``.
        plan: A ``LoadPlan``.

    Returns:
        A list of ``Outcome``.
    """
    accounts = [name for name, _ in rig.plan.accounts]
    caller = Caller()
    outcomes = []
    started = anyio.current_time()

    async def send(number, at, account, route, words):
        await anyio.sleep_until(started + at)
        url = rig.url(rig.routers[number % len(rig.routers)])
        key = rig.plan.api_key_prefix + account
        prompt = f"request {plan.seed} {number} words={words}"
        outcomes.append(await caller.chat(url, key, route, prompt, plan.max_words))

    try:
        async with anyio.create_task_group() as group:
            for number, request in enumerate(draw_requests(plan, accounts)):
                group.start_soon(send, number, *request)
    finally:
        await caller.aclose()
    return outcomes


def run_load(rig, plan):
    """Sends a load and reports what came of it.

    Args:
        rig: A running ``Rig``.
        plan: A ``LoadPlan``.

    Returns:
        A ``LoadReport``.
    """
    billed_before = sum(rig.bill().values())
    cpu_before = {name: cpu_s(one.pid) for name, one in rig.processes.items()}
    outcomes = anyio.run(send_load, rig, plan)
    counted = sum(outcome.tokens for outcome in outcomes)
    billed = _wait_bill(rig, billed_before, counted)
    used = {
        name: cpu_s(one.pid) - cpu_before[name] for name, one in rig.processes.items()
    }
    firsts = [outcome.first_s for outcome in outcomes if outcome.whole]
    codes = Counter(outcome.code for outcome in outcomes if outcome.code)
    return LoadReport(
        requests=len(outcomes),
        answered=sum(outcome.whole for outcome in outcomes),
        broken=sum(not (one.whole or one.code) for one in outcomes),
        refused=dict(codes),
        first_p50_s=round(percentile(firsts, 0.5), 4),
        first_p95_s=round(percentile(firsts, 0.95), 4),
        total_p95_s=round(percentile([o.total_s for o in outcomes], 0.95), 4),
        counted_tokens=counted,
        billed_tokens=billed,
        router_cpu_s=round(sum(used[name] for name in rig.routers), 3),
        agent_cpu_s=round(sum(used[name] for name in rig.agents), 3),
        router_rss_bytes=max(rss_bytes(rig.processes[n].pid) for n in rig.routers),
    )


def _wait_bill(rig, before, counted):
    """Waits until the bill has stopped at what was counted, or the time is over."""
    billed = 0

    def complete():
        nonlocal billed
        billed = sum(rig.bill().values()) - before
        return billed >= counted

    try:
        rig.wait_until(complete, "The bill is complete.", BILL_TIMEOUT_S)
    except AssertionError:
        return billed
    return billed


def load_plan(word_s=0.01, slots=16, capacity=64, max_wait_s=0.0):
    """Returns a ``RigPlan`` with engines of a given pace.

    Args:
        word_s: Seconds per word.
        slots: Requests that an engine runs at once.
        capacity: Requests held beyond which an engine falls over.
        max_wait_s: Longest wait of a request for a slot; 0 for the deadline's.
    """
    extra = (f"--word_s={word_s}", f"--capacity={capacity}", "--batch_cost=0.02")
    servers = [
        spec if spec.service != MODEL else _with_flags(spec, slots, extra)
        for spec in DEFAULT_SERVERS
    ]
    plan = RigPlan(servers=tuple(servers))
    rows = [
        {**row, "max_wait_s": max_wait_s} if row["kind"] == "route" else row
        for row in default_rows(plan)
    ]
    return replace(plan, rows=tuple(rows))


def _with_flags(spec, slots, extra):
    fields = {**asdict(spec), "slots": slots, "flags": (*spec.flags, *extra)}
    return type(spec)(**fields)


def _define_flags():
    values = flags.FlagValues()
    plan = LoadPlan()
    define = {"flag_values": values}
    flags.DEFINE_float("rate_per_s", plan.rate_per_s, "Arrivals per second.", **define)
    flags.DEFINE_float("duration_s", plan.duration_s, "Time of arrivals.", **define)
    flags.DEFINE_integer("mean_words", plan.mean_words, "Mean answer.", **define)
    flags.DEFINE_integer("max_words", plan.max_words, "Longest answer.", **define)
    flags.DEFINE_integer("seed", plan.seed, "Seed.", **define)
    flags.DEFINE_float("max_wait_s", 0.0, "Longest wait for a slot.", **define)
    flags.DEFINE_float("word_s", 0.01, "Seconds per word of an engine.", **define)
    flags.DEFINE_integer("slots", 16, "Requests that an engine runs.", **define)
    flags.DEFINE_integer("capacity", 64, "Requests held by an engine.", **define)
    return values


def main(argv):
    """Runs the tool with its command line."""
    values = _define_flags()
    parse_flags(values, argv, USAGE)
    plan = LoadPlan(
        values.rate_per_s,
        values.duration_s,
        values.mean_words,
        values.max_words,
        values.seed,
    )
    plan_of_rig = load_plan(
        values.word_s, values.slots, values.capacity, values.max_wait_s
    )
    with Rig(plan_of_rig) as rig:
        report = run_load(rig, plan)
    print(json.dumps(asdict(report), indent=1))
    equal = report.counted_tokens == report.billed_tokens
    sys.exit(0 if equal and not report.broken else 1)


if __name__ == "__main__":
    main(sys.argv)
