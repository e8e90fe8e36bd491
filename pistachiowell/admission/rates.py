"""Rate limits: how many requests a second a backend server takes from all routers.

Load pattern: a server in need names the rate that it takes, often little more than one
request a second, while the demand at the routers is many times that and uneven. Each
router that keeps the limit for itself sends the whole of it, and the sum is a multiple;
a fixed split leaves a router with demand almost nothing. One process therefore admits
the requests of all routers one by one, and a fixed split serves only without it.

The limit holds as long as the server says so. Answers cross on their way: the newest
one is the answer to the request that was sent last.
"""

from dataclasses import dataclass

MAX_RANK_STEPS = 4


@dataclass(frozen=True, slots=True)
class RateSettings:
    """Settings of the rate limits of servers.

    Attributes:
        burst_s: Seconds of the rate that may be saved for requests that come together.
        min_per_s: Rate at which a server is asked at least. A server that named a limit
            of zero could otherwise not say that it is over.
        max_per_s: Rate above which a limit does not count as one.
        forget_s: Seconds after the latest sign of a limit after which it is forgotten.
        slot_s: Seconds for which a router without an agent may use each of its turns.
    """

    burst_s: float = 1.0
    min_per_s: float = 0.2
    max_per_s: float = 100_000.0
    forget_s: float = 300.0
    slot_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of a backend server.

    Attributes:
        server: Id of the server.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
    """

    server: str
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class Observation:
    """What an answer of a server has said of its limit.

    Attributes:
        per_s: Requests a second that it takes; None if it named no limit.
        at: Time at which the answered request was sent, in seconds.
    """

    per_s: float | None
    at: float


def served_rate(settings, per_s):
    """Returns the requests a second that a server with a limit gets.

    Args:
        settings: ``RateSettings``.
        per_s: The limit in requests a second.
    """
    return min(max(per_s, settings.min_per_s), settings.max_per_s)


class RateSlots:
    """Turns of one router that knows no agent to share a server's rate with.

    Each router has a turn in each period that the rate needs for all of them. A turn
    that is not used in time is lost: saved ones of many routers would come together.

    Args:
        settings: ``RateSettings``.
        offset: Place of the router's turn in the period, from 0 to 1.

    Examples:
        >>> slots = RateSlots(RateSettings(), offset=0.5)
        >>> [slots.try_take(2.0, 4, t) for t in (0.5, 1.0, 1.5, 3.0)]
        [0.5, 0.0, 1.5, 0.0]
    """

    __slots__ = ("_next_turn", "_offset", "_settings")

    def __init__(self, settings, offset):
        self._settings = settings
        self._offset = offset
        self._next_turn = 0

    def try_take(self, per_s, routers, now):
        """Admits a request in a turn of this router.

        Args:
            per_s: The limit in requests a second.
            routers: Number of routers that share it.
            now: Present time in seconds.

        Returns:
            0.0 if the request is admitted; otherwise the seconds until the next turn.
        """
        period_s = routers / served_rate(self._settings, per_s)
        turn, into_s = divmod(now - self._offset * period_s, period_s)
        if turn >= self._next_turn and into_s <= self._settings.slot_s:
            self._next_turn = turn + 1
            return 0.0
        return period_s - into_s


class RateBucket:
    """Admits requests at a rate, the urgent ones first.

    It starts empty. A request that is not urgent leaves a part of the burst to those
    that are, so it is admitted only as far as these do not use up the rate.

    Args:
        settings: ``RateSettings``.
        per_s: Requests a second.
        now: Present time in seconds.

    Examples:
        >>> bucket = RateBucket(RateSettings(burst_s=0.0), 2.0, 0.0)
        >>> bucket.try_take(0, 0.0), bucket.try_take(0, 0.5), bucket.try_take(0, 0.5)
        (0.5, 0.0, 0.5)
    """

    __slots__ = ("_filled_at", "_per_s", "_settings", "_tokens")

    def __init__(self, settings, per_s, now):
        self._settings = settings
        self._per_s = per_s
        self._tokens = 0.0
        self._filled_at = now

    @property
    def per_s(self):
        """Requests a second."""
        return self._per_s

    def set_rate(self, per_s, now):
        """Sets the rate from now on."""
        self._fill(now)
        self._per_s = per_s
        self._tokens = min(self._tokens, self._size)

    def try_take(self, rank, now):
        """Admits a request if there is room.

        Args:
            rank: Rank of the request; 0 is the most urgent.
            now: Present time in seconds.

        Returns:
            0.0 if the request is admitted; otherwise the seconds until there is room,
            as far as no more urgent request takes it.
        """
        self._fill(now)
        reserved = self._reserve(rank)
        missing = 1.0 + reserved - self._tokens
        if missing <= 1e-9:
            self._tokens -= 1.0
            return 0.0
        return missing / self._per_s

    @property
    def _burst(self):
        return self._settings.burst_s * self._per_s

    @property
    def _size(self):
        return 1.0 + self._burst

    def _reserve(self, rank):
        steps = min(max(0, rank), MAX_RANK_STEPS - 1)
        return self._burst * steps / MAX_RANK_STEPS

    def _fill(self, now):
        passed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(self._size, self._tokens + passed_s * self._per_s)


class _Limit:
    __slots__ = ("bucket", "observation", "seen_at")

    def __init__(self, observation, now):
        self.observation = observation
        self.bucket = None
        self.seen_at = now


class RateLimits:
    """The limits that servers have named, and the room that is left.

    Args:
        settings: ``RateSettings``.

    Examples:
        >>> limits = RateLimits(RateSettings(burst_s=0.0))
        >>> desk = Incarnation("desk-1", 7)
        >>> limits.observe(desk, Observation(2.0, 10.0), 10.1)
        True
        >>> limits.try_take(desk, 0, 10.1)
        0.5
        >>> limits.observe(desk, Observation(None, 9.0), 10.2)  # sent before
        False
        >>> limits.observe(desk, Observation(None, 11.0), 11.1)
        True
        >>> limits.try_take(desk, 0, 11.1)
        0.0
    """

    __slots__ = ("_limits", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._limits = {}

    @property
    def in_force(self):
        """The latest ``Observation`` of each server with a limit, by incarnation."""
        return {
            incarnation: limit.observation
            for incarnation, limit in self._limits.items()
            if limit.observation.per_s is not None
        }

    def latest(self, incarnation):
        """Returns the latest ``Observation`` of a server, or None."""
        limit = self._limits.get(incarnation)
        return limit.observation if limit else None

    def observe(self, incarnation, observation, now):
        """Records what an answer has said; an older answer changes nothing.

        Args:
            incarnation: The ``Incarnation`` that has answered.
            observation: The ``Observation``.
            now: Present time in seconds.

        Returns:
            Whether the limit of the server is another one now.
        """
        limit = self._limits.get(incarnation)
        if limit is None:
            if observation.per_s is None:
                return False
            self._forget(now)
            self._limits[incarnation] = _Limit(observation, now)
            return True
        if observation.at <= limit.observation.at:
            return False
        has_changed = observation.per_s != limit.observation.per_s
        limit.observation = observation
        limit.seen_at = now
        if observation.per_s is None:
            limit.bucket = None
        return has_changed

    def try_take(self, incarnation, rank, now):
        """Admits a request to a server if there is room.

        Args:
            incarnation: The ``Incarnation``.
            rank: Rank of the request; 0 is the most urgent.
            now: Present time in seconds.

        Returns:
            0.0 if the request is admitted, as it always is without a limit; otherwise
            the seconds until there may be room.
        """
        limit = self._limits.get(incarnation)
        if limit is None or limit.observation.per_s is None:
            return 0.0
        per_s = served_rate(self._settings, limit.observation.per_s)
        if limit.bucket is None:
            limit.bucket = RateBucket(self._settings, per_s, now)
        elif limit.bucket.per_s != per_s:
            limit.bucket.set_rate(per_s, now)
        return limit.bucket.try_take(rank, now)

    def _forget(self, now):
        oldest = now - self._settings.forget_s
        for incarnation, limit in list(self._limits.items()):
            if limit.seen_at < oldest:
                del self._limits[incarnation]
