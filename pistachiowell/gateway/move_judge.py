"""The agent's part in version moves: stages, judgement and the end."""

import anyio

from pistachiowell.core.errors import STORE_ERRORS
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.move_orders import MoveState
from pistachiowell.moves import EndMove, Mover
from pistachiowell.moves.mover import DONE
from pistachiowell.moves.permits import PERMIT_S
from pistachiowell.router.move_reports import read_counts
from pistachiowell.schema.generated.messages_moves import MoveCounts, MovePermit

TICK_S = 0.2
DECIDE_SHARE = 0.8
HAND_OVER_S = 3.0
LAST_MOMENT_SHARE = 0.95

_log = part_logger("moves")


class MoveJudge:
    """Judges the moves whose counts the gateways send to this agent.

    The gateways choose the agent by rendezvous hash. If another one takes over it
    begins with no evidence and at the first stage; what is written to the store under
    the object's version is the only end.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links to gateways; this adds its own.
        codec: Encodes the state; see ``pistachiowell.platform.moves``.
    """

    __slots__ = ("_codec", "_judged", "_orders", "_runtime", "_seen_at")

    def __init__(self, runtime, handlers, codec):
        self._runtime = runtime
        self._codec = codec
        self._orders = {}
        self._seen_at = {}
        self._judged = {}
        handlers.on(MoveCounts, quick=True)(self.take_counts)

    def apply_orders(self, orders):
        """Takes the ``MoveOrder`` of each service by its name."""
        now = self._runtime.now()
        for service, order in orders.items():
            known = self._orders.get(service)
            if known is None or known.target != order.target:
                self._seen_at[service] = now
                self._judged.pop(service, None)
            if order.state.has_ended:
                self._judged.pop(service, None)
        self._orders = dict(orders)

    async def run(self):
        """Ticks the moves until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            for service, judged in list(self._judged.items()):
                await self.tick(service, judged)

    @property
    def judged(self):
        """The moves that this agent judges, by service."""
        return self._judged

    async def take_counts(self, link, message):
        """Takes the ``MoveCounts`` of a gateway.

        Returns:
            The ``MovePermit``; None if there is no open move.
        """
        order = self._orders.get(message.move)
        if order is None or order.state.has_ended:
            return None
        now = self._runtime.now()
        judged = self._judged.get(message.move)
        if judged is None:
            judged = self._judged[message.move] = self._begin(order)
        for answer, began, count in read_counts(message.counts, now):
            judged.mover.take(answer, began, count)
        if message.tripped:
            judged.mover.trip(now)
        router = link.hello.id if link.hello else ""
        return MovePermit(
            move=message.move,
            fence=order.object_version,
            share=judged.mover.share(),
            probes=judged.mover.probes(router, message.probes_left, now),
            valid_s=PERMIT_S,
        )

    def _begin(self, order):
        seen_at = self._seen_at[order.service]
        decide_by = seen_at + DECIDE_SHARE * order.duration_s
        last_moment = seen_at + LAST_MOMENT_SHARE * order.duration_s
        mover = Mover(self._runtime.now(), decide_by, order.duration_s)
        mover.set_loaded()
        _log.info(
            "Judging a move.",
            service=order.service,
            target=order.target,
            decide_in_s=round(decide_by - self._runtime.now(), 2),
        )
        return _Judged(mover, last_moment)

    async def tick(self, service, judged):
        """Decides on one move and writes its state if that changes."""
        order = self._orders.get(service)
        if order is None:
            return
        now = self._runtime.now()
        action = judged.mover.tick(now)
        if action is None:
            if order.state is MoveState.ordered:
                await self._write(order, MoveState.in_progress)
        elif isinstance(action, EndMove):
            await self._end(order, judged, action, now)
        else:
            judged.mover.confirm(action, now)
            _log.info("Move goes on.", service=service, stage=action.stage)

    async def _end(self, order, judged, action, now):
        if judged.ended_at is None:
            judged.ended_at = now
            _log.info(
                "Move is decided.",
                service=order.service,
                target=order.target,
                end=action.end,
                reason=action.reason,
                answers=action.evidence.new_answers,
                failures=action.evidence.new_failures,
            )
        if action.end == DONE:
            # The old servers stop at once, so the gateways first let go of them.
            hand_over = min(judged.ended_at + HAND_OVER_S, judged.last_moment)
            if now >= hand_over:
                await self._write(order, MoveState.completed)
        else:
            await self._write(order, MoveState.rolled_back)

    async def _write(self, order, state):
        store = self._runtime.store
        value = self._codec.encode_state(order, state)
        try:
            await store.put_status(
                self._codec.COLLECTION, order.service, value, order.object_version
            )
        except STORE_ERRORS as error:
            _log.warning(
                "The state of a move was not written.",
                service=order.service,
                state=str(state),
                error=str(error),
            )
            return
        _log.info("State of a move.", service=order.service, state=str(state))


class _Judged:
    __slots__ = ("ended_at", "last_moment", "mover")

    def __init__(self, mover, last_moment):
        self.mover = mover
        self.last_moment = last_moment
        self.ended_at = None
