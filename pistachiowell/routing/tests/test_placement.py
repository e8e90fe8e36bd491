"""Placement of bursts of long prompts beside short ones.

Guards against short prompts that wait behind several long ones on one engine, and
against shared prefixes that every engine processes again.
"""

from random import Random

import pytest

from pistachiowell.catalog import EngineLimits
from pistachiowell.routing import (
    PLACERS,
    Candidate,
    EngineRequest,
    EngineTable,
    PlacementSettings,
)

SERVERS = [f"s{number}" for number in range(5)]
LIMITS = EngineLimits(slots=64, kv_tokens=560_000, tokens_per_event=6)
TOKENS_PER_S = 60_000.0
CACHE_S = 12.0
OBJECTIVE_S = 0.4


class SimulatedEngines:
    """Processes prompts in turn and caches shared prefixes for ``CACHE_S``."""

    def __init__(self):
        self.free_at = dict.fromkeys(SERVERS, 0.0)
        self.cached = {name: {} for name in SERVERS}
        self.reprocessed_tokens = 0

    def add(self, server, request, now):
        """Adds a request to an engine and returns the time of its first token."""
        cached, uncached = self.cached[server], request.prompt_tokens
        for key, tokens in request.shared_prefixes:
            if now - cached.get(key, float("-inf")) > CACHE_S:
                break
            uncached -= tokens
        known = {key for name in SERVERS for key in self.cached[name]}
        missing = [
            t
            for key, t in request.shared_prefixes
            if key in known and key not in cached
        ]
        self.reprocessed_tokens += sum(missing)
        cached.update({key: now for key, _ in request.shared_prefixes})
        start = max(now, self.free_at[server])
        self.free_at[server] = start + uncached / TOKENS_PER_S
        return self.free_at[server]


def draw_requests(rng):
    """Yields ``(time, EngineRequest)``: bursts of long prompts among short ones."""
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(8.0)
        is_burst = rng.random() < 0.25
        for _ in range(rng.randint(2, 4) if is_burst else 1):
            if is_burst:
                topic = f"long-{rng.randrange(30)}"
                parts = (("base", 500), (topic, 5_000), (f"own-{now}", 6_000))
            else:
                topic = f"chat-{rng.randrange(60)}"
                parts = (("chat", 120), (topic, 80), (f"own-{now}", 500))
            yield now, EngineRequest(sum(tokens for _, tokens in parts), 300, parts)


def run_placer(placer_name):
    """Returns the share of late first tokens and the tokens processed again."""
    rng, simulated, waits = Random(5), SimulatedEngines(), []
    engines = EngineTable(PlacementSettings())
    placer = PLACERS.find(placer_name)(PlacementSettings(), engines, Random(6))
    candidates = [Candidate(name) for name in SERVERS]
    reading = []
    for now, request in draw_requests(rng):
        for entry in [e for e in reading if e[0] <= now]:
            reading.remove(entry)
            engines.record_end(entry[1])
        chosen, _ = placer.place(candidates, request, LIMITS, now)
        placed = engines.record_sent(chosen.server, request, now)
        first_at = simulated.add(chosen.server, request, now)
        reading.append((first_at, placed))
        waits.append(first_at - now)
    late = sum(wait > OBJECTIVE_S for wait in waits) / len(waits)
    return late, simulated.reprocessed_tokens


@pytest.fixture(scope="module")
def results():
    return {name: run_placer(name) for name in ("random", "least_cost")}


def test_fewer_first_tokens_are_late(results):
    assert results["least_cost"][0] < results["random"][0] / 3


def test_shared_parts_are_read_again_less_often(results):
    assert results["least_cost"][1] < results["random"][1] / 2


def test_full_engine_is_passed_over():
    engines = EngineTable(PlacementSettings())
    request = EngineRequest(500_000, 50_000, (("a", 500_000),))
    engines.record_sent("s0", request, 0.0)
    placer = PLACERS.find("least_cost")(PlacementSettings(), engines, Random(1))
    small = EngineRequest(20_000, 300, (("a", 20_000),))
    candidates = [Candidate("s0"), Candidate("s1", distance=2)]
    assert placer.place(candidates, small, LIMITS, 0.0)[0].server == "s1"
