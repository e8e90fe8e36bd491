"""Recovery of the tokens that earlier runs of an agent have left unspent.

Load pattern: the agent that owns a budget page is killed while requests go on. Its next
run asks each gateway run that the lost one has listed what it has used. A gateway that
has answered uses nothing more, so each answer is an upper bound for ever.
"""

from enum import IntEnum

from pistachiowell.budgets.page import CloseGrant, LowerGrant
from pistachiowell.store.era import era_of

# Requests in progress count at their bounds until then, and for good after it.
OPEN_WAIT_S = 10.0
# A gateway that is cut off for a moment answers within it.
ANSWER_WAIT_S = 60.0


class Stage(IntEnum):
    """What is known of the use of a lost run's grants.

    Attributes:
        ASKING: Some gateways have not answered.
        BOUNDED: Requests in progress count at their upper bounds.
        EXACT: No request is in progress, or none is waited for any longer.
    """

    ASKING = 0
    BOUNDED = 1
    EXACT = 2


class LostRun:
    """An earlier run of this agent whose grants are recovered.

    Args:
        record: Its ``HolderRun``.
        now: Time in seconds.

    Attributes:
        record: Its ``HolderRun``.
        written: The ``Stage`` whose changes are in all pages.
    """

    __slots__ = ("_amounts", "_answered_at", "_began_at", "_uses", "record", "written")

    def __init__(self, record, now):
        self.record = record
        self.written = Stage.ASKING
        self._began_at = now
        self._answered_at = None
        self._uses = {}
        self._amounts = {}
        self._record_progress(now)

    @property
    def missing(self):
        """Incarnations of the gateways that have not answered."""
        return set(self.record.gateways) - self._uses.keys()

    @property
    def recovered_tokens(self):
        """Tokens of its grants, as far as they were read, that nobody has used."""
        return sum(
            max(0, amount - sum(self._sums(grant_id)))
            for grant_id, amount in self._amounts.items()
        )

    def to_ask(self):
        """Returns the gateways that have not answered or have requests in progress."""
        busy = {g for g, uses in self._uses.items() if _open_tokens(uses)}
        return self.missing | busy

    def record_answer(self, gateway, sums, now):
        """Records the ``GrantUse`` that a gateway has answered at a time in seconds."""
        if gateway in self.record.gateways:
            self._uses[gateway] = {use.grant_id: use for use in sums}
            self._record_progress(now)

    def stage(self, now):
        """Returns the ``Stage`` at a time in seconds."""
        if self._answered_at is None:
            return Stage.ASKING
        is_open = any(_open_tokens(uses) for uses in self._uses.values())
        if is_open and now - self._answered_at < OPEN_WAIT_S:
            return Stage.BOUNDED
        return Stage.EXACT

    def has_timed_out(self, now):
        """Returns whether a gateway has not answered for ``ANSWER_WAIT_S``."""
        return bool(self.missing) and now - self._began_at >= ANSWER_WAIT_S

    def changes(self, page, now):
        """Returns the changes of a ``BudgetPage`` that free what nobody has used.

        A grant that was opened before the last return of the store is left out: the
        return may have brought it back after its closing.

        Args:
            page: The ``BudgetPage`` as last read.
            now: Time in seconds.
        """
        stage = self.stage(now)
        if stage is Stage.ASKING:
            return []
        return [
            self._change(name, grant_id, grant, stage)
            for name, account in page.accounts.items()
            for grant_id, grant in account.grants.items()
            if grant.holder == self.record.holder
            and era_of(grant.page_version) == self.record.era
        ]

    def _change(self, account, grant_id, grant, stage):
        known = self._amounts.get(grant_id, 0)
        self._amounts[grant_id] = max(known, grant.amount)
        used, reserved = self._sums(grant_id)
        if reserved and stage is Stage.BOUNDED:
            return LowerGrant(account, grant_id, used + reserved)
        return CloseGrant(account, grant_id, used + reserved)

    def _sums(self, grant_id):
        uses = [uses[grant_id] for uses in self._uses.values() if grant_id in uses]
        used = self.record.used.get(grant_id, 0) + sum(u.used_tokens for u in uses)
        return used, sum(use.open_tokens for use in uses)

    def _record_progress(self, now):
        if self._answered_at is None and not self.missing:
            self._answered_at = now


class LostRuns:
    """All earlier runs of this agent that are recovered.

    Examples:
        >>> from pistachiowell.schema.generated.objects_budgets import (
        ...     BudgetAccount, BudgetPage, Grant, HolderRun)
        >>> from pistachiowell.schema.generated.messages_budgets import GrantUse
        >>> runs = LostRuns()
        >>> runs.add([HolderRun("agent-1", 0, ["gate-1"])], 0.0)
        >>> account = BudgetAccount(credited=100, grants={"g": Grant("agent-1", 90)})
        >>> page = BudgetPage(accounts={"shop": account})
        >>> runs.changes(page, 0.0)
        []
        >>> runs.record_answer("agent-1", "gate-1", [GrantUse("g", 30)], 1.0)
        >>> runs.changes(page, 1.0)
        [CloseGrant(account='shop', grant_id='g', used_tokens=30)]
    """

    __slots__ = ("_runs", "_timed_out")

    def __init__(self):
        self._runs = {}
        self._timed_out = set()

    @property
    def unfinished(self):
        """Each ``LostRun`` whose grants are not closed yet."""
        return [run for run in self._runs.values() if run.written < Stage.EXACT]

    @property
    def records(self):
        """The ``HolderRun`` of each unfinished run."""
        return [run.record for run in self.unfinished]

    def add(self, records, now):
        """Begins the recovery of runs, given by their ``HolderRun``.

        A run whose recovery has ended may still be listed and is left out.
        """
        for record in records:
            if record.holder not in self._runs.keys() | self._timed_out:
                self._runs[record.holder] = LostRun(record, now)

    def record_answer(self, holder, gateway, sums, now):
        """Records the answer of a gateway; see ``LostRun.record_answer``."""
        if holder in self._runs:
            self._runs[holder].record_answer(gateway, sums, now)

    def changes(self, page, now):
        """Returns the changes of a page for all runs; see ``LostRun.changes``.

        A grant that shows only after the end of a recovery is closed too.
        """
        return [c for run in self._runs.values() for c in run.changes(page, now)]

    def to_write(self, now):
        """Returns each ``LostRun`` with changes that are not in all pages yet."""
        return [run for run in self.unfinished if run.stage(now) > run.written]

    def remove_timed_out(self, now):
        """Ends the recoveries whose gateways do not answer, and returns them."""
        ended = [run for run in self.unfinished if run.has_timed_out(now)]
        for run in ended:
            del self._runs[run.record.holder]
            self._timed_out.add(run.record.holder)
        return ended

    def record_return(self):
        """Ends all recoveries after a return of the store, and returns them.

        The pages may have become older than the lists and the answers.
        """
        ended = self.unfinished
        self._runs.clear()
        return ended


def _open_tokens(uses):
    return sum(use.open_tokens for use in uses.values())
