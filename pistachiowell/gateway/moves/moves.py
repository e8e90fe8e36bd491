"""Restricts attempts to the allowed versions and reports trials to their judges."""

import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import anyio

from pistachiowell.budgets.page_owner import rank_owners
from pistachiowell.core.errors import PistachiowellError
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.moves.move_orders import MoveState, has_lost_status
from pistachiowell.moves.standings import VersionStandings
from pistachiowell.moves.tracker import MoveTracker
from pistachiowell.router.answer_counts import count_messages
from pistachiowell.schema.generated.messages_moves import TrialPermit, TrialReport
from pistachiowell.schema.generated.table import MoveRow
from pistachiowell.store.era import era_of

REPORT_INTERVAL_S = 0.3
REPORT_TIMEOUT_S = 0.5
# A store that lists servers and no orders for so long has none.
ORDERS_WAIT_S = 5.0
# Share of an order's duration for which servers that are slow after their start get
# nothing.
WARM_UP_SHARE = 0.3

_log = part_logger("moves")


@dataclass(frozen=True, slots=True)
class VersionParts:
    """The servers that an attempt may go to, by the standing of their version.

    Attributes:
        old: Each ``BackendServer`` with a version that needs no permit.
        new: Those of the version on trial; empty if it gets nothing at present.
        new_share: Probability with which an attempt goes to the version on trial.
    """

    old: list
    new: list = field(default_factory=list)
    new_share: float = 0.0


class GatewayMoves:
    """Selects the versions that attempts may go to and reports their results to judges.

    A version on trial gets no more requests than the judge has permitted, also if no
    other server is listed; a rejected one gets none. What is known of a version stays
    known while its order is missing, as after a return of the store.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        rng: A ``Random``.
    """

    __slots__ = (
        "_ended_orders",
        "_fleet",
        "_has_orders",
        "_numbers",
        "_rng",
        "_runtime",
        "_standings",
        "_started_at",
        "_trials",
    )

    def __init__(self, runtime, fleet, rng):
        self._runtime = runtime
        self._fleet = fleet
        self._rng = rng
        self._has_orders = False
        self._numbers = itertools.count(1)
        self._started_at = runtime.now()
        self._standings = defaultdict(VersionStandings)
        self._trials = {}
        self._ended_orders = {}

    def apply_orders(self, orders):
        """Applies the ``MoveOrder`` of each service by the service's name."""
        self._has_orders = True
        for service, order in orders.items():
            ended = self._ended_orders.get(service)
            if order.state.has_ended:
                self._end_trial(order)
            elif ended is None or not has_lost_status(ended, order):
                self._follow_trial(order)

    def _follow_trial(self, order):
        trial = self._trials.get(order.service)
        if trial is not None and trial.order.target == order.target:
            trial.follow(order)
            return
        self._ended_orders.pop(order.service, None)
        self._standings[order.service].begin_trial(order.target)
        self._trials[order.service] = _Trial(order, self._runtime.now())
        _log.info("Move started.", service=order.service, target=order.target)

    def _end_trial(self, order):
        known = self._ended_orders.get(order.service)
        self._ended_orders[order.service] = order
        is_news = known is None or (known.target, known.state) != (
            order.target,
            order.state,
        )
        trial = self._trials.pop(order.service, None)
        if trial is None and not is_news:
            return
        standings = self._standings[order.service]
        if order.state is MoveState.completed:
            standings.accept(order.target)
        else:
            standings.reject(order.target)
        _log.info(
            "Move ended.",
            service=order.service,
            target=order.target,
            state=str(order.state),
            sent=trial.tracker.sent if trial is not None else None,
        )

    def tracker(self, service):
        """Returns the ``MoveTracker`` of a service's trial, or None."""
        trial = self._trials.get(service)
        return trial.tracker if trial is not None else None

    def filter_servers(self, service, servers):
        """Returns the servers that an attempt may go to.

        Args:
            service: Name of the service.
            servers: The ``BackendServer`` that accept work.
        """
        versions = {server.version for server in servers}
        usable = self._standings[service].usable(versions, self._knows_orders())
        parts = self._divide(service, servers, usable)
        if parts.new and (not parts.old or self._rng.random() < parts.new_share):
            return parts.new
        return parts.old

    def expected_servers(self, service, servers):
        """Returns the ``VersionParts`` among which ``filter_servers`` would draw.

        Nothing is drawn, and no version becomes established.

        Args:
            service: Name of the service.
            servers: The ``BackendServer`` that accept work.
        """
        versions = {server.version for server in servers}
        standings = self._standings.get(service) or VersionStandings()
        usable = standings.expected(versions, self._knows_orders())
        return self._divide(service, servers, usable)

    def version_state(self, service, version):
        """Returns what is known of a version: rejected, on trial, or neither."""
        standings = self._standings.get(service)
        if standings is not None and version in standings.rejected:
            return "rejected"
        is_tried = standings is not None and version == standings.tried
        return "on trial" if is_tried else ""

    def _divide(self, service, servers, usable):
        old_servers = [server for server in servers if server.version in usable]
        trial = self._trials.get(service)
        if trial is None:
            return VersionParts(old_servers)
        now = self._runtime.now()
        new_servers = trial.servers(servers, now)
        if not new_servers or not trial.is_permitted(now):
            return VersionParts(old_servers)
        share = trial.tracker.current_share(now) if old_servers else 1.0
        return VersionParts(old_servers, new_servers, share)

    def _knows_orders(self):
        waited_s = self._runtime.now() - self._started_at
        return self._has_orders or waited_s >= ORDERS_WAIT_S

    def may_start(self, service, server):
        """Returns whether an attempt at a server that was chosen may still start.

        Args:
            service: Name of the service.
            server: The ``BackendServer``.
        """
        trial = self._trials.get(service)
        if trial is None or server.version != trial.order.target:
            return server.version not in self._standings[service].rejected
        return trial.is_permitted(self._runtime.now())

    def record_start(self, service, server, began):
        """Records the start of an attempt if the service has an open move.

        Args:
            service: Name of the service.
            server: The ``BackendServer``.
            began: Time at which it began, in seconds.

        Returns:
            The ``MoveAttempt``, or None.
        """
        trial = self._trials.get(service)
        if trial is None:
            return None
        return trial.tracker.start_waiting(
            trial.version_of(server), server.id, server.data_centre, began
        )

    def record_end(self, service, server, failed, began):
        """Records the end of an attempt if the service has an open move.

        Args:
            service: Name of the service.
            server: The ``BackendServer``.
            failed: Whether it failed by a fault of the server or its version.
            began: Time at which it began, in seconds.
        """
        trial = self._trials.get(service)
        if trial is not None:
            now, version = self._runtime.now(), trial.version_of(server)
            trial.tracker.record_answer(
                version, server.id, server.data_centre, failed, began, now
            )

    async def run(self):
        """Reports the counts of open moves to their judges until cancelled."""
        while True:
            await self.report()
            await anyio.sleep(REPORT_INTERVAL_S)

    async def report(self):
        """Reports the counts of all open moves once and applies the permits."""
        async with anyio.create_task_group() as group:
            for trial in list(self._trials.values()):
                group.start_soon(self._report, trial)

    async def _report(self, trial):
        link = self._judge_link(trial.order)
        if link is None:
            return
        sent_at = self._runtime.now()
        report = trial.report(link, next(self._numbers), sent_at)
        try:
            reply = await link.call(report, REPORT_TIMEOUT_S)
        except PistachiowellError as error:
            trial.record_lost_report()
            _log.info(
                "Reporting the counts of a move failed; all are sent again.",
                service=trial.order.service,
                error=str(error),
            )
            return
        if isinstance(reply, TrialPermit):
            self.apply_permit(reply, sent_at)

    def apply_permit(self, permit, sent_at):
        """Applies a ``TrialPermit``.

        Args:
            permit: The ``TrialPermit``.
            sent_at: Time in seconds at which the report that it answers was sent.
        """
        trial = self._trials.get(permit.service)
        if trial is not None and trial.order.target == permit.target:
            trial.apply_permit(permit, sent_at, self._runtime.now())

    def _judge_link(self, order):
        """Returns the link to the agent that judges a move; None if there is none.

        An agent that registered after the order does not take the judgement over: it
        would begin without evidence beside the judge that has it.
        """
        usable = {n: peer for n, peer in self._fleet.agents.items() if peer.usable}
        older = {
            name: peer
            for name, peer in usable.items()
            if peer.registered_version < order.object_version
        }
        candidates = older or usable
        names = rank_owners(order.service, candidates)
        return candidates[names[0]].link if names else None


# Stand for the names of the versions in the row of a tracker.
OLD, NEW = "old", "new"


class _Trial:
    """A version on trial at this gateway.

    Args:
        order: The ``MoveOrder``.
        now: Time in seconds.

    Attributes:
        order: The ``MoveOrder`` as first read in the store's era; agents that
            registered later do not judge it.
        tracker: The ``MoveTracker``.
    """

    __slots__ = (
        "_began",
        "_ceiling",
        "_counts",
        "_judge",
        "_reserved",
        "order",
        "tracker",
    )

    def __init__(self, order, now):
        self.order = order
        self.tracker = MoveTracker(MoveRow("move", order.service, "", OLD, NEW, ""))
        self._began = now
        self._ceiling = 0
        self._counts = Counter()
        self._judge = None
        self._reserved = 0

    def follow(self, order):
        """Follows the order into a new era of the store, where versions are others."""
        if era_of(order.object_version) > era_of(self.order.object_version):
            self.order = order

    def version_of(self, server):
        """Returns which version a ``BackendServer`` runs."""
        return NEW if server.version == self.order.target else OLD

    def servers(self, servers, now):
        """Returns the servers of the version on trial that may be judged by answers."""
        new_servers = [s for s in servers if s.version == self.order.target]
        if now >= self._began + WARM_UP_SHARE * self.order.duration_s:
            return new_servers
        return [server for server in new_servers if not server.cold_left_s]

    def is_permitted(self, now):
        """Returns whether one more request may go to the version on trial."""
        token = self.tracker.traffic_token
        is_valid = token is not None and token.is_valid(now)
        return is_valid and self.tracker.sent[1] < self._ceiling

    def report(self, judge, number, now):
        """Returns the ``TrialReport`` for a judge.

        A judge that gets its first report of this gateway gets all counts.

        Args:
            judge: The judge.
            number: Number of the report.
            now: Time in seconds.
        """
        counts, _ = self.tracker.drain_report()
        self._counts.update(counts)
        is_whole = judge is not self._judge
        self._judge = judge
        sent_old, sent_new = self.tracker.sent
        return TrialReport(
            service=self.order.service,
            target=self.order.target,
            counts=count_messages(self._counts if is_whole else counts, now),
            is_whole=is_whole,
            waits=count_messages(self.tracker.waits(now), now),
            sent_old=sent_old,
            sent_new=sent_new,
            age_s=now - self._began,
            reserved=self._reserved,
            number=number,
        )

    def record_lost_report(self):
        """Makes the next report contain all counts."""
        self._judge = None

    def apply_permit(self, permit, sent_at, now):
        """Applies a ``TrialPermit``.

        Args:
            permit: The ``TrialPermit``.
            sent_at: Time at which the report was sent, in seconds.
            now: Time in seconds.
        """
        self._ceiling = max(self._ceiling, permit.ceiling)
        self._reserved = max(self._reserved, permit.reserved)
        self._began = min(self._began, now - permit.age_s)
        self.tracker.apply_traffic_token(
            fence=permit.fence,
            share=permit.share,
            probes=0,
            valid_until=sent_at + permit.valid_s,
            now=now,
        )
