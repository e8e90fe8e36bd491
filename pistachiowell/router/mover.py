"""Version moves in a router: picks, reports to the holder, and the lease."""

import anyio

from pistachiowell.core.errors import (
    STORE_ERRORS,
    AnswerBroken,
    DeadlineExceeded,
    LinkLost,
    PistachiowellError,
    ServerFailed,
)
from pistachiowell.core.logs import part_logger
from pistachiowell.moves.evidence import Answer
from pistachiowell.moves.permits import PERMIT_S
from pistachiowell.moves.tracker import Tracker
from pistachiowell.router.holding import Holding
from pistachiowell.router.rows import watches_for_data_centre
from pistachiowell.routing import SPLITTERS
from pistachiowell.schema.generated.messages_moves import (
    AnswerCount,
    MoveCounts,
    MovePermit,
    MoveStop,
)
from pistachiowell.tables.watchers import ranked

STEP_S = 0.5
READ_INTERVAL_S = 2.0
REPORT_TIMEOUT_S = 1.0
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
        "_holdings",
        "_reporters",
        "_reporting",
        "_rng",
        "_rows",
        "_runtime",
        "_split",
        "_steps",
        "_trackers",
    )

    def __init__(self, runtime, fleet, rows, handlers, rng):
        self._runtime = runtime
        self._fleet = fleet
        self._rows = rows
        self._rng = rng
        self._split = SPLITTERS.find("smooth")(rng)
        self._trackers = {}
        self._holdings = {}
        self._reporters = {}
        self._reporting = set()
        self._steps = {}
        self._group = None
        handlers.on(MoveCounts)(self._take_counts)
        handlers.on(MoveStop)(self._take_stop)

    def pick_version(self, route):
        """Picks a version of a route by its weights and its open move.

        Args:
            route: The ``RouteRow``.

        Returns:
            The version's name; None if all weights are zero.
        """
        tracker = self._trackers.get(route.name)
        if tracker is not None:
            return tracker.pick(route, self._rng, self._runtime.now())
        return self._split.choose(route.name, route.weights)

    def note(self, route_name, server_name, began, error=None):
        """Counts an answer, or its failure, for the open move of a route.

        Refusals and lost links to agents do not count: they tell nothing about the
        version.

        Args:
            route_name: Name of the route.
            server_name: Name of the backend server that ran the request.
            began: Monotonic time at which the request was sent, in seconds.
            error: The ``PistachiowellError`` that ended it; None for an answer.
        """
        tracker = self._trackers.get(route_name)
        server = self._rows.table.server(server_name)
        if tracker is None or server is None:
            return
        failed = isinstance(error, VERSION_FAULTS)
        if failed and isinstance(error.__cause__, LinkLost):
            return
        if error is not None and not failed:
            return
        now = self._runtime.now()
        tracker.note(
            server.version, server.name, server.data_centre, failed, began, now
        )
        if self._group is not None and tracker.is_urgent:
            self._group.start_soon(self._report, tracker)

    async def run(self):
        """Takes part in all open moves until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                self._follow_table()
                for name, tracker in list(self._trackers.items()):
                    if name not in self._steps:
                        self._steps[name] = anyio.CancelScope()
                        group.start_soon(self._follow_move, name, tracker)
                await anyio.sleep(STEP_S)

    def _follow_table(self):
        rows = {row.route: row for row in self._rows.table.rows("move") if not row.end}
        for route in list(self._trackers):
            held = self._trackers[route].row
            if route not in rows or rows[route].name != held.name:
                del self._trackers[route]
                self._holdings.pop(route, None)
                self._steps.pop(route, anyio.CancelScope()).cancel()
        for route, row in rows.items():
            if route not in self._trackers:
                self._trackers[route] = Tracker(row)
                self._holdings[route] = Holding(
                    self._runtime, self._fleet, self._rows, row
                )

    async def _follow_move(self, route, tracker):
        with self._steps[route]:
            async with anyio.create_task_group() as group:
                group.start_soon(self._hold, route)
                while True:
                    await self._report(tracker)
                    await anyio.sleep(STEP_S)

    async def _hold(self, route):
        holding = self._holdings[route]
        async with anyio.create_task_group() as group:
            while True:
                if holding.mover or watches_for_data_centre(self._runtime, self._fleet):
                    try:
                        await holding.step(group)
                    except STORE_ERRORS as error:
                        _log.debug("Move of route {}: {}", route, error)
                await holding.wait(STEP_S if holding.mover else READ_INTERVAL_S)

    async def _report(self, tracker):
        """Reports the counts and takes the permit that answers them."""
        sent_at = self._runtime.now()
        holding = self._holdings.get(tracker.row.route)
        if holding is not None and holding.mover is not None:
            self._feed_mover(tracker, holding)
            self._take_own_permit(tracker, holding, sent_at)
            return
        link = self._find_reporting_link(holding)
        if link is None:
            return
        counts, tripped = tracker.take_report()
        message = MoveCounts(
            move=tracker.row.name,
            counts=_count_messages(counts, sent_at),
            tripped=tripped,
            probes_left=tracker.probes_left,
        )
        try:
            permit = await link.call(message, REPORT_TIMEOUT_S)
        except PistachiowellError as error:
            _log.debug("A report of move {} was lost: {}", tracker.row.name, error)
            return
        if isinstance(permit, MovePermit):
            tracker.take_permit(
                fence=permit.fence,
                share=permit.share,
                probes=permit.probes,
                valid_until=sent_at + permit.valid_s,
                now=self._runtime.now(),
            )

    def _feed_mover(self, tracker, holding):
        now = self._runtime.now()
        mover = holding.mover
        counts, tripped = tracker.take_report()
        for (answer, began), count in counts.items():
            mover.take(answer, began, count, now)
        if tripped and not mover.is_suspect:
            mover.trip(now)
            self._send_stop(MoveStop(tracker.row.name, holding.fence))
        if counts and mover.is_suspect:
            holding.wake()

    def _send_stop(self, message):
        for link in self._reporters.pop(message.move, ()):
            if not link.closed:
                link.send(message)

    async def _take_stop(self, link, message):
        del link
        tracker = self._find_tracker(message.move)
        if tracker is not None:
            tracker.stop(message.fence)
            self._send_stop(message)

    def _take_own_permit(self, tracker, holding, now):
        tracker.take_permit(
            fence=holding.fence,
            share=holding.mover.share(),
            probes=holding.mover.probes(
                self._runtime.settings.id, tracker.probes_left, now
            ),
            valid_until=now + PERMIT_S,
            now=now,
        )

    def _find_reporting_link(self, holding):
        """Finds the link to the holder, or to a candidate that reports further."""
        routers = {n: p for n, p in self._fleet.routers.items() if p.usable}
        if holding is not None and holding.holder:
            for peer in routers.values():
                if peer.record.incarnation == holding.holder:
                    return peer.link
        centre = self._runtime.settings.data_centre
        near = [n for n, p in routers.items() if p.record.data_centre == centre]
        for name in ranked(near) or ranked(routers):
            return routers[name].link
        return None

    async def _take_counts(self, link, message):
        """Answers a router's report with a permit, as holder or for the holder."""
        tracker = self._find_tracker(message.move)
        if tracker is None:
            return None
        now = self._runtime.now()
        self._reporters.setdefault(message.move, set()).add(link)
        for count in message.counts:
            answer = Answer(
                count.is_new,
                count.server,
                count.data_centre,
                count.failed,
                count.bucket,
            )
            tracker.add(answer, now - count.age_s, count.count)
        if message.tripped:
            tracker.trip()
        if tracker.is_urgent:
            await self._report_once(tracker)
        holding = self._holdings.get(tracker.row.route)
        if holding is not None and holding.mover is not None:
            return self._permit_of_holder(tracker, holding, link, message)
        return self._relayed_permit(tracker)

    async def _report_once(self, tracker):
        """Reports unless a report of this move is on its way, so no loop can form."""
        name = tracker.row.name
        if name in self._reporting:
            return
        self._reporting.add(name)
        try:
            await self._report(tracker)
        finally:
            self._reporting.discard(name)

    def _permit_of_holder(self, tracker, holding, link, message):
        self._feed_mover(tracker, holding)
        reporter = link.hello.id if link.hello else ""
        now = self._runtime.now()
        return MovePermit(
            move=tracker.row.name,
            fence=holding.fence,
            share=holding.mover.share(),
            probes=holding.mover.probes(reporter, message.probes_left, now),
            valid_s=PERMIT_S,
        )

    def _relayed_permit(self, tracker):
        permit = tracker.permit
        now = self._runtime.now()
        if permit is None or not permit.is_valid(now):
            return None
        return MovePermit(
            move=tracker.row.name,
            fence=permit.fence,
            share=permit.share,
            probes=tracker.lend_probes(),
            valid_s=permit.valid_until - now,
        )

    def _find_tracker(self, move):
        for tracker in self._trackers.values():
            if tracker.row.name == move:
                return tracker
        return None


def _count_messages(counts, now):
    return [
        AnswerCount(
            server=answer.server,
            data_centre=answer.data_centre,
            is_new=answer.is_new,
            age_s=max(0.0, now - began),
            failed=answer.failed,
            bucket=answer.bucket,
            count=count,
        )
        for (answer, began), count in counts.items()
    ]
