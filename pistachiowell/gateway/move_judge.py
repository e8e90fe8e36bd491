"""Judges version moves at an agent: their stages, their results and their end."""

import anyio

from pistachiowell.core.errors import STORE_ERRORS
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.move_orders import MoveState
from pistachiowell.moves import EndDecision, MoveController
from pistachiowell.moves.controller import DONE
from pistachiowell.moves.exposure import ExposureAccount, ExposureSettings
from pistachiowell.moves.traffic_tokens import TRAFFIC_TOKEN_S
from pistachiowell.router.move_reports import read_counts
from pistachiowell.schema.generated.messages_moves import MoveCounts, MovePermit

TICK_INTERVAL_S = 0.2
# Share of an order's duration after which its move is decided.
DECISION_TIME_SHARE = 0.8
DRAIN_OLD_VERSION_S = 3.0
# Share of an order's duration after which a successful move is written as completed,
# even if the old version had less time to drain.
COMPLETION_TIME_SHARE = 0.95

_log = part_logger("moves")


class MoveJudge:
    """Judges the moves whose counts the gateways send to this agent.

    The gateways choose the agent by rendezvous hash, so two agents may judge one move
    while gateways see different agents. Each state is written under the version of the
    order's object, so only one of two conflicting writes succeeds, and a move cannot be
    both completed and rolled back. This conditional write takes the place of a lease.
    An agent that takes over starts without evidence and at the first stage, and the
    traffic tokens of a lost agent expire.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links to gateways; this adds its own.
        codec: Encodes the state; see ``pistachiowell.platform.moves``.
    """

    __slots__ = ("_codec", "_first_seen_at", "_judged_moves", "_orders", "_runtime")

    def __init__(self, runtime, handlers, codec):
        self._runtime = runtime
        self._codec = codec
        self._orders = {}
        self._first_seen_at = {}
        self._judged_moves = {}
        handlers.on(MoveCounts, quick=True)(self.handle_counts)

    def apply_orders(self, orders):
        """Applies the ``MoveOrder`` of each service by the service's name."""
        now = self._runtime.now()
        for service, order in orders.items():
            known = self._orders.get(service)
            if known is None or known.target != order.target:
                self._first_seen_at[service] = now
                self._judged_moves.pop(service, None)
            if order.state.has_ended:
                self._judged_moves.pop(service, None)
        self._orders = dict(orders)

    async def run(self):
        """Judges the moves in intervals until cancelled."""
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            for service, judged_move in list(self._judged_moves.items()):
                await self.tick(service, judged_move)

    @property
    def judged_moves(self):
        """The moves that this agent judges, by service."""
        return self._judged_moves

    async def handle_counts(self, link, message):
        """Handles the ``MoveCounts`` of a gateway.

        Returns:
            The ``MovePermit``; None if there is no open move.
        """
        order = self._orders.get(message.move)
        if order is None or order.state.has_ended:
            return None
        now = self._runtime.now()
        judged_move = self._judged_moves.get(message.move)
        if judged_move is None:
            judged_move = self._judged_moves[message.move] = self._start_judging(order)
        for answer, began, count in read_counts(message.counts, now):
            judged_move.controller.record_answers(answer, began, count)
        reporter = link.hello.id if link.hello else ""
        waits = list(read_counts(message.waits, now))
        judged_move.controller.replace_waits(reporter, waits, now)
        run = link.hello.incarnation if link.hello else ""
        judged_move.exposure.record_sent(run, message.sent_old, message.sent_new)
        if message.tripped:
            judged_move.controller.suspect_version(now)
        return MovePermit(
            move=message.move,
            fence=order.object_version,
            share=judged_move.controller.allowed_share(now),
            probes=judged_move.controller.grant_probes(
                reporter, message.probes_left, now
            ),
            valid_s=TRAFFIC_TOKEN_S,
        )

    def _start_judging(self, order):
        first_seen_at = self._first_seen_at[order.service]
        decide_by = first_seen_at + DECISION_TIME_SHARE * order.duration_s
        complete_by = first_seen_at + COMPLETION_TIME_SHARE * order.duration_s
        settings = self._runtime.settings
        exposure = ExposureAccount(
            ExposureSettings(settings.exposure_share, settings.exposure_slack),
            first_seen_at,
        )
        controller = MoveController(
            self._runtime.now(), decide_by, order.duration_s, exposure=exposure
        )
        controller.set_loaded()
        _log.info(
            "Judging a move.",
            service=order.service,
            target=order.target,
            decide_in_s=round(decide_by - self._runtime.now(), 2),
        )
        return _JudgedMove(controller, exposure, complete_by)

    async def tick(self, service, judged_move):
        """Judges one move and writes its state if that changes."""
        order = self._orders.get(service)
        if order is None:
            return
        now = self._runtime.now()
        decision = judged_move.controller.tick(now)
        if decision is None:
            if order.state is MoveState.ordered:
                await self._write_state(order, MoveState.in_progress)
        elif isinstance(decision, EndDecision):
            await self._end_move(order, judged_move, decision, now)
        else:
            judged_move.controller.confirm(decision, now)
            _log.info(
                "Move entered a new stage.", service=service, stage=decision.stage
            )

    async def _end_move(self, order, judged_move, decision, now):
        if judged_move.decided_at is None:
            judged_move.decided_at = now
            _log.info(
                "Move is decided.",
                service=order.service,
                target=order.target,
                end=decision.end,
                reason=decision.reason,
                answers=decision.evidence.new_answers,
                failures=decision.evidence.new_failures,
            )
        if decision.end == DONE:
            # The servers of the old version stop as soon as the move is completed. The
            # gateways get time to stop sending there, or requests would be cut off.
            drained_at = min(
                judged_move.decided_at + DRAIN_OLD_VERSION_S, judged_move.complete_by
            )
            if now >= drained_at:
                await self._write_state(order, MoveState.completed)
        else:
            await self._write_state(order, MoveState.rolled_back)

    async def _write_state(self, order, state):
        store = self._runtime.store
        value = self._codec.encode_state(order, state)
        try:
            await store.put_status(
                self._codec.COLLECTION, order.service, value, order.object_version
            )
        except STORE_ERRORS as error:
            _log.warning(
                "Writing the state of a move failed; trying again.",
                service=order.service,
                state=str(state),
                error=str(error),
            )
            return
        _log.info("State of a move.", service=order.service, state=str(state))


class _JudgedMove:
    __slots__ = ("complete_by", "controller", "decided_at", "exposure")

    def __init__(self, controller, exposure, complete_by):
        self.complete_by = complete_by
        self.controller = controller
        self.exposure = exposure
        self.decided_at = None
