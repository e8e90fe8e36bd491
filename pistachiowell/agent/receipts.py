"""Checks who pays for an attempt and keeps its receipt."""

import contextlib
from contextlib import asynccontextmanager

import anyio
import msgspec

from pistachiowell.budgets import ReceiptLedger, Spend, Verdict
from pistachiowell.budgets.fencing import DEPARTED_COLLECTION
from pistachiowell.budgets.journal import COLLECTION as JOURNALS
from pistachiowell.budgets.journal import encode_journal, entry_of
from pistachiowell.core.errors import (
    STORE_ERRORS,
    KeyInProgress,
    RouterUnknown,
    StoreConflict,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_budgets import (
    GrantsClosed,
    ReceiptsJournaled,
    ReservationOutcome,
    ReservationUsed,
    SealIncarnation,
)
from pistachiowell.schema.generated.objects_budgets import DepartedAgent
from pistachiowell.schema.generated.objects_membership import AgentRecord, RouterRecord
from pistachiowell.store.store import ABSENT

RETRY_DELAY_S = 0.2
CHECK_INTERVAL_S = 0.5
LEAVE_TRIES = 50

_log = part_logger("receipts")


class Receipts:
    """Lets only registered routers spend, and answers for what they spent.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links from routers; this adds its own.

    Attributes:
        registered: Whether this agent's registration is written. Before that
            nothing is accepted, so whoever seals a router finds every agent that
            may have accepted it.
    """

    __slots__ = ("_book", "_ended", "_runs", "_runtime", "registered")

    def __init__(self, runtime, handlers):
        self._runtime = runtime
        self._book = ReceiptLedger(runtime.incarnation)
        self._runs = {}
        self._ended = anyio.Event()
        self.registered = False
        handlers.on(SealIncarnation)(self._take_seal)
        handlers.on(ReservationOutcome)(self._take_outcome)
        handlers.on(ReceiptsJournaled)(self._take_journaled)
        handlers.on(GrantsClosed)(self._take_closed)

    async def check_routers(self, links):
        """Reads the registrations of linked routers ahead of their requests.

        Requests then need no answer of the store.

        Args:
            links: Function that returns the links.
        """
        while True:
            hellos = [link.hello for link in links() if link.hello is not None]
            names = {hello.incarnation for hello in hellos if hello.role == "router"}
            if self.registered and not self._book.has_checked(names):
                with contextlib.suppress(RouterUnknown):
                    await self._check(names)
            await anyio.sleep(CHECK_INTERVAL_S)

    @asynccontextmanager
    async def paid(self, run, progress):
        """Holds the receipt of an attempt open inside the context.

        Args:
            run: The ``Run``.
            progress: Its ``Progress``, which tells the tokens used.

        Raises:
            RouterUnknown: The router or the holder of the grant is not registered.
        """
        spend = _spend_of(run)
        await self._admit(spend)
        self._runs[spend.key] = run
        try:
            yield
        finally:
            del self._runs[spend.key]
            self._book.finish(spend.key, used_tokens(run.request, progress))
            self._ended.set()
            self._ended = anyio.Event()

    async def leave_sums(self):
        """Writes what the next readers need of this agent once it is gone.

        Returns:
            Whether the store has it. If not, the registration has to stay, so that
            nothing is closed without this agent's sums.
        """
        entries = [entry_of(receipt) for receipt in self._book.receipts]
        farewell = self._book.final_record()
        name = self._runtime.incarnation
        try:
            if entries:
                await _create(
                    self._runtime.store, JOURNALS, name, encode_journal(entries)
                )
            value = msgspec.json.encode(farewell)
            await _create(self._runtime.store, DEPARTED_COLLECTION, name, value)
        except STORE_ERRORS as error:
            _log.warning("The sums of this agent could not be left: {}", error)
            return False
        return True

    async def _admit(self, spend):
        if not self.registered:
            raise RouterUnknown("This agent is not registered yet.")
        verdict = self._book.admit(spend)
        if verdict is Verdict.CHECK:
            await self._check(self._book.unchecked(spend))
            verdict = self._book.admit(spend)
        if verdict is Verdict.REPEAT:
            raise KeyInProgress("The attempt came twice.")
        if verdict is not Verdict.RUN:
            self._runtime.metrics.count("receipts.refused")
            raise RouterUnknown(f"Router {spend.router} or {spend.holder} may not pay.")

    async def _check(self, incarnations):
        try:
            entries, _ = await self._runtime.store.list("routers")
        except STORE_ERRORS as error:
            raise RouterUnknown(f"No registration can be read: {error}") from error
        records = [msgspec.json.decode(e.value, type=RouterRecord) for e in entries]
        registered = {record.incarnation for record in records}
        for incarnation in incarnations:
            self._book.record_registration(incarnation, incarnation in registered)

    async def _take_seal(self, link, message):
        self._book.fence(message.incarnation)
        await self._end_runs(lambda: self._book.running_of(message.incarnation))
        return self._book.fence(message.incarnation)

    async def _take_outcome(self, link, message):
        router = link.hello.incarnation
        args = (router, message.reservation_id, message.grant_id, message.holder)
        self._book.close_reservation(*args)
        await self._end_runs(
            lambda: self._book.running_under(router, message.reservation_id)
        )
        return ReservationUsed(
            message.reservation_id, self._book.close_reservation(*args)
        )

    async def _end_runs(self, find):
        """Cancels repeatable attempts and waits until all have ended."""
        while keys := find():
            for key in keys:
                run = self._runs.get(key)
                if run is not None and run.request.repeatable:
                    run.scope.cancel()
            await self._ended.wait()

    async def _take_journaled(self, link, message):
        self._book.remove_receipts(message.router, message.reservation_ids)

    async def _take_closed(self, link, message):
        self._book.remove_grant_sums(message.grant_ids)


def used_tokens(request, progress):
    """Returns the price of an attempt that has ended, whole or cut.

    A cut stream whose engine has not told the usage costs the bound of its prompt
    and the parts generated.

    Args:
        request: The ``RunRequest``.
        progress: The ``Progress``.
    """
    if not progress.sent:
        return 0
    if not request.token_limit:
        return request.reserved_tokens
    prompt_bound = request.reserved_tokens - request.token_limit
    prompt = progress.prompt_tokens or prompt_bound
    return min(prompt + progress.completion_tokens, request.reserved_tokens)


async def note_lost_agent(store, record):
    """Notes that an earlier incarnation of an agent ended without leaving its sums.

    Args:
        store: The platform's store.
        record: ``AgentRecord`` of the incarnation that starts.
    """
    while True:
        try:
            entry = await store.get("agents", record.id)
            if entry is None:
                return
            old = msgspec.json.decode(entry.value, type=AgentRecord)
            if old.incarnation != record.incarnation:
                lost = msgspec.json.encode(DepartedAgent(old.incarnation))
                await _create(store, DEPARTED_COLLECTION, old.incarnation, lost)
            return
        except STORE_ERRORS as error:
            _log.warning("A lost agent could not be noted: {}", error)
            await anyio.sleep(RETRY_DELAY_S)


async def _create(store, collection, name, value):
    """Creates an object with a fixed name; one that exists is left as it is."""
    for _ in range(LEAVE_TRIES):
        try:
            await store.put(collection, name, value, ABSENT)
            return
        except StoreConflict:
            return
        except STORE_ERRORS as error:
            last = error
            await anyio.sleep(RETRY_DELAY_S)
    raise last


def _spend_of(run):
    request = run.request
    return Spend(
        run.link.hello.incarnation if run.link.hello else "",
        request.request_id,
        request.attempt,
        request.account,
        request.grant_id,
        request.holder,
        request.reserved_tokens,
        request.reservation_id,
    )
