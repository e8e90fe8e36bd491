"""Watchers of the configuration, the servers and the move orders in the store."""

from pistachiowell.catalog import Leavings
from pistachiowell.core.errors import RowInvalid
from pistachiowell.core.ids import stable_hash
from pistachiowell.core.logs import part_logger
from pistachiowell.store.follow import FollowObserver, follow_collection

MAX_RETRY_DELAY_S = 1.0
MAX_MOVES_RETRY_DELAY_S = 2.0

_log = part_logger("feeds")


def content_digest(objects):
    """Returns a digest of the names and versions of objects, alike in all processes.

    Args:
        objects: Mapping from names to ``Entry`` or ``Change``.
    """
    parts = [f"{name}:{item.version}" for name, item in sorted(objects.items())]
    return stable_hash(*parts) >> 1


class CatalogWatcher:
    """Keeps the configuration with the highest revision in force.

    Configurations come from the store and from agents, and one path may be slower than
    the other. An older configuration is ignored, so that a late one cannot undo a newer
    one, for example a top-up of a budget.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        codec: The decoder; see ``pistachiowell.platform.configuration``.

    Attributes:
        document: The document in force as bytes; None before the first one.
        on_change: Function that is called with each new ``Catalog``.
    """

    __slots__ = ("_codec", "_observer", "_runtime", "_state", "document", "on_change")

    def __init__(self, runtime, state, codec):
        self._runtime = runtime
        self._state = state
        self._codec = codec
        self._observer = StoreObserver(runtime, codec.COLLECTION)
        self.on_change = lambda catalog: None
        self.document = None

    @property
    def follows_store(self):
        """Whether the store answered the last list or watch."""
        return self._observer.is_connected

    async def run(self):
        """Follows the store until cancelled."""
        async for objects in follow_collection(
            self._runtime.store,
            self._codec.COLLECTION,
            observer=self._observer,
            max_delay_s=MAX_RETRY_DELAY_S,
        ):
            item = objects.get(self._codec.NAME)
            if item is not None:
                self.apply(item.value, "store")

    def mark_stopped(self):
        """Records that the store is no longer followed."""
        self._observer.is_connected = False

    def apply(self, value, source):
        """Applies a configuration document if it is newer than the one in force.

        Args:
            value: The document as bytes.
            source: Origin of the document, for the logs.

        Returns:
            Whether it was applied.
        """
        if value == self.document:
            return False
        try:
            catalog = self._codec.decode_catalog(value)
        except RowInvalid as error:
            _log.error("Rejected an invalid configuration: {}", error, source=source)
            return False
        current = self._state.catalog
        if current is not None and catalog.revision <= current.revision:
            return False
        self._state.catalog = catalog
        self.document = value
        self._runtime.metrics.gauge("catalog.revision", catalog.revision)
        _log.info(
            "Applied configuration.",
            revision=catalog.revision,
            previous=current.revision if current else None,
            source=source,
        )
        self.on_change(catalog)
        return True


class ServerWatcher:
    """Keeps the backend servers up to date.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        codec: The decoder; see ``pistachiowell.platform.servers``.

    Attributes:
        on_change: Function that is called after each change of the digest.
        on_registration: Function that is called with each ``BackendServer`` whose
            registration has been written again, and whether it may be of an older copy
            of the store.
    """

    __slots__ = (
        "_codec",
        "_decoded",
        "_digest",
        "_leavings",
        "_observer",
        "_runtime",
        "_state",
        "on_change",
        "on_registration",
    )

    def __init__(self, runtime, state, codec):
        self._runtime = runtime
        self._state = state
        self._codec = codec
        self._decoded = {}
        self._digest = 0
        self._leavings = Leavings()
        self._observer = _ServersObserver(
            runtime, codec.COLLECTION, self._record_outage_end, self._leavings
        )
        self.on_change = lambda: None
        self.on_registration = lambda server, is_older: None

    @property
    def digest(self):
        """Digest of the registrations as last read; 0 without a connection."""
        return self._digest if self._observer.is_connected else 0

    def _record_outage_end(self):
        now = self._runtime.now()
        self._state.servers.record_outage_end(now)
        self._state.evacuations.require_confirmation(now)

    def mark_stopped(self):
        """Records that the store is no longer followed."""
        self._observer.is_connected = False

    async def run(self, wait_s=None):
        """Follows the store until cancelled.

        Args:
            wait_s: See ``Store.watch``.
        """
        async for objects in follow_collection(
            self._runtime.store,
            self._codec.COLLECTION,
            observer=self._observer,
            max_delay_s=MAX_RETRY_DELAY_S,
            wait_s=wait_s,
        ):
            self._apply(objects)

    def _apply(self, objects):
        servers, now = {}, self._runtime.now()
        for name, item in objects.items():
            server = self._decode(name, item)
            if server is not None:
                servers[name] = self._leavings.corrected(server, item.version, now)
        for name in self._decoded.keys() - objects.keys():
            del self._decoded[name]
        self._leavings.end_list()
        self._log_changes(servers)
        self._state.servers.replace(servers, now)
        self._state.has_servers = True
        self._digest = content_digest(objects)
        self.on_change()

    def _decode(self, name, item):
        known = self._decoded.get(name)
        if known is None or known[0] != item.version:
            server = self._codec.decode_server(name, item.value)
            if server is None:
                _log.warning("Ignored a registration without a server.", server=name)
            else:
                self.on_registration(server, self._leavings.is_older_list)
            known = self._decoded[name] = (item.version, server)
        return known[1]

    def _log_changes(self, servers):
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


class MoveOrderWatcher:
    """Keeps the orders to move services to other versions up to date.

    Args:
        runtime: The process's ``Runtime``.
        codec: The decoder; see ``pistachiowell.platform.moves``.
        apply_orders: Function that is called with the ``MoveOrder`` of each service by
            the service's name.
    """

    __slots__ = ("_apply_orders", "_codec", "_runtime")

    def __init__(self, runtime, codec, apply_orders):
        self._runtime = runtime
        self._codec = codec
        self._apply_orders = apply_orders

    def mark_stopped(self):
        """Records nothing: orders are kept until others are read."""

    async def run(self):
        """Follows the store until cancelled."""
        collection = self._codec.COLLECTION
        async for objects in follow_collection(
            self._runtime.store,
            collection,
            observer=StoreObserver(self._runtime, collection),
            max_delay_s=MAX_MOVES_RETRY_DELAY_S,
        ):
            orders = {}
            for name, item in objects.items():
                order = self._codec.decode_order(item.value, item.status, item.version)
                if order is None:
                    _log.warning("Ignored a move order that is invalid.", order=name)
                else:
                    orders[order.service] = order
            self._apply_orders(orders)


class StoreObserver(FollowObserver):
    """Records whether the store answers, and calls a function once it does again.

    Args:
        runtime: The process's ``Runtime``.
        collection: Name of the followed collection.
        on_recovery: Function that is called after an outage and after a return of the
            store from an older copy.

    Attributes:
        is_connected: Whether the store answered the last list or watch.
    """

    __slots__ = ("_collection", "_lost_at", "_on_recovery", "_runtime", "is_connected")

    def __init__(self, runtime, collection, on_recovery=lambda: None):
        self._runtime = runtime
        self._collection = collection
        self._on_recovery = on_recovery
        self._lost_at = None
        self.is_connected = False

    def on_confirmed(self):
        """Records that the store answers."""
        self.is_connected = True

    def on_outage(self, error):
        """Records and logs that the store does not answer."""
        self.is_connected = False
        self._lost_at = self._runtime.now()
        self._runtime.metrics.count("store.losses")
        _log.warning(
            "The store does not answer.", collection=self._collection, error=str(error)
        )

    def on_recovery(self):
        """Logs that the store answers again."""
        _log.info(
            "The store answers again.",
            collection=self._collection,
            lost_s=round(self._runtime.now() - self._lost_at, 3),
        )
        self._on_recovery()

    def on_return(self):
        """Handles a return like the end of an outage."""
        self._on_recovery()


class _ServersObserver(StoreObserver):
    """Lets the next list of servers be taken as one that may be older.

    Args:
        runtime: The process's ``Runtime``.
        collection: Name of the followed collection.
        on_recovery: See ``StoreObserver``.
        leavings: The ``Leavings``.
    """

    __slots__ = ("_leavings",)

    def __init__(self, runtime, collection, on_recovery, leavings):
        super().__init__(runtime, collection, on_recovery)
        self._leavings = leavings

    def on_return(self):
        super().on_return()
        self._leavings.begin_older_list()
