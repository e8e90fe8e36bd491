"""Open-loop load generator for the routers of a rig.

Run ``python -m pistachiowell.bench.load --help``. Requests arrive at seeded random
times, whether or not earlier ones have ended. Their number and the duration are
bounded. The tool checks each answer against the one that the stand-in engine gives to
its prompt, and compares the tokens in the answers' usage with the journaled tokens.
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
    """Configuration of a load.

    Attributes:
        rate_per_s: Mean arrival rate in requests per second.
        duration_s: Time during which requests arrive, in seconds.
        mean_words: Mean length of an answer in words, before the limit.
        max_words: Limit of the length of an answer in words.
        seed: Seed of arrivals and lengths.
    """

    rate_per_s: float = 40.0
    duration_s: float = 10.0
    mean_words: int = 40
    max_words: int = 400
    seed: int = 1


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Results of a load.

    Attributes:
        requests: Number of requests sent.
        answered: Number of complete and correct answers.
        broken: Number of answers with status 200 that are incomplete or wrong but have
            no error code.
        refused: Number of requests with an error, by error code.
        first_p50_s: Median time to the first data of the complete answers, in seconds.
        first_p95_s: 95th percentile of the time to the first data, in seconds.
        total_p95_s: 95th percentile of the time to the end of the response, in
            seconds, over all requests.
        counted_tokens: Tokens in the usage of the answers.
        billed_tokens: Tokens added to the journals.
        router_cpu_s: Processor time of all routers in seconds.
        agent_cpu_s: Processor time of all agents in seconds.
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
    """Returns the percentile of values by nearest rank; 0 if there are no values.

    Args:
        values: Iterable of numbers.
        share: Share of the values that are at most the result, from 0 to 1.

    Examples:
        >>> percentile([3, 1, 2, 4], 0.5)
        2
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, min(len(ordered), round(share * len(ordered))) - 1)]


def draw_requests(plan, accounts):
    """Draws the requests of a load from its seed.

    Args:
        plan: A ``LoadPlan``.
        accounts: Names of the client accounts.

    Returns:
        A list of ``(arrival in seconds, account, route, words)`` in the order of
        arrival, with at most ``MAX_REQUESTS`` items.
    """
    rng = Random(plan.seed)
    arrival_s = 0.0
    requests = []
    while len(requests) < MAX_REQUESTS:
        arrival_s += rng.expovariate(plan.rate_per_s)
        if arrival_s > plan.duration_s:
            break
        words = min(plan.max_words, 1 + int(rng.expovariate(1.0 / plan.mean_words)))
        route = rng.choices(ROUTES, ROUTE_WEIGHTS)[0]
        requests.append((arrival_s, rng.choice(accounts), route, words))
    return requests


async def send_load(rig, plan):
    """Sends a load, its requests to all routers of a rig in turn.

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

    async def send(number, arrival_s, account, route, words):
        await anyio.sleep_until(started + arrival_s)
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
    """Sends a load, waits until it is billed and returns its results.

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
    first_times_s = [outcome.first_s for outcome in outcomes if outcome.whole]
    codes = Counter(outcome.code for outcome in outcomes if outcome.code)
    return LoadReport(
        requests=len(outcomes),
        answered=sum(outcome.whole for outcome in outcomes),
        broken=sum(not (one.whole or one.code) for one in outcomes),
        refused=dict(codes),
        first_p50_s=round(percentile(first_times_s, 0.5), 4),
        first_p95_s=round(percentile(first_times_s, 0.95), 4),
        total_p95_s=round(percentile([o.total_s for o in outcomes], 0.95), 4),
        counted_tokens=counted,
        billed_tokens=billed,
        router_cpu_s=round(sum(used[name] for name in rig.routers), 3),
        agent_cpu_s=round(sum(used[name] for name in rig.agents), 3),
        router_rss_bytes=max(rss_bytes(rig.processes[n].pid) for n in rig.routers),
    )


def _wait_bill(rig, before, counted):
    """Waits until all counted tokens are billed, and returns the billed tokens.

    After ``BILL_TIMEOUT_S`` it returns the smaller number that was billed so far.
    """
    billed = 0

    def is_complete():
        nonlocal billed
        billed = sum(rig.bill().values()) - before
        return billed >= counted

    try:
        rig.wait_until(is_complete, "The bill is complete.", BILL_TIMEOUT_S)
    except AssertionError:
        return billed
    return billed


def load_plan(word_s=0.01, slots=16, capacity=64, max_wait_s=0.0):
    """Returns a ``RigPlan`` with engines of a given speed.

    Args:
        word_s: Time for which an engine generates one word, in seconds.
        slots: Number of requests that an engine runs concurrently.
        capacity: Number of requests, running and waiting, beyond which an engine
            collapses: it fails them all and refuses further ones for a time.
        max_wait_s: Longest wait of a request for a slot in seconds; 0 if only its
            deadline limits the wait.
    """
    engine_flags = (f"--word_s={word_s}", f"--capacity={capacity}", "--batch_cost=0.02")
    servers = [
        spec if spec.service != MODEL else _with_flags(spec, slots, engine_flags)
        for spec in DEFAULT_SERVERS
    ]
    plan = RigPlan(servers=tuple(servers))
    rows = [
        {**row, "max_wait_s": max_wait_s} if row["kind"] == "route" else row
        for row in default_rows(plan)
    ]
    return replace(plan, rows=tuple(rows))


def _with_flags(spec, slots, engine_flags):
    fields = {**asdict(spec), "slots": slots, "flags": (*spec.flags, *engine_flags)}
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
    """Runs the load generator.

    Exits with 1 if the billed tokens differ from the counted ones or an answer is
    broken.

    Args:
        argv: Command line.
    """
    values = _define_flags()
    parse_flags(values, argv, USAGE)
    plan = LoadPlan(
        values.rate_per_s,
        values.duration_s,
        values.mean_words,
        values.max_words,
        values.seed,
    )
    rig_plan = load_plan(
        values.word_s, values.slots, values.capacity, values.max_wait_s
    )
    with Rig(rig_plan) as rig:
        report = run_load(rig, plan)
    print(json.dumps(asdict(report), indent=1))
    is_billed = report.counted_tokens == report.billed_tokens
    sys.exit(0 if is_billed and not report.broken else 1)


if __name__ == "__main__":
    main(sys.argv)
