"""Recovers the grants of routers that are dead or frozen."""

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

TICK_S = 1.0
SUSPECT_AFTER_S = 5.0
SUSPECT_REMOTE_AFTER_S = 15.0
OWN_CHECK_INTERVAL_S = 5.0
WATCHED_ROUTERS = 2
FLEET_READS_PER_S = 30.0
FOLD_INTERVAL_S = 300.0
PAUSE_S = 3.0
SWEEP_INTERVAL_S = 15.0
CALL_TIMEOUT_S = 2.0

_log = part_logger("recovery")


class Recovery:
    """Seals incarnations that are gone and closes their grants at the sums.

    Each router calls its next neighbours in the data centre. One that does not
    answer for ``SUSPECT_AFTER_S`` loses its registration. Holders without a
    registration are found by reading the pages.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        spending: The ``Spending``.
        make_record: Function that returns the ``RouterRecord`` of this process.
    """

    __slots__ = (
        "_checked_at",
        "_fleet",
        "_folded_at",
        "_lost_at",
        "_make_record",
        "_runtime",
        "_silent",
        "_spending",
        "_swept_at",
        "_ticked_at",
    )

    def __init__(self, runtime, fleet, spending, make_record):
        self._runtime = runtime
        self._fleet = fleet
        self._spending = spending
        self._lost_at = {}
        self._silent = set()
        self._make_record = make_record
        self._swept_at = runtime.now()
        self._folded_at = runtime.now()
        self._checked_at = runtime.now()
        self._ticked_at = runtime.now()

    async def run(self):
        """Looks for lost routers until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            try:
                if await self._is_sealed():
                    await self._renew()
                    continue
                await self._call_neighbours()
                for record in self._suspects():
                    await self._unregister(record)
                await self._recover_unregistered()
            except (BudgetUnreachable, *STORE_ERRORS) as error:
                _log.debug("Recovery waits: {}", error)

    async def _is_sealed(self):
        now = self._runtime.now()
        paused = now - self._ticked_at >= PAUSE_S
        self._ticked_at = now
        if self._spending.holder.fenced:
            return True
        routers = len(self._fleet.routers) + 1
        interval_s = max(OWN_CHECK_INTERVAL_S, routers / FLEET_READS_PER_S)
        if not paused and now - self._checked_at < interval_s:
            return False
        self._checked_at = now
        return self._runtime.incarnation not in await self._registered()

    async def _renew(self):
        """Begins a new incarnation; the old one may spend nothing any more."""
        if self._runtime.leaving:
            return
        _log.warning("This router was sealed; it registers under a new incarnation.")
        self._runtime.renew()
        self._spending.renew()
        record = self._make_record()
        await register_process(self._runtime.store, "routers", record)
        for peer in [*self._fleet.routers.values(), *self._fleet.agents.values()]:
            if peer.link is not None:
                peer.link.close()

    async def _call_neighbours(self):
        settings = self._runtime.settings
        peers = {
            name: peer
            for name, peer in self._fleet.routers.items()
            if peer.record.data_centre == settings.data_centre and _has_link(peer)
        }
        ring = sorted(peers, key=lambda name: (name < settings.id, name))
        answers = {}

        async def ask(peer):
            try:
                await peer.link.call(StatusQuery(), CALL_TIMEOUT_S)
                answers[peer.record.incarnation] = True
            except (LinkLost, LinkTimeout):
                answers[peer.record.incarnation] = False

        async with anyio.create_task_group() as group:
            for name in ring[:WATCHED_ROUTERS]:
                group.start_soon(ask, peers[name])
        self._silent = {name for name, answered in answers.items() if not answered}

    def _lost(self, peer):
        return not _has_link(peer) or peer.record.incarnation in self._silent

    def _suspects(self):
        """Returns the records of lost routers that this router is to seal."""
        now = self._runtime.now()
        settings = self._runtime.settings
        peers = [
            peer
            for peer in self._fleet.routers.values()
            if peer.record.id != settings.id
        ]
        live = [peer.record for peer in peers if not self._lost(peer)]
        lost = [peer.record for peer in peers if self._lost(peer)]
        since = {r.incarnation: self._lost_at.get(r.incarnation, now) for r in lost}
        self._lost_at = since
        return [
            record
            for record in lost
            if self._may_seal(record, live, now - since[record.incarnation])
        ]

    def _may_seal(self, record, live, lost_for_s):
        """Tells whether this router is the one to seal a lost one.

        Several routers may seal the same one; all their writes agree. A router of
        another data centre is sealed only if no router is left there
        and its agents can be reached, which a partition would prevent.
        """
        settings = self._runtime.settings
        neighbours = [r.id for r in live if r.data_centre == record.data_centre]
        if record.data_centre == settings.data_centre:
            return lost_for_s >= SUSPECT_AFTER_S
        if neighbours or lost_for_s < SUSPECT_REMOTE_AFTER_S:
            return False
        sealer = choose_owner(record.incarnation, [settings.id, *(r.id for r in live)])
        return sealer == settings.id and any(
            _has_link(peer)
            for peer in self._fleet.agents.values()
            if peer.record.data_centre == record.data_centre
        )

    async def _unregister(self, record):
        store = self._runtime.store
        entry = await store.get("routers", record.id)
        if entry is None:
            return
        present = msgspec.json.decode(entry.value, type=RouterRecord)
        if present.incarnation == record.incarnation:
            await store.delete("routers", record.id, entry.version)
            _log.warning("Router {} is lost; its grants are sealed.", record.id)
        self._swept_at = 0.0

    async def _recover_unregistered(self):
        now = self._runtime.now()
        registered = {p.record.incarnation for p in self._fleet.routers.values()}
        registered.add(self._runtime.incarnation)
        gone = self._spending.holder.reserving_routers() - registered
        pages = self._runtime.settings.budget_pages
        interval_s = max(SWEEP_INTERVAL_S, pages / FLEET_READS_PER_S)
        if gone or now - self._swept_at >= interval_s:
            self._swept_at = now
            registered = await self._registered()
            gone = {name for name in gone if name not in registered}
            gone |= await self._unregistered_holders(registered)
            for name in gone:
                await self._recover(name)
            if gone or self._must_fold(now):
                await self._fold()

    def _must_fold(self, now):
        live = [n for n, peer in self._fleet.routers.items() if peer.usable]
        chosen = choose_owner("fold", [self._runtime.settings.id, *live])
        due = now - self._folded_at >= FOLD_INTERVAL_S
        return due and chosen == self._runtime.settings.id

    async def _fold(self):
        """Gives back what requests were charged more than once."""
        self._folded_at = self._runtime.now()
        store = self._runtime.store
        objects, _ = await store.list(JOURNALS)
        changes = refunds(e for item in objects for e in decode_journal(item.value))
        by_page = defaultdict(list)
        for change in changes:
            number = page_number(change.account, self._runtime.settings.budget_pages)
            by_page[number].append(change)
        for number, group in by_page.items():
            await update_page(store, number, functools.partial(_same, group))

    async def _registered(self):
        entries, _ = await self._runtime.store.list("routers")
        records = [msgspec.json.decode(e.value, type=RouterRecord) for e in entries]
        return {record.incarnation for record in records}

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
        store = self._runtime.store
        numbers = range(self._runtime.settings.budget_pages)
        for number in numbers:
            await update_page(store, number, lambda _: [FenceGrants(incarnation)])
        self._runtime.events.add(EventKind.grant_sealing, text=incarnation)
        reports = FenceReports(
            incarnation, await self._agents(), await self._departed()
        )
        await self._collect(reports)
        await self._write_receipts(reports)
        for number in numbers:
            await update_page(store, number, reports.changes)
        if reports.complete and not reports.still_running:
            self._spending.holder.settle_fenced_router(incarnation, reports)
            _log.info("The grants of {} are closed.", incarnation)
        else:
            _log.info("{} agents have not answered yet.", len(reports.missing))

    async def _agents(self):
        entries, _ = await self._runtime.store.list("agents")
        records = [msgspec.json.decode(e.value, type=AgentRecord) for e in entries]
        return [record.incarnation for record in records]

    async def _departed(self):
        entries, _ = await self._runtime.store.list(DEPARTED_COLLECTION)
        return [
            StoppedAgent(e.version, msgspec.json.decode(e.value, type=DepartedAgent))
            for e in entries
        ]

    async def _collect(self, reports):
        async def ask(peer):
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
                    group.start_soon(ask, peer)

    async def _write_receipts(self, reports):
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


def _same(changes, page):
    del page
    return changes


def _has_link(peer):
    return peer.link is not None and not peer.link.closed
