"""Recovery of the grants of a router incarnation that is dead or frozen.

The steps are: remove its registration, mark its grants as sealing, list the
agents, ask every one of them to seal the incarnation, close the grants at the
sums. An agent that starts later reads no registration and refuses the incarnation.
"""

from pistachiowell.budgets.page import CloseGrant, LowerGrant


class SealReports:
    """Collects the reports of all agents about one incarnation.

    Args:
        incarnation: The router incarnation.
        agents: Incarnations of the agents, listed after the registration of the
            router was removed.

    Examples:
        >>> from pistachiowell.schema.generated.messages_budgets import (
        ...     GrantSum, SealReport)
        >>> reports = SealReports("router-1", ["a", "b"])
        >>> reports.add(SealReport("router-1", "a", [GrantSum("g", "router-1", 7)]))
        >>> sorted(reports.missing)
        ['b']
        >>> reports.add(SealReport("router-1", "b"))
        >>> reports.complete
        True
        >>> reports.used_tokens("g")
        7
    """

    __slots__ = ("_agents", "_by_agent", "_incarnation")

    def __init__(self, incarnation, agents):
        self._incarnation = incarnation
        self._agents = frozenset(agents)
        self._by_agent = {}

    @property
    def incarnation(self):
        """The router incarnation."""
        return self._incarnation

    @property
    def missing(self):
        """Agents that have not answered."""
        return self._agents - self._by_agent.keys()

    @property
    def complete(self):
        """Whether every agent has answered."""
        return not self.missing

    @property
    def still_running(self):
        """Whether attempts under the grants still run at some agent."""
        return any(s.running_tokens for s in self._sums())

    @property
    def receipts(self):
        """Receipts of the incarnation that were not journaled."""
        return [r for report in self._by_agent.values() for r in report.receipts]

    def add(self, report):
        """Takes a report; a later one of the same agent replaces an earlier one."""
        if report.agent in self._agents and report.incarnation == self._incarnation:
            self._by_agent[report.agent] = report

    def used_tokens(self, grant_id, router=None):
        """Returns what ended attempts used under a grant, of one router or all."""
        return sum(s.used_tokens for s in self._sums(grant_id, router))

    def running_tokens(self, grant_id, router=None):
        """Returns what running attempts reserve under a grant."""
        return sum(s.running_tokens for s in self._sums(grant_id, router))

    def changes(self, page):
        """Decides what becomes of the incarnation's grants in a page.

        Args:
            page: A ``BudgetPage``.

        Returns:
            ``CloseGrant`` for grants with nothing running, ``LowerGrant`` for the
            others; none while an agent has not answered.
        """
        if not self.complete:
            return []
        return [
            self._change(name, grant_id)
            for name, account in page.accounts.items()
            for grant_id, grant in account.grants.items()
            if grant.sealing and grant.holder == self._incarnation
        ]

    def _change(self, account, grant_id):
        used = self.used_tokens(grant_id)
        running = self.running_tokens(grant_id)
        if running:
            return LowerGrant(account, grant_id, used + running)
        return CloseGrant(account, grant_id, used)

    def _sums(self, grant_id=None, router=None):
        for report in self._by_agent.values():
            for entry in report.sums:
                if grant_id in (None, entry.grant_id) and router in (
                    None,
                    entry.router,
                ):
                    yield entry
