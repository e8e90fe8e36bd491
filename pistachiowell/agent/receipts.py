"""Receipts of attempts: which grant pays for an attempt, and how much it used.

A router that dies leaves its grants open and cannot report what was used under them.
The agents keep receipts of what they ran, so that recovery can close the grants at the
right sums and write the missing bills.
"""

import contextlib
from contextlib import asynccontextmanager

import anyio
import msgspec

from pistachiowell.budgets import ReceiptLedger, Spend, Verdict
from pistachiowell.budgets.fencing import DEPARTED_COLLECTION
from pistachiowell.budgets.journal import COLLECTION as JOURNAL_COLLECTION
from pistachiowell.budgets.journal import encode_journal, entry_of
from pistachiowell.core.decoding import decode_entries
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
MAX_CREATE_ATTEMPTS = 50

_log = part_logger("receipts")


class ReceiptRecorder:
    """Admits attempts of registered routers only, and reports what they used.

    The sending router and the holder of the grant must be registered and not fenced.
    When a router incarnation is fenced, this agent admits nothing more from it, cancels
    its idempotent attempts, waits for the others, and reports the final sums. Without
    this, a router that only seemed dead could spend tokens that recovery has already
    returned to the budget.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links from routers; this adds its own.

    Attributes:
        registered: Whether this agent's registration is in the store. Nothing is
            admitted before that: recovery asks the registered agents to fence a router,
            and would miss what an unregistered agent has admitted.
    """

    __slots__ = ("_ledger", "_attempt_ended", "_runs", "_runtime", "registered")

    def __init__(self, runtime, handlers):
        self._runtime = runtime
        self._ledger = ReceiptLedger(runtime.incarnation)
        self._runs = {}
        self._attempt_ended = anyio.Event()
        self.registered = False
        handlers.on(SealIncarnation)(self._handle_seal)
        handlers.on(ReservationOutcome)(self._handle_outcome)
        handlers.on(ReceiptsJournaled)(self._handle_journaled)
        handlers.on(GrantsClosed)(self._handle_closed)

    async def check_routers(self, links):
        """Reads the registrations of linked routers ahead of their requests.

        Requests then need not wait for the store, and also run while it is down.

        Args:
            links: Function that returns the open links.
        """
        while True:
            hellos = [link.hello for link in links() if link.hello is not None]
            names = {hello.incarnation for hello in hellos if hello.role == "router"}
            if self.registered and not self._ledger.has_checked(names):
                with contextlib.suppress(RouterUnknown):
                    await self._check(names)
            await anyio.sleep(CHECK_INTERVAL_S)

    @asynccontextmanager
    async def record_receipt(self, run, progress):
        """Admits an attempt and records its receipt at the end of the context.

        Args:
            run: The ``Run``.
            progress: Its ``Progress``, from which the tokens used are computed.

        Raises:
            KeyInProgress: The attempt was admitted before.
            RouterUnknown: This agent, the router or the holder of the grant is not
                registered, one of the latter is fenced, the registrations cannot be
                read, or the reservation is closed.
        """
        spend = _spend_of(run)
        await self._admit(spend)
        self._runs[spend.key] = run
        try:
            yield
        finally:
            del self._runs[spend.key]
            self._ledger.finish(spend.key, used_tokens(run.request, progress))
            self._attempt_ended.set()
            self._attempt_ended = anyio.Event()

    async def store_final_record(self):
        """Stores the receipts and the final sums of this agent when it shuts down.

        Recovery and routers read them in place of asking this agent.

        Returns:
            Whether they are in the store. If not, the registration must stay, so that
            no grant is closed without the sums of this agent.
        """
        entries = [entry_of(receipt) for receipt in self._ledger.receipts]
        final_record = self._ledger.final_record()
        name = self._runtime.incarnation
        try:
            if entries:
                await _create(
                    self._runtime.store,
                    JOURNAL_COLLECTION,
                    name,
                    encode_journal(entries),
                )
            value = msgspec.json.encode(final_record)
            await _create(self._runtime.store, DEPARTED_COLLECTION, name, value)
        except STORE_ERRORS as error:
            _log.warning(
                "Final sums could not be stored; the registration stays: {}", error
            )
            return False
        return True

    async def _admit(self, spend):
        if not self.registered:
            raise RouterUnknown("The agent is not registered yet.")
        verdict = self._ledger.admit(spend)
        if verdict is Verdict.CHECK:
            await self._check(self._ledger.unchecked(spend))
            verdict = self._ledger.admit(spend)
        if verdict is Verdict.REPEAT:
            raise KeyInProgress("The attempt was received twice.")
        if verdict is not Verdict.RUN:
            self._runtime.metrics.count("receipts.refused")
            raise RouterUnknown(
                f"Router {spend.router} or grant holder {spend.holder} is not "
                "registered or is fenced, or the reservation is closed."
            )

    async def _check(self, incarnations):
        try:
            entries, _ = await self._runtime.store.list("routers")
        except STORE_ERRORS as error:
            raise RouterUnknown(f"Registrations cannot be read: {error}") from error
        records = decode_entries(entries, RouterRecord)
        registered = {record.incarnation for _, record in records}
        for incarnation in incarnations:
            self._ledger.record_registration(incarnation, incarnation in registered)

    async def _handle_seal(self, link, message):
        # The first call stops further admissions; the second reports the sums after all
        # attempts of the router have ended, when they are final.
        self._ledger.fence(message.incarnation)
        await self._cancel_attempts(
            lambda: self._ledger.running_of(message.incarnation)
        )
        return self._ledger.fence(message.incarnation)

    async def _handle_outcome(self, link, message):
        router = link.hello.incarnation
        args = (router, message.reservation_id, message.grant_id, message.holder)
        # The first call refuses further attempts under the reservation, as they would
        # run unpaid after the router has settled it; the second reports its final use.
        self._ledger.close_reservation(*args)
        await self._cancel_attempts(
            lambda: self._ledger.running_under(router, message.reservation_id)
        )
        return ReservationUsed(
            message.reservation_id, self._ledger.close_reservation(*args)
        )

    async def _cancel_attempts(self, find_running):
        """Cancels idempotent attempts and waits until all have ended.

        Other attempts run to their end, as a cancelled one would have an unknown
        outcome.
        """
        while keys := find_running():
            for key in keys:
                run = self._runs.get(key)
                if run is not None and run.request.repeatable:
                    run.scope.cancel()
            await self._attempt_ended.wait()

    async def _handle_journaled(self, link, message):
        self._ledger.remove_receipts(message.router, message.reservation_ids)

    async def _handle_closed(self, link, message):
        self._ledger.remove_grant_sums(message.grant_ids)


def used_tokens(request, progress):
    """Returns the tokens that an attempt used, whether or not its answer is complete.

    An attempt that was not sent to the server uses none, and one without a token limit
    uses its whole reservation. If a stream was cut off before the engine reported its
    usage, the reserved bound of the prompt and the generated parts are charged.

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


async def record_crashed_agent(store, record):
    """Records that the previous incarnation of an agent ended without its final sums.

    Its registration is still in the store, as a shutdown removes it only after the
    sums are stored. The new incarnation overwrites it, so this must come first:
    otherwise, grants could be closed without what was used at the old incarnation.

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
                crashed = msgspec.json.encode(DepartedAgent(old.incarnation))
                await _create(store, DEPARTED_COLLECTION, old.incarnation, crashed)
            return
        except STORE_ERRORS as error:
            _log.warning(
                "The lost previous incarnation could not be recorded; retrying: {}",
                error,
            )
            await anyio.sleep(RETRY_DELAY_S)


async def _create(store, collection, name, value):
    """Creates an object; an existing one is left as it is.

    A conflict counts as success: an earlier write whose answer was lost has taken
    effect.
    """
    for _ in range(MAX_CREATE_ATTEMPTS):
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
