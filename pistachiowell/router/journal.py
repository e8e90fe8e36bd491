"""Writes the bills of this router into append-only store objects."""

import anyio
import msgspec

from pistachiowell.core.errors import (
    StoreAnswerLost,
    StoreConflict,
    StoreThrottled,
    StoreUnavailable,
)
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.platform.store import ABSENT
from pistachiowell.schema.generated.objects_budgets import JournalEntry, JournalObject

FLUSH_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.5

_log = part_logger("journal")


class Journal:
    """Batches journal entries and writes each batch under a fixed name.

    Args:
        runtime: The process's ``Runtime``.
    """

    __slots__ = ("_number", "_pending", "_runtime")

    def __init__(self, runtime):
        self._runtime = runtime
        self._pending = []
        self._number = 0

    def add(self, reservation, tokens):
        """Books one request.

        Args:
            reservation: The ``Reservation`` that paid.
            tokens: Tokens used.
        """
        self._pending.append(
            JournalEntry(
                request_id=reservation.request_id,
                account=reservation.account,
                grant_id=reservation.grant_id,
                tokens=tokens,
            )
        )

    async def run(self):
        """Writes batches until cancelled."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            await self.flush()

    async def flush(self):
        """Writes what is pending; retries until it took effect."""
        while self._pending:
            batch, self._pending = self._pending, []
            self._number += 1
            name = f"{self._runtime.incarnation}-{self._number}"
            await self._write(name, msgspec.json.encode(JournalObject(batch)))
            for entry in batch:
                self._runtime.events.add(
                    EventKind.bill_journaled,
                    request=entry.request_id,
                    account=entry.account,
                )

    async def _write(self, name, value):
        while True:
            try:
                await self._runtime.store.put("journals", name, value, ABSENT)
                return
            except StoreConflict:
                # Only this incarnation writes this name, so an earlier write whose
                # answer was lost has taken effect.
                return
            except (StoreUnavailable, StoreThrottled, StoreAnswerLost) as error:
                _log.warning("Bills are not journaled yet: {}", error)
                await anyio.sleep(RETRY_DELAY_S)
