"""Reads and conditionally writes budget pages in the store."""

import random

import anyio

from pistachiowell.budgets.page import (
    COLLECTION,
    apply_changes,
    apply_plan,
    decode_page,
    encode_page,
    page_name,
)
from pistachiowell.core.decoding import DECODE_ERRORS
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
    try:
        return entry.version, decode_page(entry.value)
    except DECODE_ERRORS as error:
        raise StoreUnavailable(
            f"Budget page {number} cannot be decoded: {error}."
        ) from error


async def update_page(store, number, change):
    """Applies changes to a page with conditional writes until one takes effect.

    Each write is conditional on the version that was read, so a concurrent change of
    another process is never overwritten. After a conflict or a lost answer the page
    is read again and the changes are computed anew.

    Args:
        store: The platform's store.
        number: Page number.
        change: Function from a ``BudgetPage`` to a list of changes. They must be
            idempotent, as a write whose answer was lost may have taken effect.

    Returns:
        The page as written.

    Raises:
        BudgetUnreachable: The store does not answer, or each of ``MAX_TRIES`` writes
            ends in a conflict or a lost answer.
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
    raise BudgetUnreachable(
        f"Budget page {number} was not written: each try met a conflict or lost answer."
    )


class GrantPage:
    """Synchronises one budget page with the grants of a ``GrantHolder``.

    Only one write is in progress at a time. All requests that wait for the page share
    the next write, so the number of writes does not grow with the number of requests.

    Args:
        runtime: The process's ``Runtime``.
        holder: The ``GrantHolder``.
        number: Page number.
        first_changes: Function from a page number and the ``BudgetPage`` to changes
            that are applied before those of the holder.

    Attributes:
        page: The ``BudgetPage`` as last read or written.
    """

    __slots__ = (
        "_finished_round",
        "_first_changes",
        "_holder",
        "_lock",
        "_number",
        "_runtime",
        "_started_round",
        "_version",
        "page",
    )

    def __init__(self, runtime, holder, number, first_changes=lambda number, page: []):
        self._runtime = runtime
        self._first_changes = first_changes
        self._holder = holder
        self._number = number
        self._lock = anyio.Lock()
        self._started_round = 0
        self._finished_round = 0
        self._version = None
        self.page = decode_page(None)

    async def sync(self):
        """Writes the changes that the holder plans for the page.

        A call returns after a write that began after the call, as a write in progress
        may have been planned before the caller's demand was recorded.

        Returns:
            The page as last read or written.

        Raises:
            BudgetUnreachable: The store does not answer, or each of ``MAX_TRIES``
                writes ends in a conflict or a lost answer.
        """
        needed_round = self._started_round + 1
        async with self._lock:
            if self._finished_round < needed_round:
                self._started_round += 1
                await self._write_with_retries()
                self._finished_round = self._started_round
        return self.page

    async def _write_with_retries(self):
        holder = self._holder
        for _ in range(MAX_TRIES):
            try:
                if await self._write():
                    return
            except StoreConflict:
                holder.on_conflict(self._number)
            except (StoreUnavailable, StoreThrottled) as error:
                holder.on_write_failed(self._number)
                raise BudgetUnreachable(error.message) from error
            await anyio.sleep(random.uniform(0, CONFLICT_DELAY_S))
        holder.on_write_failed(self._number)
        raise BudgetUnreachable(
            f"Budget page {self._number} was not written: each try met a conflict or "
            "lost answer."
        )

    async def _write(self):
        """Writes the planned changes to the page.

        The plan is based on the page as last read or written. Other processes rarely
        write the page, so reading it before each write would double the calls to the
        store. The page is read only at first, after a conflict or a lost answer, and
        when the plan changes nothing although the holder still has demand.

        A write whose answer was lost may have taken effect. The holder is given the
        version on which that write was conditional, and the next attempt reads the
        page and plans from its content, so that no change is applied twice.

        Returns:
            False if the outcome of the write is unknown and it must be repeated.
        """
        was_read = self._version is None
        if was_read:
            await self._read()
        new = self._planned_page()
        if new is self.page and not was_read and self._has_work():
            await self._read()
            new = self._planned_page()
        if new is self.page:
            return True
        version, self._version = self._version, None
        name, value = page_name(self._number), encode_page(new)
        try:
            new_version = await self._runtime.store.put(
                COLLECTION, name, value, version
            )
        except StoreAnswerLost:
            self._record_answer_lost(version)
            return False
        except anyio.get_cancelled_exc_class():
            # The request that led the write was cut off. The write may take effect.
            self._record_answer_lost(version)
            raise
        self._observe(new_version, new)
        return True

    async def _read(self):
        version, page = await read_page(self._runtime.store, self._number)
        self._observe(version, page)

    def _planned_page(self):
        changes = self._first_changes(self._number, self.page)
        changes += self._holder.plan(self._number, self._runtime.now())
        return apply_plan(self.page, changes)

    def _has_work(self):
        return self._holder.has_changes(self._number, self._runtime.now())

    def _observe(self, version, page):
        self._version = version
        self.page = page
        now = self._runtime.now()
        self._holder.observe(self._number, self._version_in_era(version), page, now)

    def _record_answer_lost(self, version):
        self._holder.on_answer_lost(self._number, self._version_in_era(version))

    def _version_in_era(self, version):
        """Returns a version that names the era also for a page that is absent."""
        return version if version != ABSENT else self._runtime.store.era.version(ABSENT)
