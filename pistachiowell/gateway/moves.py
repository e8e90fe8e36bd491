"""The gateway's part in version moves: which version an attempt may go to."""

import anyio

from pistachiowell.budgets.home import homes_in_order
from pistachiowell.core.errors import PistachiowellError
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.move_orders import MoveState
from pistachiowell.moves.tracker import Tracker
from pistachiowell.router.move_reports import report_counts
from pistachiowell.schema.generated.table import MoveRow

REPORT_INTERVAL_S = 0.3
REPORT_TIMEOUT_S = 0.5

_log = part_logger("moves")


class GatewayMoves:
    """Knows the versions in use and asks judges for shares of new ones.

    A version that has not served before gets requests only by the permit of a move,
    or when nothing else is left.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        rng: A ``Random``.
    """

    __slots__ = ("_established", "_fleet", "_open", "_rng", "_runtime")

    def __init__(self, runtime, fleet, rng):
        self._runtime = runtime
        self._fleet = fleet
        self._rng = rng
        self._established = {}
        self._open = {}

    def apply_orders(self, orders):
        """Takes the ``MoveOrder`` of each service by its name."""
        for service, order in orders.items():
            if order.state is MoveState.completed:
                self._end(service, order, {order.target})
            elif order.state is MoveState.rolled_back:
                known = self._established.get(service, set()) - {order.target}
                self._end(service, order, known)
            elif service not in self._open:
                known = self._established.setdefault(service, set())
                known.discard(order.target)
                self._open[service] = _OpenMove(order)
                _log.info("Move begins.", service=service, target=order.target)
        for service in self._open.keys() - orders.keys():
            del self._open[service]

    def _end(self, service, order, established):
        if self._open.pop(service, None) is not None:
            _log.info(
                "Move has ended.",
                service=service,
                target=order.target,
                state=str(order.state),
            )
        self._established[service] = established

    def tracker(self, service):
        """Returns the ``Tracker`` of a service's open move, or None."""
        move = self._open.get(service)
        return move.tracker if move is not None else None

    def choose(self, service, servers):
        """Returns the servers that an attempt may go to.

        Args:
            service: Name of the service.
            servers: The ``BackendServer`` that take work.
        """
        versions = {server.version for server in servers}
        move = self._open.get(service)
        known = self._established.setdefault(service, set())
        if move is None:
            if not known & versions:
                known |= versions
            return [s for s in servers if s.version in known]
        target = move.order.target
        others = [s for s in servers if s.version != target]
        known |= versions - {target}
        wanted = [s for s in servers if s.version == target]
        if not others or not wanted:
            return servers
        return wanted if move.picks_new(self._rng, self._runtime.now()) else others

    def note(self, service, server, failed, began):
        """Counts the end of an attempt.

        Args:
            service: Name of the service.
            server: The ``BackendServer``.
            failed: Whether it failed by a fault of the server or its version.
            began: Time at which it began, in seconds.
        """
        move = self._open.get(service)
        if move is not None:
            version = NEW if server.version == move.order.target else OLD
            now = self._runtime.now()
            move.tracker.note(
                version, server.id, server.data_centre, failed, began, now
            )

    async def run(self):
        """Reports to the judges until cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                for service, move in list(self._open.items()):
                    group.start_soon(self._report, service, move)
            await anyio.sleep(REPORT_INTERVAL_S)

    async def _report(self, service, move):
        link = self._judge(service)
        if link is None:
            return
        now = self._runtime.now
        try:
            await report_counts(move.tracker, service, link, now, REPORT_TIMEOUT_S)
        except PistachiowellError as error:
            _log.info("A report of a move was lost.", service=service, error=str(error))

    def _judge(self, service):
        usable = {n: peer for n, peer in self._fleet.agents.items() if peer.usable}
        names = homes_in_order(service, usable)
        return usable[names[0]].link if names else None


OLD, NEW = "old", "new"


class _OpenMove:
    __slots__ = ("order", "tracker")

    def __init__(self, order):
        self.order = order
        self.tracker = Tracker(MoveRow("move", order.service, "", OLD, NEW, ""))

    def picks_new(self, rng, now):
        if self.tracker.take_probe(now):
            return True
        return rng.random() < self.tracker.permit_share(now)
