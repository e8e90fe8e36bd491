"""Placement of prompts on model engines.

Load pattern: long prompts arrive in bursts beside short ones that must be answered
soon. An engine processes prompts one chunk after another (prefill), so a request waits
for the prompt tokens queued before it. Engines cache the shared prefixes of prompts for
a while.

Random placement puts several long prompts on one engine, which delays the short ones
behind them, and processes the same prefix again on every engine. Placement by expected
wait and cached prefix prevents both.

Engines that differ in speed, and such as stand still for a moment, get fewer prompts
with the ``learned_cost`` policy; see ``engine_rates``.
"""

from dataclasses import dataclass

from pistachiowell.core.registry import Registry
from pistachiowell.routing.pick import rendezvous

PLACERS = Registry("placement policy")


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Settings of the placement of prompts.

    Attributes:
        placer: Name of the policy in ``PLACERS``.
        prefill_tokens_per_s: Prompt tokens that an engine processes in a second, until
            its answers show the rate.
        cache_lifetime_s: Seconds for which a prefix is expected to stay cached.
        owner_hit_probability: Probability that the owner of a prefix has already cached
            it for requests of other routers.
        recompute_weight: Extra cost in seconds for each second that an engine needs to
            process shared tokens again.
        distance_cost_s: Cost of each step of distance, such as another data centre, in
            seconds of wait.
        running_cost_s: Cost of each running request in seconds of wait.
        cold_cost_s: Cost of an engine that is slow for a while, in seconds of wait.
        full_cost_s: Cost of an engine without free slots or memory in seconds of wait.
        max_cached_prefixes: Maximum number of cached prefixes recorded for one server.
        report_timeout_s: Age in seconds above which the reported load of other routers
            is ignored.
    """

    placer: str = "least_cost"
    prefill_tokens_per_s: float = 50_000.0
    cache_lifetime_s: float = 12.0
    owner_hit_probability: float = 0.95
    recompute_weight: float = 3.0
    distance_cost_s: float = 0.01
    running_cost_s: float = 0.002
    cold_cost_s: float = 0.25
    full_cost_s: float = 5.0
    max_cached_prefixes: int = 4096
    report_timeout_s: float = 1.5


class Placer:
    """Base of the placement policies.

    Args:
        settings: ``PlacementSettings``.
        engines: The ``EngineTable``.
        rng: A ``Random``.
    """

    __slots__ = ("_engines", "_rng", "_settings")

    def __init__(self, settings, engines, rng):
        self._settings = settings
        self._engines = engines
        self._rng = rng

    def place(self, candidates, request, limits, now):
        """Returns one of the candidates and its cost in seconds of wait.

        Args:
            candidates: A non-empty list of ``Candidate``.
            request: The ``EngineRequest``.
            limits: Object with ``slots`` and ``kv_tokens`` of one engine.
            now: Present time in seconds.
        """
        raise NotImplementedError

    def costs_s(self, candidates, request, limits, now):
        """Returns the cost of each candidate; ``place`` chooses among the least.

        Args:
            candidates: A list of ``Candidate``.
            request: The ``EngineRequest``.
            limits: Object with ``slots`` and ``kv_tokens`` of one engine.
            now: Present time in seconds.
        """
        del request, limits, now
        return [0.0 for _ in candidates]


@PLACERS.add("random")
class RandomPlacer(Placer):
    """Places on a random engine; the baseline without load data."""

    __slots__ = ()

    def place(self, candidates, request, limits, now):
        """Returns a random candidate; see ``Placer.place``."""
        return self._rng.choice(candidates), 0.0


@PLACERS.add("least_cost")
class LeastCostPlacer(Placer):
    """Places a request on the engine with the shortest expected time to first token.

    The cost is the time to process the prompt tokens queued before the request and
    those of its own prompt that are not cached. Added to it are costs for shared tokens
    that are processed again, for running requests, for another data centre and for
    engines without free slots or memory. Routers that have not sent a prefix yet agree
    on its owner by rendezvous hashing, so that it is not cached on a different engine
    for each router.
    """

    __slots__ = ()

    def place(self, candidates, request, limits, now):
        """Returns the cheapest candidate; see ``Placer.place``."""
        costs_s = self.costs_s(candidates, request, limits, now)
        min_cost_s = min(costs_s)
        cheapest = [
            c
            for c, cost_s in zip(candidates, costs_s, strict=True)
            if cost_s == min_cost_s
        ]
        return self._rng.choice(cheapest), min_cost_s

    def costs_s(self, candidates, request, limits, now):
        """Returns the cost of each candidate; see ``Placer.costs_s``."""
        owner = self._owner(candidates, request)
        speeds = self._speeds(candidates, now)
        return [
            self._cost_s(c, request, limits, now, speed, is_owner=c.server == owner)
            for c, speed in zip(candidates, speeds, strict=True)
        ]

    def _owner(self, candidates, request):
        prefixes = request.shared_prefixes
        if not prefixes:
            return None
        return rendezvous(candidates, prefixes[-1][0]).server

    def _speeds(self, candidates, now):
        """Returns a pair of each candidate: factor on the time and cost in seconds."""
        del now
        return [(1.0, 0.0)] * len(candidates)

    def _cost_s(self, candidate, request, limits, now, speed, *, is_owner):
        settings = self._settings
        uncached = self._engines.uncached_tokens(candidate.server, request, now)
        own_tokens = request.parts[-1][1] if request.parts else request.prompt_tokens
        recomputed = max(0, uncached - own_tokens)
        if is_owner:
            recomputed *= 1.0 - settings.owner_hit_probability
        load = self._engines.load(candidate.server, now)
        own_uncached = min(uncached, own_tokens)
        tokens = (
            load.reading_tokens
            + own_uncached
            + recomputed * (1.0 + settings.recompute_weight)
        )
        factor, stall_cost_s = speed
        cost = tokens / settings.prefill_tokens_per_s * factor + stall_cost_s
        cost += load.running * settings.running_cost_s
        cost += candidate.distance * settings.distance_cost_s
        cost += candidate.is_cold * settings.cold_cost_s
        needed = request.prompt_tokens + request.output_tokens
        is_full = load.running >= limits.slots
        if is_full or load.kv_tokens + needed > limits.kv_tokens:
            cost += settings.full_cost_s
        return cost


@PLACERS.add("learned_cost")
class LearnedCostPlacer(LeastCostPlacer):
    """Places by cost with the learned speed of each engine.

    Load pattern: engines differ in speed by up to a third, and some stand still for
    parts of a second. Tokens at a slow engine cost more, and an engine whose next first
    token is overdue gets a cost until it comes. With equal engines the choice is that
    of ``LeastCostPlacer``.
    """

    __slots__ = ()

    def _speeds(self, candidates, now):
        engines, names = self._engines, [c.server for c in candidates]
        if engines.rates is None:
            return super()._speeds(candidates, now)
        stalls_s = [engines.stall_cost_s(name, now) for name in names]
        return list(zip(engines.rates.factors(names, now), stalls_s, strict=True))
