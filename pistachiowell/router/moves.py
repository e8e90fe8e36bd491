"""Version moves in a router: version choice, answer counts and lease candidates."""

import anyio

from pistachiowell.core.errors import (
    STORE_ERRORS,
    AnswerBroken,
    DeadlineExceeded,
    LinkLost,
    ServerFailed,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.moves.tracker import MoveTracker
from pistachiowell.router.move_candidate import MoveCandidate
from pistachiowell.router.move_reports import MoveReports, OpenMove
from pistachiowell.router.rows import watches_for_data_centre
from pistachiowell.routing import SPLITTERS

STEP_INTERVAL_S = 0.5
MAX_ROUTERS_AT_FULL_RATE = 8
REDUCED_REPORT_INTERVAL_S = 1.0
CANDIDATE_READ_INTERVAL_S = 2.0
VERSION_FAULTS = (ServerFailed, AnswerBroken, DeadlineExceeded)

_log = part_logger("moves")


class Moves:
    """Keeps the open moves of one router.

    For each open move this router picks versions, reports its counts of answers and,
    if it watches the table for its data centre, runs as a candidate for the lease.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        rows: The ``Rows`` with the current table.
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
        "_cancel_scopes",
        "_splitter",
    )

    def __init__(self, runtime, fleet, rows, handlers, rng):
        self._runtime = runtime
        self._fleet = fleet
        self._rows = rows
        self._rng = rng
        self._splitter = SPLITTERS.find("smooth")(rng)
        self._moves = {}
        self._cancel_scopes = {}
        self._group = None
        self._reports = MoveReports(runtime, fleet, handlers, self._find_move)

    def pick_version(self, route):
        """Picks a version of a route from its weights and its open move.

        Args:
            route: The ``RouteRow``.

        Returns:
            The version's name; None if all weights are zero.
        """
        move = self._moves.get(route.name)
        if move is not None:
            return move.tracker.pick_version(route, self._rng, self._runtime.now())
        return self._splitter.choose(route.name, route.weights)

    def fallback_version(self, route_name, version):
        """Returns the version for a retry; see ``MoveTracker.fallback``."""
        move = self._moves.get(route_name)
        return version if move is None else move.tracker.fallback(version)

    def record_answer(self, route_name, server_name, began, error=None):
        """Records an answer, or a failure, for the open move of a route.

        Refusals and lost links to agents are not recorded, as they do not depend on
        the version.

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
        move.tracker.record_answer(
            server.version, server.name, server.data_centre, failed, began, now
        )
        if self._group is not None and move.tracker.is_urgent:
            self._group.start_soon(self._reports.report, move)

    async def run(self):
        """Follows the table and runs all open moves until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                self._follow_table()
                await anyio.sleep(STEP_INTERVAL_S)

    def _follow_table(self):
        rows = {row.route: row for row in self._rows.table.rows("move") if not row.end}
        for route in list(self._moves):
            known_row = self._moves[route].tracker.row
            if route not in rows or rows[route].name != known_row.name:
                del self._moves[route]
                self._reports.discard(known_row.name)
                self._cancel_scopes.pop(route).cancel()
        for route, row in rows.items():
            if route not in self._moves:
                candidate = MoveCandidate(self._runtime, self._fleet, self._rows, row)
                self._moves[route] = OpenMove(MoveTracker(row), candidate)
                self._cancel_scopes[route] = anyio.CancelScope()
                self._group.start_soon(self._run_move, route, self._moves[route])

    async def _run_move(self, route, move):
        with self._cancel_scopes[route]:
            async with anyio.create_task_group() as group:
                group.start_soon(self._run_candidate, move.candidate)
                group.start_soon(self._send_again, move)
                while True:
                    await self._reports.report(move)
                    await anyio.sleep(self._report_interval_s())

    async def _send_again(self, move):
        while True:
            await anyio.sleep(STEP_INTERVAL_S)
            await self._reports.send_again(move)

    def _report_interval_s(self):
        data_centre = self._runtime.settings.data_centre
        routers = self._fleet.routers.values()
        routers_in_centre = sum(
            peer.record.data_centre == data_centre for peer in routers
        )
        return (
            STEP_INTERVAL_S
            if routers_in_centre <= MAX_ROUTERS_AT_FULL_RATE
            else REDUCED_REPORT_INTERVAL_S
        )

    async def _run_candidate(self, candidate):
        async with anyio.create_task_group() as group:
            while True:
                if candidate.controller or watches_for_data_centre(
                    self._runtime, self._fleet
                ):
                    try:
                        await candidate.step(group)
                    except STORE_ERRORS as error:
                        _log.debug(
                            "The state of a move is not available; retrying: {}", error
                        )
                await candidate.wait(
                    STEP_INTERVAL_S
                    if candidate.controller
                    else CANDIDATE_READ_INTERVAL_S
                )

    def _find_move(self, name):
        for move in self._moves.values():
            if move.tracker.row.name == name:
                return move
        return None
