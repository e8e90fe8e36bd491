"""Placement of prompts on model engines.

Load pattern: long prompts arrive in clumps beside short ones that must answer soon.
An engine reads prompts one chunk after another, so a request waits for the prompt
tokens before it, and engines keep what they have read of shared prompt parts for a
while. Random placement lets long prompts meet on one engine and reads shared parts
again on each.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from pistachiowell.core.registry import Registry
from pistachiowell.routing.pick import rendezvous

PLACERS = Registry("placement policy")


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Settings of the placement of prompts.

    Attributes:
        placer: Name of the policy in ``PLACERS``.
        prefill_tokens_per_s: Prompt tokens that an engine reads in a second, until
            its answers tell.
        cache_memory_s: Seconds for which a part is thought to stay cached.
        owner_hit_share: Chance that other routers have already had the owner of a
            part read it.
        reread_weight: Cost of reading a shared token again against one second of
            wait for the tokens that are read in it.
        distance_cost_s: Cost of another data centre in seconds of wait.
        running_cost_s: Cost of each running request in seconds of wait.
        full_cost_s: Cost of an engine whose slots or memory are taken.
        cached_parts: Most parts remembered for one server.
        report_timeout_s: Age in seconds above which the load of others counts for
            nothing.
    """

    placer: str = "least_cost"
    prefill_tokens_per_s: float = 50_000.0
    cache_memory_s: float = 12.0
    owner_hit_share: float = 0.95
    reread_weight: float = 3.0
    distance_cost_s: float = 0.01
    running_cost_s: float = 0.002
    full_cost_s: float = 5.0
    cached_parts: int = 4096
    report_timeout_s: float = 1.5


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """What one request asks of an engine.

    Attributes:
        prompt_tokens: Tokens of the whole prompt.
        output_tokens: Tokens that the answer is expected to have.
        parts: Pairs of id and tokens; all but the last may be shared with others.
        shared: Pairs of chain key and tokens of the parts that may be shared; the key
            of a part names all parts before it too.
    """

    prompt_tokens: int
    output_tokens: int
    parts: tuple = ()
    shared: tuple = field(init=False)

    def __post_init__(self):
        # Made once, as the cost of each candidate needs it.
        object.__setattr__(self, "shared", tuple(_chain(self.parts[:-1])))


def _chain(parts):
    key = ""
    for part_id, tokens in parts:
        key = f"{key}/{part_id}"
        yield key, tokens


@dataclass(slots=True)
class PlacedRequest:
    """A request at an engine.

    Attributes:
        server: Id of the server.
        prefill_tokens: Prompt tokens that it was thought to have to read.
        kv_tokens: Memory that it takes at most in tokens.
        is_reading: Whether its first token has not come yet.
    """

    server: str
    prefill_tokens: int
    kv_tokens: int
    is_reading: bool = True


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Requests at an engine.

    Attributes:
        reading_tokens: Prompt tokens that are not read yet.
        running: Requests that have not ended.
        kv_tokens: Memory that they take at most in tokens.
    """

    reading_tokens: int = 0
    running: int = 0
    kv_tokens: int = 0

    def __add__(self, other):
        return EngineLoad(
            self.reading_tokens + other.reading_tokens,
            self.running + other.running,
            self.kv_tokens + other.kv_tokens,
        )

    def __sub__(self, other):
        return EngineLoad(
            self.reading_tokens - other.reading_tokens,
            self.running - other.running,
            self.kv_tokens - other.kv_tokens,
        )


NO_LOAD = EngineLoad()


class _Engine:
    __slots__ = ("cached", "kv_tokens", "reading_tokens", "running")

    def __init__(self):
        self.cached = OrderedDict()
        self.kv_tokens = 0
        self.reading_tokens = 0
        self.running = 0


class EngineTable:
    """What one router knows of the engines from its own requests.

    Args:
        settings: ``PlacementSettings``.

    Examples:
        >>> book = EngineTable(PlacementSettings())
        >>> work = EngineRequest(1000, 10, (("a", 800), ("b", 200)))
        >>> placed = book.record_sent("s1", work, 0.0)
        >>> book.unread_tokens("s1", work, 0.1), book.unread_tokens("s2", work, 0.1)
        (200, 1000)
    """

    __slots__ = ("_engines", "_remote", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._engines = {}
        self._remote = {}

    def record_sent(self, server, work, now):
        """Counts a request sent to an engine.

        Returns:
            A ``PlacedRequest`` for ``first_token`` and ``ended``.
        """
        engine = self._engine(server)
        placed = PlacedRequest(
            server,
            self.unread_tokens(server, work, now),
            work.prompt_tokens + work.output_tokens,
        )
        engine.running += 1
        engine.reading_tokens += placed.prefill_tokens
        engine.kv_tokens += placed.kv_tokens
        for key, _ in work.shared:
            engine.cached[key] = now
            engine.cached.move_to_end(key)
        while len(engine.cached) > self._settings.cached_parts:
            engine.cached.popitem(last=False)
        return placed

    def record_first_token(self, placed):
        """Notes that a request's prompt was read."""
        if placed.is_reading:
            placed.is_reading = False
            self._engine(placed.server).reading_tokens -= placed.prefill_tokens

    def record_end(self, placed):
        """Counts the end of a request."""
        self.record_first_token(placed)
        engine = self._engine(placed.server)
        engine.running -= 1
        engine.kv_tokens -= placed.kv_tokens

    def unread_tokens(self, server, work, now):
        """Returns the prompt tokens that an engine has not cached."""
        engine = self._engines.get(server)
        unread = work.prompt_tokens
        if engine is None:
            return unread
        for key, tokens in work.shared:
            read_at = engine.cached.get(key)
            if read_at is None or now - read_at > self._settings.cache_memory_s:
                break
            unread -= tokens
        return max(0, unread)

    def record_remote_load(self, server, load, now):
        """Takes what the other routers have at an engine.

        Args:
            server: Id of the server.
            load: The ``EngineLoad`` of all others.
            now: Present time in seconds.
        """
        self._remote[server] = (load, now)

    def own_load(self, server):
        """Returns the ``EngineLoad`` of this router's own requests."""
        engine = self._engines.get(server)
        if engine is None:
            return NO_LOAD
        return EngineLoad(engine.reading_tokens, engine.running, engine.kv_tokens)

    def load(self, server, now):
        """Returns the ``EngineLoad`` of all routers, as far as it is known."""
        own = self.own_load(server)
        others, taken_at = self._remote.get(server, (NO_LOAD, now))
        if now - taken_at > self._settings.report_timeout_s:
            return own
        return own + others

    def _engine(self, server):
        return self._engines.setdefault(server, _Engine())


class Placer:
    """Base of the placement policies.

    Args:
        settings: ``PlacementSettings``.
        book: The ``EngineTable``.
        rng: A ``Random``.
    """

    __slots__ = ("_book", "_rng", "_settings")

    def __init__(self, settings, book, rng):
        self._settings = settings
        self._book = book
        self._rng = rng

    def place(self, candidates, work, limits, now):
        """Returns one of the candidates and its cost in seconds of wait.

        Args:
            candidates: A non-empty list of ``Candidate``.
            work: The ``EngineRequest``.
            limits: Object with ``slots`` and ``kv_tokens`` of one engine.
            now: Present time in seconds.
        """
        raise NotImplementedError


@PLACERS.add("random")
class RandomPlacer(Placer):
    """Places anywhere; the naive baseline."""

    __slots__ = ()

    def place(self, candidates, work, limits, now):
        """Returns any candidate; see ``Placer.place``."""
        return self._rng.choice(candidates), 0.0


@PLACERS.add("least_cost")
class LeastCostPlacer(Placer):
    """Places where the first token is expected soonest.

    The cost is the time to read the prompt tokens before it and its own that are not
    cached, with a charge for shared tokens that are read again, for another data
    centre and for full engines. Routers that know nothing of a part agree on its
    owner by rendezvous hashing.
    """

    __slots__ = ()

    def place(self, candidates, work, limits, now):
        """Returns the cheapest candidate; see ``Placer.place``."""
        owner = self._owner(candidates, work)
        costs = [
            self._cost(c, work, limits, now, is_owner=c.server == owner)
            for c in candidates
        ]
        least = min(costs)
        cheapest = [
            c for c, cost in zip(candidates, costs, strict=True) if cost == least
        ]
        return self._rng.choice(cheapest), least

    def _owner(self, candidates, work):
        shared = work.shared
        if not shared:
            return None
        return rendezvous(candidates, shared[-1][0]).server

    def _cost(self, candidate, work, limits, now, *, is_owner):
        settings = self._settings
        unread = self._book.unread_tokens(candidate.server, work, now)
        own_tokens = work.parts[-1][1] if work.parts else work.prompt_tokens
        reread = max(0, unread - own_tokens)
        if is_owner:
            reread *= 1.0 - settings.owner_hit_share
        load = self._book.load(candidate.server, now)
        fresh = min(unread, own_tokens)
        tokens = load.reading_tokens + fresh + reread * (1.0 + settings.reread_weight)
        cost = tokens / settings.prefill_tokens_per_s
        cost += load.running * settings.running_cost_s
        cost += candidate.distance * settings.distance_cost_s
        needed = work.prompt_tokens + work.output_tokens
        is_full = load.running >= limits.slots
        if is_full or load.kv_tokens + needed > limits.kv_tokens:
            cost += settings.full_cost_s
        return cost
