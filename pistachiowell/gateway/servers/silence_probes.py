"""Probes of silent servers by an agent, on behalf of all gateways.

Load pattern: each gateway of a large fleet finds out alone that a server is silent, by
a request that waits there in vain. Two agents hear of it from the first gateway, tell
all others at once, and probe the server with one health check each. A false suspicion
ends with the answer to the probe, after some milliseconds.
"""

import ipaddress

import anyio
import httpcore

from pistachiowell.admission import Incarnation
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.connections import EndlessHeadError, ServerConnection
from pistachiowell.schema.generated.messages_gateway import (
    ServerDoubted,
    ServerLeaving,
    ServerSilent,
    SilenceNotice,
)
from pistachiowell.store.calls import HTTP_ERRORS

RENEW_INTERVAL_S = 0.5
# A probe waits for long, as each probe of a silent server is one more request there.
PROBE_TIMEOUT_S = 5.0
# A server that no gateway has reported for so long is not probed any more.
MAX_PROBING_S = 15.0
MAX_PROBED_SERVERS = 64
# Doubts of several gateways about one server within this time are passed on once.
DOUBT_INTERVAL_S = 0.1
MAX_DOUBTED_SERVERS = 1_024
TOLD_BY_PROBE = "probe"
MAX_PORT = 65_535

_log = part_logger("silence")


class SilenceProbes:
    """Probes the servers that gateways report as silent and notifies all gateways.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``; its catalog has the paths of the health checks.
        codec: Codec of heads; see ``pistachiowell.platform.headers``.
        links: The ``LinkSet`` of the gateways.
        limits: The ``LimitOwner``; a probe is one of the requests that it admits.
        closed: The ``ClosedServers``, which get no probes.
        cold: The ``ColdServers``; told what the answers say.
        leaving: The ``LeavingServers``; told of the servers that tell a probe that they
            leave.
        places: The ``Places``; servers of evacuated data centres get no probes.
        handlers: Handlers of the links to gateways; this registers its own.
    """

    __slots__ = (
        "_closed",
        "_codec",
        "_cold",
        "_doubted",
        "_group",
        "_leaving",
        "_limits",
        "_links",
        "_places",
        "_probed",
        "_runtime",
        "_state",
    )

    def __init__(
        self,
        runtime,
        state,
        codec,
        links,
        limits,
        closed,
        cold,
        leaving,
        places,
        handlers,
    ):
        self._runtime = runtime
        self._state = state
        self._codec = codec
        self._links = links
        self._limits = limits
        self._closed = closed
        self._cold = cold
        self._leaving = leaving
        self._places = places
        self._group = None
        self._probed = {}
        self._doubted = {}
        handlers.on(ServerSilent)(self._handle_silent)
        handlers.on(ServerDoubted, quick=True)(self._handle_doubted)

    async def run(self):
        """Runs the probes until cancelled."""
        async with anyio.create_task_group() as self._group:
            await anyio.sleep_forever()

    async def _handle_doubted(self, link, message):
        """Passes a doubt on to all gateways unless another one was just before."""
        del link
        now = self._runtime.now()
        if now - self._doubted.get(message.server, float("-inf")) < DOUBT_INTERVAL_S:
            return
        self._doubted.pop(message.server, None)
        self._doubted[message.server] = now
        if len(self._doubted) > MAX_DOUBTED_SERVERS:
            del self._doubted[next(iter(self._doubted))]
        self._links.broadcast(message)

    async def _handle_silent(self, link, message):
        del link
        incarnation = Incarnation(message.server, message.started_ms)
        if self._closed.is_leaving(incarnation):
            return
        if _parse_address(message.address) is None:
            self._runtime.metrics.count("silence.malformed_reports")
            _log.warning("Ignored a report with an odd address.", server=message.server)
            return
        is_new = message.server not in self._probed
        if self._group is None or (is_new and len(self._probed) >= MAX_PROBED_SERVERS):
            return
        self._probed[message.server] = self._runtime.now()
        if is_new:
            self._group.start_soon(self._watch, message)

    async def _watch(self, report):
        """Notifies the gateways of a server's silence until it answers."""
        has_answered = False
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._renew, report.server)
                has_answered = await self._probe_until_answered(report)
                group.cancel_scope.cancel()
        except Exception:
            # What one server says must not end the process.
            _log.exception("A probe failed.", server=report.server)
        finally:
            del self._probed[report.server]
        _log.info(
            "Probing of a silent server ends.",
            server=report.server,
            has_answered=has_answered,
        )
        if has_answered:
            self._links.broadcast(SilenceNotice(report.server, is_silent=False))

    async def _renew(self, server_id):
        while True:
            self._links.broadcast(SilenceNotice(server_id, is_silent=True))
            await anyio.sleep(RENEW_INTERVAL_S)

    async def _probe_until_answered(self, report):
        """Returns whether the server, or what is left of it, has answered at last."""
        incarnation = Incarnation(report.server, report.started_ms)
        while self._runtime.now() - self._probed[report.server] < MAX_PROBING_S:
            if self._closed.is_leaving(incarnation):
                return False
            if pause_s := self._closed.wait_s(incarnation):
                await anyio.sleep(min(pause_s, RENEW_INTERVAL_S))
                continue
            if not self._places.may_probe(report.server):
                await anyio.sleep(RENEW_INTERVAL_S)
                continue
            await self._limits.wait_for_room(report.server)
            admitted_at = self._runtime.now()
            if self._closed.closed_by(incarnation):
                continue
            _log.info("Server is probed.", server=report.server)
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                try:
                    head = await self._probe(report, admitted_at)
                except (EndlessHeadError, httpcore.ConnectError) as error:
                    # A server that sends anything, or has ended, is no silent one.
                    _log.info("A probe ended without an answer.", error=str(error))
                    return True
                except HTTP_ERRORS as error:
                    _log.debug("A probe failed and is repeated: {}", error)
                except _PutOffError:
                    _log.info("A probe is put off.", server=report.server)
                else:
                    self._record_answer(incarnation, head)
                    return True
            await anyio.sleep(RENEW_INTERVAL_S)
        return False

    def _record_answer(self, incarnation, head):
        _log.info(
            "Probe is answered.",
            server=incarnation.server,
            status=head.status,
            answered_by=head.server_id,
        )
        # The address of a server that has ended may be used by another one.
        if head.server_id not in ("", incarnation.server):
            return
        self._cold.record_answer(incarnation, head)
        if self._closed.record_answer(incarnation, head, TOLD_BY_PROBE):
            message = ServerLeaving(incarnation.server, incarnation.started_ms)
            self._leaving.tell(message)

    async def _probe(self, report, admitted_at):
        """Sends a health check and returns the ``AnswerHead``; reads no body."""
        catalog = self._state.catalog
        service = catalog.services.get(report.service) if catalog else None
        path = service.health_path if service else "/"
        headers = [(b"Host", report.address.encode())]
        connection = ServerConnection(*_parse_address(report.address))
        try:
            await connection.open()
            # The data centre may have been evacuated while the probe connected.
            is_open = self._places.may_probe(report.server)
            if not is_open or not self._limits.may_send(report.server, admitted_at):
                raise _PutOffError
            response = await connection.request("GET", path, headers, b"")
            return self._codec.read_answer_head(response.status, response.headers)
        finally:
            with anyio.CancelScope(shield=True):
                await connection.aclose()


class _PutOffError(Exception):
    """The server must get nothing now."""


def _parse_address(text):
    """Returns the IP address and port of a text; None if it has none.

    Examples:
        >>> _parse_address("10.0.0.1:80"), _parse_address("10.0.0.1")
        (('10.0.0.1', 80), None)
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        number = int(port)
    except ValueError:
        return None
    return (host, number) if 0 < number <= MAX_PORT else None
