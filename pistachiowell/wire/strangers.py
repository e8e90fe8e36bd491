"""Accepted connections of peers.

A stranger is a peer that has opened a link to this process. Until its Hello has come,
it may be anybody.
"""

import errno
from contextlib import asynccontextmanager

import anyio

from pistachiowell.core.connection_order import Stage
from pistachiowell.core.logs import part_logger

ACCEPT_RETRY_DELAY_S = 0.1
# Links that hold fewer bytes for their peer are not closed to make room for others.
SMALL_BYTES = 65_536
_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

_log = part_logger("wire")


class Stranger:
    """One accepted connection, as the ``Clients`` of the process see it.

    Args:
        clients: The ``Clients``.
        on_link: Function to call with the ``Link`` once the peer has said who it is.

    Attributes:
        checked_bytes: Bytes that were held for it at the last check.
        has_given_way: Whether it was closed to make room, and may hold nothing more.
    """

    __slots__ = (
        "_clients",
        "_held_bytes",
        "_on_link",
        "_scope",
        "_stage",
        "checked_bytes",
        "has_given_way",
    )

    def __init__(self, clients, on_link):
        self._clients = clients
        self._on_link = on_link
        self._scope = anyio.CancelScope()
        self._held_bytes = 0
        self._stage = Stage.silent
        self.checked_bytes = float("inf")
        self.has_given_way = False

    @property
    def unsent_bytes(self):
        """Bytes that are held for it."""
        return self._held_bytes

    @asynccontextmanager
    async def admitted(self, stream):
        """Counts the connection until it ends, and closes its stream then."""
        try:
            with self._scope:
                self._clients.add(self)
                self.report(False, 0)
                yield
        finally:
            self._clients.remove(self)
            await anyio.aclose_forcefully(stream)

    def introduce(self, link):
        """Lets the process use the link, as the peer has said who it is."""
        if self._on_link is not None:
            self._on_link(link)

    def report(self, has_hello, held_bytes):
        """Records whether the peer has said who it is, and the bytes held for it."""
        stage = Stage.head
        if has_hello:
            stage = Stage.stalled if held_bytes > SMALL_BYTES else Stage.serving
        if stage is not self._stage:
            self.checked_bytes = float("inf")
        if (stage, held_bytes) != (self._stage, self._held_bytes):
            self._stage, self._held_bytes = stage, held_bytes
            self._clients.update(self, stage, held_bytes)

    def is_overdue(self, stage):
        """Returns whether the connection is in a stage; its link reads by itself."""
        return self._stage is stage

    def give_way(self, reason):
        """Closes the connection."""
        del reason
        self.has_given_way = True
        self._scope.cancel()


async def accept_without_end(listener, handle):
    """Accepts connections until cancelled, also while there are no descriptors.

    Args:
        listener: The ``SocketListener``.
        handle: Async function to call with each stream.
    """
    async with anyio.create_task_group() as group:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno not in _EXHAUSTED:
                    raise
                _log.debug("No descriptor for a link: {}", error)
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
            else:
                group.start_soon(handle, stream)
