"""Writes the bills of this router to append-only store objects."""

from collections import defaultdict

import anyio

from pistachiowell.budgets import JournalBatches
from pistachiowell.budgets.journal import COLLECTION, encode_journal
from pistachiowell.core.errors import STORE_ERRORS, StoreConflict
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_budgets import ReceiptsJournaled
from pistachiowell.schema.generated.objects_budgets import JournalEntry
from pistachiowell.store.store import ABSENT
from pistachiowell.wire import try_send

FLUSH_INTERVAL_S = 0.5
FLEET_WRITES_PER_S = 30.0
RETRY_DELAY_S = 0.5

_log = part_logger("journal")


def flush_interval_s(routers):
    """Returns the seconds between two batches of one router.

    The interval grows with the fleet to bound the writes of all routers together.

    Args:
        routers: Number of routers.

    Examples:
        >>> flush_interval_s(2), flush_interval_s(300)
        (0.5, 10.0)
    """
    return max(FLUSH_INTERVAL_S, routers / FLEET_WRITES_PER_S)


class Journal:
    """Writes batches of bills, then notifies the agents to discard their receipts.

    An agent keeps the receipt of an attempt until its bill is in the store. If the
    router dies before, the bill is recovered from the receipts.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
    """

    __slots__ = ("_batches", "_fleet", "_lock", "_runtime")

    def __init__(self, runtime, fleet):
        self._runtime = runtime
        self._fleet = fleet
        self._batches = JournalBatches(runtime.incarnation)
        self._lock = anyio.Lock()

    def add(self, reservation, tokens):
        """Queues the bill of one request.

        Args:
            reservation: The ``Reservation`` that paid.
            tokens: Tokens used.
        """
        entry = JournalEntry(
            reservation.request_id,
            reservation.account,
            reservation.grant_id,
            tokens,
            reservation.router,
            reservation.reservation_id,
        )
        self._batches.add(entry)

    async def run(self):
        """Writes batches until cancelled."""
        while True:
            await anyio.sleep(flush_interval_s(len(self._fleet.routers) + 1))
            await self.flush()

    async def flush(self):
        """Writes all pending bills, and retries until they are written."""
        async with self._lock:
            while (batch := self._batches.next_batch()) is not None:
                await self._write(*batch)
                self._confirm_written(self._batches.confirm_written())

    def _confirm_written(self, entries):
        for entry in entries:
            self._runtime.events.add(
                EventKind.bill_journaled,
                request=entry.request_id,
                account=entry.account,
                grant=entry.grant_id,
            )
        by_router = defaultdict(list)
        for entry in entries:
            by_router[entry.router].append(entry.reservation_id)
        links = [peer.link for peer in self._fleet.agents.values()]
        for link in links:
            if link is not None:
                for router, ids in by_router.items():
                    try_send(link, ReceiptsJournaled(router, ids))

    async def _write(self, name, entries):
        value = encode_journal(entries)
        while True:
            try:
                await self._runtime.store.put(COLLECTION, name, value, ABSENT)
                return
            except StoreConflict:
                # Only this incarnation writes this object, so the conflict shows that
                # an earlier write whose answer was lost has taken effect.
                return
            except STORE_ERRORS as error:
                _log.warning(
                    "Bills were not written to the journal; retrying: {}", error
                )
                await anyio.sleep(RETRY_DELAY_S)
