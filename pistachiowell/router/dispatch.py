"""Sends requests to agents and receives their answers."""

import functools
import math

import anyio

from pistachiowell.core.errors import (
    AnswerBroken,
    DeadlineExceeded,
    LinkLost,
    NoServer,
    PistachiowellError,
    ServerFailed,
    error_class,
)
from pistachiowell.core.events import EventKind
from pistachiowell.schema.generated.messages_requests import (
    AnswerChunk,
    AnswerCredit,
    AnswerEnd,
    AnswerFailed,
    AnswerStart,
    CancelRequest,
    LoadReport,
)

FIRST_SERVER_FAULT = 500


class Attempt:
    """The receiving end of one attempt at one agent.

    Messages come out of ``receive`` in the order of the link; None means that the
    link was lost.
    """

    __slots__ = ("_receive", "_send", "link", "request")

    def __init__(self, request, link):
        self.request = request
        self.link = link
        self._send, self._receive = anyio.create_memory_object_stream(math.inf)
        link.add_close_listener(self._lose)

    def _lose(self):
        self._send.send_nowait(None)

    @property
    def key(self):
        """Request id and attempt number."""
        return (self.request.request_id, self.request.attempt)

    def deliver(self, message):
        """Takes a message of the agent."""
        self._send.send_nowait(message)

    async def receive(self):
        """Waits for the next message."""
        return await self._receive.receive()

    def close(self):
        """Frees the streams."""
        self.link.remove_close_listener(self._lose)
        self._send.close()
        self._receive.close()


class Dispatch:
    """Runs requests at agents.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        rows: The ``Rows`` with the table in force.
        moves: The ``Moves``; picks the versions and counts the answers.
        handlers: Handlers of the links to agents; this adds its own.
        rng: A ``Random``.
    """

    __slots__ = ("_attempts", "_fleet", "_moves", "_rng", "_rows", "_runtime")

    def __init__(self, runtime, fleet, rows, moves, handlers, rng):
        self._runtime = runtime
        self._fleet = fleet
        self._rows = rows
        self._moves = moves
        self._rng = rng
        self._attempts = {}
        for cls in (AnswerStart, AnswerChunk, AnswerEnd, AnswerFailed):
            handlers.on(cls)(self._deliver)
        handlers.on(LoadReport)(self._take_load)

    async def _deliver(self, link, message):
        attempt = self._attempts.get((message.request_id, message.attempt))
        if attempt is not None and attempt.link is link:
            attempt.deliver(message)

    async def _take_load(self, link, message):
        for peer in self._fleet.agents.values():
            if peer.link is link:
                peer.load = message
                peer.leaving = message.leaving

    def pick_version(self, route):
        """Picks a version of a route by its weights and its open move.

        Args:
            route: The ``RouteRow``.

        Returns:
            The version's name.
        """
        if not any(route.weights.values()):
            raise NoServer(f"All weights of route {route.name} are zero.")
        return self._moves.pick_version(route)

    def pick_agent(self, version):
        """Picks an agent whose backend server runs a version.

        Raises:
            NoServer: There is none.
        """
        servers = {row.name for row in self._rows.table.servers_of(version)}
        peers = [
            peer
            for peer in self._fleet.agents.values()
            if peer.usable and peer.record.server in servers
        ]
        if not peers:
            raise NoServer(f"No backend server of version {version} is reachable.")
        return self._rng.choice(peers)

    async def run(self, request, agent):
        """Runs one attempt and yields the agent's messages.

        Args:
            request: The ``RunRequest``.
            agent: The ``Peer`` to run it at.

        Yields:
            ``AnswerStart``, then ``AnswerChunk`` messages, then ``AnswerEnd``.

        Raises:
            PistachiowellError: The attempt failed; ``ran`` tells whether it ran.
        """
        note = functools.partial(
            self._moves.note, request.route, agent.record.server, self._runtime.now()
        )
        messages = self._run_attempt(request, agent)
        status = 0
        try:
            async for message in messages:
                if isinstance(message, AnswerStart):
                    status = message.status
                elif isinstance(message, AnswerEnd):
                    note(None if status < FIRST_SERVER_FAULT else ServerFailed())
                yield message
        except PistachiowellError as error:
            note(error)
            raise
        finally:
            await messages.aclose()

    async def _run_attempt(self, request, agent):
        attempt = Attempt(request, agent.link)
        self._attempts[attempt.key] = attempt
        self._runtime.events.add(
            EventKind.request_sent,
            request=request.request_id,
            account=request.account,
            text=agent.record.server,
        )
        ended = False
        try:
            attempt.link.send(request)
            with anyio.fail_after(request.timeout_s):
                async for message in self._messages(attempt):
                    ended = isinstance(message, AnswerEnd)
                    yield message
        except TimeoutError as error:
            raise DeadlineExceeded("The request's time is over.") from error
        except LinkLost as error:
            raise ServerFailed("The link to the agent was lost.") from error
        finally:
            del self._attempts[attempt.key]
            if not ended and not attempt.link.closed:
                attempt.link.send(CancelRequest(*attempt.key))
            attempt.close()

    async def _messages(self, attempt):
        offset = 0
        while True:
            message = await attempt.receive()
            if message is None:
                raise LinkLost("The link to the agent was lost.")
            if isinstance(message, AnswerFailed):
                raise error_class(message.code)(
                    message.message,
                    ran=message.ran,
                    retry_after_s=message.retry_after_s,
                )
            if isinstance(message, AnswerChunk):
                if message.offset != offset:
                    raise AnswerBroken("A part of the answer is missing.")
                offset += len(message.data)
            if isinstance(message, AnswerEnd) and message.length != offset:
                raise AnswerBroken("The answer is not whole.")
            yield message
            if isinstance(message, AnswerEnd):
                return
            if isinstance(message, AnswerChunk):
                attempt.link.send(AnswerCredit(*attempt.key, len(message.data)))
