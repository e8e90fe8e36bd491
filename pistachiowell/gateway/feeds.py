"""Feeds of the configuration and of the servers from the store."""

from pistachiowell.core.errors import RowInvalid
from pistachiowell.core.logs import part_logger
from pistachiowell.store.follow import FollowObserver, follow_collection

MAX_DELAY_S = 1.0
MAX_MOVES_DELAY_S = 2.0

_log = part_logger("feeds")


class CatalogFeed:
    """Keeps the newest configuration in force; an older one is never taken.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        codec: The decoder; see ``pistachiowell.platform.configuration``.

    Attributes:
        on_change: Function that is called with each new ``Catalog``.
    """

    __slots__ = ("_codec", "_observer", "_runtime", "_state", "on_change", "raw")

    def __init__(self, runtime, state, codec):
        self._runtime = runtime
        self._state = state
        self._codec = codec
        self._observer = _Observer(runtime, codec.COLLECTION)
        self.on_change = lambda catalog: None
        self.raw = None

    @property
    def follows_store(self):
        """Whether the store has answered the last list or watch."""
        return self._observer.in_contact

    async def run(self):
        """Follows the store until cancelled."""
        async for objects in follow_collection(
            self._runtime.store,
            self._codec.COLLECTION,
            observer=self._observer,
            max_delay_s=MAX_DELAY_S,
        ):
            item = objects.get(self._codec.NAME)
            if item is not None:
                self.take(item.value, "store")

    def stopped(self):
        """Notes that the store is not followed any more."""
        self._observer.in_contact = False

    def take(self, value, source):
        """Takes a configuration document if it is newer than that in force.

        Args:
            value: The document as bytes.
            source: Where it came from, for the logs.

        Returns:
            Whether it was taken.
        """
        if value == self.raw:
            return False
        try:
            catalog = self._codec.decode_catalog(value)
        except RowInvalid as error:
            _log.error("A configuration was not taken: {}", error, source=source)
            return False
        present = self._state.catalog
        if present is not None and catalog.revision <= present.revision:
            return False
        self._state.catalog = catalog
        self.raw = value
        self._runtime.metrics.gauge("catalog.revision", catalog.revision)
        _log.info(
            "Configuration taken.",
            revision=catalog.revision,
            previous=present.revision if present else None,
            source=source,
        )
        self.on_change(catalog)
        return True


class ServerFeed:
    """Keeps the backend servers up to date.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        codec: The decoder; see ``pistachiowell.platform.servers``.
    """

    __slots__ = ("_codec", "_decoded", "_runtime", "_state")

    def __init__(self, runtime, state, codec):
        self._runtime = runtime
        self._state = state
        self._codec = codec
        self._decoded = {}

    async def run(self):
        """Follows the store until cancelled."""
        book = self._state.servers
        observer = _Observer(
            self._runtime,
            self._codec.COLLECTION,
            lambda: book.record_outage_end(self._runtime.now()),
        )
        async for objects in follow_collection(
            self._runtime.store,
            self._codec.COLLECTION,
            observer=observer,
            max_delay_s=MAX_DELAY_S,
        ):
            self._take(objects)

    def _take(self, objects):
        servers = {}
        for name, item in objects.items():
            server = self._decode(name, item)
            if server is not None:
                servers[name] = server
        for name in self._decoded.keys() - objects.keys():
            del self._decoded[name]
        self._note_changes(servers)
        self._state.servers.replace(servers, self._runtime.now())
        self._state.has_servers = True

    def _decode(self, name, item):
        known = self._decoded.get(name)
        if known is None or known[0] != item.version:
            server = self._codec.decode_server(name, item.value)
            if server is None:
                _log.warning("A registration names no server.", server=name)
            known = self._decoded[name] = (item.version, server)
        return known[1]

    def _note_changes(self, servers):
        known = self._state.servers.known
        for name, server in servers.items():
            before = known.get(name)
            if before is None or before.is_leaving != server.is_leaving:
                _log.info(
                    "Server is leaving." if server.is_leaving else "Server is ready.",
                    server=name,
                    service=server.service,
                    version=server.version,
                    data_centre=server.data_centre,
                )
        for name in known.keys() - servers.keys():
            _log.info("Server is gone.", server=name)


class MoveFeed:
    """Keeps the orders to move services up to date.

    Args:
        runtime: The process's ``Runtime``.
        codec: The decoder; see ``pistachiowell.platform.moves``.
        take_orders: Function that is called with ``MoveOrder`` by service.
    """

    __slots__ = ("_codec", "_runtime", "_take_orders")

    def __init__(self, runtime, codec, take_orders):
        self._runtime = runtime
        self._codec = codec
        self._take_orders = take_orders

    async def run(self):
        """Follows the store until cancelled."""
        collection = self._codec.COLLECTION
        async for objects in follow_collection(
            self._runtime.store,
            collection,
            observer=_Observer(self._runtime, collection),
            max_delay_s=MAX_MOVES_DELAY_S,
        ):
            orders = {}
            for name, item in objects.items():
                order = self._codec.decode_order(item.value, item.status, item.version)
                if order is None:
                    _log.warning("An order to move cannot be read.", order=name)
                else:
                    orders[order.service] = order
            self._take_orders(orders)


class _Observer(FollowObserver):
    __slots__ = ("_collection", "_lost_at", "_on_return", "_runtime", "in_contact")

    def __init__(self, runtime, collection, on_return=lambda: None):
        self._runtime = runtime
        self._collection = collection
        self._on_return = on_return
        self._lost_at = None
        self.in_contact = False

    def on_confirmed(self):
        self.in_contact = True

    def on_outage(self, error):
        self.in_contact = False
        self._lost_at = self._runtime.now()
        self._runtime.metrics.count("store.losses")
        _log.warning(
            "The store does not answer.", collection=self._collection, error=str(error)
        )

    def on_recovery(self):
        _log.info(
            "The store answers again.",
            collection=self._collection,
            lost_s=round(self._runtime.now() - self._lost_at, 3),
        )
        self._on_return()
