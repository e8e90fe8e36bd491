"""Cold servers: how many requests a second one may get, and from whom.

Load pattern: a server is slow for some seconds after its start, and may become slow
again at any moment. All servers of a data centre come back cold together when it is
taken into use again. Each gateway that sends its usual share then overloads them, and
they crash. The sum of all gateways must stay within a bound in any second, also while
two agents both take themselves for the first and some gateways reach no agent.

The division of the bound is fixed, so that the parts need not know of each other: one
part for each of two agents, which admit requests evenly, and a small one for gateways
that get no agent's answer, which take turns by the clock.
"""

import math
from dataclasses import dataclass

from pistachiowell.admission.rates import RateBucket, RateSettings
from pistachiowell.core.ids import stable_hash

# A server that states a longer time has probably used the wrong unit.
MAX_COLD_S = 300.0
# A server's statement may arrive up to so many seconds after a newer one.
STALE_S = 1.0
# Upper bound of the delay of a statement that another process passes on.
MAX_DELAY_S = 0.25
MAX_SERVERS = 4_096


@dataclass(frozen=True, slots=True)
class ColdSettings:
    """Settings of the bound for cold servers.

    Attributes:
        overshoot: Factor on the rate that a service states; 0 for no bound.
        extra: Requests a second beyond that; below 0 for no bound.
        agents: Number of agents that may admit requests at the same time.
        permit_s: Longest time in seconds from the admission of a request until it is
            sent; requests that were admitted one after the other may leave together.
        sent_within_s: The part of it that is left once the answer of an agent has come.
        min_turns_bound: Smallest bound of which gateways without an agent get a part.
        turn_s: Length of a turn in seconds.
        usable_s: Seconds at the beginning of a turn in which a request may be admitted.
            The rest is for the way to the server and for clocks that differ by up to
            0.1 s: any second then meets three turns at most.
        turns_in_window: Number of turns that a second meets at most.
    """

    overshoot: float = 0.0
    extra: float = -1.0
    agents: int = 2
    permit_s: float = 0.2
    sent_within_s: float = 0.1
    min_turns_bound: int = 9
    turn_s: float = 0.5
    usable_s: float = 0.15
    turns_in_window: int = 3

    @property
    def is_used(self):
        """Whether the deployment has the bound."""
        return self.overshoot > 0 and self.extra >= 0


@dataclass(frozen=True, slots=True)
class ColdShares:
    """Parts of the bound of a service's cold servers.

    Attributes:
        agent_per_s: Requests a second that an agent admits, evenly; 0 for none.
        gateways_a_turn: Number of gateways without an agent that send in one turn.
    """

    agent_per_s: float
    gateways_a_turn: int


def divide_bound(settings, per_s):
    """Divides the bound between the agents and the gateways without one.

    Args:
        settings: ``ColdSettings``.
        per_s: Requests a second that the service states for a cold server.

    Returns:
        The ``ColdShares``.

    Examples:
        >>> shares = divide_bound(ColdSettings(1.5, 5.0), 12.0)
        >>> round(shares.agent_per_s, 1), shares.gateways_a_turn
        (8.3, 1)
        >>> divide_bound(ColdSettings(1.0, 0.0), 1.0)
        ColdShares(agent_per_s=0.0, gateways_a_turn=0)
    """
    bound = math.floor(per_s * settings.overshoot + settings.extra + 1e-9)
    turns = int(bound >= settings.min_turns_bound)
    part = (bound - turns * settings.turns_in_window) // settings.agents
    # A rate of r admits at most r x t requests, rounded down, and one in t seconds.
    even_per_s = (part - 0.05) / (1.0 + settings.permit_s)
    return ColdShares(max(0.0, min(per_s, even_per_s)), turns)


class ColdAdmission:
    """Admits requests to cold servers evenly, at one agent.

    Nothing is saved: a bucket begins empty and holds one request, so an agent that
    takes over adds no more than one to what the one before it has admitted.

    Examples:
        >>> admission = ColdAdmission()
        >>> [admission.try_take("s1", 4.0, now) for now in (0.0, 0.25, 0.25)]
        [0.25, 0.0, 0.25]
    """

    __slots__ = ("_buckets", "_settings")

    def __init__(self):
        self._settings = RateSettings(burst_s=0.0)
        self._buckets = {}

    def try_take(self, server, per_s, now):
        """Admits a request if there is room.

        Args:
            server: Id of the server. Its next run is often at the same address, so the
                runs share the rate.
            per_s: Rate in requests a second; 0 to admit none.
            now: Present time in seconds.

        Returns:
            0.0 if the request is admitted; otherwise the seconds until there may be
            room.
        """
        if per_s <= 0:
            return 1.0
        bucket = self._buckets.pop(server, None)
        if bucket is None:
            bucket = RateBucket(self._settings, per_s, now)
        elif bucket.per_s != per_s:
            bucket.set_rate(per_s, now)
        self._buckets[server] = bucket
        if len(self._buckets) > MAX_SERVERS:
            del self._buckets[next(iter(self._buckets))]
        return bucket.try_take(0, now)


class ColdTurns:
    """Turns of one gateway that gets no agent's answer.

    Each gateway that may run has a place in the order of each turn, by rendezvous hash:
    a gateway that the others do not know yet adds a request in few of the turns only.

    Args:
        settings: ``ColdSettings``.
        name: Name of the gateway.

    Examples:
        >>> turns = [ColdTurns(ColdSettings(1.5, 5.0), name) for name in "abc"]
        >>> waits = [t.try_take("s1", 1, {"a", "b", "c"}, 7.0) for t in turns]
        >>> sum(not wait for wait in waits)
        1
        >>> sum(not t.try_take("s1", 1, {"a", "b", "c"}, 7.1) for t in turns)
        0
    """

    __slots__ = ("_last_turns", "_name", "_settings")

    def __init__(self, settings, name):
        self._settings = settings
        self._name = name
        self._last_turns = {}

    def try_take(self, server, gateways_a_turn, gateways, wall_s):
        """Admits a request in a turn of this gateway.

        Args:
            server: Id of the server.
            gateways_a_turn: Number of gateways that send in one turn.
            gateways: Names of the gateways that may be running; empty if nobody knows.
            wall_s: Unix time in seconds; turns are alike at all gateways.

        Returns:
            0.0 if the request is admitted; otherwise the seconds until the next turn.
        """
        settings = self._settings
        number, into_s = divmod(wall_s, settings.turn_s)
        number = int(number)
        is_open = into_s <= settings.usable_s
        is_unused = number > self._last_turns.get(server, -1)
        is_own = self._is_own(server, number, gateways_a_turn, gateways)
        if is_open and is_unused and is_own:
            self._last_turns.pop(server, None)
            self._last_turns[server] = number
            if len(self._last_turns) > MAX_SERVERS:
                del self._last_turns[next(iter(self._last_turns))]
            return 0.0
        return settings.turn_s - into_s

    def _is_own(self, server, number, gateways_a_turn, gateways):
        if not gateways:
            return False
        own = stable_hash(self._name, server, str(number))
        others = (name for name in gateways if name != self._name)
        before = sum(stable_hash(name, server, str(number)) > own for name in others)
        return before < gateways_a_turn


@dataclass(frozen=True, slots=True)
class _Statement:
    """What is known of when a server is cold.

    Attributes:
        at: Time of the statement in seconds.
        since: Time from which on it has been cold without a break.
        until: Time at which it is warm.
    """

    at: float
    since: float
    until: float


class ColdTimes:
    """Until when servers are cold, by what they have said and what has happened.

    Examples:
        >>> from pistachiowell.admission.rates import Incarnation
        >>> times, server = ColdTimes(), Incarnation("s1", 5)
        >>> times.state(server, 2.0, 10.0)
        True
        >>> times.left_s(server, 10.5)
        1.5
        >>> times.state(server, 0.0, 10.6)  # may have been on its way
        False
        >>> round(times.left_s(server, 10.6), 3)
        1.4
        >>> times.state(server, 0.0, 11.6), times.left_s(server, 11.6)
        (False, 0.0)
    """

    __slots__ = ("_statements",)

    def __init__(self):
        self._statements = {}

    def state(self, incarnation, left_s, now):
        """Records for how much longer a server is cold.

        Args:
            incarnation: The ``Incarnation``.
            left_s: Seconds; 0 if it is warm.
            now: Time of the statement in seconds.

        Returns:
            Whether it is cold for noticeably longer than was known.
        """
        known = self._statements.get(incarnation)
        until = now + min(left_s, MAX_COLD_S)
        is_cold = known is not None and now < known.until
        if known is not None and until < known.until and now - known.at < STALE_S:
            return False
        self._statements.pop(incarnation, None)
        since = known.since if is_cold else now
        self._statements[incarnation] = _Statement(now, since, until)
        if len(self._statements) > MAX_SERVERS:
            del self._statements[next(iter(self._statements))]
        known_until = known.until if is_cold else now
        return until > known_until + MAX_DELAY_S

    def extend(self, incarnation, left_s, now):
        """Records that a server is cold at least for some time; see ``state``."""
        if left_s <= self.left_s(incarnation, now) + MAX_DELAY_S:
            return False
        return self.state(incarnation, left_s, now)

    def left_s(self, incarnation, now):
        """Returns for how many seconds a server is cold; 0 if it is warm."""
        known = self._statements.get(incarnation)
        return max(0.0, known.until - now) if known is not None else 0.0

    def span(self, incarnation):
        """Returns from when until when a server is cold; None if it has not said it."""
        known = self._statements.get(incarnation)
        return (known.since, known.until) if known is not None else None

    def stated_at(self, incarnation):
        """Returns the time of the latest statement; None without one."""
        known = self._statements.get(incarnation)
        return known.at if known is not None else None
