"""Reports of answers to the holder of a move, and the permits that answer them."""

from pistachiowell.core.errors import PistachiowellError
from pistachiowell.core.ids import stable_hash
from pistachiowell.core.logs import part_logger
from pistachiowell.moves.evidence import Answer
from pistachiowell.moves.permits import PERMIT_S
from pistachiowell.schema.generated.messages_moves import (
    AnswerCount,
    MoveCounts,
    MovePermit,
    MoveStop,
)
from pistachiowell.tables.watchers import WATCHERS_PER_DATA_CENTRE, ranked

REPORT_TIMEOUT_S = 1.0

_log = part_logger("moves")


class OpenMove:
    """One open move in one router.

    Args:
        tracker: The ``Tracker``.
        candidate: The ``MoveCandidate``.

    Attributes:
        reporters: Links over which other routers have reported here.
        is_reporting: Whether a report of another router's counts is on its way.
    """

    __slots__ = ("_candidate", "_tracker", "is_reporting", "reporters")

    def __init__(self, tracker, candidate):
        self._tracker = tracker
        self._candidate = candidate
        self.reporters = set()
        self.is_reporting = False

    @property
    def tracker(self):
        """The ``Tracker``."""
        return self._tracker

    @property
    def candidate(self):
        """The ``MoveCandidate``."""
        return self._candidate

    @property
    def mover(self):
        """The ``Mover`` if this router holds the lease, else None."""
        return self._candidate.mover


class MoveReports:
    """Sends and takes reports.

    The watchers of a data centre report to the holder; the other routers report to
    a watcher of their data centre, which adds their counts to its own and passes its
    own permit on with the validity that is left.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        handlers: Handlers of the links to peers; this adds its own.
        find_move: Function that returns the ``OpenMove`` of a name, or None.
    """

    __slots__ = ("_find_move", "_fleet", "_runtime")

    def __init__(self, runtime, fleet, handlers, find_move):
        self._runtime = runtime
        self._fleet = fleet
        self._find_move = find_move
        handlers.on(MoveCounts)(self._take_counts)
        handlers.on(MoveStop)(self._take_stop)

    async def report(self, move):
        """Reports the counts of an ``OpenMove`` and takes the permit that answers."""
        tracker = move.tracker
        if move.mover is not None:
            now = self._runtime.now()
            self._feed_mover(move)
            self._take_own_permit(move, now)
            return
        link = self._find_link(move.candidate.holder)
        if link is None:
            return
        name, now = tracker.row.name, self._runtime.now
        try:
            await report_counts(tracker, name, link, now, REPORT_TIMEOUT_S)
        except PistachiowellError as error:
            _log.debug("A report of move {} was lost: {}", name, error)

    def send_stop(self, move):
        """Ends the permits of all routers that have reported here."""
        permit = move.tracker.permit
        fence = move.candidate.fence if move.mover else permit.fence if permit else 0
        message = MoveStop(move.tracker.row.name, fence)
        for link in move.reporters:
            if not link.closed:
                link.send(message)
        move.reporters.clear()

    def _feed_mover(self, move):
        now = self._runtime.now()
        mover = move.mover
        counts, tripped = move.tracker.take_report()
        for (answer, began), count in counts.items():
            mover.take(answer, began, count)
        if tripped and not mover.is_suspect:
            mover.trip(now)
            self.send_stop(move)
        if counts and mover.is_suspect:
            move.candidate.wake()

    def _take_own_permit(self, move, now):
        tracker, mover = move.tracker, move.mover
        router = self._runtime.settings.id
        tracker.take_permit(
            fence=move.candidate.fence,
            share=mover.share(),
            probes=mover.probes(router, tracker.probes_left, now),
            valid_until=now + PERMIT_S,
            now=now,
        )

    def _find_link(self, holder):
        """Finds the link to the holder, or to a watcher that reports further."""
        routers = {n: p for n, p in self._fleet.routers.items() if p.usable}
        for peer in routers.values():
            if holder and peer.record.incarnation == holder:
                return peer.link
        settings = self._runtime.settings
        near = [
            name
            for name, peer in routers.items()
            if peer.record.data_centre == settings.data_centre
        ]
        watchers = (ranked(near) or ranked(routers))[:WATCHERS_PER_DATA_CENTRE]
        if not watchers:
            return None
        chosen = watchers[stable_hash(settings.id) % len(watchers)]
        return routers[chosen].link

    async def _take_counts(self, link, message):
        """Answers a router's report with a permit, as holder or for the holder."""
        move = self._find_move(message.move)
        if move is None:
            return None
        now = self._runtime.now()
        move.reporters = {old for old in move.reporters if not old.closed} | {link}
        for answer, began, count in read_counts(message.counts, now):
            move.tracker.add(answer, began, count)
        if message.tripped:
            move.tracker.trip()
        if move.tracker.is_urgent:
            await self._report_once(move)
        if move.mover is not None:
            return self._permit_of_holder(move, link, message)
        return self._relayed_permit(move)

    async def _take_stop(self, link, message):
        del link
        move = self._find_move(message.move)
        if move is not None:
            move.tracker.stop(message.fence)
            self.send_stop(move)

    async def _report_once(self, move):
        """Reports unless such a report is on its way, so that no loop can form."""
        if move.is_reporting:
            return
        move.is_reporting = True
        try:
            await self.report(move)
        finally:
            move.is_reporting = False

    def _permit_of_holder(self, move, link, message):
        self._feed_mover(move)
        reporter = link.hello.id if link.hello else ""
        now = self._runtime.now()
        return MovePermit(
            move=message.move,
            fence=move.candidate.fence,
            share=move.mover.share(),
            probes=move.mover.probes(reporter, message.probes_left, now),
            valid_s=PERMIT_S,
        )

    def _relayed_permit(self, move):
        permit = move.tracker.permit
        now = self._runtime.now()
        if permit is None or not permit.is_valid(now):
            return None
        return MovePermit(
            move=permit.move,
            fence=permit.fence,
            share=permit.share,
            probes=move.tracker.lend_probes(),
            valid_s=permit.valid_until - now,
        )


async def report_counts(tracker, move, link, now, timeout_s):
    """Reports what a tracker has counted and gives it the permit that answers.

    Args:
        tracker: The ``Tracker``.
        move: Name of the move.
        link: The ``Link`` to the process that answers.
        now: Function that returns the monotonic time in seconds.
        timeout_s: Longest wait for the answer in seconds.

    Raises:
        PistachiowellError: The answer did not come; the counts are lost.
    """
    sent_at = now()
    counts, tripped = tracker.take_report()
    message = MoveCounts(
        move=move,
        counts=count_messages(counts, sent_at),
        tripped=tripped,
        probes_left=tracker.probes_left,
    )
    permit = await link.call(message, timeout_s)
    if isinstance(permit, MovePermit):
        tracker.take_permit(
            fence=permit.fence,
            share=permit.share,
            probes=permit.probes,
            valid_until=sent_at + permit.valid_s,
            now=now(),
        )


def count_messages(counts, now):
    """Returns the ``AnswerCount`` messages of a report.

    Args:
        counts: A mapping from ``(Answer, began)`` to the number of answers.
        now: Present time in seconds.
    """
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


def read_counts(messages, now):
    """Yields ``(Answer, began, count)`` of the ``AnswerCount`` messages of a report.

    Args:
        messages: The messages.
        now: Present time in seconds, on the clock of ``began``.
    """
    for message in messages:
        answer = Answer(
            message.is_new,
            message.server,
            message.data_centre,
            message.failed,
            message.bucket,
        )
        yield answer, now - message.age_s, message.count
