"""Keeps the table of one process up to date, from the store or from its peers."""

import random

import anyio
import msgspec

from pistachiowell.core.errors import STORE_ERRORS, PistachiowellError
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_tables import (
    RowsNotice,
    RowsQuery,
    RowsReport,
)
from pistachiowell.schema.generated.table import StoredRow
from pistachiowell.tables import HEAD_NAME, ROWS, Table, is_watcher
from pistachiowell.tables.rows import decode_head, decode_row, head_rows

RETRY_DELAY_S = 0.3
ROLE_CHECK_INTERVAL_S = 1.0
NOTICE_INTERVAL_S = 1.0
NOTICE_FANOUT = 4
FETCH_TIMEOUT_S = 3.0

_log = part_logger("table")


def fleet_links(fleet):
    """Returns the links to all processes of a ``Fleet``."""
    peers = [*fleet.agents.values(), *fleet.routers.values()]
    return [peer.link for peer in peers if peer.link is not None]


def watches_for_data_centre(runtime, fleet):
    """Returns whether this router is a watcher of the table in its data centre.

    Only a few routers of each data centre watch the store, so that the number of
    watches and reads does not grow with the number of processes. The others receive
    the changes from their peers.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``; only its usable routers count as candidates.
    """
    settings = runtime.settings
    live_names = [
        name
        for name, peer in fleet.routers.items()
        if peer.usable and peer.record.data_centre == settings.data_centre
    ]
    return is_watcher(settings.id, live_names)


class Rows:
    """Keeps the table of one process up to date.

    The watchers of a data centre keep a watch on the store open. A process without any
    peer, such as an agent that is not yet registered, polls the store. Every process
    sends its revision to its peers, to all of them when it changes and to a few random
    ones at intervals, and fetches missing rows from a peer that has them. So a change
    also reaches processes that are cut off from the store, and a lost notice only
    delays it.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links to peers; this adds its own.
        links: Function that returns the open links to peers.
        watches: Function that returns whether this process is a watcher now.
    """

    __slots__ = (
        "_fetching",
        "_group",
        "_links",
        "_ready",
        "_rng",
        "_runtime",
        "_table",
        "_watches",
    )

    def __init__(self, runtime, handlers, links=tuple, watches=lambda: True):
        self._runtime = runtime
        self._links = links
        self._watches = watches
        self._rng = random.Random()
        self._table = Table()
        self._ready = False
        self._fetching = False
        self._group = None
        runtime.table_revision = lambda: self._table.revision
        handlers.on(RowsNotice)(self._handle_notice)
        handlers.on(RowsQuery)(self._handle_query)

    @property
    def table(self):
        """The current ``Table``."""
        return self._table

    @property
    def ready(self):
        """Whether the table has once reached the newest revision known to exist."""
        return self._ready

    async def run(self):
        """Keeps the table up to date until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._send_notices)
            await self._load_first()
            while True:
                if self._watches():
                    await self._watch_while_watcher()
                else:
                    await self._poll_without_peers()
                    await anyio.sleep(ROLE_CHECK_INTERVAL_S)

    async def _load_first(self):
        """Loads the table until it has reached the newest known revision.

        If the store does not answer, a table from peers is enough, so that a process
        can start during an outage of the store.
        """
        while not self._ready:
            try:
                await self._load()
                entry = await self._runtime.store.get(ROWS, HEAD_NAME)
                if entry is not None:
                    self._table.record_known_revision(decode_head(entry.value).revision)
                self._ready = not self._table.is_stale
            except STORE_ERRORS as error:
                _log.warning(
                    "The store has not returned the table; retrying: {}", error
                )
                self._ready = self._table.revision > 0 and not self._table.is_stale
            if not self._ready:
                await anyio.sleep(RETRY_DELAY_S)

    async def _load(self):
        entries, version = await self._runtime.store.list(ROWS)
        rows, through = [], 0
        for entry in entries:
            if entry.name == HEAD_NAME:
                head = decode_head(entry.value)
                through = head.revision
                rows += head_rows(head)
            else:
                rows.append(decode_row(entry.value))
        self._apply(rows, through)
        return version

    async def _poll_without_peers(self):
        """Reads the table from the store if no peer could send a change."""
        if self._open_links():
            return
        try:
            await self._load()
        except STORE_ERRORS as error:
            _log.debug("The store has not returned the table; retrying: {}", error)

    async def _watch_while_watcher(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch)
            while self._watches():
                await anyio.sleep(ROLE_CHECK_INTERVAL_S)
            group.cancel_scope.cancel()

    async def _watch(self):
        while True:
            try:
                version = await self._load()
                async for change in self._runtime.store.watch(ROWS, version):
                    self._apply_change(change)
            except STORE_ERRORS as error:
                _log.debug(
                    "The watch of the table ended; it is opened again: {}", error
                )
            await anyio.sleep(RETRY_DELAY_S)

    def _apply_change(self, change):
        if change.value is None:
            return
        if change.name == HEAD_NAME:
            head = decode_head(change.value)
            self._apply(head_rows(head), head.revision)
        else:
            self._apply([decode_row(change.value)], 0)

    def _apply(self, rows, through):
        before = self._table.revision
        changed = self._table.apply_rows(rows, through)
        if self._table.revision > before:
            self._runtime.metrics.gauge("table.revision", self._table.revision)
            self._runtime.events.add(
                EventKind.rows_applied,
                table_revision=self._table.revision,
                text=f"{len(changed)} rows",
            )
            self._notify(self._open_links())

    def _open_links(self):
        return [link for link in self._links() if not link.closed]

    def _notify(self, links):
        notice = RowsNotice(self._table.revision)
        for link in links:
            try:
                link.send(notice)
            except PistachiowellError as error:
                _log.debug("A notice of the table revision was not sent: {}", error)

    async def _send_notices(self):
        while True:
            links = self._open_links()
            count = min(NOTICE_FANOUT, len(links))
            self._notify(self._rng.sample(links, count))
            await anyio.sleep(NOTICE_INTERVAL_S)

    async def _handle_notice(self, link, message):
        if message.revision < self._table.revision:
            self._notify([link])
        elif self._table.record_known_revision(message.revision):
            self._start_fetch(link)

    def _start_fetch(self, link):
        if self._group is not None and not self._fetching:
            self._fetching = True
            self._group.start_soon(self._fetch, link)

    async def _fetch(self, link):
        try:
            while self._table.is_stale:
                query = RowsQuery(self._table.revision)
                report = await link.call(query, FETCH_TIMEOUT_S)
                if not self._apply_report(report):
                    return
        except PistachiowellError as error:
            _log.debug("A peer did not return the missing rows: {}", error)
        finally:
            self._fetching = False

    def _apply_report(self, report):
        if not isinstance(report, RowsReport):
            return False
        if report.revision <= self._table.revision:
            return False
        rows = [msgspec.convert(row, type=StoredRow) for row in report.rows]
        self._apply(rows, report.revision)
        return True

    async def _handle_query(self, link, message):
        rows, through = self._table.rows_after(message.after_revision)
        documents = [msgspec.to_builtins(row) for row in rows]
        return RowsReport(revision=through, rows=documents)
