"""Detection of backend servers that have stopped answering.

Load pattern: a server stands still or is cut off, takes connections and answers
nothing. Its requests end only when their callers leave, and each caller who leaves
makes room for the next request. What was written to a connection cannot be taken back.

A server is silent if a request waits there for longer than its answers usually take and
nothing has come from it meanwhile. One request that is slow alone shows nothing, as
answers to others keep coming; nor does a router that stood still itself.
"""

from dataclasses import dataclass

from pistachiowell.core.registry import Registry
from pistachiowell.routing.usual_wait import UsualWait

SILENCE_DETECTORS = Registry("detection of silent servers")


@dataclass(frozen=True, slots=True)
class SilenceSettings:
    """Settings of the detection of silent servers.

    Attributes:
        detector: Name of the policy in ``SILENCE_DETECTORS``.
        min_patience_s: Shortest wait for the first part of an answer in seconds after
            which a server that has sent nothing meanwhile is silent.
        first_patience_s: That wait for a server without answers to judge by.
        max_patience_s: Longest such wait, beside twice the expected one. It also
            applies to a request that the server has passed over.
        min_gap_patience_s: The same as ``min_patience_s`` between two parts of an
            answer.
        usual_waits: Number of usual waits after which a server is silent.
        doubt_share: Share of the patience after which other servers are preferred.
        min_doubt_s: Shortest wait for the first part of an answer in seconds after
            which they are.
        doubt_deviations: Number of deviations of the usual waits after which they are.
        shared_doubt_s: Seconds for which a doubt that a peer has told of holds, and
            between two reports of a doubt.
        hold_s: Seconds for which a silent server gets nothing at first; twice as long
            each further time, as long as nothing comes from it.
        max_hold_s: Longest such time.
        notice_s: Seconds for which a notice of a peer holds unless it is renewed.
        denial_s: Seconds for which a server is not suspected after a peer has reached
            it.
        confirm_s: Seconds after which a suspicion that no peer has denied lets requests
            move on to other servers.
        max_left_out: Largest share of the servers that a router leaves out because of
            what it has seen alone.
        max_tick_s: Largest time between two ticks that counts as waiting.
        max_servers: Number of servers above which those without requests are forgotten.
    """

    detector: str = "no_sign_of_life"
    min_patience_s: float = 0.15
    first_patience_s: float = 1.0
    max_patience_s: float = 2.0
    min_gap_patience_s: float = 0.25
    usual_waits: float = 2.0
    doubt_share: float = 0.5
    min_doubt_s: float = 0.03
    doubt_deviations: float = 2.0
    shared_doubt_s: float = 0.2
    hold_s: float = 2.0
    max_hold_s: float = 16.0
    notice_s: float = 1.5
    denial_s: float = 1.0
    confirm_s: float = 0.1
    max_left_out: float = 0.5
    max_tick_s: float = 0.1
    max_servers: int = 4_096


class Wait:
    """A request that waits for a server.

    Args:
        server: Id of the server.
        expected_s: Expected seconds to the first part of the answer.
        since: Time of its start on the clock of the detector in seconds.

    Attributes:
        server: Id of the server.
        expected_s: Expected seconds to the first part of the answer.
        since: Time from which on it waits, on the clock of the detector in seconds.
        part_at: Time of the latest part of the answer on that clock; None before.
        was_passed_over: Whether the server has begun to answer a later request.
        is_paused: Whether the router reads nothing, as the caller is slow.
    """

    __slots__ = (
        "expected_s",
        "is_paused",
        "part_at",
        "server",
        "since",
        "was_passed_over",
    )

    def __init__(self, server, expected_s, since):
        self.server = server
        self.expected_s = expected_s
        self.since = since
        self.part_at = None
        self.was_passed_over = False
        self.is_paused = False


class _Server:
    __slots__ = (
        "denied_until",
        "doubted_until",
        "gap",
        "heard_at",
        "held_until",
        "holds",
        "noticed_until",
        "reported_until",
        "suspected_at",
        "usual",
        "waits",
    )

    def __init__(self):
        self.waits = set()
        self.usual = UsualWait()
        self.gap = UsualWait()
        self.heard_at = float("-inf")
        self.held_until = float("-inf")
        self.holds = 0
        self.noticed_until = float("-inf")
        self.denied_until = float("-inf")
        self.doubted_until = float("-inf")
        self.reported_until = float("-inf")
        self.suspected_at = None


class SilenceDetector:
    """Base class of the policies that detect silent servers.

    Args:
        settings: ``SilenceSettings``.
    """

    __slots__ = ("_awake_s", "_servers", "_settings", "_ticked_at")

    def __init__(self, settings):
        self._settings = settings
        self._servers = {}
        self._awake_s = 0.0
        self._ticked_at = None

    @property
    def server_count(self):
        """Number of servers that are remembered."""
        return len(self._servers)

    def record_start(self, server, expected_s, now):
        """Records that a request is sent to a server and returns its ``Wait``."""
        if len(self._servers) > self._settings.max_servers:
            self._servers = {n: s for n, s in self._servers.items() if s.waits}
        wait = Wait(server, expected_s, self._start_clock(now))
        self._servers.setdefault(server, _Server()).waits.add(wait)
        return wait

    def record_part(self, wait, now):
        """Records that a part of an answer has come."""
        clock = self._clock(now)
        server = self._servers[wait.server]
        server.heard_at = clock
        server.holds = 0
        self._trust(server)
        last_at, wait.part_at = wait.part_at, clock
        if last_at is not None:
            server.gap.record(clock - last_at)
            return
        server.usual.record(max(0.0, clock - wait.since - wait.expected_s))
        for other in server.waits:
            if other.part_at is None and other.since < wait.since:
                other.was_passed_over = True

    def record_end(self, wait):
        """Records that a request no longer waits."""
        self._servers[wait.server].waits.discard(wait)

    def record_notice(self, server, now, *, is_silent):
        """Records what a peer says of a server.

        Args:
            server: Id of the server.
            now: Present time in seconds.
            is_silent: Whether it does not answer the peer; False if it has answered.
        """
        state = self._servers.setdefault(server, _Server())
        clock = self._start_clock(now)
        if not is_silent:
            self._trust(state)
            state.denied_until = clock + self._settings.denial_s
            state.heard_at = clock
            for wait in state.waits:
                wait.was_passed_over = True
        elif clock >= state.denied_until:
            self._suspect(state, clock)
            state.noticed_until = clock + self._settings.notice_s

    def record_doubt(self, server, waited_s, now):
        """Records that a request of a peer waits for a server in vain.

        Args:
            server: Id of the server.
            waited_s: Seconds for which it has waited; what this router has heard from
                the server meanwhile refutes the doubt.
            now: Present time in seconds.
        """
        state = self._servers.setdefault(server, _Server())
        clock = self._start_clock(now)
        if state.heard_at < clock - waited_s:
            state.doubted_until = clock + self._settings.shared_doubt_s

    def new_doubts(self):
        """Returns pairs of a server in doubt and how long it has sent nothing.

        Peers are to be told of them. A doubt that lasts is returned again and again,
        each time after ``shared_doubt_s``.
        """
        doubts = []
        for name, server in self._servers.items():
            if server.waits and self._awake_s >= server.reported_until:
                waited_s = self._doubtful_wait_s(server, self._awake_s)
                if waited_s:
                    server.reported_until = (
                        self._awake_s + self._settings.shared_doubt_s
                    )
                    doubts.append((name, waited_s))
        return doubts

    def tick(self, now, late_s=0.0):
        """Advances the clock and returns the servers that have become silent.

        Call it many times a second. Time in which it was not called counts as
        ``max_tick_s`` at most: a router that stood still has not heard what came. Nor
        has one that is late, so the lateness does not count either.

        Args:
            now: Present time in seconds.
            late_s: Seconds by which the call comes later than it was due.

        Returns:
            Ids of the servers that now count as silent for what this router has seen.
        """
        self._awake_s = max(self._awake_s, self._clock(now) - late_s)
        self._ticked_at = now
        silent = [
            name
            for name, server in self._servers.items()
            if server.waits
            and self._awake_s >= max(server.held_until, server.denied_until)
            and self._is_silent(server, self._awake_s)
        ]
        for name in silent:
            self._hold(self._servers[name])
        return silent

    def hopeless_waits(self):
        """Returns each ``Wait`` at a silent server that may be given up."""
        return [
            wait
            for server in self._servers.values()
            if server.waits and self._is_confirmed(server)
            for wait in server.waits
            if self._is_doubtful(wait, server, self._awake_s)
        ]

    def usable(self, servers, now):
        """Returns the servers that may get a request.

        Args:
            servers: Names of one set of servers.
            now: Present time in seconds.

        Returns:
            Names in the same order; all if no other is left.
        """
        raise NotImplementedError

    def is_suspected(self, server, now):
        """Returns whether a server gets nothing because it is silent."""
        state = self._servers.get(server)
        return state is not None and self._is_suspected(state, self._clock(now))

    def is_doubted(self, server, now):
        """Returns whether a request waits doubtfully long for a server."""
        state = self._servers.get(server)
        return state is not None and self._has_doubt(state, self._clock(now))

    def _suspect(self, server, clock):
        if not self._is_suspected(server, clock):
            server.suspected_at = clock

    def _trust(self, server):
        server.held_until = server.noticed_until = float("-inf")
        server.doubted_until = float("-inf")

    def _is_confirmed(self, server):
        if not self._is_suspected(server, self._awake_s):
            return False
        return self._awake_s - server.suspected_at >= self._settings.confirm_s

    def _hold(self, server):
        settings = self._settings
        self._suspect(server, self._awake_s)
        hold_s = min(settings.max_hold_s, settings.hold_s * 2**server.holds)
        server.held_until = self._awake_s + hold_s
        server.holds += 1

    def _start_clock(self, now):
        """Starts the clock if this is the first record, and returns its time."""
        if self._ticked_at is None:
            self._ticked_at = now
        return self._clock(now)

    def _clock(self, now):
        ticked_at = now if self._ticked_at is None else self._ticked_at
        passed_s = min(now - ticked_at, self._settings.max_tick_s)
        return self._awake_s + max(0.0, passed_s)

    def _is_suspected(self, server, clock):
        return clock < max(server.held_until, server.noticed_until)

    def _is_silent(self, server, clock):
        return any(
            not wait.is_paused
            and self._waited_s(wait, server, clock) >= self._patience_s(wait, server)
            for wait in server.waits
        )

    def _is_doubtful(self, wait, server, clock):
        waited_s = self._waited_s(wait, server, clock)
        return not wait.is_paused and waited_s >= self._doubt_s(wait, server)

    def _has_doubt(self, server, clock):
        doubtful_s = self._doubtful_wait_s(server, clock)
        return clock < server.doubted_until or doubtful_s > 0

    def _doubtful_wait_s(self, server, clock):
        """Returns for how long a doubtful request has waited; 0 if there is none."""
        if clock - server.heard_at < self._settings.min_doubt_s:
            return 0.0
        doubtful = (w for w in server.waits if self._is_doubtful(w, server, clock))
        return max((self._waited_s(w, server, clock) for w in doubtful), default=0.0)

    @staticmethod
    def _waited_s(wait, server, clock):
        return clock - max(wait.since, server.heard_at)

    def _doubt_s(self, wait, server):
        settings = self._settings
        usual_s = server.usual.bound_s(settings.doubt_deviations)
        if wait.part_at is not None or wait.was_passed_over or usual_s is None:
            return settings.doubt_share * self._patience_s(wait, server)
        usual_s = min(usual_s, settings.doubt_share * settings.max_patience_s)
        return max(settings.min_doubt_s, usual_s) + wait.expected_s

    def _patience_s(self, wait, server):
        settings = self._settings
        if wait.part_at is not None:
            return self._usual_patience_s(server.gap, settings.min_gap_patience_s)
        if wait.was_passed_over:
            patience_s = settings.max_patience_s
        else:
            patience_s = self._usual_patience_s(server.usual, settings.min_patience_s)
        return patience_s + settings.usual_waits * wait.expected_s

    def _usual_patience_s(self, usual, min_s):
        settings = self._settings
        bound_s = usual.bound_s()
        if bound_s is None:
            return settings.first_patience_s
        patience_s = max(min_s, settings.usual_waits * bound_s)
        return min(patience_s, settings.max_patience_s)


@SILENCE_DETECTORS.add("none")
class NoSilenceDetector(SilenceDetector):
    """Suspects no server; the baseline."""

    __slots__ = ()

    def tick(self, now, late_s=0.0):
        """Returns no server; see ``SilenceDetector``."""
        super().tick(now, late_s)
        return []

    def hopeless_waits(self):
        """Returns no wait; see ``SilenceDetector``."""
        return []

    def new_doubts(self):
        """Returns no doubt; see ``SilenceDetector``."""
        return []

    def usable(self, servers, now):
        """Returns all servers; see ``SilenceDetector``."""
        return list(servers)


@SILENCE_DETECTORS.add("no_sign_of_life")
class SignOfLifeDetector(SilenceDetector):
    """Leaves out silent servers and prefers servers without a doubtful request.

    A server that is silent for what this router has seen gets one request once its hold
    is over. If most servers of a set seem silent to this router alone, they are slow
    rather than silent, or the router is cut off, and none of them is left out.

    Examples:
        >>> detector = SignOfLifeDetector(SilenceSettings())
        >>> wait = detector.record_start("s1", 0.0, 0.0)
        >>> ticks = [detector.tick(number / 20) for number in range(1, 22)]
        >>> [silent for silent in ticks if silent]
        [['s1']]
        >>> detector.usable(["s1", "s2"], 1.1)
        ['s2']
        >>> detector.record_part(wait, 1.2)
        >>> detector.usable(["s1", "s2"], 1.3)
        ['s1', 's2']
    """

    __slots__ = ()

    def usable(self, servers, now):
        """Returns the servers that may get a request; see ``SilenceDetector``."""
        clock = self._clock(now)
        states = {name: self._servers.get(name) for name in servers}
        noticed = {
            name
            for name, state in states.items()
            if state is not None and clock < state.noticed_until
        }
        held = {
            name
            for name, state in states.items()
            if state is not None and name not in noticed and self._is_held(state, clock)
        }
        if len(held) > self._settings.max_left_out * len(states):
            held = set()
        sound = [name for name in servers if name not in noticed and name not in held]
        certain = [
            name
            for name in sound
            if states[name] is None or not self._has_doubt(states[name], clock)
        ]
        return certain or sound or list(servers)

    def _is_held(self, state, clock):
        # One request at a time tries a server whose hold is over.
        return clock < state.held_until or bool(state.holds and state.waits)
