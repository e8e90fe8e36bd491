"""Sends a second attempt beside one whose answer is slow.

The decision is in ``routing/hedging.py``.
"""

from functools import partial

from pistachiowell.core.errors import PistachiowellError
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.connections import ServerErrorAnswer
from pistachiowell.gateway.load import TimeReports
from pistachiowell.gateway.requests.attempt_records import attempt_failure
from pistachiowell.gateway.requests.race import Race
from pistachiowell.routing import HEDGE_POLICIES, HedgeDenial, HedgeSettings

_log = part_logger("hedges")


class Hedges:
    """Runs the first attempt of a request, and if it is slow a second one beside it.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        handlers: Handlers of the links to agents; this registers its own.
        selection: The ``Selection``.
        crashes: The ``ServerCrashes``.
        retry_shares: The ``RetryShares``.
        loop_watch: The ``LoopWatch``; a gateway that is late itself finds no server
            slow.
        refused_share: Function that returns the share of the requests that this gateway
            refuses at present.
    """

    __slots__ = (
        "_crashes",
        "_deadline",
        "_policy",
        "_refused_share",
        "_reports",
        "_retry_shares",
        "_runtime",
        "_selection",
        "_settings",
    )

    def __init__(
        self,
        runtime,
        fleet,
        handlers,
        selection,
        crashes,
        retry_shares,
        loop_watch,
        refused_share,
    ):
        self._runtime = runtime
        self._selection = selection
        self._crashes = crashes
        self._retry_shares = retry_shares
        self._deadline = loop_watch.deadline
        self._refused_share = refused_share
        settings = HedgeSettings(share=runtime.settings.hedge_share)
        self._settings = settings
        self._policy = HEDGE_POLICIES.find(settings.policy)(settings)
        loop_watch.add_transit_listener(self._policy.record_transit)
        shared, self._reports = self._policy.shared, None
        if settings.share > 0 and shared is not None:
            self._reports = TimeReports(runtime, fleet, shared, handlers)

    async def run_reports(self):
        """Shares the times of answers with other gateways until cancelled."""
        if self._reports is not None:
            await self._reports.run()

    def record_refusal(self, service):
        """Records that a server of a service has refused a request."""
        self._policy.record_refusal(service, self._runtime.now())

    async def run(self, run, first, second):
        """Runs the attempts until one has answered or all have failed.

        A whole answer is sent to the caller here.

        Args:
            run: The ``Run``.
            first: Async function of a ``Lane`` that runs the attempt.
            second: Async function of a ``Choice`` and a ``Lane`` that runs another one.

        Raises:
            PistachiowellError: The error of the attempt, or of one of the two.
        """
        race = Race(
            self._runtime.now,
            lambda error: run.retries.record_failure(attempt_failure(error)),
            self._runtime.clients.answers,
        )
        try:
            if self._may_need_hedge(run):
                await self._run_race(race, run, first, second)
            else:
                await first(race.lane())
        finally:
            # From here on it counts as what the caller has not read.
            answer = race.take_answer()
        if answer is not None:
            await run.writer.send_complete(*answer)

    async def _run_race(self, race, run, first, second):
        kind = (run.service, run.request.route.name)
        self._policy.record_request(kind)
        lane, other = race.lane(), race.lane()
        async with race.task_group() as group:
            group.start_soon(lane.run, first)
            was_slow = await self._wait(lane, kind)
            choice = self._choose(run, kind) if was_slow else None
            if choice is not None:
                await other.run(partial(second, choice))
                self._count_end(race, other)
        if race.winner is None:
            raise _failure(race.errors)
        if lane.error is None:
            self._policy.record_answer(
                kind, race.time_s, self._runtime.now(), was_slow=was_slow
            )

    def _may_need_hedge(self, run):
        # A second attempt at a prompt would double the work of the engines, and a
        # stream without events is moved to another server anyway.
        request, route = run.request, run.request.route
        return (
            self._settings.share > 0
            and run.retries.attempts == 1
            and route.is_idempotent
            and not route.has_prompts
            and request.prompt is None
            and route.max_attempts > 1
        )

    async def _wait(self, lane, kind):
        """Waits for the end of an attempt; returns whether it is slow."""
        delay_s = self._policy.delay_s(kind, self._runtime.now())
        if delay_s is not None:
            with self._deadline(delay_s):
                await lane.ended.wait()
        if delay_s is None or lane.ended.is_set():
            return False
        self._policy.record_slow(kind)
        return True

    def _choose(self, run, kind):
        """Returns the ``Choice`` for a hedge, which is paid for; None for no hedge."""
        # Without a server the first attempt still waits to be admitted.
        if not run.tried or not self._may_send_beside(run):
            return None
        now, retry_share = self._runtime.now(), self._retry_shares.of(run.service)
        left_s = run.request.deadline - now
        refused_share = self._refused_share()
        denial = self._policy.denial(kind, left_s, now, refused_share=refused_share)
        choice = None
        if denial is None:
            choice = self._selection.choose_hedge(
                run.request,
                run.service,
                run.tried,
                run.rank,
                self._settings.max_load_per_slot,
            )
            if choice is None:
                denial = HedgeDenial.room
            elif not self._policy.try_spend(retry_share, now):
                denial = HedgeDenial.budget
        if denial is not None:
            self._runtime.metrics.count(f"hedges.unsent.{denial}")
            return None
        self._runtime.metrics.count("hedges.sent")
        _log.info(
            "Answer is slow; the request is sent to a second server, too.",
            request=run.request.id,
            server=choice.server.id,
            after_s=round(now - run.request.received_at, 3),
        )
        return choice

    def _may_send_beside(self, run):
        if self._selection.has_open_move(run.service):
            return False
        if not run.retries.may_send_beside(self._runtime.now()):
            return False
        try:
            return not self._crashes.check(run.request)
        except PistachiowellError:
            return False

    def _count_end(self, race, lane):
        if race.winner is lane:
            self._runtime.metrics.count("hedges.won")
        elif race.winner is not None and lane.error is None:
            self._runtime.metrics.count("hedges.cancelled")


def _failure(errors):
    """Returns the error that the retry is judged by; an earlier one has counted."""
    # An answer of a server is told as it is rather than the fault of another one.
    answers = [error for error in errors if isinstance(error, ServerErrorAnswer)]
    return (answers or errors)[-1]
