"""State machine of budgets over returns of the store from an older copy.

Holders reserve and settle at random; their writes may be delayed, the store returns
from older copies, and holders are killed while a gateway knows of their grants. At any
time no more may be used than was paid for, and at the end the rest can be spent.
"""

import itertools

import pytest
from hypothesis import HealthCheck, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from pistachiowell.budgets.holder import GrantHolder
from pistachiowell.budgets.page import (
    RestoreClosed,
    RestoreGrant,
    SetCredit,
    apply_changes,
    free_tokens,
)
from pistachiowell.budgets.restoring import SETTLE_S
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.schema.generated.objects_budgets import BudgetAccount, BudgetPage
from pistachiowell.store.era import REVISION_BITS

PAID_TOKENS = 300
REQUEST_TOKENS = 50
HOLDERS = 3
MAX_COPIES = 3
STEPS = 60


class _Store:
    """One page with versions, eras and copies."""

    def __init__(self):
        credit = SetCredit("shop", PAID_TOKENS, 1)
        self.page = apply_changes(BudgetPage(), [credit])
        self.revision = 1
        self.era = 1
        self.copies = []

    @property
    def version(self):
        return (self.era << REVISION_BITS) + self.revision

    def write(self, page, expected):
        """Writes the page if it still has the expected version."""
        if expected != self.version:
            return False
        self.revision += 1
        self.page = page
        return True


class Returns(RuleBasedStateMachine):
    """Holders of grants of one account, a store, and what gateways were told."""

    knows_returns = True

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = _Store()
        self.ids = itertools.count()
        self.used = 0
        self.notices = {}
        self.holders = {}
        self.open = []
        self.notices_due_until = 0.0
        for index in range(HOLDERS):
            self._start(index)
        self.now += SETTLE_S

    def _start(self, index):
        sizing = SizingSettings(
            policy="proportional", horizon_s=4.0, close_idle_after_s=1.0
        )
        name = f"run-{next(self.ids)}"
        holder = GrantHolder(
            name, 1, policy=sizing.policy, sizing=sizing, started_at=self.now
        )
        self.holders[index] = holder

    def _sync(self, index):
        """Plans on the page as read now, and writes it."""
        holder = self.holders[index]
        holder.observe(0, self.store.version, self.store.page, self.now)
        changes = self._noticed(holder) + holder.plan(0, self.now)
        page = apply_changes(self.store.page, changes)
        if page is not self.store.page:
            assert self.store.write(page, self.store.version)
            holder.observe(0, self.store.version, self.store.page, self.now)
        for news in holder.drain_news():
            self.notices[news.grant_id] = (holder.incarnation, news)

    def _noticed(self, holder):
        if not self.knows_returns or self.now > self.notices_due_until:
            return []
        return [
            RestoreClosed("shop", grant_id, news.tokens)
            if news.is_closed
            else RestoreGrant("shop", grant_id, owner, news.tokens, is_exact=False)
            for grant_id, (owner, news) in self.notices.items()
            if owner != holder.incarnation
        ]

    @rule(index=strategies.integers(0, HOLDERS - 1))
    def reserve(self, index):
        holder, reservation = self.holders[index], f"r-{next(self.ids)}"
        reserved = holder.reserve("shop", reservation, "g", REQUEST_TOKENS, self.now)
        if reserved is None:
            self._sync(index)
            reserved = holder.reserve(
                "shop", reservation, "g", REQUEST_TOKENS, self.now
            )
        if reserved is None:
            holder.ledger("shop").cancel(reservation)
        else:
            self.open.append((index, holder, reservation))

    @precondition(lambda self: self.open)
    @rule(
        tokens=strategies.sampled_from([0, 20, REQUEST_TOKENS]), data=strategies.data()
    )
    def settle(self, tokens, data):
        position = data.draw(strategies.integers(0, len(self.open) - 1))
        index, holder, reservation = self.open.pop(position)
        self.used += tokens
        if self.holders[index] is holder:
            holder.settle("shop", reservation, "g", tokens, self.now)

    @rule(index=strategies.integers(0, HOLDERS - 1))
    def retire_and_sync(self, index):
        self.holders[index].retire_idle("shop", self.now)
        self._sync(index)

    @rule(seconds=strategies.sampled_from([0.1, 0.5, 1.5]))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def take_copy(self):
        copied = (self.now, self.store.revision, self.store.page)
        self.store.copies = [*self.store.copies, copied][-MAX_COPIES:]

    @precondition(lambda self: self.store.copies)
    @rule(data=strategies.data(), killed=strategies.sets(strategies.integers(0, 2)))
    def return_from_copy(self, data, killed):
        copies = len(self.store.copies)
        self._return(data.draw(strategies.integers(0, copies - 1)), killed)

    def _return(self, position, killed):
        _, self.store.revision, self.store.page = self.store.copies[position]
        self.store.copies = self.store.copies[: position + 1]
        self.store.era += 1
        for index in killed:
            self._start(index)
        if not self.knows_returns:
            return
        for holder in self.holders.values():
            holder.record_return(self.store.era, self.now)
        self.notices_due_until = self.now + SETTLE_S
        for index in self.holders:
            self._sync(index)

    @rule(index=strategies.integers(0, HOLDERS - 1))
    def kill(self, index):
        self._start(index)

    @invariant()
    def no_more_is_reserved_than_was_paid_for(self):
        assert self.used + len(self.open) * REQUEST_TOKENS <= PAID_TOKENS

    def teardown(self):
        """Heals everything; then what is free can be spent."""
        self.now += 10 * SETTLE_S
        for index, holder in self.holders.items():
            for owner_index, owner, reservation in self.open:
                if owner_index == index and owner is holder:
                    holder.settle("shop", reservation, "g", 0, self.now)
        for _ in range(3):
            self.now += SETTLE_S
            for index in self.holders:
                self.retire_and_sync(index)
        account = self.store.page.accounts.get("shop", BudgetAccount())
        if free_tokens(account) >= REQUEST_TOKENS:
            self.open = []
            self.reserve(0)
            assert self.open, "free tokens can be spent"


class ForgetsReturns(Returns):
    """Goes on from the copy, as if nothing were lost."""

    knows_returns = False


_SETTINGS = settings(
    stateful_step_count=STEPS,
    max_examples=150,
    suppress_health_check=list(HealthCheck),
)


def test_nothing_is_spent_again_after_returns_with_kills():
    run_state_machine_as_test(Returns, settings=_SETTINGS)


@pytest.mark.parametrize("machine", [Returns, ForgetsReturns])
def test_owner_killed_as_the_store_returns_has_its_tokens_spent_again(machine):
    play = machine()
    play.take_copy()
    for _ in range(PAID_TOKENS // REQUEST_TOKENS):
        play.reserve(0)
    play.no_more_is_reserved_than_was_paid_for()
    play._return(0, {0})
    play.now += SETTLE_S
    for _ in range(PAID_TOKENS // REQUEST_TOKENS):
        play.reserve(1)
    if machine is Returns:
        play.no_more_is_reserved_than_was_paid_for()
    else:
        with pytest.raises(AssertionError):
            play.no_more_is_reserved_than_was_paid_for()


def test_holder_that_has_read_no_page_grants_nothing_right_after_a_return():
    """Guards against a second grant of what the page has lost for a moment."""
    holder = GrantHolder("agent-1", 1)
    holder.record_return(2, 100.0)
    page = apply_changes(BudgetPage(era=1), [SetCredit("shop", PAID_TOKENS, 1)])
    holder.reserve("shop", "a", "gate-1", REQUEST_TOKENS, 100.1)
    holder.observe(0, (2 << REVISION_BITS) + 1, page, 100.1)
    assert not holder.plan(0, 100.1)
    assert holder.plan(0, 100.0 + SETTLE_S)
