"""Judges trials of versions at an agent and writes the states of their orders."""

from dataclasses import replace

import anyio

from pistachiowell.core.errors import STORE_ERRORS
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.moves.exposure_ledger import ExposureLedger
from pistachiowell.gateway.moves.move_orders import MoveState, has_lost_status
from pistachiowell.moves.exposure import ExposureSettings
from pistachiowell.moves.traffic_tokens import TRAFFIC_TOKEN_S
from pistachiowell.moves.trial import TrialEnd, TrialSettings, VersionTrial
from pistachiowell.router.answer_counts import read_counts
from pistachiowell.schema.generated.messages_moves import TrialPermit, TrialReport
from pistachiowell.wire.outbox import Inbox

TICK_INTERVAL_S = 0.2

_END_STATES = {
    TrialEnd.accepted: MoveState.completed,
    TrialEnd.rejected: MoveState.rolled_back,
}

_log = part_logger("moves")


class MoveJudge:
    """Judges the versions whose counts the gateways send to this agent.

    The gateways choose the agent by rendezvous hash, so two agents may judge one move
    while gateways see different agents. Each state is written under the version of the
    order's object, so only one of two conflicting writes succeeds, and a move cannot be
    both completed and rolled back. This conditional write takes the place of a lease.
    An agent that takes over gets all counts of the gateways that live, and reserves
    requests from what other judges have left in the store.

    A state that was written and that the store has lost by a return from an older copy
    is written again by each agent that knows it.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links to gateways; this adds its own.
        codec: Encodes the state; see ``pistachiowell.platform.moves``.
    """

    __slots__ = (
        "_codec",
        "_ended_orders",
        "_first_seen_at",
        "_inbox",
        "_ledger",
        "_ordered",
        "_orders",
        "_runtime",
        "_trials",
    )

    def __init__(self, runtime, handlers, codec):
        self._runtime = runtime
        self._codec = codec
        self._ledger = ExposureLedger(runtime.store)
        self._ordered = anyio.Event()
        self._orders = {}
        self._ended_orders = {}
        self._first_seen_at = {}
        self._inbox = Inbox()
        self._trials = {}
        handlers.on(TrialReport, quick=True)(self.handle_report)

    def apply_orders(self, orders):
        """Applies the ``MoveOrder`` of each service by the service's name."""
        for service, order in orders.items():
            if order.state.has_ended:
                self._ended_orders[service] = order
                self._trials.pop(service, None)
            elif not self._has_lost_status(order):
                self._follow_order(order)
        self._orders = dict(orders)
        self._ordered.set()

    def _has_lost_status(self, order):
        ended = self._ended_orders.get(order.service)
        return ended is not None and has_lost_status(ended, order)

    def _follow_order(self, order):
        key = (order.service, order.target)
        if self._ended_orders.pop(order.service, None) is not None:
            self._first_seen_at.pop(key, None)
        trial = self._trials.get(order.service)
        if trial is not None and trial.target != order.target:
            del self._trials[order.service]
        self._first_seen_at.setdefault(key, self._runtime.now())

    async def run(self):
        """Judges the moves in intervals until cancelled; sleeps without orders."""
        while True:
            if not self._orders:
                self._ordered = anyio.Event()
                await self._ordered.wait()
            await anyio.sleep(TICK_INTERVAL_S)
            await self.tick()

    @property
    def trials(self):
        """The ``VersionTrial`` that this agent judges, by service."""
        return {service: judged.trial for service, judged in self._trials.items()}

    async def handle_report(self, link, message):
        """Handles the ``TrialReport`` of a gateway.

        One that is read after a later one, as it came over an earlier link, tells
        nothing new: the first report over each link contains all counts.

        Returns:
            The ``TrialPermit``; None if there is no such order or it has ended.
        """
        order = self._orders.get(message.service)
        if order is None or order.target != message.target:
            return None
        if order.state.has_ended or self._has_lost_status(order):
            return None
        now, run = self._runtime.now(), link.hello.incarnation if link.hello else ""
        trial = self._find_trial(order)
        if self._inbox.take((run, message.service), message.number):
            _record_report(trial, run, message, now)
        return TrialPermit(
            service=message.service,
            target=message.target,
            fence=order.object_version,
            share=trial.share(now),
            ceiling=trial.permit(run, now),
            reserved=trial.account.total,
            age_s=trial.age_s(now),
            valid_s=TRAFFIC_TOKEN_S,
        )

    def _find_trial(self, order):
        judged = self._trials.get(order.service)
        if judged is None:
            began = self._first_seen_at[order.service, order.target]
            judged = self._trials[order.service] = _JudgedTrial(
                order.target, VersionTrial(self._trial_settings(order), began)
            )
            _log.info("Judging a move.", service=order.service, target=order.target)
        return judged.trial

    def _trial_settings(self, order):
        settings = self._runtime.settings
        exposure = ExposureSettings(settings.exposure_share, settings.exposure_slack)
        return TrialSettings(order.duration_s, exposure)

    async def tick(self):
        """Judges all moves once, reserves requests and writes states that are due."""
        for service, order in list(self._orders.items()):
            judged = self._trials.get(service)
            if order.state.has_ended:
                continue
            if self._has_lost_status(order):
                await self._write_state(order, self._ended_orders[service].state)
            elif judged is not None:
                await self._tick_trial(order, judged)

    async def _tick_trial(self, order, judged):
        now, trial = self._runtime.now(), judged.trial
        decision = trial.tick(now)
        judged.log_progress(order, decision)
        if decision is not None:
            await self._write_state(order, _END_STATES[decision.end])
            return
        if order.state is MoveState.ordered:
            await self._write_state(order, MoveState.in_progress)
        await self._reserve(order, trial, trial.wanted_reserve(now))

    async def _reserve(self, order, trial, wanted):
        if not wanted:
            return
        try:
            await self._ledger.reserve(order, wanted, trial.account)
        except STORE_ERRORS as error:
            _log.info(
                "Reserving requests to a version on trial failed; trying again.",
                service=order.service,
                wanted=wanted,
                error=str(error),
            )

    async def _write_state(self, order, state):
        store = self._runtime.store
        value = self._codec.encode_state(order, state)
        try:
            version = await store.put_status(
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
        if state.has_ended:
            ended = replace(order, state=state, object_version=version)
            self._ended_orders[order.service] = ended
            self._trials.pop(order.service, None)
            await self._discard_account(order)

    async def _discard_account(self, order):
        try:
            await self._ledger.discard(order)
        except STORE_ERRORS as error:
            _log.info(
                "Removing the account of a trial failed; it stays.",
                service=order.service,
                error=str(error),
            )


def _record_report(trial, run, message, now):
    """Records a ``TrialReport`` of a run of a gateway in a ``VersionTrial``."""
    trial.record_age(message.age_s, now)
    trial.account.record_total(message.reserved)
    trial.account.record_sent(run, message.sent_old, message.sent_new, now)
    trial.record_answers(run, read_counts(message.counts, now), message.is_whole)
    trial.replace_waits(run, list(read_counts(message.waits, now)), now)


class _JudgedTrial:
    __slots__ = ("_has_logged_end", "_was_switching", "target", "trial")

    def __init__(self, target, trial):
        self.target = target
        self.trial = trial
        self._was_switching = False
        self._has_logged_end = False

    def log_progress(self, order, decision):
        """Logs a switch to the new version, its end and the decision once each."""
        account = self.trial.account
        if decision is None and self.trial.is_switching != self._was_switching:
            self._was_switching = self.trial.is_switching
            _log.info(
                "All requests go to the new version."
                if self._was_switching
                else "The new version gets few requests again.",
                service=order.service,
                sent=account.sent(),
                reserved=account.total,
                allowed=account.allowed(),
            )
        if decision is not None and not self._has_logged_end:
            self._has_logged_end = True
            _log.info(
                "Move is decided.",
                service=order.service,
                target=order.target,
                end=str(decision.end),
                reason=decision.reason,
                answers=decision.answers,
                failures=decision.failures,
                sent=account.sent(),
                reserved=account.total,
                allowed=account.allowed(),
            )
