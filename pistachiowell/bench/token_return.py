"""Model of what grants cost: tokens at risk, page writes and refusals in outages.

Run ``python -m pistachiowell.bench.token_return`` for the table of
``docs/design/token_return.md``. The decisions are those of the real ``GrantHolder``.
The rest is a model in one process: one owner, pages that answer at once, simulated time
and a fixed seed. Accounts differ in how long their credit lasts. Their rate falls to a
fifth and rises to the threefold at random. The store is away for 8.4 s from 5 s after
the start on, and again half a minute later.
"""

import json
from dataclasses import asdict, dataclass, replace

from absl import app

from pistachiowell.budgets import GrantHolder
from pistachiowell.budgets.page import TopUp, apply_changes, apply_plan, page_number
from pistachiowell.budgets.sizing import SizingSettings
from pistachiowell.core.rng import Random
from pistachiowell.schema.generated.objects_budgets import BudgetPage

PAGES = 4
ACCOUNTS = 24
LENGTH_S = 50.0
STEP_S = 0.05
CHECK_S = 0.5
RETIRE_S = 2.0
OUTAGE_S = 8.4
OUTAGES_AT = (5.0, 30.0)
PEAK_FACTOR = 3.0
LOW_FACTOR = 0.2
PHASE_S = 6.0
REQUESTS_PER_S = 6.0
REQUEST_TOKENS = 2_000
USED_SHARE = 0.4
SERVICE_S = 0.6
# Seconds of the mean use that the credit of an account covers.
CREDITS_S = (40.0, 100.0, 1_000.0)

BEFORE = SizingSettings(
    policy="proportional",
    horizon_s=6.0,
    long_horizon_s=24.0,
    first_grant_requests=4,
    rate_window_s=5.0,
    renew_after_s=3600.0,
    close_idle_after_s=4.0,
)
BOUNDED = replace(
    BEFORE,
    long_horizon_s=48.0,
    first_rate_s=1.0,
    free_share=0.12,
    least_horizon_s=1.5,
    return_share=2.0,
)
VARIANTS = {
    "settings before": BEFORE,
    "rate over its age": replace(BEFORE, first_rate_s=1.0),
    "bounded": BOUNDED,
    "bounded, return above 4": replace(BOUNDED, return_share=4.0),
    "bounded, return above 1.5": replace(BOUNDED, return_share=1.5),
    "bounded, 35 % of what is free": replace(BOUNDED, free_share=0.35),
    "bounded, 20 % of what is free": replace(BOUNDED, free_share=0.2),
    "bounded, 8 % of what is free": replace(BOUNDED, free_share=0.08),
    "bounded, at least 0 s": replace(BOUNDED, least_horizon_s=0.0),
    "bounded, at least 1 s": replace(BOUNDED, least_horizon_s=1.0),
    "bounded, at least 2 s": replace(BOUNDED, least_horizon_s=2.0),
    "bounded, long 24 s": replace(BOUNDED, long_horizon_s=24.0),
    "bounded, long 36 s": replace(BOUNDED, long_horizon_s=36.0),
    "bounded, 3 % of much": replace(BOUNDED, long_share=0.03),
    "bounded, refill at 0.7": replace(BOUNDED, refill_share=0.7),
}


@dataclass(frozen=True, slots=True)
class Cost:
    """What a variant costs.

    Attributes:
        variant: Name of the variant.
        writes: Page writes in ``LENGTH_S``.
        lost_mean: Mean over time and accounts of the share of the credit that a power
            loss of all VMs would lose, by ``CREDITS_S``.
        lost_worst: The same at its worst.
        refused: Share of the requests in outages that were refused though the budget
            would have covered them, by ``CREDITS_S``.
    """

    variant: str
    writes: int
    lost_mean: list
    lost_worst: list
    refused: list


class Account:
    """One account and its requests in progress.

    Args:
        number: Its number.
        rng: A ``Random``.
    """

    def __init__(self, number, rng):
        self.name = f"account-{number}"
        self.kind = number % len(CREDITS_S)
        self._rng = rng
        self._base = REQUESTS_PER_S * 2.0 ** rng.uniform(-2, 1)
        per_s = self._base * REQUEST_TOKENS * USED_SHARE
        self.credit = int(CREDITS_S[self.kind] * per_s)
        self.factors = [
            rng.choice((LOW_FACTOR, 1.0, 1.0, PEAK_FACTOR))
            for _ in range(int(LENGTH_S / PHASE_S) + 1)
        ]
        self.open = []
        self.spent = 0

    def arrivals(self, now):
        """Returns the sizes of the requests that arrive in one step."""
        mean = self._base * self.factors[int(now / PHASE_S)] * STEP_S
        count = int(mean) + (self._rng.random() < mean % 1.0)
        size = REQUEST_TOKENS
        return [self._rng.randint(size // 2, size * 3 // 2) for _ in range(count)]


class Model:
    """One owner, its pages and the accounts.

    Args:
        sizing: The ``SizingSettings``.
        seed: Seed of the demand.
    """

    def __init__(self, sizing, seed):
        rng = Random(seed)
        self.accounts = [Account(number, rng) for number in range(ACCOUNTS)]
        self.holder = GrantHolder("agent-1", PAGES, policy=sizing.policy, sizing=sizing)
        self.writes = 0
        self._version = 0
        self._numbers = 0
        self._pages = [BudgetPage() for _ in range(PAGES)]
        for account in self.accounts:
            number = page_number(account.name, PAGES)
            change = TopUp(account.name, "first", account.credit)
            self._pages[number] = apply_changes(self._pages[number], [change])

    def is_down(self, now):
        """Returns whether the store is away."""
        return any(at <= now < at + OUTAGE_S for at in OUTAGES_AT)

    def sync(self, number, now):
        """Writes the planned changes of a page, as the driver does."""
        if self.is_down(now):
            self.holder.on_write_failed(number)
            return
        page = self._pages[number]
        self.holder.observe(number, self._version, page, now)
        new = apply_plan(page, self.holder.plan(number, now))
        if new is not page:
            self._version += 1
            self.writes += 1
            self._pages[number] = new
            self.holder.observe(number, self._version, new, now)

    def request(self, account, tokens, now):
        """Reserves tokens of one request; returns whether that succeeded."""
        self._numbers += 1
        call = (account.name, f"r{self._numbers}", "gate-1", tokens, now)
        reserved = self.holder.reserve(*call)
        if reserved is None:
            self.sync(self.holder.page_of(account.name), now)
            reserved = self.holder.reserve(*call)
        if reserved is None:
            self.holder.ledger(account.name).cancel(call[1])
            return False
        account.open.append((now + SERVICE_S, call))
        return True

    def settle(self, account, now):
        """Settles the requests that have ended."""
        while account.open and account.open[0][0] <= now:
            _, call = account.open.pop(0)
            used = int(call[3] * USED_SHARE)
            account.spent += used
            self.holder.settle(*call[:3], used, now)

    def check(self, now, *, retires):
        """Adjusts the grants, as the driver's timer does."""
        for number in self.holder.page_numbers:
            for name in self.holder.accounts(number) if retires else ():
                self.holder.retire_idle(name, now)
            if self.holder.has_changes(number, now):
                self.sync(number, now)

    def lost_share(self, account):
        """Returns the share of the credit that a power loss would lose now."""
        grants = self.holder.ledger(account.name).grants.values()
        return sum(g.amount - g.committed_tokens for g in grants) / account.credit


def measure(variant, sizing, seeds=(1, 2, 3)):
    """Plays the load for each seed and returns the mean ``Cost``."""
    kinds = range(len(CREDITS_S))
    lost, asked, refused = [[] for _ in kinds], [0 for _ in kinds], [0 for _ in kinds]
    writes = 0
    for seed in seeds:
        model = Model(sizing, seed)
        for step in range(int(LENGTH_S / STEP_S)):
            _play_step(model, step, lost, asked, refused)
        writes += model.writes
    return Cost(
        variant,
        writes // len(seeds),
        [round(sum(shares) / len(shares), 3) for shares in lost],
        [round(max(shares), 3) for shares in lost],
        [round(r / max(a, 1), 3) for r, a in zip(refused, asked, strict=True)],
    )


def _play_step(model, step, lost, asked, refused):
    now = step * STEP_S
    for account in model.accounts:
        model.settle(account, now)
        for tokens in account.arrivals(now):
            is_served = model.request(account, tokens, now)
            reserved = sum(call[3] for _, call in account.open)
            would_fit = account.spent + reserved + tokens <= account.credit
            if model.is_down(now) and (is_served or would_fit):
                asked[account.kind] += 1
                refused[account.kind] += not is_served
    if step % int(CHECK_S / STEP_S) == 0:
        model.check(now, retires=step % int(RETIRE_S / STEP_S) == 0)
        for account in model.accounts:
            lost[account.kind].append(model.lost_share(account))


def main(argv):
    """Runs all variants and prints one JSON line for each."""
    del argv
    for name, sizing in VARIANTS.items():
        print(json.dumps(asdict(measure(name, sizing))), flush=True)


if __name__ == "__main__":
    app.run(main)
