"""Writes the list of the gateway runs that an agent reserves tokens for."""

import anyio
import msgspec

from pistachiowell.budgets.served_runs import COLLECTION, RunList
from pistachiowell.core.decoding import decode_entries
from pistachiowell.core.errors import (
    STORE_ERRORS,
    OwnerUnready,
    StoreAnswerLost,
    StoreConflict,
    StoreThrottled,
    StoreUnavailable,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.objects_budgets import ServedRuns
from pistachiowell.store.store import ABSENT

CHECK_INTERVAL_S = 1.0
# Gateways that start together are listed by one write.
BATCH_S = 0.2
WRITE_TIMEOUT_S = 0.5
MAX_TRIES = 4
RETRY_AFTER_S = 0.3
# After a failed write, gateways that are not listed are refused at once for so long.
OUTAGE_CACHE_S = 0.5
# Role that gateways name in ``Hello``; see ``GatewayParts``.
GATEWAY_ROLE = "router"

_log = part_logger("budgets")


class ServedRunsWriter:
    """Lists gateway runs in the store before tokens are reserved for them.

    The first reservation at an agent lists all gateways that are linked to it. From
    then on a gateway is listed when it links to the agent, which is long before its
    own first reservation in the common case. An agent that owns no page writes nothing.

    Args:
        runtime: The process's ``Runtime``.
        holder: The ``GrantHolder``.
        links: The ``LinkSet`` of the links to gateways.
        lost: The ``LostRuns``, which are written with the list.
    """

    __slots__ = (
        "_is_asked",
        "_is_linked",
        "_links",
        "_lock",
        "_lost",
        "_outage_until",
        "_runs",
        "_runtime",
        "_version",
        "_wake",
    )

    def __init__(self, runtime, holder, links, lost):
        self._runtime = runtime
        self._links = links
        self._lost = lost
        self._runs = RunList(holder)
        self._lock = anyio.Lock()
        self._version = None
        self._outage_until = float("-inf")
        self._wake = anyio.Event()
        self._is_asked = False
        self._is_linked = anyio.Event()
        links.add_link_listener(self._record_link)
        runtime.store.era.add_listener(lambda era: self._wake.set())

    async def ensure_listed(self, run):
        """Waits until tokens may be reserved for a gateway run.

        Args:
            run: Incarnation of the gateway.

        Raises:
            OwnerUnready: The run cannot be listed now.
        """
        if self._runs.is_listed(run):
            return
        self._is_asked = True
        self._request_linked()
        self._runs.request(run)
        has_answered = False
        if self._runtime.now() >= self._outage_until:
            with anyio.move_on_after(WRITE_TIMEOUT_S):
                has_answered = await self._try_sync()
        if not self._runs.is_listed(run):
            raise self._refusal(has_answered)

    def _refusal(self, has_answered):
        """Returns the error of a gateway that is not listed.

        Args:
            has_answered: Whether the store has answered just now.
        """
        if self._runs.is_replaced:
            text = "A newer run has replaced this agent."
        else:
            self._outage_until = self._runtime.now() + OUTAGE_CACHE_S
            text = "The list of this agent's gateways is not written yet."
            if not has_answered:
                text = "The store does not answer, and this gateway is not listed yet."
        return OwnerUnready(text, retry_after_s=RETRY_AFTER_S)

    async def run(self):
        """Lists the gateways that link to the agent until cancelled."""
        await self._is_linked.wait()
        while self._version is None and not await self._try_sync(is_start=True):
            await anyio.sleep(CHECK_INTERVAL_S)
        while True:
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await self._wake.wait()
                await anyio.sleep(BATCH_S)
            self._wake = anyio.Event()
            await self.check()

    async def check(self):
        """Lists the gateways that are linked now, and leaves out those that ended."""
        if self._is_asked:
            linked = self._request_linked()
            self._runs.observe_links(linked, self._runtime.now())
        await self._try_sync()

    def _record_link(self, link):
        del link
        self._is_linked.set()
        self._wake.set()

    def _request_linked(self):
        """Requests the linked gateways and returns their ids by incarnation."""
        linked = {
            link.hello.incarnation: link.hello.id
            for link in self._links.links
            if link.hello is not None and link.hello.role == GATEWAY_ROLE
        }
        for run in sorted(linked):
            self._runs.request(run)
        return linked

    async def _try_sync(self, *, is_start=False):
        """Writes the list if it is due; returns whether the store has answered."""
        try:
            async with self._lock:
                if is_start and self._version is None:
                    await self._read()
                for _ in range(MAX_TRIES):
                    if not self._is_due() or await self._write():
                        break
        except STORE_ERRORS as error:
            _log.debug("The list of gateways was not written: {}", error)
            return False
        return True

    def _is_due(self):
        return self._runs.is_due(self._runtime.store.era.number)

    async def _read(self):
        entry = await self._runtime.store.get(COLLECTION, self._runtime.settings.id)
        decoded = [x for _, x in decode_entries([entry] if entry else [], ServedRuns)]
        era = self._runtime.store.era.number
        self._runs.observe(decoded[0] if decoded else None, era)
        self._version = entry.version if entry else ABSENT

    async def _write(self):
        """Writes the list once; returns whether it is in the store."""
        store, name = self._runtime.store, self._runtime.settings.id
        if self._version is None:
            await self._read()
            if not self._is_due():
                return True
        planned = self._runs.plan(store.era.number, self._lost.records)
        version, self._version = self._version, None
        value = msgspec.json.encode(planned)
        try:
            version = await store.put(COLLECTION, name, value, version)
        except (StoreConflict, StoreAnswerLost) as error:
            _log.debug("The list of gateways is read again: {}", error)
            return False
        except (StoreUnavailable, StoreThrottled):
            self._runs.withdraw()
            raise
        self._version = version
        self._runs.confirm(planned)
        era, now = store.era.number, self._runtime.now()
        self._lost.add([run for run in planned.lost if run.era == era], now)
        return True
