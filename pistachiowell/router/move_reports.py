"""Reports of answers to the holder of a move, answered with traffic tokens."""

from pistachiowell.core.errors import NotFound, PistachiowellError
from pistachiowell.core.ids import stable_hash
from pistachiowell.core.logs import part_logger
from pistachiowell.moves.traffic_tokens import TRAFFIC_TOKEN_S
from pistachiowell.router.answer_counts import count_messages, read_counts
from pistachiowell.router.unconfirmed_counts import UnconfirmedCounts
from pistachiowell.schema.generated.messages_moves import (
    MoveCounts,
    MovePermit,
    MoveStop,
)
from pistachiowell.schema.generated.messages_requests import Failure
from pistachiowell.tables.watchers import WATCHERS_PER_DATA_CENTRE, ranked
from pistachiowell.wire import try_send
from pistachiowell.wire.outbox import Inbox

REPORT_TIMEOUT_S = 1.0

_log = part_logger("moves")


class OpenMove:
    """One open move in one router.

    Args:
        tracker: The ``MoveTracker``.
        candidate: The ``MoveCandidate``.

    Attributes:
        reporters: Links over which other routers have reported here.
        is_reporting: Whether a report is in progress.
        dropped: Number of answers whose loss was logged.
    """

    __slots__ = ("_candidate", "_tracker", "dropped", "is_reporting", "reporters")

    def __init__(self, tracker, candidate):
        self._tracker = tracker
        self._candidate = candidate
        self.reporters = set()
        self.is_reporting = False
        self.dropped = 0

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

    __slots__ = (
        "_dropped",
        "_find_move",
        "_fleet",
        "_inbox",
        "_runtime",
        "_unconfirmed",
    )

    def __init__(self, runtime, fleet, handlers, find_move):
        self._runtime = runtime
        self._unconfirmed = UnconfirmedCounts()
        self._dropped = 0
        self._inbox = Inbox()
        self._fleet = fleet
        self._find_move = find_move
        handlers.on(MoveCounts)(self._handle_counts)
        handlers.on(MoveStop)(self._handle_stop)

    async def report(self, move):
        """Reports the counts of an ``OpenMove`` and applies the returned traffic token.

        As the holder this router adds the counts to the evidence of its own
        ``MoveController``. A report without an answer is sent again with the next one,
        to the same router as long as that is registered; the traffic token expires if
        no further report is answered. One report is in progress at a time, so two
        watchers that choose each other as the next hop send nothing back and forth.

        Args:
            move: The ``OpenMove``.
        """
        self._unconfirmed.take_back(move.tracker, self._is_gone)
        if move.controller is not None:
            now = self._runtime.now()
            self._report_to_controller(move)
            self._apply_own_token(move, now)
            return
        if move.is_reporting:
            return
        move.is_reporting = True
        try:
            await self._report_to_next_hop(move)
        finally:
            move.is_reporting = False
        self._log_dropped(move)

    async def send_again(self, move):
        """Sends again what an earlier next hop may not have got.

        Args:
            move: The ``OpenMove``.
        """
        for receiver in self._unconfirmed.waiting_receivers(move.tracker):
            peer = self._fleet.router_of(receiver)
            is_next = peer is self._find_peer(move.candidate.holder)
            if peer is not None and not (is_next and move.controller is None):
                await self._send_next(move, peer)

    def discard(self, name):
        """Discards what has not been confirmed of a move that has ended."""
        self._unconfirmed.discard(name)

    async def _report_to_next_hop(self, move):
        """Sends reports until nothing urgent and nothing of before is left."""
        is_more = True
        while is_more:
            peer = self._find_peer(move.candidate.holder)
            if peer is None:
                return
            tracker = move.tracker
            is_repeat = self._unconfirmed.is_waiting(tracker, peer.record.incarnation)
            is_sent = await self._send_next(move, peer)
            is_more = is_sent and (is_repeat or tracker.is_urgent)

    async def _send_next(self, move, peer):
        """Sends the next report to a peer; returns whether that has it."""
        tracker, receiver = move.tracker, peer.record.incarnation
        now = self._runtime.now
        report = self._unconfirmed.next(tracker, receiver, now())
        try:
            await send_counts(tracker, *report, peer.link, now, REPORT_TIMEOUT_S)
        except PistachiowellError as error:
            _log.debug(
                "A report of move {} has no answer and is sent again: {}",
                tracker.row.name,
                error,
            )
            return False
        self._unconfirmed.confirm(tracker, receiver, report[0])
        return True

    def _is_gone(self, incarnation):
        routers = self._fleet.routers.values()
        return all(peer.record.incarnation != incarnation for peer in routers)

    def _log_dropped(self, move):
        reports = self._unconfirmed.dropped - self._dropped
        answers = move.tracker.dropped - move.dropped
        if not reports and not answers:
            return
        self._dropped += reports
        move.dropped += answers
        _log.warning(
            "Counts of a move were dropped, as no router took them in time.",
            move=move.tracker.row.name,
            reports=reports,
            answers=answers,
        )

    def send_stop(self, move):
        """Revokes the traffic tokens of all routers that have reported to this one."""
        token = move.tracker.traffic_token
        fence = move.candidate.fence if move.controller else token.fence if token else 0
        message = MoveStop(move.tracker.row.name, fence)
        for link in move.reporters:
            # The token of a router that is not told expires by itself.
            try_send(link, message)
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

    def _find_peer(self, holder):
        """Returns the holder or a watcher that relays reports; None without one."""
        routers = {n: p for n, p in self._fleet.routers.items() if p.usable}
        for peer in routers.values():
            if holder and peer.record.incarnation == holder:
                return peer
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
        return routers[chosen]

    async def _handle_counts(self, link, message):
        """Handles a router's report; answers it with a traffic token.

        The holder issues a token of its own, a watcher relays the one that it has.
        """
        move = self._find_move(message.move)
        if move is None:
            raise NotFound(f"Move {message.move} is not open at this router.")
        move.reporters = {old for old in move.reporters if not old.closed} | {link}
        was_urgent = move.tracker.is_urgent
        self._take_counts(move, link, message)
        # What was urgent before could not be reported; nobody waits for that again.
        if move.tracker.is_urgent and not was_urgent:
            await self.report(move)
        if move.controller is not None:
            return self._token_from_holder(move, link, message)
        return self._relayed_token(move)

    def _take_counts(self, move, link, message):
        """Adds the counts of a report, unless they were added before."""
        sender = link.hello.incarnation if link.hello else ""
        if not self._inbox.take((sender, message.move), message.number):
            return
        now = self._runtime.now()
        for answer, began, count in read_counts(message.counts, now):
            move.tracker.add(answer, began, count)
        if message.tripped:
            move.tracker.record_trip()

    async def _handle_stop(self, link, message):
        del link
        move = self._find_move(message.move)
        if move is not None:
            move.tracker.revoke_traffic_token(message.fence)
            self.send_stop(move)

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


async def send_counts(tracker, number, counts, tripped, link, now, timeout_s):
    """Sends a report of counts and applies the returned traffic token.

    The validity of the token counts from the time at which the report was sent, so
    that it ends no later here than at the process that issued it.

    Args:
        tracker: The ``MoveTracker``.
        number: Number of the report; 0 if it only asks for a token.
        counts: The counts; see ``MoveTracker.drain_report``.
        tripped: Whether a circuit breaker has tripped.
        link: The ``Link`` to the router that answers.
        now: Function that returns the monotonic time in seconds.
        timeout_s: Longest wait for the answer in seconds.

    Raises:
        PistachiowellError: No answer came, or the router doesn't know the move.
    """
    sent_at = now()
    message = MoveCounts(
        move=tracker.row.name,
        counts=count_messages(counts, sent_at),
        tripped=tripped,
        probes_left=tracker.probes_left,
        waits=count_messages(tracker.waits(sent_at), sent_at),
        number=number,
    )
    reply = await link.call(message, timeout_s)
    if isinstance(reply, Failure) and reply.code == NotFound.code:
        raise NotFound(reply.message)
    if isinstance(reply, MovePermit):
        tracker.apply_traffic_token(
            fence=reply.fence,
            share=reply.share,
            probes=reply.probes,
            valid_until=sent_at + reply.valid_s,
            now=now(),
        )
