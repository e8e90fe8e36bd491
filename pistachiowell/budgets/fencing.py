"""Recovery of the grants of a router incarnation that is dead or frozen.

The steps are: remove its registration, mark its grants as sealing, list the
agents, ask every one of them to seal the incarnation, close the grants at the
sums. An agent that starts later reads no registration and refuses the incarnation.
"""

from dataclasses import dataclass

from pistachiowell.budgets.journal import entry_key
from pistachiowell.budgets.page import CloseGrant, LowerGrant
from pistachiowell.schema.generated.objects_budgets import DepartedAgent

DEPARTED_COLLECTION = "departedagents"


@dataclass(frozen=True, slots=True)
class StoppedAgent:
    """An agent incarnation that runs no more.

    Attributes:
        version: Version of the store object that tells so. A grant opened from a
            page of this version or a later one was never used there.
        record: The ``DepartedAgent``.
    """

    version: int
    record: DepartedAgent


def usage_at_stopped_agent(departed, reservation, entries):
    """Tells what a reservation was used for at an agent that runs no more.

    Args:
        departed: The ``StoppedAgent`` agent.
        reservation: Anything with ``router``, ``reservation_id``, ``tokens`` and
            the grant's ``page_version``.
        entries: Journal entries that the agent wrote when it left.

    Returns:
        Tokens; the whole reservation if the receipt may be lost.
    """
    if departed.record.complete:
        key = (reservation.router, reservation.reservation_id)
        return max((e.tokens for e in entries if entry_key(e) == key), default=0)
    if departed.version <= reservation.page_version:
        return 0
    return reservation.tokens


class FenceReports:
    """Collects the reports of all agents about one incarnation.

    Args:
        incarnation: The router incarnation.
        agents: Incarnations of the agents, listed after the registration of the
            router was removed.
        departed: ``StoppedAgent`` agents, listed after that.

    Examples:
        >>> from pistachiowell.schema.generated.messages_budgets import (
        ...     GrantSum, SealReport)
        >>> reports = FenceReports("router-1", ["a", "b"])
        >>> reports.add(SealReport("router-1", "a", [GrantSum("g", "router-1", 7)]))
        >>> sorted(reports.missing)
        ['b']
        >>> reports.add(SealReport("router-1", "b"))
        >>> reports.complete
        True
        >>> reports.used_tokens("g")
        7
    """

    __slots__ = ("_agents", "_by_agent", "_departed", "_incarnation")

    def __init__(self, incarnation, agents, departed=()):
        self._incarnation = incarnation
        self._agents = frozenset(agents)
        self._by_agent = {}
        self._departed = tuple(departed)

    @property
    def incarnation(self):
        """The router incarnation."""
        return self._incarnation

    @property
    def agents(self):
        """The agents to ask."""
        return sorted(self._agents)

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
    def reports(self):
        """The latest report of each agent that has answered."""
        return list(self._by_agent.values())

    def add(self, report):
        """Takes a report; a later one of the same agent replaces an earlier one."""
        if report.agent in self._agents and report.incarnation == self._incarnation:
            self._by_agent[report.agent] = report

    def resolves(self, page_version):
        """Tells whether no lost agent may have run requests under a grant.

        Args:
            page_version: The grant's ``page_version``.
        """
        return all(
            agent.record.complete or agent.version <= page_version
            for agent in self._departed
        )

    def used_tokens(self, grant_id, router=None):
        """Returns what ended attempts used under a grant, of one router or all."""
        left = [s for agent in self._departed for s in agent.record.sums]
        sums = [*self._sums(grant_id, router), *_select(left, grant_id, router)]
        return sum(s.used_tokens for s in sums)

    def running_tokens(self, grant_id, router=None):
        """Returns what running attempts reserve under a grant."""
        return sum(s.running_tokens for s in self._sums(grant_id, router))

    def changes(self, page):
        """Decides what becomes of the incarnation's grants in a page.

        Args:
            page: A ``BudgetPage``.

        Returns:
            ``CloseGrant`` for grants with nothing running, ``LowerGrant`` for the
            others; none while an agent has not answered, and none for a grant that
            a lost agent may have used.
        """
        if not self.complete:
            return []
        return [
            self._change(name, grant_id)
            for name, account in page.accounts.items()
            for grant_id, grant in account.grants.items()
            if grant.sealing and grant.holder == self._incarnation
            if self.resolves(grant.page_version)
        ]

    def _change(self, account, grant_id):
        used = self.used_tokens(grant_id)
        running = self.running_tokens(grant_id)
        if running:
            return LowerGrant(account, grant_id, used + running)
        return CloseGrant(account, grant_id, used)

    def _sums(self, grant_id=None, router=None):
        sums = [s for report in self._by_agent.values() for s in report.sums]
        return _select(sums, grant_id, router)


def _select(sums, grant_id, router):
    return [
        s for s in sums if grant_id in (None, s.grant_id) and router in (None, s.router)
    ]
