"""The evacuated data centres as a process reads them, in the store or from agents."""

from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.watchers import StoreObserver
from pistachiowell.store.era import REVISION_BITS
from pistachiowell.store.follow import follow_collection

# Requests are refused after an outage until the evacuations are known again.
MAX_RETRY_DELAY_S = 0.5
# A deployment has a few data centres; objects beyond are mistakes of their writers.
MAX_REPORTED = 64
MAX_UNKNOWN = 1_024

_log = part_logger("places")


def encode_version(version):
    """Returns an era and a revision as one integer; 0 for None.

    Examples:
        >>> decode_version(encode_version((2, 7))), encode_version(None)
        ((2, 7), 0)
    """
    if version is None:
        return 0
    era, revision = version
    return (era << REVISION_BITS) + revision


def decode_version(number):
    """Returns the era and the revision of an integer."""
    return divmod(number, 1 << REVISION_BITS)


class EvacuationWatcher:
    """Keeps the ``Evacuations`` up to date from the store and from agents' reports.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
        codec: The reader; see ``pistachiowell.platform.evacuations``.

    Attributes:
        on_change: Function that is called after each change.
    """

    __slots__ = ("_codec", "_observer", "_runtime", "_state", "_unknown", "on_change")

    def __init__(self, runtime, state, codec):
        self._runtime = runtime
        self._state = state
        self._codec = codec
        self._unknown = set()
        self._observer = _EvacuationsObserver(
            runtime, codec.COLLECTION, state.evacuations
        )
        self.on_change = lambda: None
        runtime.metrics.watch(
            "places.evacuated", lambda: len(state.evacuations.in_force(runtime.now()))
        )

    @property
    def follows_store(self):
        """Whether the store answered the last list or watch."""
        return self._observer.is_connected and self._observer.version > 0

    async def run(self):
        """Follows the store until cancelled."""
        async for objects in follow_collection(
            self._runtime.store,
            self._codec.COLLECTION,
            observer=self._observer,
            max_delay_s=MAX_RETRY_DELAY_S,
        ):
            names = self._codec.evacuated_data_centres(objects)
            self._apply(names, decode_version(self._observer.version), "store")
            self._state.evacuations.confirm(self._runtime.now())

    def mark_stopped(self):
        """Records that the store is no longer followed."""
        self._observer.is_connected = False
        self._observer.version = 0

    def apply_report(self, agent, report):
        """Applies what an agent reports if it is newer than what is known.

        A process that starts reads the store itself first: an agent whose watch hangs
        would not know that it lags behind.

        Args:
            agent: Name of the agent.
            report: The ``AgentReport``.
        """
        evacuations = self._state.evacuations
        if not report.evacuations_version or evacuations.version is None:
            return
        version = decode_version(report.evacuations_version)
        if version > evacuations.version:
            self._apply(report.evacuations, version, agent)
        if report.follows_evacuations:
            evacuations.confirm(self._runtime.now())

    def reported(self):
        """Returns the evacuated data centres as reports to gateways name them."""
        names = self._state.evacuations.names
        if not names:
            return []
        known = self._known_data_centres()
        return sorted(names, key=lambda name: (name not in known, name))[:MAX_REPORTED]

    def _apply(self, names, version, source):
        evacuations, now = self._state.evacuations, self._runtime.now()
        before = evacuations.in_force(now)
        self._log_unknown(names)
        if not evacuations.apply(names, version, now):
            return
        after = evacuations.in_force(now)
        for name in sorted(after - before):
            _log.warning("Data centre is evacuated.", data_centre=name, source=source)
        for name in sorted(before - after):
            _log.info("Evacuation is taken back.", data_centre=name, source=source)
        for name in sorted(after - evacuations.names):
            _log.warning(
                "The store has lost an evacuation; it stays in force for a while.",
                data_centre=name,
            )
        self.on_change()

    def _known_data_centres(self):
        regions = self._runtime.settings.regions
        servers = self._state.servers.known.values()
        return set(regions) or {server.data_centre for server in servers}

    def _log_unknown(self, names):
        known = self._known_data_centres()
        for name in sorted(set(names) - known - self._unknown if known else ()):
            if len(self._unknown) < MAX_UNKNOWN:
                self._unknown.add(name)
                _log.warning("An evacuated data centre is not known.", data_centre=name)


class _EvacuationsObserver(StoreObserver):
    """Records the version of what was read and when the store has confirmed it.

    Args:
        runtime: The process's ``Runtime``.
        collection: Name of the followed collection.
        evacuations: The ``Evacuations``.

    Attributes:
        version: Version of the content; 0 before the first list.
    """

    __slots__ = ("_evacuations", "version")

    def __init__(self, runtime, collection, evacuations):
        super().__init__(runtime, collection)
        self._evacuations = evacuations
        self.version = 0

    def on_content(self, version):
        self.version = max(version, self.version)

    def on_confirmed(self):
        super().on_confirmed()
        if self.version:
            self._evacuations.confirm(self._runtime.now())

    def on_outage(self, error):
        super().on_outage(error)
        self.version = 0
