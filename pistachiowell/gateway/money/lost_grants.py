"""Recovers the tokens that earlier runs of an agent have left in their grants.

``LostGrantRecovery`` runs at an agent, ``GrantUseAnswers`` at each gateway.
"""

import anyio

from pistachiowell.budgets.lost_runs import Stage
from pistachiowell.core.errors import BudgetUnreachable, LinkLost, LinkTimeout
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_budgets import (
    EndHolderRun,
    HolderRunUse,
)

CHECK_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1.0

_log = part_logger("budgets")


class GrantUseAnswers:
    """Answers agents what this gateway has used under the grants of their lost runs.

    Args:
        uses: The ``GrantUses``.
        handlers: Handlers of the links to agents; this registers its own.
    """

    __slots__ = ("_uses",)

    def __init__(self, uses, handlers):
        self._uses = uses
        handlers.on(EndHolderRun, quick=True)(self._handle_end)

    async def _handle_end(self, link, message):
        del link
        return HolderRunUse(message.holder, self._uses.end(message.holder))


class LostGrantRecovery:
    """Asks the gateways of lost runs and closes the grants of these in the pages.

    Args:
        runtime: The process's ``Runtime``.
        runs: The ``LostRuns``.
        pages: The ``GrantPages``, which apply the changes of ``runs``.
        links: The ``LinkSet`` of the links to gateways.
    """

    __slots__ = ("_links", "_pages", "_runs", "_runtime")

    def __init__(self, runtime, runs, pages, links):
        self._runtime = runtime
        self._runs = runs
        self._pages = pages
        self._links = links
        runtime.store.era.add_listener(self._record_return)

    async def run(self):
        """Recovers what can be recovered until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self):
        """Asks once for what is missing and writes what is known."""
        if not self._runs.unfinished:
            return
        links = {x.hello.incarnation: x for x in self._links.links if x.hello}
        async with anyio.create_task_group() as group:
            for run in self._runs.unfinished:
                for gateway in run.to_ask() & links.keys():
                    group.start_soon(self._ask, links[gateway], run)
        for run in self._runs.to_write(self._runtime.now()):
            await self._write(run)
        for run in self._runs.remove_timed_out(self._runtime.now()):
            self._report_lost(run, "gateway")

    async def _ask(self, link, run):
        holder = run.record.holder
        try:
            reply = await link.call(EndHolderRun(holder), CALL_TIMEOUT_S)
        except (LinkLost, LinkTimeout) as error:
            _log.debug("A gateway did not tell what it has used: {}", error)
            return
        if isinstance(reply, HolderRunUse) and reply.holder == holder:
            gateway, now = link.hello.incarnation, self._runtime.now()
            self._runs.record_answer(holder, gateway, reply.sums, now)

    async def _write(self, run):
        """Writes what is known of a run to all pages; it is repeated if that fails."""
        stage = run.stage(self._runtime.now())
        try:
            for number in range(self._runtime.settings.budget_pages):
                await self._pages.sync_page(number)
        except BudgetUnreachable as error:
            _log.debug("Grants of a lost run were not closed: {}", error.message)
            return
        if run not in self._runs.unfinished:
            return
        run.written = stage
        if stage is Stage.EXACT:
            tokens = run.recovered_tokens
            self._count("recovered")
            self._runtime.metrics.count("budgets.recovered_tokens", tokens)
            _log.info(
                "Grants of an earlier run were closed.",
                holder=run.record.holder,
                tokens=tokens,
            )

    def _record_return(self, era):
        del era
        for run in self._runs.record_return():
            self._report_lost(run, "return")

    def _count(self, end):
        self._runtime.metrics.count(f"budgets.lost_runs.{end}")

    def _report_lost(self, run, reason):
        self._count(reason)
        _log.warning(
            "Grants of an earlier run stay lost.",
            holder=run.record.holder,
            tokens=self._pages.unspent_tokens(run.record.holder),
            lost=reason,
            unanswered=len(run.missing),
        )
