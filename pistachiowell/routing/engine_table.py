"""Load and cached prefixes of model engines, from the requests sent to them.

Load pattern: an engine's own reports are old when they arrive, and many routers read
the same ones. What a router has sent itself it knows at once.
"""

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """Tokens that one request needs from an engine.

    Attributes:
        prompt_tokens: Tokens of the whole prompt.
        output_tokens: Expected tokens of the answer.
        parts: Pairs of id and tokens; all but the last may be shared with other
            requests.
        shared_prefixes: Pairs of prefix key and tokens, one for each part that may be
            shared. The key names the part and all parts before it.
    """

    prompt_tokens: int
    output_tokens: int
    parts: tuple = ()
    shared_prefixes: tuple = field(init=False)

    def __post_init__(self):
        # Computed once, as the cost of each candidate needs it.
        object.__setattr__(
            self, "shared_prefixes", tuple(_prefix_keys(self.parts[:-1]))
        )


def _prefix_keys(parts):
    key = ""
    for part_id, tokens in parts:
        key = f"{key}/{part_id}"
        yield key, tokens


@dataclass(slots=True)
class PlacedRequest:
    """A request that was sent to an engine.

    Attributes:
        server: Id of the server.
        prefill_tokens: Prompt tokens that the engine was expected to process.
        kv_tokens: Upper bound of its key-value memory in tokens.
        is_reading: Whether its first token is still outstanding.
        origin: The ``EngineRun`` that it was sent to; None if unknown.
        sent_at: Time at which it was sent in seconds.
        ahead_tokens: Prompt tokens that are processed up to its first token, its own
            included.
        expected_s: Expected time to its first token in seconds.
    """

    server: str
    prefill_tokens: int
    kv_tokens: int
    is_reading: bool = True
    origin: object = None
    sent_at: float = 0.0
    ahead_tokens: int = 0
    expected_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineRun:
    """A run of an engine, whose answers show its speed.

    Attributes:
        service: Name of its service.
        started_ms: Unix time of its start in milliseconds.
        is_cold: Whether it is slow for a while, so that its answers teach nothing.
    """

    service: str
    started_ms: int = 0
    is_cold: bool = False


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Sum of the requests at an engine.

    Attributes:
        reading_tokens: Prompt tokens that are still to be processed.
        running: Number of requests that have not ended.
        kv_tokens: Upper bound of their key-value memory in tokens.
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
    __slots__ = (
        "cached",
        "first_token_at",
        "kv_tokens",
        "reading",
        "reading_tokens",
        "running",
    )

    def __init__(self):
        self.cached = OrderedDict()
        # Requests without a first token, the oldest first, by their ids as objects.
        self.reading = {}
        self.first_token_at = float("-inf")
        self.kv_tokens = 0
        self.reading_tokens = 0
        self.running = 0


class EngineTable:
    """Estimates load and cache of the engines from the requests of one router.

    The loads of the other routers come from reports; see ``record_remote_load``.

    Args:
        settings: ``PlacementSettings``.
        rates: ``EngineRates``, which learn from the requests; None to learn nothing.

    Attributes:
        on_change: Function that is called after each change of this router's own load.

    Examples:
        >>> from pistachiowell.routing.placement import PlacementSettings
        >>> table = EngineTable(PlacementSettings())
        >>> request = EngineRequest(1000, 10, (("a", 800), ("b", 200)))
        >>> placed = table.record_sent("s1", request, 0.0)
        >>> table.uncached_tokens("s1", request, 0.1)
        200
        >>> table.uncached_tokens("s2", request, 0.1)
        1000
    """

    __slots__ = ("_engines", "_remote_loads", "_settings", "on_change", "rates")

    def __init__(self, settings, rates=None):
        self._settings = settings
        self.rates = rates
        self._engines = {}
        self._remote_loads = {}
        self.on_change = lambda: None

    def record_sent(self, server, request, now, origin=None):
        """Records a request sent to an engine and the prefixes that it caches there.

        Args:
            server: Id of the server.
            request: The ``EngineRequest``.
            now: Present time in seconds.
            origin: The ``EngineRun``; None if nothing is learned from the answer.

        Returns:
            A ``PlacedRequest`` for ``record_first_token`` and ``record_end``.
        """
        engine = self._engine(server)
        placed = PlacedRequest(
            server,
            self.uncached_tokens(server, request, now),
            request.prompt_tokens + request.output_tokens,
            origin=origin,
            sent_at=now,
        )
        if self.rates is not None and origin is not None:
            self._expect_first_token(engine, placed, now)
        engine.running += 1
        engine.reading_tokens += placed.prefill_tokens
        engine.kv_tokens += placed.kv_tokens
        for key, _ in request.shared_prefixes:
            engine.cached[key] = now
            engine.cached.move_to_end(key)
        while len(engine.cached) > self._settings.max_cached_prefixes:
            engine.cached.popitem(last=False)
        self.on_change()
        return placed

    def _expect_first_token(self, engine, placed, now):
        """Records when the first token is expected, before the request counts."""
        origin, server = placed.origin, placed.server
        self.rates.record_start(server, origin.started_ms, now)
        queued_tokens = self.load(server, now).reading_tokens
        placed.ahead_tokens = queued_tokens + placed.prefill_tokens
        placed.expected_s = self.rates.time_s(
            origin.service, server, placed.ahead_tokens, now
        )
        engine.reading[id(placed)] = placed

    def record_first_token(self, placed, now=None):
        """Records the first token of an answer; the prompt has been processed.

        Args:
            placed: The ``PlacedRequest``.
            now: Present time in seconds; None if the time shows nothing, as no token
                came.
        """
        if not placed.is_reading:
            return
        placed.is_reading = False
        engine = self._engine(placed.server)
        engine.reading_tokens -= placed.prefill_tokens
        engine.reading.pop(id(placed), None)
        if now is not None and self.rates is not None and placed.origin is not None:
            engine.first_token_at = now
            self._learn(placed, now)
        self.on_change()

    def _learn(self, placed, now):
        """Learns from a first token if nothing was queued before its prompt."""
        origin = placed.origin
        if origin.is_cold or placed.ahead_tokens != placed.prefill_tokens:
            return
        time_s = now - placed.sent_at
        self.rates.record_first_token(
            origin.service, placed.server, placed.prefill_tokens, time_s, now
        )

    def record_end(self, placed):
        """Records the end of a request."""
        self.record_first_token(placed)
        engine = self._engine(placed.server)
        engine.running -= 1
        engine.kv_tokens -= placed.kv_tokens
        self.on_change()

    def stall_cost_s(self, server, now):
        """Returns the cost of an engine whose next first token is overdue.

        A first token shows that the queue moves, so that the cost ends with it.
        """
        engine = self._engines.get(server)
        if self.rates is None or engine is None or not engine.reading:
            return 0.0
        oldest = next(iter(engine.reading.values()))
        if not self.rates.is_learned(oldest.origin.service):
            return 0.0
        moved_at = max(oldest.sent_at, engine.first_token_at)
        return self.rates.stall_cost_s(now - moved_at, oldest.expected_s)

    def record_gone(self, server):
        """Records that an engine refuses connections, so that its cache is lost."""
        engine = self._engines.get(server)
        if engine is not None:
            engine.cached.clear()
        if self.rates is not None:
            self.rates.record_gone(server)

    def expected_wait_s(self, server, service, request, now):
        """Returns the expected time to the first token if all shared parts are cached.

        Args:
            server: Id of the server.
            service: Name of its service.
            request: The ``EngineRequest``.
            now: Present time in seconds.

        Returns:
            The time in seconds; 0 without ``rates``.
        """
        if self.rates is None:
            return 0.0
        own_tokens = request.parts[-1][1] if request.parts else request.prompt_tokens
        tokens = self.load(server, now).reading_tokens + own_tokens
        return self.rates.time_s(service, server, tokens, now)

    def slow_engines(self, now):
        """Returns the factors of the engines that are known to be slow, by their ids.

        See ``EngineRates.factors``.
        """
        if self.rates is None:
            return {}
        names = list(self._engines)
        factors = zip(names, self.rates.factors(names, now), strict=True)
        return {name: factor for name, factor in factors if factor > 1.0}

    def uncached_tokens(self, server, request, now):
        """Returns the prompt tokens that an engine is not expected to have cached."""
        engine = self._engines.get(server)
        uncached = request.prompt_tokens
        if engine is None:
            return uncached
        for key, tokens in request.shared_prefixes:
            cached_at = engine.cached.get(key)
            if cached_at is None or now - cached_at > self._settings.cache_lifetime_s:
                break
            uncached -= tokens
        return max(0, uncached)

    def record_remote_load(self, server, load, now):
        """Records the load of the other routers at an engine.

        Args:
            server: Id of the server.
            load: The ``EngineLoad`` of all other routers.
            now: Present time in seconds.
        """
        self._remote_loads[server] = (load, now)

    def own_load(self, server):
        """Returns the ``EngineLoad`` of this router's own requests."""
        engine = self._engines.get(server)
        if engine is None:
            return NO_LOAD
        return EngineLoad(engine.reading_tokens, engine.running, engine.kv_tokens)

    def own_loads(self):
        """Returns ``own_load`` by server, without the idle servers."""
        busy = [name for name, engine in self._engines.items() if engine.running]
        return {name: self.own_load(name) for name in busy}

    def load(self, server, now):
        """Returns the ``EngineLoad`` of all routers.

        The load of the other routers is left out once its report is too old.
        """
        own = self.own_load(server)
        remote, recorded_at = self._remote_loads.get(server, (NO_LOAD, now))
        if now - recorded_at > self._settings.report_timeout_s:
            return own
        return own + remote

    def _engine(self, server):
        return self._engines.setdefault(server, _Engine())
