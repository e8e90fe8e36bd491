"""Recovery of the grants of a router incarnation that is dead or frozen.

Unspent tokens of a dead holder stay set aside until its grants are closed, but a holder
that only seems dead may go on spending them. Recovery therefore fences the incarnation
first, in this order:

1. Remove its registration. An agent that starts later reads no registration and
   refuses the incarnation.
2. Mark its grants as fenced in the pages, so that they cannot grow.
3. List the agents, and ask every one of them to fence the incarnation and to report
   what was used under its grants. An agent that has answered admits nothing more from
   it.
4. Once all agents have answered, close the grants at the reported sums, or lower them
   to what is used and still running. Only then is it certain that nothing more is
   spent, and the unused tokens become free.

Closing before all agents have answered would free tokens that an unreachable agent has
used or still uses, and the budget would be overspent.
"""

from dataclasses import dataclass

from pistachiowell.budgets.journal import entry_key
from pistachiowell.budgets.page import CloseGrant, LowerGrant
from pistachiowell.schema.generated.objects_budgets import DepartedAgent

DEPARTED_COLLECTION = "departedagents"


@dataclass(frozen=True, slots=True)
class StoppedAgent:
    """An agent incarnation that has shut down or crashed.

    Attributes:
        version: Version of the store object with the record. A grant opened from a
            page of this version or a later one was never used at the agent.
        record: The ``DepartedAgent``; its sums are complete after a shutdown and
            unknown after a crash.
    """

    version: int
    record: DepartedAgent


def usage_at_stopped_agent(stopped, reservation, entries):
    """Returns the tokens that a reservation used at an agent that has stopped.

    Args:
        stopped: The ``StoppedAgent``.
        reservation: Object with ``router``, ``reservation_id``, ``tokens`` and
            the grant's ``page_version``.
        entries: Journal entries that the agent wrote when it shut down.

    Returns:
        Tokens; the whole reservation if the receipt may have been lost in a crash.
    """
    if stopped.record.complete:
        key = (reservation.router, reservation.reservation_id)
        return max((e.tokens for e in entries if entry_key(e) == key), default=0)
    if stopped.version <= reservation.page_version:
        return 0
    return reservation.tokens


class FenceReports:
    """Collects the reports of all agents about one fenced incarnation.

    Args:
        incarnation: The fenced router incarnation.
        agents: Incarnations of the agents, listed after the registration of the
            router was removed, so that no agent that may have accepted it is missed.
        stopped: ``StoppedAgent`` of each agent that has stopped, listed after
            ``agents``, so that an agent that stops in between is in one of the two.

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

    __slots__ = ("_agents", "_by_agent", "_stopped", "_incarnation")

    def __init__(self, incarnation, agents, stopped=()):
        self._incarnation = incarnation
        self._agents = frozenset(agents)
        self._by_agent = {}
        self._stopped = tuple(stopped)

    @property
    def incarnation(self):
        """The fenced router incarnation."""
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
        """Whether attempts under the grants still run at an agent that has answered."""
        return any(s.running_tokens for s in self._reported_sums())

    @property
    def reports(self):
        """The latest report of each agent that has answered."""
        return list(self._by_agent.values())

    def add(self, report):
        """Adds a report; a later one of the same agent replaces an earlier one.

        Args:
            report: A ``SealReport``; ignored if it is about another incarnation or
                from an agent that was not asked.
        """
        if report.agent in self._agents and report.incarnation == self._incarnation:
            self._by_agent[report.agent] = report

    def has_all_sums(self, page_version):
        """Returns whether the sums of all agents that may have used a grant are known.

        They are not if a crashed agent may have run requests under the grant: closing
        it at the other sums could free tokens that were used.

        Args:
            page_version: The grant's ``page_version``.
        """
        return all(
            agent.record.complete or agent.version <= page_version
            for agent in self._stopped
        )

    def used_tokens(self, grant_id, router=None):
        """Returns the tokens that ended attempts used under a grant.

        Args:
            grant_id: Id of the grant.
            router: Incarnation whose attempts count; None for all.
        """
        stored = [s for agent in self._stopped for s in agent.record.sums]
        sums = [
            *self._reported_sums(grant_id, router),
            *_select(stored, grant_id, router),
        ]
        return sum(s.used_tokens for s in sums)

    def running_tokens(self, grant_id, router=None):
        """Returns the tokens that running attempts have reserved under a grant."""
        return sum(s.running_tokens for s in self._reported_sums(grant_id, router))

    def changes(self, page):
        """Returns the changes that recover the incarnation's grants in a page.

        Args:
            page: A ``BudgetPage``.

        Returns:
            ``CloseGrant`` for grants with nothing running, ``LowerGrant`` for the
            others; none while an agent has not answered, and none for a grant that
            a crashed agent may have used.
        """
        if not self.complete:
            return []
        return [
            self._change(name, grant_id)
            for name, account in page.accounts.items()
            for grant_id, grant in account.grants.items()
            if grant.sealing and grant.holder == self._incarnation
            if self.has_all_sums(grant.page_version)
        ]

    def _change(self, account, grant_id):
        used = self.used_tokens(grant_id)
        running = self.running_tokens(grant_id)
        if running:
            return LowerGrant(account, grant_id, used + running)
        return CloseGrant(account, grant_id, used)

    def _reported_sums(self, grant_id=None, router=None):
        sums = [s for report in self._by_agent.values() for s in report.sums]
        return _select(sums, grant_id, router)


def _select(sums, grant_id, router):
    return [
        s for s in sums if grant_id in (None, s.grant_id) and router in (None, s.router)
    ]
