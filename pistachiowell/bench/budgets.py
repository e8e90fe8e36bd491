"""Measures the budget decisions: store traffic at size, and false refusals.

Run ``python -m pistachiowell.bench.budgets``. The decisions of the routers run in
one process against pages in memory; time is simulated and the seed is fixed.
"""

import json
from collections import defaultdict
from dataclasses import asdict, dataclass

from absl import app, flags

from pistachiowell.budgets import GrantHolder, choose_owner
from pistachiowell.budgets.page import (
    TopUp,
    apply_changes,
    encode_page,
    free_tokens,
    page_number,
)
from pistachiowell.core.rng import Random
from pistachiowell.schema.generated.objects_budgets import BudgetPage

DATA_CENTRES = 5
ROUTERS_PER_DATA_CENTRE = 70
TOKENS_PER_S = 1_700_000
SHARED_PART = 0.01
TICK_S = 5.0
REQUEST_TOKENS = 250

_ACCOUNTS = flags.DEFINE_integer("accounts", 12_000, "Number of budgets.")
_PAGES = flags.DEFINE_list("pages", ["256", "1024"], "Numbers of budget pages.")
_DURATION_S = flags.DEFINE_float("duration_s", 900.0, "Simulated seconds measured.")
_WARM_UP_S = flags.DEFINE_float("warm_up_s", 300.0, "Simulated seconds before.")


class Pages:
    """Budget pages in memory that count calls and bytes.

    Args:
        count: Number of pages.
    """

    __slots__ = ("_count", "_pages", "_version", "bytes", "down", "reads", "writes")

    def __init__(self, count):
        self._count = count
        self._pages = defaultdict(BudgetPage)
        self._version = 0
        self.down = False
        self.reset()

    def reset(self):
        """Starts counting anew."""
        self.reads = 0
        self.writes = 0
        self.bytes = 0

    def credit(self, account, tokens):
        """Credits tokens to an account."""
        number = page_number(account, self._count)
        change = TopUp(account, "first", tokens)
        self._pages[number] = apply_changes(self._pages[number], [change])

    def free(self, account):
        """Returns the tokens of an account that no grant holds."""
        page = self._pages[page_number(account, self._count)]
        return free_tokens(page.accounts[account])

    def largest_bytes(self):
        """Returns the size of the largest page."""
        return max(len(encode_page(page)) for page in self._pages.values())

    def sync(self, holder, number, now):
        """Reads a page and writes what a holder plans, as the driver does."""
        if self.down:
            holder.on_write_failed(number)
            return
        self.reads += 1
        page = self._pages[number]
        self.bytes += len(encode_page(page))
        holder.observe(number, self._version, page, now)
        new = apply_changes(page, holder.plan(number, now))
        if new is page:
            return
        self._version += 1
        self._pages[number] = new
        self.writes += 1
        self.bytes += len(encode_page(new))
        holder.observe(number, self._version, new, now)


class Home:
    """One home router's part of a run.

    Args:
        name: Incarnation.
        pages: The ``Pages``.
        count: Number of pages.
        policy: Sizing policy.
        peers: All homes by account, for recalls.
    """

    __slots__ = ("_number", "_pages", "_peers", "holder")

    def __init__(self, name, pages, count, policy, peers):
        self.holder = GrantHolder(name, count, policy)
        self._pages = pages
        self._peers = peers
        self._number = 0

    def spend(self, account, tokens, now):
        """Reserves and settles at once; returns whether it was let through."""
        self._number += 1
        name = f"r{self._number}"
        holder = self.holder
        if holder.reserve(account, name, holder.incarnation, tokens, now) is None:
            self._fetch(account, name, tokens, now)
            if holder.reserve(account, name, holder.incarnation, tokens, now) is None:
                holder.ledger(account).cancel(name)
                return False
        holder.settle(account, name, holder.incarnation, tokens, now)
        return True

    def _fetch(self, account, name, tokens, now):
        holder = self.holder
        number = holder.page_of(account)
        self._pages.sync(holder, number, now)
        if holder.reserve(account, name, holder.incarnation, tokens, now) is not None:
            return
        if self._pages.down:
            return
        for peer in self._peers[account]:
            peer.holder.recall(account, now)
            self._pages.sync(peer.holder, number, now)
        self._pages.sync(holder, number, now)

    def keep(self, now):
        """Renews, gives back and refills, as the driver's timer does."""
        for number in self.holder.page_numbers:
            for account in self.holder.accounts(number):
                self.holder.retire_idle(account, now)
            if self.holder.has_changes(number, now):
                self._pages.sync(self.holder, number, now)


@dataclass(frozen=True, slots=True)
class Traffic:
    """Store traffic of budget pages.

    Attributes:
        pages: Number of budget pages.
        writes_per_s: Conditional updates.
        reads_per_s: Reads.
        bytes_per_s: Bytes of both.
        bytes_per_s_and_router: The same for one router.
        largest_page_bytes: Size of the largest page.
        refused: Refused reservations.
    """

    pages: int
    writes_per_s: float
    reads_per_s: float
    bytes_per_s: float
    bytes_per_s_and_router: float
    largest_page_bytes: int
    refused: int


def measure_traffic(accounts, pages_count, warm_up_s, duration_s):
    """Runs the homes of all data centres over all accounts.

    A hundredth of the accounts, the busiest, is drawn on from every data centre.

    Returns:
        The ``Traffic`` after the warm-up.
    """
    pages = Pages(pages_count)
    weights = [1.0 / (rank + 1) for rank in range(accounts)]
    scale = TOKENS_PER_S / sum(weights)
    homes = {}
    peers = defaultdict(list)
    load = []
    for rank, weight in enumerate(weights):
        account = f"account-{rank}"
        pages.credit(account, int(weight * scale * 24 * 3600))
        shared = rank < accounts * SHARED_PART
        centres = range(DATA_CENTRES) if shared else [rank % DATA_CENTRES]
        for centre in centres:
            home = _home(homes, peers, pages, pages_count, account, centre)
            tokens = int(weight * scale * TICK_S / len(centres))
            load.append((home, account, max(tokens, 1)))
    refused = 0
    ticks = int((warm_up_s + duration_s) / TICK_S)
    for tick in range(ticks):
        now = tick * TICK_S
        if now == warm_up_s:
            pages.reset()
            refused = 0
        for home, account, tokens in load:
            refused += not home.spend(account, tokens, now)
        for home in homes.values():
            home.keep(now)
    routers = DATA_CENTRES * ROUTERS_PER_DATA_CENTRE
    return Traffic(
        pages_count,
        round(pages.writes / duration_s, 2),
        round(pages.reads / duration_s, 2),
        round(pages.bytes / duration_s),
        round(pages.bytes / duration_s / routers),
        pages.largest_bytes(),
        refused,
    )


def _home(homes, peers, pages, pages_count, account, centre):
    routers = [f"router-{centre}-{n}" for n in range(ROUTERS_PER_DATA_CENTRE)]
    name = choose_owner(page_number(account, pages_count), routers)
    if name not in homes:
        homes[name] = Home(name, pages, pages_count, "adaptive", peers)
    peers[account].append(homes[name])
    return homes[name]


@dataclass(frozen=True, slots=True)
class Refusals:
    """False refusals of one scenario.

    Attributes:
        scenario: Name of the scenario.
        policy: Sizing policy.
        requests: Requests made.
        refused: Requests refused while the budget had room for them.
        overspend_tokens: Tokens spent beyond the budget.
        stranded_tokens: Tokens left when the first request was truly refused.
        writes: Page writes.
    """

    scenario: str
    policy: str
    requests: int
    refused: int
    overspend_tokens: int
    stranded_tokens: int
    writes: int


def measure_refusals(scenario, policy):
    """Spends an hour's budget from five homes until it is empty.

    Args:
        scenario: ``calm``, ``outage`` (the store is down for ten minutes) or
            ``skewed`` (the same, and one home has nine tenths of the demand).
        policy: Sizing policy.

    Returns:
        The ``Refusals``.
    """
    rng = Random(7)
    pages = Pages(1)
    peers = defaultdict(list)
    homes = [Home(f"home-{n}", pages, 1, policy, peers) for n in range(DATA_CENTRES)]
    peers["shop"] = homes
    per_s = 4
    budget = per_s * 3600 * REQUEST_TOKENS + 120
    pages.credit("shop", budget)
    spent = requests = refused = 0
    for step in range(per_s * 4000):
        now = step / per_s
        pages.down = scenario != "calm" and 600 <= now < 1200
        home = homes[_pick(rng, scenario)]
        tokens = rng.randint(100, 2 * REQUEST_TOKENS - 100)
        requests += 1
        if home.spend("shop", tokens, now):
            spent += tokens
        elif spent + tokens <= budget:
            refused += 1
        elif budget - spent < 100:
            break
        if step % per_s == 0:
            for one in homes:
                one.keep(now)
    return Refusals(
        scenario,
        policy,
        requests,
        refused,
        max(spent - budget, 0),
        budget - spent,
        pages.writes,
    )


def _pick(rng, scenario):
    if scenario == "skewed" and rng.random() < 0.9:
        return 0
    return rng.randrange(DATA_CENTRES)


def main(argv):
    """Prints the figures as JSON lines."""
    del argv
    for scenario in ("calm", "outage", "skewed"):
        for policy in ("exact", "fixed", "adaptive"):
            print(json.dumps(asdict(measure_refusals(scenario, policy))), flush=True)
    for pages in _PAGES.value:
        traffic = measure_traffic(
            _ACCOUNTS.value, int(pages), _WARM_UP_S.value, _DURATION_S.value
        )
        print(json.dumps(asdict(traffic)), flush=True)


if __name__ == "__main__":
    app.run(main)
