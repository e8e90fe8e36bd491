"""Candidate for the lease of a move; the holder carries out its stages and its end."""

import datetime
import math

import anyio

from pistachiowell.core.errors import PistachiowellError, RowConflict
from pistachiowell.core.events import EventKind
from pistachiowell.core.ids import new_id
from pistachiowell.core.logs import part_logger
from pistachiowell.moves import EndDecision, MoveController, StageDecision
from pistachiowell.router.move_store import MoveStore
from pistachiowell.schema.generated.messages_moves import (
    EngineOrder,
    EngineOrderReport,
)
from pistachiowell.store.table_writer import TableWriter
from pistachiowell.tables import Change, RowKey

LOAD_ORDER_TIMEOUT_S = 60.0
LOAD_ORDER_SPACING_S = 1.0
WRITE_TIMEOUT_S = 10.0
AUTHOR = "fleet"

_log = part_logger("moves")


class MoveCandidate:
    """Candidate for the lease of one move.

    Several routers are candidates, and one of them at a time holds the lease. If the
    holder stops renewing it, another candidate acquires it with a higher fencing
    number and continues from the stored state. So a move does not stop with one
    router, and two routers cannot drive it to different stages.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        rows: The ``Rows`` with the current table.
        row: The ``MoveRow``.
    """

    __slots__ = (
        "_controller",
        "_fleet",
        "_is_loading",
        "_row",
        "_rows",
        "_runtime",
        "_store",
        "_woken",
    )

    def __init__(self, runtime, fleet, rows, row):
        self._runtime = runtime
        self._fleet = fleet
        self._rows = rows
        self._row = row
        self._store = MoveStore(runtime, row)
        self._controller = None
        self._is_loading = False
        self._woken = anyio.Event()

    @property
    def controller(self):
        """The ``MoveController`` while this router holds the lease, else None."""
        return self._controller if self._controller and self._store.is_held else None

    @property
    def holder(self):
        """Incarnation of the holder as last read; an empty string if unknown."""
        return self._store.state.holder if self._store.state else ""

    @property
    def fence(self):
        """Fencing number as last read."""
        return self._store.state.fence if self._store.state else 0

    def wake(self):
        """Ends the current ``wait``, so that the next step begins at once."""
        self._woken.set()

    async def wait(self, timeout_s):
        """Waits for a call of ``wake`` or a timeout.

        Args:
            timeout_s: Longest wait in seconds.
        """
        with anyio.move_on_after(timeout_s):
            await self._woken.wait()
        self._woken = anyio.Event()

    async def step(self, group):
        """Tries to acquire the lease or, as the holder, advances the move.

        Args:
            group: Task group for the load orders to engines.

        Raises:
            StoreUnavailable: The store does not answer; call again later.
        """
        if not self._store.is_held:
            self._controller = None
            await self._try_acquire_lease()
        if self._store.is_held:
            await self._advance(group)

    async def _try_acquire_lease(self):
        await self._store.read()
        state = self._store.state
        if state is not None and state.end:
            await self._write_end_to_table()
        elif await self._store.try_acquire():
            self._start_controller()

    def _start_controller(self):
        state = self._store.state
        now = self._runtime.now()
        deadline = now + seconds_until(self._row.deadline)
        self._controller = MoveController(
            now, deadline, self._row.soak_s, state.stage, state.judged
        )
        _log.info(
            "Acquired the lease of move {} with fencing number {}.",
            self._row.name,
            state.fence,
        )

    async def _advance(self, group):
        row = self._rows.table.move(self._row.name)
        if row is not None and row.aborted:
            self._controller.abort("Aborted by an operator.")
        if self._controller.stage < 0 and not self._is_loading:
            self._is_loading = True
            group.start_soon(self._load_servers)
        servers = self._rows.table.servers_of(self._row.new)
        data_centres = {server.data_centre for server in servers}
        self._controller.set_spread(len(servers), len(data_centres))
        decision = self._controller.tick(self._runtime.now())
        if isinstance(decision, StageDecision):
            await self._write_stage(decision)
        elif isinstance(decision, EndDecision):
            await self._write_end(decision)
        elif self._store.needs_renewal:
            await self._store.write(judged=self._controller.judged)

    async def _write_stage(self, decision):
        written = await self._store.write(
            stage=decision.stage, judged=self._controller.judged
        )
        if written:
            self._controller.confirm(decision, self._runtime.now())
            self._runtime.events.add(
                EventKind.move_stage,
                move=self._row.name,
                text=f"stage {decision.stage} fence {self.fence}",
            )

    async def _write_end(self, decision):
        if not self._store.state.end:
            written = await self._store.write(
                end=decision.end,
                reason=decision.reason,
                evidence=decision.evidence,
                judged=self._controller.judged,
            )
            if not written:
                return
            _log.info(
                "Move {} has ended: {}. {}",
                self._row.name,
                decision.end,
                decision.reason,
            )
            self._runtime.events.add(
                EventKind.move_ended,
                move=self._row.name,
                text=f"{decision.end} fence {self.fence}: {decision.reason}",
            )
        elif self._store.needs_renewal:
            await self._store.write()
        await self._write_end_to_table()

    async def _write_end_to_table(self):
        """Writes the end of the move to the table.

        Any candidate does this, repeatedly, until the table has the end. So a holder
        that dies after it has stored the end does not leave the move open.
        """
        state = self._store.state
        writer = TableWriter(self._runtime.store, WRITE_TIMEOUT_S)
        try:
            snapshot = await writer.read()
            edits = end_edits(snapshot.documents, state)
            if edits:
                change = Change(new_id("change"), AUTHOR, _current_time_text(), edits)
                await writer.commit(change)
        except RowConflict as error:
            _log.debug(
                "The end of move {} will be written again: {}", state.move, error
            )
        except PistachiowellError as error:
            _log.warning(
                "The end of move {} was not written to the table; retrying: {}",
                state.move,
                error,
            )

    async def _load_servers(self):
        """Orders the engines of the new version to load it, one after the other."""
        try:
            servers = self._rows.table.servers_of(self._row.new)
            accepted = 0
            for server in servers:
                accepted += await self._order_load(server)
                await anyio.sleep(LOAD_ORDER_SPACING_S if len(servers) > 1 else 0)
            if accepted and self._controller is not None:
                self._controller.set_loaded()
        finally:
            self._is_loading = False

    async def _order_load(self, server):
        version = self._rows.table.version(self._row.new)
        if version is None:
            return False
        if not version.model:
            return True
        link = self._find_link(server.name)
        if link is None:
            return False
        order = EngineOrder(
            action="load",
            version=version.model,
            fence=self.fence,
            move=self._row.name,
            holder=self._runtime.incarnation,
        )
        try:
            report = await link.call(order, LOAD_ORDER_TIMEOUT_S)
        except PistachiowellError as error:
            _log.warning("Load order to server {} failed: {}", server.name, error)
            return False
        return isinstance(report, EngineOrderReport) and report.accepted

    def _find_link(self, server):
        for peer in self._fleet.agents.values():
            if peer.usable and peer.record.server == server:
                return peer.link
        return None


def end_edits(documents, state):
    """Returns the row edits that write the end of a move to the table.

    Args:
        documents: Row documents by key.
        state: The ``MoveState`` with its end.

    Returns:
        A list of row documents; empty if the table has the end already.
    """
    move = documents.get(RowKey("move", state.move))
    if move is None or move.get("end"):
        return []
    edits = [{**move, "end": state.end, "end_reason": state.reason}]
    route = documents.get(RowKey("route", state.route))
    if state.end == "done" and route is not None:
        weights = dict(route["weights"])
        moved = weights.pop(state.old, 0)
        weights[state.new] = weights.get(state.new, 0) + moved
        edits.append({**route, "weights": weights})
    return edits


def seconds_until(deadline):
    """Returns the seconds from now to a time in ISO 8601."""
    moment = datetime.datetime.fromisoformat(deadline.replace("Z", "+00:00"))
    left_s = (moment - datetime.datetime.now(datetime.UTC)).total_seconds()
    return max(left_s, 0.0) if math.isfinite(left_s) else 0.0


def _current_time_text():
    moment = datetime.datetime.now(datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
