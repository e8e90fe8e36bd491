"""Reads and writes the budget pages of this router's grants."""

import random

import anyio

from pistachiowell.budgets.page import (
    COLLECTION,
    apply_changes,
    decode_page,
    encode_page,
    page_name,
)
from pistachiowell.core.errors import (
    BudgetUnreachable,
    StoreAnswerLost,
    StoreConflict,
    StoreThrottled,
    StoreUnavailable,
)
from pistachiowell.store.store import ABSENT

MAX_TRIES = 8
CONFLICT_DELAY_S = 0.01


async def read_page(store, number):
    """Returns ``(version, page)`` of a budget page."""
    entry = await store.get(COLLECTION, page_name(number))
    if entry is None:
        return ABSENT, decode_page(None)
    return entry.version, decode_page(entry.value)


async def update_page(store, number, change):
    """Changes a page by a conditional update until it took effect.

    Args:
        store: The platform's store.
        number: Page number.
        change: Function from a ``BudgetPage`` to a list of changes that may be
            applied again after a lost answer.

    Returns:
        The page as written.

    Raises:
        BudgetUnreachable: The store does not answer, or others keep writing.
    """
    for _ in range(MAX_TRIES):
        try:
            version, page = await read_page(store, number)
            new = apply_changes(page, change(page))
            if new is page:
                return page
            name = page_name(number)
            await store.put(COLLECTION, name, encode_page(new), version)
            return new
        except (StoreConflict, StoreAnswerLost):
            await anyio.sleep(random.uniform(0, CONFLICT_DELAY_S))
        except (StoreUnavailable, StoreThrottled) as error:
            raise BudgetUnreachable(error.message) from error
    raise BudgetUnreachable(f"Budget page {number} could not be written.")


class HeldPage:
    """One page as a ``GrantHolder`` works with it; one write at a time.

    All requests that wait for the page share the next write.

    Args:
        runtime: The process's ``Runtime``.
        holder: The ``GrantHolder``.
        number: Page number.
        first_changes: Function from a page number and the ``BudgetPage`` to changes
            that go before the holder's.
    """

    __slots__ = (
        "_done",
        "_first_changes",
        "_holder",
        "_lock",
        "_number",
        "_runtime",
        "_started",
        "_version",
        "page",
    )

    def __init__(self, runtime, holder, number, first_changes=lambda number, page: []):
        self._runtime = runtime
        self._first_changes = first_changes
        self._holder = holder
        self._number = number
        self._lock = anyio.Lock()
        self._started = 0
        self._done = 0
        self._version = None
        self.page = decode_page(None)

    async def sync(self):
        """Reads the page and writes what the holder plans for it.

        Returns:
            The page as last read or written.

        Raises:
            BudgetUnreachable: The store does not answer, or others keep writing.
        """
        ticket = self._started + 1
        async with self._lock:
            if self._done < ticket:
                self._started += 1
                await self._write_until_done()
                self._done = self._started
        return self.page

    async def _write_until_done(self):
        holder = self._holder
        for _ in range(MAX_TRIES):
            try:
                if await self._write():
                    return
            except StoreConflict:
                holder.on_write_failed(self._number)
            except (StoreUnavailable, StoreThrottled) as error:
                holder.on_write_failed(self._number)
                raise BudgetUnreachable(error.message) from error
            await anyio.sleep(random.uniform(0, CONFLICT_DELAY_S))
        raise BudgetUnreachable(f"Budget page {self._number} could not be written.")

    async def _write(self):
        """Writes the plan, on the page as last written if that is known.

        Mostly nobody else writes the page, so reading it first would double the
        calls; a conflict or an unmet demand shows when it has to be read.
        """
        was_read = self._version is None
        if was_read:
            await self._read()
        new = self._planned()
        if new is self.page and not was_read and self._has_work():
            await self._read()
            new = self._planned()
        if new is self.page:
            return True
        version, self._version = self._version, None
        name, value = page_name(self._number), encode_page(new)
        try:
            new_version = await self._runtime.store.put(
                COLLECTION, name, value, version
            )
        except StoreAnswerLost:
            self._holder.on_answer_lost(self._number, version)
            return False
        self._observe(new_version, new)
        return True

    async def _read(self):
        version, page = await read_page(self._runtime.store, self._number)
        self._observe(version, page)

    def _planned(self):
        changes = self._first_changes(self._number, self.page)
        changes += self._holder.plan(self._number, self._runtime.now())
        return apply_changes(self.page, changes)

    def _has_work(self):
        return self._holder.has_changes(self._number, self._runtime.now())

    def _observe(self, version, page):
        self._version = version
        self.page = page
        self._holder.observe(self._number, version, page, self._runtime.now())
