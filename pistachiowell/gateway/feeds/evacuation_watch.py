"""The evacuated data centres as a process reads them, in the store or from agents."""

import math
from contextlib import aclosing

import anyio

from pistachiowell.admission.cold import MAX_COLD_S
from pistachiowell.core.errors import STORE_ERRORS
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.feeds.watchers import StoreObserver
from pistachiowell.gateway.servers import longest_cold_s
from pistachiowell.schema.generated.messages_gateway import EvacuationEnd
from pistachiowell.store.era import REVISION_BITS
from pistachiowell.store.follow import follow_collection

# Requests are refused after an outage until the evacuations are known again.
MAX_RETRY_DELAY_S = 0.5
# A deployment has a few data centres; objects beyond are mistakes of their writers.
MAX_REPORTED = 64
MAX_UNKNOWN = 1_024
# Times in reports are rounded down to this, as each other value is a report of its own.
TIME_STEP_S = 0.5
# A store that has no missed change answers after the wait.
MISSED_WAIT_S = 0.05
MISSED_TIMEOUT_S = 1.0

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


def encode_history(runtime, state):
    """Returns what an agent tells of the past seconds.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.

    Returns:
        Each ``EvacuationEnd`` that matters, and the seconds for which all evacuations
        have been known.
    """
    evacuations, now = state.evacuations, runtime.now()
    within_s = longest_cold_s(runtime, state)
    if not within_s:
        return [], 0.0
    known_s = evacuations.knowledge.known_s(now)
    ends = evacuations.recent_ends(now, within_s)[:MAX_REPORTED]
    return (
        [EvacuationEnd(name, _round_down(ended_s)) for name, ended_s in ends],
        within_s if known_s >= within_s else _round_down(known_s),
    )


def _round_down(seconds):
    return math.floor(seconds / TIME_STEP_S) * TIME_STEP_S


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
            evacuations = self._state.evacuations
            known = evacuations.version
            names = self._codec.evacuated_data_centres(objects)
            self._apply(names, decode_version(self._observer.version), "store")
            knowledge = evacuations.knowledge
            is_later_list = known is not None and knowledge.since is not None
            if is_later_list and knowledge.is_broken(self._runtime.now()):
                await self._read_missed(known)
            evacuations.confirm(self._runtime.now())

    async def _read_missed(self, version):
        """Reads the evacuations that ended during an outage, if the store has them.

        Otherwise all processes would take all servers for cold after an outage of the
        store itself.

        Args:
            version: Era and revision up to which all changes are known.
        """
        evacuations = self._state.evacuations
        knowledge = evacuations.knowledge
        since = knowledge.since
        # Nothing before is known, also if the reading is cancelled.
        knowledge.confirm(self._runtime.now())
        names = await self._missed_ends(version)
        if names is None:
            _log.info("Evacuations during the outage are not known.")
            return
        now = self._runtime.now()
        for name in names:
            evacuations.record_end(name, now, now)
        knowledge.extend(since)

    async def _missed_ends(self, version):
        """Returns the names of what ended after a version; None if nobody knows."""
        names = set()
        changes = self._runtime.store.watch(
            self._codec.COLLECTION, encode_version(version), MISSED_WAIT_S
        )
        with anyio.move_on_after(MISSED_TIMEOUT_S):
            try:
                async with aclosing(changes):
                    async for change in changes:
                        if change is None:
                            return names
                        if change.value is None:
                            names.add(change.name)
            except STORE_ERRORS as error:
                _log.debug("Reading the changes of an outage failed: {}", error)
        return None

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
        self._learn_history(agent, report)

    def _learn_history(self, agent, report):
        """Learns the ends of evacuations that this process may not have seen."""
        evacuations, now = self._state.evacuations, self._runtime.now()
        knowledge = evacuations.knowledge
        within_s = longest_cold_s(self._runtime, self._state)
        if knowledge.known_s(now) >= within_s and self._state.catalog is not None:
            return
        for end in report.evacuation_ends[:MAX_REPORTED]:
            if math.isfinite(end.ended_s):
                evacuations.record_end(end.data_centre, now - end.ended_s, now)
        # The agent lags behind: these ended after what it has read.
        for name in set(report.evacuations) - evacuations.in_force(now):
            evacuations.record_end(name, now, now)
        known_s = report.evacuations_known_s
        if report.follows_evacuations and 0 < known_s <= MAX_COLD_S:
            before_s = knowledge.known_s(now)
            knowledge.extend(now - known_s)
            if before_s < within_s <= known_s:
                _log.info(
                    "An agent has told which evacuations ended recently.",
                    agent=agent,
                    ends=len(report.evacuation_ends),
                )

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

    def on_list(self):
        self.version = 0

    def on_content(self, version):
        self.version = max(version, self.version)

    def on_confirmed(self):
        super().on_confirmed()
        if self.version:
            self._evacuations.keep_confirmed(self._runtime.now())

    def on_outage(self, error):
        super().on_outage(error)
        self.version = 0
