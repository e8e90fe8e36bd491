"""Reports of answers to the holder of a move, answered with traffic tokens."""

from pistachiowell.core.errors import PistachiowellError
from pistachiowell.core.ids import stable_hash
from pistachiowell.core.logs import part_logger
from pistachiowell.moves.traffic_tokens import TRAFFIC_TOKEN_S
from pistachiowell.router.answer_counts import count_messages, read_counts
from pistachiowell.schema.generated.messages_moves import (
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
        tracker: The ``MoveTracker``.
        candidate: The ``MoveCandidate``.

    Attributes:
        reporters: Links over which other routers have reported here.
        is_reporting: Whether a report that relays another router's counts is in
            progress.
    """

    __slots__ = ("_candidate", "_tracker", "is_reporting", "reporters")

    def __init__(self, tracker, candidate):
        self._tracker = tracker
        self._candidate = candidate
        self.reporters = set()
        self.is_reporting = False

    @property
    def tracker(self):
        """The ``MoveTracker``."""
        return self._tracker

    @property
    def candidate(self):
        """The ``MoveCandidate``."""
        return self._candidate

    @property
    def controller(self):
        """The ``MoveController`` if this router holds the lease, else None."""
        return self._candidate.controller


class MoveReports:
    """Sends and handles reports of answer counts.

    The watchers of a data centre report to the holder. The other routers report to a
    watcher of their data centre, which adds their counts to its own and relays its own
    traffic token with the remaining validity. So the number of reports at the holder
    does not grow with the number of routers in a data centre.

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
        handlers.on(MoveCounts)(self._handle_counts)
        handlers.on(MoveStop)(self._handle_stop)

    async def report(self, move):
        """Reports the counts of an ``OpenMove`` and applies the returned traffic token.

        As the holder this router adds the counts to the evidence of its own
        ``MoveController``. A report that is lost is not repeated: its counts are
        missing from the evidence, and the traffic token expires if no further report
        is answered.

        Args:
            move: The ``OpenMove``.
        """
        tracker = move.tracker
        if move.controller is not None:
            now = self._runtime.now()
            self._report_to_controller(move)
            self._apply_own_token(move, now)
            return
        link = self._find_link(move.candidate.holder)
        if link is None:
            return
        name, now = tracker.row.name, self._runtime.now
        try:
            await report_counts(tracker, name, link, now, REPORT_TIMEOUT_S)
        except PistachiowellError as error:
            _log.debug(
                "A report of move {} was lost; its counts are dropped: {}", name, error
            )

    def send_stop(self, move):
        """Revokes the traffic tokens of all routers that have reported to this one."""
        token = move.tracker.traffic_token
        fence = move.candidate.fence if move.controller else token.fence if token else 0
        message = MoveStop(move.tracker.row.name, fence)
        for link in move.reporters:
            if not link.closed:
                link.send(message)
        move.reporters.clear()

    def _report_to_controller(self, move):
        """Adds the unreported counts to the evidence of the ``MoveController``.

        If a circuit breaker has tripped, the traffic tokens of all routers are revoked
        at once and not only when they expire.
        """
        now = self._runtime.now()
        controller = move.controller
        counts, tripped = move.tracker.drain_report()
        for (answer, began), count in counts.items():
            controller.record_answers(answer, began, count)
        if tripped and not controller.is_version_suspected:
            controller.suspect_version(now)
            self.send_stop(move)
        if counts and controller.is_version_suspected:
            move.candidate.wake()

    def _apply_own_token(self, move, now):
        tracker, controller = move.tracker, move.controller
        router = self._runtime.settings.id
        tracker.apply_traffic_token(
            fence=move.candidate.fence,
            share=controller.share(),
            probes=controller.grant_probes(router, tracker.probes_left, now),
            valid_until=now + TRAFFIC_TOKEN_S,
            now=now,
        )

    def _find_link(self, holder):
        """Returns the link to the holder, or to a watcher that relays reports."""
        routers = {n: p for n, p in self._fleet.routers.items() if p.usable}
        for peer in routers.values():
            if holder and peer.record.incarnation == holder:
                return peer.link
        settings = self._runtime.settings
        local_names = [
            name
            for name, peer in routers.items()
            if peer.record.data_centre == settings.data_centre
        ]
        watchers = (ranked(local_names) or ranked(routers))[:WATCHERS_PER_DATA_CENTRE]
        if not watchers:
            return None
        chosen = watchers[stable_hash(settings.id) % len(watchers)]
        return routers[chosen].link

    async def _handle_counts(self, link, message):
        """Handles a router's report; answers it with a traffic token.

        The holder issues a token of its own, a watcher relays the one that it has.
        """
        move = self._find_move(message.move)
        if move is None:
            return None
        now = self._runtime.now()
        move.reporters = {old for old in move.reporters if not old.closed} | {link}
        for answer, began, count in read_counts(message.counts, now):
            move.tracker.add(answer, began, count)
        if message.tripped:
            move.tracker.record_trip()
        if move.tracker.is_urgent:
            await self._report_unless_reporting(move)
        if move.controller is not None:
            return self._token_from_holder(move, link, message)
        return self._relayed_token(move)

    async def _handle_stop(self, link, message):
        del link
        move = self._find_move(message.move)
        if move is not None:
            move.tracker.revoke_traffic_token(message.fence)
            self.send_stop(move)

    async def _report_unless_reporting(self, move):
        """Reports unless a relaying report is in progress.

        Two watchers may choose each other as the next hop. They would otherwise send
        the same report back and forth without end.
        """
        if move.is_reporting:
            return
        move.is_reporting = True
        try:
            await self.report(move)
        finally:
            move.is_reporting = False

    def _token_from_holder(self, move, link, message):
        self._report_to_controller(move)
        reporter = link.hello.id if link.hello else ""
        now = self._runtime.now()
        return MovePermit(
            move=message.move,
            fence=move.candidate.fence,
            share=move.controller.share(),
            probes=move.controller.grant_probes(reporter, message.probes_left, now),
            valid_s=TRAFFIC_TOKEN_S,
        )

    def _relayed_token(self, move):
        token = move.tracker.traffic_token
        now = self._runtime.now()
        if token is None or not token.is_valid(now):
            return None
        return MovePermit(
            move=token.move,
            fence=token.fence,
            share=token.share,
            probes=move.tracker.delegate_probes(),
            valid_s=token.valid_until - now,
        )


async def report_counts(tracker, move, link, now, timeout_s):
    """Reports the counts of a tracker and applies the returned traffic token.

    The validity of the token counts from the time at which the report was sent, so
    that it ends no later here than at the process that issued it.

    Args:
        tracker: The ``MoveTracker``.
        move: Name of the move.
        link: The ``Link`` to the process that answers.
        now: Function that returns the monotonic time in seconds.
        timeout_s: Longest wait for the answer in seconds.

    Raises:
        PistachiowellError: No answer came; the counts are lost.
    """
    sent_at = now()
    counts, tripped = tracker.drain_report()
    message = MoveCounts(
        move=move,
        counts=count_messages(counts, sent_at),
        tripped=tripped,
        probes_left=tracker.probes_left,
        waits=count_messages(tracker.waits(sent_at), sent_at),
    )
    reply = await link.call(message, timeout_s)
    if isinstance(reply, MovePermit):
        tracker.apply_traffic_token(
            fence=reply.fence,
            share=reply.share,
            probes=reply.probes,
            valid_until=sent_at + reply.valid_s,
            now=now(),
        )
