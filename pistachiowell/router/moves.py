"""Version moves in a router: picks, counts and the candidacy for the lease."""

import anyio

from pistachiowell.core.errors import (
    STORE_ERRORS,
    AnswerBroken,
    DeadlineExceeded,
    LinkLost,
    ServerFailed,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.moves.tracker import Tracker
from pistachiowell.router.move_candidate import MoveCandidate
from pistachiowell.router.move_reports import MoveReports, OpenMove
from pistachiowell.router.rows import watches_for_data_centre
from pistachiowell.routing import SPLITTERS

STEP_S = 0.5
FEW_ROUTERS = 8
MANY_ROUTERS_STEP_S = 1.0
READ_INTERVAL_S = 2.0
VERSION_FAULTS = (ServerFailed, AnswerBroken, DeadlineExceeded)

_log = part_logger("moves")


class Moves:
    """All open moves of one router.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        rows: The ``Rows`` with the table in force.
        handlers: Handlers of the links to peers; this adds its own.
        rng: A ``Random``.
    """

    __slots__ = (
        "_fleet",
        "_group",
        "_moves",
        "_reports",
        "_rng",
        "_rows",
        "_runtime",
        "_scopes",
        "_split",
    )

    def __init__(self, runtime, fleet, rows, handlers, rng):
        self._runtime = runtime
        self._fleet = fleet
        self._rows = rows
        self._rng = rng
        self._split = SPLITTERS.find("smooth")(rng)
        self._moves = {}
        self._scopes = {}
        self._group = None
        self._reports = MoveReports(runtime, fleet, handlers, self._find_move)

    def pick_version(self, route):
        """Picks a version of a route by its weights and its open move.

        Args:
            route: The ``RouteRow``.

        Returns:
            The version's name; None if all weights are zero.
        """
        move = self._moves.get(route.name)
        if move is not None:
            return move.tracker.pick(route, self._rng, self._runtime.now())
        return self._split.choose(route.name, route.weights)

    def fallback_version(self, route_name, version):
        """Returns the version for a retry; see ``Tracker.fallback``."""
        move = self._moves.get(route_name)
        return version if move is None else move.tracker.fallback(version)

    def record_answer(self, route_name, server_name, began, error=None):
        """Counts an answer, or its failure, for the open move of a route.

        Refusals and lost links to agents do not count: they tell nothing about the
        version.

        Args:
            route_name: Name of the route.
            server_name: Name of the backend server that ran the request.
            began: Monotonic time at which the request was sent, in seconds.
            error: The ``PistachiowellError`` that ended it; None for an answer.
        """
        move = self._moves.get(route_name)
        server = self._rows.table.server(server_name)
        if move is None or server is None:
            return
        failed = isinstance(error, VERSION_FAULTS)
        if failed and isinstance(error.__cause__, LinkLost):
            return
        if error is not None and not failed:
            return
        now = self._runtime.now()
        move.tracker.note(
            server.version, server.name, server.data_centre, failed, began, now
        )
        if self._group is not None and move.tracker.is_urgent:
            self._group.start_soon(self._reports.report, move)

    async def run(self):
        """Takes part in all open moves until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                self._follow_table()
                await anyio.sleep(STEP_S)

    def _follow_table(self):
        rows = {row.route: row for row in self._rows.table.rows("move") if not row.end}
        for route in list(self._moves):
            held = self._moves[route].tracker.row
            if route not in rows or rows[route].name != held.name:
                del self._moves[route]
                self._scopes.pop(route).cancel()
        for route, row in rows.items():
            if route not in self._moves:
                candidate = MoveCandidate(self._runtime, self._fleet, self._rows, row)
                self._moves[route] = OpenMove(Tracker(row), candidate)
                self._scopes[route] = anyio.CancelScope()
                self._group.start_soon(self._follow_move, route, self._moves[route])

    async def _follow_move(self, route, move):
        with self._scopes[route]:
            async with anyio.create_task_group() as group:
                group.start_soon(self._hold, move.candidate)
                while True:
                    await self._reports.report(move)
                    await anyio.sleep(self._report_interval_s())

    def _report_interval_s(self):
        centre = self._runtime.settings.data_centre
        routers = self._fleet.routers.values()
        near = sum(peer.record.data_centre == centre for peer in routers)
        return STEP_S if near <= FEW_ROUTERS else MANY_ROUTERS_STEP_S

    async def _hold(self, candidate):
        async with anyio.create_task_group() as group:
            while True:
                if candidate.mover or watches_for_data_centre(
                    self._runtime, self._fleet
                ):
                    try:
                        await candidate.step(group)
                    except STORE_ERRORS as error:
                        _log.debug("The state of a move is not available: {}", error)
                await candidate.wait(STEP_S if candidate.mover else READ_INTERVAL_S)

    def _find_move(self, name):
        for move in self._moves.values():
            if move.tracker.row.name == name:
                return move
        return None
