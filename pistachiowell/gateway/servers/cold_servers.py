"""Which servers are cold, as a process knows it, and how many requests they may get."""

import time
from dataclasses import replace

from pistachiowell.admission import (
    ColdSettings,
    ColdTimes,
    ColdTurns,
    Incarnation,
    divide_bound,
)
from pistachiowell.admission.cold import MAX_COLD_S, MAX_SERVERS, STALE_S
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.servers.closed_servers import incarnation_of
from pistachiowell.schema.generated.messages_gateway import ServerCold, ServersCold

DEFAULT_COLD_S = 3.0
# Clocks of VMs differ by less, so a server that started longer ago is warm.
MAX_CLOCK_DIFFERENCE_S = 60.0
# Clocks that are set alike differ by less.
USUAL_CLOCK_DIFFERENCE_S = 1.0

_log = part_logger("limits")


class ColdServers:
    """Joins what servers say and what has happened to them.

    A server is cold while its registration or an answer says so, for some time after it
    has begun to run, and after the end of an evacuation of its data centre, which may
    have been at any moment before the process knew of all evacuations.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        read_wall_s: Function that returns the Unix time in seconds.

    Attributes:
        on_news: Function that is called with the ``Incarnation`` of a server that is
            cold for longer than was known, and the seconds.
        gateways: Function that returns the names of the gateways that may be running;
            empty while nobody knows.
    """

    __slots__ = (
        "_begun_at",
        "_read_wall_s",
        "_runtime",
        "_settings",
        "_state",
        "_times",
        "_turns",
        "_unreadable",
        "gateways",
        "on_news",
    )

    def __init__(self, runtime, state, read_wall_s=time.time):
        settings = runtime.settings
        self._runtime = runtime
        self._state = state
        self._read_wall_s = read_wall_s
        self._settings = ColdSettings(settings.cold_overshoot, settings.cold_extra)
        self._times = ColdTimes()
        self._turns = ColdTurns(self._settings, settings.id)
        self._begun_at = {}
        self._unreadable = {}
        self.on_news = lambda incarnation, left_s: None
        self.gateways = frozenset
        runtime.metrics.watch("servers.cold", self._count)

    @property
    def ask_timeout_s(self):
        """Seconds for which an agent's answer is waited for."""
        return self._settings.permit_s - self._settings.sent_within_s

    def record_registration(self, server, is_older=False):
        """Records a registration that has been written again.

        Args:
            server: The ``BackendServer``.
            is_older: Whether it may be of an older copy of the store, which ends
                nothing that is known.
        """
        if not self._settings.is_used:
            return
        incarnation = incarnation_of(server)
        if incarnation not in self._begun_at:
            self._begun_at[incarnation] = self._begin(server)
            if len(self._begun_at) > MAX_SERVERS:
                del self._begun_at[next(iter(self._begun_at))]
        now = self._runtime.now()
        is_shorter = (server.cold_left_s or 0.0) < self._times.left_s(incarnation, now)
        if server.cold_left_s is not None and not (is_older and is_shorter):
            self._record(incarnation, server.cold_left_s)

    def record_answer(self, incarnation, head):
        """Records what the head of an answer says.

        Args:
            incarnation: The ``Incarnation`` that has answered.
            head: The ``AnswerHead``.

        Returns:
            Whether the server is cold for longer than was known.
        """
        if not self._settings.is_used:
            return False
        if head.has_unreadable_cold_time:
            self._log_unreadable(incarnation, "no number")
        if head.cold_left_s is None:
            return False
        return self._record(incarnation, head.cold_left_s)

    def record_told(self, message):
        """Records what another process tells; it may be a little late.

        Args:
            message: The ``ServersCold``.
        """
        now = self._runtime.now()
        for told in message.servers:
            incarnation = Incarnation(told.server, told.started_ms)
            if self._times.extend(incarnation, told.left_s, now):
                self.on_news(incarnation, told.left_s)

    def left_s(self, server):
        """Returns for how many seconds a server is cold; 0 if it is warm."""
        now = self._runtime.now()
        spans = self._spans(server, now)
        return max((until - now for _, until in spans), default=0.0)

    def is_cold(self, server):
        """Returns whether a server is cold."""
        return self.left_s(server) > 0

    def shares(self, server):
        """Returns the ``ColdShares`` of a server's bound; None if it is warm."""
        if not self.is_cold(server):
            return None
        return divide_bound(self._settings, self._service(server).cold_per_s)

    def needs_permit(self, server, age_s):
        """Returns whether a request has to be admitted again before it is sent.

        Args:
            server: The ``BackendServer``.
            age_s: Seconds since it was admitted.
        """
        now = self._runtime.now()
        since = min((begin for begin, _ in self._spans(server, now)), default=None)
        if since is None:
            return False
        return age_s > self._settings.sent_within_s or now - age_s < since

    def take_turn(self, server, shares):
        """Admits a request in a turn of this gateway; see ``ColdTurns``."""
        return self._turns.try_take(
            server.id, shares.gateways_a_turn, self.gateways(), self._read_wall_s()
        )

    def _service(self, server):
        catalog = self._state.catalog
        return catalog.services.get(server.service) if catalog is not None else None

    def _spans(self, server, now):
        """Returns the beginnings and ends of the times for which a server is cold."""
        service = self._service(server) if self._settings.is_used else None
        if service is None or not service.cold_per_s:
            return []
        incarnation = incarnation_of(server)
        cold_s = service.cold_s or DEFAULT_COLD_S
        spans = [self._times.span(incarnation)]
        begun_at = self._begun_at.get(incarnation)
        if begun_at is not None:
            spans.append((begun_at, begun_at + cold_s))
        evacuations = self._state.evacuations
        stated_at = self._times.stated_at(incarnation)
        for ended_at in (
            evacuations.ended_at(server.data_centre, now),
            evacuations.knowledge.since,
        ):
            if ended_at is None:
                continue
            # What was stated just then may have been written before; so may what this
            # process read when it began to follow the evacuations.
            read_at = max(ended_at, evacuations.knowledge.read_at or ended_at)
            if stated_at is None or stated_at < read_at + STALE_S:
                spans.append((ended_at, ended_at + cold_s))
        return [span for span in spans if span is not None and now < span[1]]

    def _begin(self, server):
        """Returns since when a run that is new here is cold; None if it is warm."""
        now = self._runtime.now()
        age_s = self._read_wall_s() - server.started_ms / 1000
        if server.started_ms and abs(age_s) > MAX_CLOCK_DIFFERENCE_S:
            return None
        if self._state.has_servers:
            return now
        # In the first list all runs are new to this process.
        if not server.started_ms:
            return None
        return now - max(0.0, age_s - USUAL_CLOCK_DIFFERENCE_S)

    def _record(self, incarnation, left_s):
        if left_s > MAX_COLD_S:
            self._log_unreadable(incarnation, "too long")
            return False
        if not self._times.state(incarnation, left_s, self._runtime.now()):
            return False
        _log.info(
            "A server is cold.", server=incarnation.server, seconds=round(left_s, 3)
        )
        self.on_news(incarnation, left_s)
        return True

    def _log_unreadable(self, incarnation, cause):
        self._runtime.metrics.count("servers.unreadable_cold_times")
        if incarnation in self._unreadable:
            return
        self._unreadable[incarnation] = None
        if len(self._unreadable) > MAX_SERVERS:
            del self._unreadable[next(iter(self._unreadable))]
        _log.warning(
            "Ignored how long a server is cold.", server=incarnation.server, cause=cause
        )

    def _count(self):
        return sum(map(self.is_cold, self._state.servers.known.values()))


def longest_cold_s(runtime, state):
    """Returns for how many seconds an end of an evacuation matters; 0 for never.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
    """
    settings = runtime.settings
    if state.catalog is None or not state.evacuations.is_used:
        return 0.0
    if not ColdSettings(settings.cold_overshoot, settings.cold_extra).is_used:
        return 0.0
    services = state.catalog.services.values()
    return max(
        (s.cold_s or DEFAULT_COLD_S for s in services if s.cold_per_s), default=0.0
    )


def encode_cold(times):
    """Returns the ``ServersCold`` of the seconds by ``Incarnation``."""
    return ServersCold(
        [ServerCold(i.server, i.started_ms, left_s) for i, left_s in times.items()]
    )


def shorten_cold(message, age_s):
    """Returns a ``ServersCold`` as it is to be sent later; None if nothing is left.

    Args:
        message: The ``ServersCold``.
        age_s: Seconds since it was made.
    """
    servers = [
        replace(told, left_s=told.left_s - age_s)
        for told in message.servers
        if told.left_s > age_s
    ]
    return ServersCold(servers) if servers else None
