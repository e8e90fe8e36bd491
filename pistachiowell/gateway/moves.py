"""Restricts attempts to the allowed versions and reports counts of open moves."""

import anyio

from pistachiowell.budgets.page_owner import rank_owners
from pistachiowell.core.errors import PistachiowellError
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.move_orders import MoveState
from pistachiowell.moves.tracker import MoveTracker
from pistachiowell.router.move_reports import report_counts
from pistachiowell.schema.generated.table import MoveRow

REPORT_INTERVAL_S = 0.3
REPORT_TIMEOUT_S = 0.5

_log = part_logger("moves")


class GatewayMoves:
    """Selects the versions that attempts may go to and reports their results to judges.

    A version that has not served before gets requests only by the traffic token of a
    move, or if the service has no other server. Otherwise a new version that fails
    would get its full share of the requests as soon as its servers are registered.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        rng: A ``Random``.
    """

    __slots__ = ("_established_versions", "_fleet", "_open_moves", "_rng", "_runtime")

    def __init__(self, runtime, fleet, rng):
        self._runtime = runtime
        self._fleet = fleet
        self._rng = rng
        self._established_versions = {}
        self._open_moves = {}

    def apply_orders(self, orders):
        """Applies the ``MoveOrder`` of each service by the service's name."""
        for service, order in orders.items():
            if order.state is MoveState.completed:
                self._end_move(service, order, {order.target})
            elif order.state is MoveState.rolled_back:
                established = self._established_versions.get(service, set()) - {
                    order.target
                }
                self._end_move(service, order, established)
            elif service not in self._open_moves:
                established = self._established_versions.setdefault(service, set())
                established.discard(order.target)
                self._open_moves[service] = _OpenMove(order)
                _log.info("Move started.", service=service, target=order.target)
        for service in self._open_moves.keys() - orders.keys():
            del self._open_moves[service]

    def _end_move(self, service, order, established):
        if self._open_moves.pop(service, None) is not None:
            _log.info(
                "Move ended.",
                service=service,
                target=order.target,
                state=str(order.state),
            )
        self._established_versions[service] = established

    def tracker(self, service):
        """Returns the ``MoveTracker`` of a service's open move, or None."""
        move = self._open_moves.get(service)
        return move.tracker if move is not None else None

    def filter_servers(self, service, servers):
        """Returns the servers that an attempt may go to.

        Args:
            service: Name of the service.
            servers: The ``BackendServer`` that accept work.
        """
        versions = {server.version for server in servers}
        move = self._open_moves.get(service)
        established = self._established_versions.setdefault(service, set())
        if move is None:
            if not established & versions:
                established |= versions
            return [s for s in servers if s.version in established]
        target = move.order.target
        old_servers = [s for s in servers if s.version != target]
        established |= versions - {target}
        new_servers = [s for s in servers if s.version == target]
        if not old_servers or not new_servers:
            return servers
        return (
            new_servers
            if move.uses_new_version(self._rng, self._runtime.now())
            else old_servers
        )

    def record_start(self, service, server, began):
        """Records the start of an attempt if the service has an open move.

        Args:
            service: Name of the service.
            server: The ``BackendServer``.
            began: Time at which it began, in seconds.

        Returns:
            The ``MoveAttempt``, or None.
        """
        move = self._open_moves.get(service)
        if move is None:
            return None
        return move.tracker.start_waiting(
            move.version_of(server), server.id, server.data_centre, began
        )

    def record_end(self, service, server, failed, began):
        """Records the end of an attempt if the service has an open move.

        Args:
            service: Name of the service.
            server: The ``BackendServer``.
            failed: Whether it failed by a fault of the server or its version.
            began: Time at which it began, in seconds.
        """
        move = self._open_moves.get(service)
        if move is not None:
            now, version = self._runtime.now(), move.version_of(server)
            move.tracker.record_answer(
                version, server.id, server.data_centre, failed, began, now
            )

    async def run(self):
        """Reports the counts of open moves to their judges until cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                for service, move in list(self._open_moves.items()):
                    group.start_soon(self._report, service, move)
            await anyio.sleep(REPORT_INTERVAL_S)

    async def _report(self, service, move):
        link = self._judge_link(service, move.order)
        if link is None:
            return
        now = self._runtime.now
        try:
            await report_counts(move.tracker, service, link, now, REPORT_TIMEOUT_S)
        except PistachiowellError as error:
            _log.info(
                "Reporting the counts of a move failed; they are lost.",
                service=service,
                error=str(error),
            )

    def _judge_link(self, service, order):
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
        names = rank_owners(service, candidates)
        return candidates[names[0]].link if names else None


# Stand for the names of the versions in the row of a tracker.
OLD, NEW = "old", "new"


class _OpenMove:
    __slots__ = ("order", "tracker")

    def __init__(self, order):
        self.order = order
        self.tracker = MoveTracker(MoveRow("move", order.service, "", OLD, NEW, ""))

    def version_of(self, server):
        """Returns which version a ``BackendServer`` runs."""
        return NEW if server.version == self.order.target else OLD

    def uses_new_version(self, rng, now):
        if self.tracker.try_acquire_probe(now):
            return True
        return rng.random() < self.tracker.current_share(now)
