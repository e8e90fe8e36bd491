"""Stand-in for network links: forwards TCP connections with injected faults.

``POST /control/<link>`` on the control port sets the ``LinkState`` of one link; the
link of ``--listen`` and ``--target`` is called ``main``. A fault that drops packets in
one direction withholds the bytes of that direction until the fault ends and then
forwards them, since TCP would retransmit them.

Examples:
    Run ``python -m pistachiowell.standins.relay --listen 9200 --target
    127.0.0.1:9000 --control 9201``.
"""

import sys
from dataclasses import dataclass

import anyio
import msgspec
from absl import flags

from pistachiowell.core.errors import MessageInvalid
from pistachiowell.schema.generated.messages_requests import Hello
from pistachiowell.standins import asgi
from pistachiowell.wire.codec import FrameReader

MAIN_LINK = "main"
MAX_READ_BYTES = 65536
_CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


@dataclass(frozen=True, slots=True)
class LinkState:
    """Faults of a link; without arguments the link has none.

    Attributes:
        delay_s: One-way delay of each piece of data in seconds.
        cut: Whether open connections are closed and new ones are closed at once.
        drop_up: Whether data towards the target is withheld.
        drop_down: Whether data towards the client is withheld.
        only_from: Ids or data centres of the peers to whose connections the faults
            apply, as given in the ``Hello`` that they send first; empty for all.
    """

    delay_s: float = 0.0
    cut: bool = False
    drop_up: bool = False
    drop_down: bool = False
    only_from: list[str] = ()


class _Connection:
    """One connection through the relay.

    Attributes:
        hello: The ``Hello`` that the client sent first, or None.
        reader: Reader of the first message; None once it is read or invalid.
        scope: Cancel scope that closes the connection.
    """

    __slots__ = ("hello", "reader", "scope")

    def __init__(self):
        self.reader = FrameReader()
        self.hello = None
        self.scope = anyio.CancelScope()

    def record_hello(self, data):
        """Stores the client's ``Hello`` if the data completes its first message."""
        if self.reader is None:
            return
        try:
            frames = self.reader.feed(data)
        except MessageInvalid:
            self.reader = None
            return
        if frames:
            self.reader = None
            message = frames[0].message
            self.hello = message if isinstance(message, Hello) else None


class Relay:
    """Forwards connections to one target.

    Args:
        host: IP address of the target.
        port: TCP port of the target.
    """

    __slots__ = ("_connections", "_host", "_port", "_state", "_state_changed")

    def __init__(self, host, port):
        self._host = host
        self._port = port
        self._state = LinkState()
        self._state_changed = anyio.Event()
        self._connections = set()

    @property
    def state(self):
        """The current ``LinkState``."""
        return self._state

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._connections)

    def set_state(self, state):
        """Sets the ``LinkState``, which applies to open connections at once."""
        self._state = state
        self._state_changed.set()
        self._state_changed = anyio.Event()
        for connection in list(self._connections):
            self._cancel_if_cut(connection)

    def _cancel_if_cut(self, connection):
        if self._state.cut and self._is_affected(connection):
            connection.scope.cancel()

    def _is_affected(self, connection):
        peers = self._state.only_from
        if not peers:
            return True
        hello = connection.hello
        return hello is not None and (hello.id in peers or hello.data_centre in peers)

    async def forward_connection(self, client):
        """Forwards one connection until either side closes it."""
        connection = _Connection()
        self._connections.add(connection)
        try:
            with connection.scope:
                self._cancel_if_cut(connection)
                # Stops here if the link is cut, before the target sees a connection.
                await anyio.lowlevel.checkpoint()
                await self._forward(connection, client)
        except _CONNECTION_ERRORS:
            pass
        finally:
            self._connections.discard(connection)
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.1):
                await client.aclose()

    async def _forward(self, connection, client):
        target = await anyio.connect_tcp(self._host, self._port)
        async with target, anyio.create_task_group() as group:
            scope = group.cancel_scope
            group.start_soon(
                self._forward_data, connection, client, target, True, scope
            )
            group.start_soon(
                self._forward_data, connection, target, client, False, scope
            )

    async def _forward_data(self, connection, source, sink, to_target, scope):
        try:
            while True:
                data = await source.receive(MAX_READ_BYTES)
                if to_target:
                    connection.record_hello(data)
                    self._cancel_if_cut(connection)
                await self._wait_until_passable(connection, to_target)
                await sink.send(data)
        except _CONNECTION_ERRORS:
            scope.cancel()

    async def _wait_until_passable(self, connection, to_target):
        if self._state.delay_s and self._is_affected(connection):
            await anyio.sleep(self._state.delay_s)
        while self._is_stalled(to_target) and self._is_affected(connection):
            await self._state_changed.wait()

    def _is_stalled(self, to_target):
        return self._state.drop_up if to_target else self._state.drop_down


class RelayControl:
    """ASGI application of the control port.

    Args:
        relays: ``Relay`` by name of the link.
    """

    __slots__ = ("_relays",)

    def __init__(self, relays):
        self._relays = relays

    async def __call__(self, scope, receive, send):
        """Answers one HTTP request."""
        name = scope["path"].removeprefix("/control").strip("/") or MAIN_LINK
        body = await asgi.read_body(receive)
        relay = self._relays.get(name)
        if relay is None:
            await asgi.send_error(send, 404, f"No link {name}.")
            return
        if scope["method"] == "POST":
            relay.set_state(msgspec.json.decode(body, type=LinkState))
        document = {"state": relay.state, "connections": relay.connections}
        await asgi.send_json(send, 200, document)


def define_flags():
    """Defines the flags of the program and returns them."""
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_integer("listen", None, "TCP port to listen on.", **define)
    flags.DEFINE_string("target", None, "HOST:PORT to pass on to.", **define)
    flags.DEFINE_multi_string(
        "link", [], "Further link as NAME=LISTEN:HOST:PORT.", **define
    )
    flags.DEFINE_integer(
        "control", None, "TCP port of the control API.", required=True, **define
    )
    return values


def read_links(settings):
    """Returns the listening port, target host and target port by name of the link.

    Args:
        settings: Flag values; see ``define_flags``.

    Examples:
        >>> settings = define_flags()
        >>> command = ["relay", "--control=1", "--listen=2", "--target=127.0.0.1:3"]
        >>> _ = settings([*command, "--link=a=4:127.0.0.1:5"])
        >>> read_links(settings)
        {'main': (2, '127.0.0.1', 3), 'a': (4, '127.0.0.1', 5)}
    """
    texts = [f"{MAIN_LINK}={settings.listen}:{settings.target}"]
    links = {}
    for text in [*(texts if settings.target else []), *settings.link]:
        name, address = text.split("=")
        listen, host, port = address.split(":")
        links[name] = (int(listen), host, int(port))
    return links


async def serve(settings):
    """Runs the relay until a signal stops it.

    Args:
        settings: Flag values; see ``define_flags``.
    """
    relays = {}
    async with anyio.create_task_group() as group:
        for name, (listen, host, port) in read_links(settings).items():
            relays[name] = Relay(host, port)
            listener = await anyio.create_tcp_listener(
                local_host="127.0.0.1", local_port=listen
            )
            group.start_soon(listener.serve, relays[name].forward_connection)
        await asgi.serve_app(RelayControl(relays), settings.control)
        group.cancel_scope.cancel()


def main(argv):
    """Runs the program with the given command line."""
    settings = define_flags()
    settings(argv)
    anyio.run(serve, settings)


if __name__ == "__main__":
    main(sys.argv)
