"""Attempts at servers that have stopped answering, at a gateway."""

from contextlib import contextmanager

import anyio

from pistachiowell.core.errors import ServerFailed
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.common import tell_agents
from pistachiowell.routing import SILENCE_DETECTORS, SilenceSettings
from pistachiowell.schema.generated.messages_gateway import (
    ServerDoubted,
    ServerSilent,
    SilenceNotice,
)

_log = part_logger("silence")


class SilentServer(ServerFailed):
    """The server has not answered, and the request is sent to another one instead."""


class SilenceMonitor:
    """Watches the attempts of a gateway and gives up those at silent servers.

    What the gateway suspects it tells two agents, which probe the server and tell all
    gateways; so the requests at a silent server do not grow with the fleet. Before, at
    its first doubt, it has an agent tell all gateways to prefer other servers.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        state: The ``GatewayState``.
        handlers: Handlers of the links to agents; this registers its own.
        loop_watch: The ``LoopWatch`` whose ticks this follows.
    """

    __slots__ = ("_detector", "_fleet", "_runtime", "_state", "_watches")

    def __init__(self, runtime, fleet, state, handlers, loop_watch):
        self._runtime = runtime
        self._fleet = fleet
        self._state = state
        settings = SilenceSettings()
        self._detector = SILENCE_DETECTORS.find(settings.detector)(settings)
        self._watches = {}
        loop_watch.add_listener(self.tick)
        handlers.on(SilenceNotice)(self._handle_notice)
        handlers.on(ServerDoubted, quick=True)(self._handle_doubt)
        runtime.metrics.watch("servers.silent", self._count_suspected)

    def tick(self, now, late_s):
        """Looks for silent servers.

        Args:
            now: Present time in seconds.
            late_s: Seconds by which the event loop is late.
        """
        for server_id in self._detector.tick(now, late_s):
            self._report(server_id)
        for server_id, waited_s in self._detector.new_doubts():
            self._report_doubt(server_id, waited_s)
        for wait in self._detector.hopeless_waits():
            watch = self._watches.get(wait)
            if watch is not None:
                watch.move_on()

    def usable(self, server_ids, now):
        """Returns the servers that may get a request; see ``SilenceDetector``."""
        return self._detector.usable(server_ids, now)

    def is_answering(self, server_id):
        """Returns whether a server is not known to be silent."""
        return not self._detector.is_suspected(server_id, self._runtime.now())

    def is_doubted(self, server_id):
        """Returns whether a request waits doubtfully long for a server."""
        return self._detector.is_doubted(server_id, self._runtime.now())

    @contextmanager
    def watched_attempt(self, server, expected_wait_s, try_move_on):
        """Watches an attempt while the context is open.

        Args:
            server: The ``BackendServer``.
            expected_wait_s: Expected seconds to the first part of the answer.
            try_move_on: Function that returns whether the request may be sent to
                another server now, and spends the retry if so.

        Yields:
            The ``WatchedAttempt``.

        Raises:
            SilentServer: The server is silent, and the request may be sent to another.
        """
        now = self._runtime.now()
        wait = self._detector.record_start(server.id, expected_wait_s, now)
        watch = WatchedAttempt(self._detector, wait, try_move_on, self._runtime.now)
        self._watches[wait] = watch
        try:
            with watch.scope:
                yield watch
        finally:
            self._detector.record_end(wait)
            del self._watches[wait]
        # An answer that has ended in the same moment is not given up any more.
        if watch.scope.cancelled_caught:
            self._runtime.metrics.count("attempts.moved")
            raise SilentServer(f"Server {server.id} does not answer.")

    def _report(self, server_id):
        self._runtime.metrics.count("servers.silences")
        _log.warning(
            "Backend server does not answer.",
            server=server_id,
            waiting=sum(wait.server == server_id for wait in self._watches),
        )
        server = self._state.servers.known.get(server_id)
        if server is None:
            return
        message = ServerSilent(
            server.id, server.service, server.address, server.started_ms
        )
        tell_agents(self._fleet, server_id, message)

    def _report_doubt(self, server_id, waited_s):
        if self._has_engine(server_id):
            # The agent beside it reports its load, and requests keep to its cache.
            return
        self._runtime.metrics.count("servers.doubts")
        _log.debug("Backend server is in doubt.", server=server_id, waited_s=waited_s)
        message = ServerDoubted(server_id, round(waited_s, 3))
        # One agent will do: a suspicion follows soon, which is told two.
        tell_agents(self._fleet, server_id, message, count=1)

    def _has_engine(self, server_id):
        server, catalog = self._state.servers.known.get(server_id), self._state.catalog
        service = catalog.services.get(server.service) if server and catalog else None
        return service is None or service.engine is not None

    async def _handle_doubt(self, link, message):
        del link
        now = self._runtime.now()
        self._detector.record_doubt(message.server, message.waited_s, now)

    async def _handle_notice(self, link, message):
        del link
        now = self._runtime.now()
        was_suspected = self._detector.is_suspected(message.server, now)
        self._detector.record_notice(message.server, now, is_silent=message.is_silent)
        if was_suspected != self._detector.is_suspected(message.server, now):
            _log.info(
                "An agent reports on a backend server.",
                server=message.server,
                is_silent=message.is_silent,
            )

    def _count_suspected(self):
        now = self._runtime.now()
        return sum(
            self._detector.is_suspected(name, now) for name in self._state.servers.known
        )


class WatchedAttempt:
    """An attempt whose server may turn silent.

    Args:
        detector: The ``SilenceDetector``.
        wait: Its ``Wait``.
        try_move_on: Function that returns whether the request may be sent to another
            server now, and spends the retry if so.
        now: Function that returns the monotonic time in seconds.

    Attributes:
        is_given_up: Whether the attempt is given up, as its server is silent.
        scope: Cancel scope of the attempt.
    """

    __slots__ = ("_detector", "_try_move_on", "_now", "_wait", "is_given_up", "scope")

    def __init__(self, detector, wait, try_move_on, now):
        self._detector = detector
        self._wait = wait
        self._try_move_on = try_move_on
        self._now = now
        self.scope = anyio.CancelScope()
        self.is_given_up = False

    def record_part(self):
        """Records that a part of the answer has come."""
        self._detector.record_part(self._wait, self._now())

    @contextmanager
    def paused(self):
        """Lets the attempt not count as waiting while its caller is served."""
        self._wait.is_paused = True
        try:
            yield
        finally:
            self._wait.is_paused = False

    def move_on(self):
        """Gives the attempt up if its request may be sent to another server."""
        if not self.is_given_up and self._try_move_on():
            self.is_given_up = True
            self.scope.cancel()
