"""Fences dead or frozen routers and recovers the tokens of their grants."""

import functools
from collections import defaultdict

import anyio
import msgspec

from pistachiowell.budgets import FenceReports, choose_owner
from pistachiowell.budgets.fencing import DEPARTED_COLLECTION, StoppedAgent
from pistachiowell.budgets.journal import COLLECTION as JOURNALS
from pistachiowell.budgets.journal import (
    decode_journal,
    encode_journal,
    entry_of,
    recovered_journal_name,
    refunds,
)
from pistachiowell.budgets.page import FenceGrants, page_number
from pistachiowell.core.decoding import decode_entries
from pistachiowell.core.errors import (
    STORE_ERRORS,
    BudgetUnreachable,
    LinkLost,
    LinkTimeout,
    StoreConflict,
)
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.router.pages import read_page, update_page
from pistachiowell.schema.generated.messages_budgets import SealIncarnation, SealReport
from pistachiowell.schema.generated.messages_control import StatusQuery
from pistachiowell.schema.generated.objects_budgets import DepartedAgent
from pistachiowell.schema.generated.objects_membership import AgentRecord, RouterRecord
from pistachiowell.store.registration import register_process
from pistachiowell.store.store import ABSENT

CHECK_INTERVAL_S = 1.0
FENCE_AFTER_S = 5.0
FENCE_REMOTE_AFTER_S = 15.0
OWN_REGISTRATION_CHECK_INTERVAL_S = 5.0
PROBED_ROUTERS = 2
FLEET_READS_PER_S = 30.0
REFUND_INTERVAL_S = 300.0
LONG_PAUSE_S = 3.0
SWEEP_INTERVAL_S = 15.0
CALL_TIMEOUT_S = 2.0

_log = part_logger("recovery")


class Recovery:
    """Fences lost router incarnations and closes their grants.

    The tokens of a lost router's grants would otherwise stay granted for ever. They
    must not return while that router may still spend them, as a frozen router resumes
    with its old state. Hence an incarnation is fenced before its grants are closed:

    1. The registration of a router that has no link, or that does not answer probes,
       for ``FENCE_AFTER_S`` is deleted. Each router probes the next
       ``PROBED_ROUTERS`` of its data centre in the order of names.
    2. Holders of grants without a registration are found by reading the budget pages.
       Their grants are marked, so that they cannot grow any more.
    3. Every agent refuses further requests of the incarnation and reports the tokens
       that were used under its grants.
    4. Once all agents have answered, each grant is closed at the reported sum. A grant
       under which attempts still run is lowered to what they may use, and closed later.

    All steps can be repeated and may run in several routers at once. A router that
    finds its own incarnation fenced continues under a new one.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        spending: The ``Spending``.
        make_record: Function that returns the ``RouterRecord`` of this process.
    """

    __slots__ = (
        "_checked_at",
        "_fleet",
        "_refunded_at",
        "_lost_since",
        "_make_record",
        "_runtime",
        "_unresponsive",
        "_spending",
        "_swept_at",
        "_last_tick_at",
    )

    def __init__(self, runtime, fleet, spending, make_record):
        self._runtime = runtime
        self._fleet = fleet
        self._spending = spending
        self._lost_since = {}
        self._unresponsive = set()
        self._make_record = make_record
        self._swept_at = runtime.now()
        self._refunded_at = runtime.now()
        self._checked_at = runtime.now()
        self._last_tick_at = runtime.now()

    async def run(self):
        """Detects and recovers lost routers until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            try:
                if await self._is_fenced():
                    await self._restart_incarnation()
                    continue
                await self._probe_routers()
                for record in self._routers_to_fence():
                    await self._unregister(record)
                await self._recover_unregistered()
            except (BudgetUnreachable, *STORE_ERRORS) as error:
                _log.debug("Recovery failed; the next check retries: {}", error)

    async def _is_fenced(self):
        """Returns whether another router has fenced this incarnation.

        The registration is read at intervals that grow with the fleet, to bound the
        load of the store. It is read at once after a pause of this process, as other
        routers may have fenced it while it was frozen.
        """
        now = self._runtime.now()
        was_paused = now - self._last_tick_at >= LONG_PAUSE_S
        self._last_tick_at = now
        if self._spending.holder.fenced:
            return True
        routers = len(self._fleet.routers) + 1
        interval_s = max(OWN_REGISTRATION_CHECK_INTERVAL_S, routers / FLEET_READS_PER_S)
        if not was_paused and now - self._checked_at < interval_s:
            return False
        self._checked_at = now
        return self._runtime.incarnation not in await self._registered()

    async def _restart_incarnation(self):
        """Registers this process under a new incarnation.

        Agents refuse requests of the fenced incarnation. All links are closed, so that
        peers connect again and learn the new one.
        """
        if self._runtime.leaving:
            return
        _log.warning("This router was fenced; it registers under a new incarnation.")
        self._runtime.renew_incarnation()
        self._spending.reset()
        record = self._make_record()
        await register_process(self._runtime.store, "routers", record)
        for peer in [*self._fleet.routers.values(), *self._fleet.agents.values()]:
            if peer.link is not None:
                peer.link.close()

    async def _probe_routers(self):
        settings = self._runtime.settings
        peers = {
            name: peer
            for name, peer in self._fleet.routers.items()
            if peer.record.data_centre == settings.data_centre and _has_link(peer)
        }
        ring = sorted(peers, key=lambda name: (name < settings.id, name))
        answers = {}

        async def probe(peer):
            try:
                await peer.link.call(StatusQuery(), CALL_TIMEOUT_S)
                answers[peer.record.incarnation] = True
            except (LinkLost, LinkTimeout):
                answers[peer.record.incarnation] = False

        async with anyio.create_task_group() as group:
            for name in ring[:PROBED_ROUTERS]:
                group.start_soon(probe, peers[name])
        self._unresponsive = {
            name for name, answered in answers.items() if not answered
        }

    def _is_lost(self, peer):
        return not _has_link(peer) or peer.record.incarnation in self._unresponsive

    def _routers_to_fence(self):
        """Returns the records of lost routers that this router has to fence."""
        now = self._runtime.now()
        settings = self._runtime.settings
        peers = [
            peer
            for peer in self._fleet.routers.values()
            if peer.record.id != settings.id
        ]
        live = [peer.record for peer in peers if not self._is_lost(peer)]
        lost = [peer.record for peer in peers if self._is_lost(peer)]
        since = {r.incarnation: self._lost_since.get(r.incarnation, now) for r in lost}
        self._lost_since = since
        return [
            record
            for record in lost
            if self._may_fence(record, live, now - since[record.incarnation])
        ]

    def _may_fence(self, record, live, lost_for_s):
        """Returns whether this router may fence a lost one.

        Several routers may fence the same one, as all their writes agree. A router of
        another data centre is fenced only if no router of that data centre is
        reachable while an agent there is. A network partition between the data centres
        would cut off both, and must not fence routers that still work.

        Args:
            record: The ``RouterRecord`` of the lost router.
            live: Records of the reachable routers.
            lost_for_s: Seconds since the router was first found lost.
        """
        settings = self._runtime.settings
        live_in_centre = [r.id for r in live if r.data_centre == record.data_centre]
        if record.data_centre == settings.data_centre:
            return lost_for_s >= FENCE_AFTER_S
        if live_in_centre or lost_for_s < FENCE_REMOTE_AFTER_S:
            return False
        fencer = choose_owner(record.incarnation, [settings.id, *(r.id for r in live)])
        return fencer == settings.id and any(
            _has_link(peer)
            for peer in self._fleet.agents.values()
            if peer.record.data_centre == record.data_centre
        )

    async def _unregister(self, record):
        """Deletes the registration of a lost router.

        The delete is conditional on the version that was read. So a router that has
        registered under a new incarnation in the meantime keeps its registration.
        """
        store = self._runtime.store
        entry = await store.get("routers", record.id)
        if entry is None:
            return
        present = msgspec.json.decode(entry.value, type=RouterRecord)
        if present.incarnation == record.incarnation:
            await store.delete("routers", record.id, entry.version)
            _log.warning(
                "Router {} is lost; its registration was deleted and its grants are "
                "recovered.",
                record.id,
            )
        self._swept_at = 0.0

    async def _recover_unregistered(self):
        """Recovers the grants of incarnations without a registration.

        Each router reads its share of the budget pages every ``SWEEP_INTERVAL_S``, or
        less often with many pages. It reads them at once after it has deleted a
        registration, and if it holds reservations of an unregistered incarnation.
        """
        now = self._runtime.now()
        registered = {p.record.incarnation for p in self._fleet.routers.values()}
        registered.add(self._runtime.incarnation)
        unregistered = self._spending.holder.reserving_routers() - registered
        pages = self._runtime.settings.budget_pages
        interval_s = max(SWEEP_INTERVAL_S, pages / FLEET_READS_PER_S)
        if unregistered or now - self._swept_at >= interval_s:
            self._swept_at = now
            registered = await self._registered()
            unregistered = {name for name in unregistered if name not in registered}
            unregistered |= await self._unregistered_holders(registered)
            for name in unregistered:
                await self._recover(name)
            if unregistered or self._is_refund_due(now):
                await self._refund_duplicates()

    def _is_refund_due(self, now):
        live = [n for n, peer in self._fleet.routers.items() if peer.usable]
        chosen = choose_owner("fold", [self._runtime.settings.id, *live])
        due = now - self._refunded_at >= REFUND_INTERVAL_S
        return due and chosen == self._runtime.settings.id

    async def _refund_duplicates(self):
        """Refunds what requests were charged more than once.

        Attempts of one request may be billed by several routers, for example by one
        that died and by one that ran the caller's retry. Only the highest charge of a
        request is kept. The refunds are written as values to set, so that routers
        which run this at the same time do not refund twice.
        """
        self._refunded_at = self._runtime.now()
        store = self._runtime.store
        objects, _ = await store.list(JOURNALS)
        changes = refunds(e for item in objects for e in decode_journal(item.value))
        by_page = defaultdict(list)
        for change in changes:
            number = page_number(change.account, self._runtime.settings.budget_pages)
            by_page[number].append(change)
        for number, group in by_page.items():
            await update_page(
                store, number, functools.partial(_constant_changes, group)
            )

    async def _registered(self):
        entries, _ = await self._runtime.store.list("routers")
        records = decode_entries(entries, RouterRecord)
        return {record.incarnation for _, record in records}

    async def _unregistered_holders(self, registered):
        holders = set()
        settings = self._runtime.settings
        live = [settings.id, *(n for n, p in self._fleet.routers.items() if p.usable)]
        for number in range(settings.budget_pages):
            if choose_owner(f"sweep-{number}", live) == settings.id:
                _, page = await read_page(self._runtime.store, number)
                for account in page.accounts.values():
                    holders |= {grant.holder for grant in account.grants.values()}
        return holders - registered

    async def _recover(self, incarnation):
        """Closes the grants of one incarnation at the sums of all agents.

        The agents are listed after the registration was deleted. An agent that starts
        later reads no registration and refuses the incarnation, so none can be missed.
        """
        store = self._runtime.store
        numbers = range(self._runtime.settings.budget_pages)
        for number in numbers:
            await update_page(store, number, lambda _: [FenceGrants(incarnation)])
        self._runtime.events.add(EventKind.grant_sealing, text=incarnation)
        reports = FenceReports(
            incarnation, await self._agents(), await self._departed()
        )
        await self._collect_reports(reports)
        await self._write_receipts(reports)
        for number in numbers:
            await update_page(store, number, reports.changes)
        if reports.complete and not reports.still_running:
            self._spending.holder.settle_fenced_router(incarnation, reports)
            _log.info("Grants of {} were recovered and closed.", incarnation)
        else:
            _log.info(
                "Recovery is incomplete and will be repeated: {} agents have not "
                "reported.",
                len(reports.missing),
            )

    async def _agents(self):
        entries, _ = await self._runtime.store.list("agents")
        records = decode_entries(entries, AgentRecord)
        return [record.incarnation for _, record in records]

    async def _departed(self):
        entries, _ = await self._runtime.store.list(DEPARTED_COLLECTION)
        return [
            StoppedAgent(e.version, msgspec.json.decode(e.value, type=DepartedAgent))
            for e in entries
        ]

    async def _collect_reports(self, reports):
        async def request_report(peer):
            try:
                call = SealIncarnation(reports.incarnation)
                reply = await peer.link.call(call, CALL_TIMEOUT_S)
            except (LinkLost, LinkTimeout):
                return
            if isinstance(reply, SealReport):
                reports.add(reply)

        async with anyio.create_task_group() as group:
            for peer in self._fleet.agents.values():
                if _has_link(peer):
                    group.start_soon(request_report, peer)

    async def _write_receipts(self, reports):
        """Journals the receipts that agents kept for the lost incarnation.

        The name of an object depends on the router and the agent only, and the first
        write is kept. So an object that another router has written is not replaced.
        """
        for report in reports.reports:
            entries = [entry_of(receipt) for receipt in report.receipts]
            if not entries:
                continue
            name = recovered_journal_name(reports.incarnation, report.agent)
            try:
                value = encode_journal(entries)
                await self._runtime.store.put(JOURNALS, name, value, ABSENT)
            except StoreConflict:
                continue


def _constant_changes(changes, page):
    del page
    return changes


def _has_link(peer):
    return peer.link is not None and not peer.link.closed
