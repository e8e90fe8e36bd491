"""Simulates budgets and measures their store traffic and false refusals.

Run ``python -m pistachiowell.bench.budgets``. The decisions are those of the real
``GrantHolder`` and ``choose_owner``. The rest is a model in one process: budget pages
in memory that answer at once, simulated time, and a fixed seed. Owner routers call
each other without links, and each reservation is settled at once.
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
SHARED_ACCOUNTS_SHARE = 0.01
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

    Attributes:
        reads: Number of reads.
        writes: Number of writes.
        bytes: Bytes read and written.
        down: Whether the store is down, so that reads and writes fail.
    """

    __slots__ = ("_count", "_pages", "_version", "bytes", "down", "reads", "writes")

    def __init__(self, count):
        self._count = count
        self._pages = defaultdict(BudgetPage)
        self._version = 0
        self.down = False
        self.reset()

    def reset(self):
        """Resets the counts of reads, writes and bytes."""
        self.reads = 0
        self.writes = 0
        self.bytes = 0

    def credit(self, account, tokens):
        """Credits tokens to an account."""
        number = page_number(account, self._count)
        change = TopUp(account, "first", tokens)
        self._pages[number] = apply_changes(self._pages[number], [change])

    def free(self, account):
        """Returns the tokens of an account that are in no grant."""
        page = self._pages[page_number(account, self._count)]
        return free_tokens(page.accounts[account])

    def largest_bytes(self):
        """Returns the size of the largest page in bytes."""
        return max(len(encode_page(page)) for page in self._pages.values())

    def sync(self, holder, number, now):
        """Reads a page and writes the holder's planned changes, as the driver does.

        Args:
            holder: A ``GrantHolder``.
            number: Number of the page.
            now: Simulated time in seconds.
        """
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


class OwnerRouter:
    """Router that owns pages and reserves from their budgets.

    Args:
        name: Incarnation.
        pages: The ``Pages``.
        count: Number of pages.
        policy: Sizing policy.
        peers: Lists of owner routers by account, from which it recalls grants.
    """

    __slots__ = ("_number", "_pages", "_peers", "holder")

    def __init__(self, name, pages, count, policy, peers):
        self.holder = GrantHolder(name, count, policy)
        self._pages = pages
        self._peers = peers
        self._number = 0

    def spend(self, account, tokens, now):
        """Reserves tokens and settles them at once; returns whether that succeeded."""
        self._number += 1
        name = f"r{self._number}"
        holder = self.holder
        if holder.reserve(account, name, holder.incarnation, tokens, now) is None:
            self._refill(account, name, tokens, now)
            if holder.reserve(account, name, holder.incarnation, tokens, now) is None:
                holder.ledger(account).cancel(name)
                return False
        holder.settle(account, name, holder.incarnation, tokens, now)
        return True

    def _refill(self, account, name, tokens, now):
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

    def renew(self, now):
        """Renews, returns and refills grants, as the driver's timer does."""
        for number in self.holder.page_numbers:
            for account in self.holder.accounts(number):
                self.holder.retire_idle(account, now)
            if self.holder.has_changes(number, now):
                self._pages.sync(self.holder, number, now)


@dataclass(frozen=True, slots=True)
class StoreTraffic:
    """Store traffic of budget pages.

    Attributes:
        pages: Number of budget pages.
        writes_per_s: Conditional updates per second.
        reads_per_s: Reads per second.
        bytes_per_s: Bytes read and written per second.
        bytes_per_s_and_router: Bytes read and written per second and router.
        largest_page_bytes: Size of the largest page.
        refused: Number of refused reservations.
    """

    pages: int
    writes_per_s: float
    reads_per_s: float
    bytes_per_s: float
    bytes_per_s_and_router: float
    largest_page_bytes: int
    refused: int


def measure_store_traffic(accounts, page_count, warm_up_s, duration_s):
    """Simulates the traffic of all accounts and measures the calls to the store.

    The demand of accounts follows Zipf's law. The busiest hundredth of them spends in
    every data centre, the others in one. Each credit covers the demand of a day.

    Args:
        accounts: Number of budgets.
        page_count: Number of budget pages.
        warm_up_s: Simulated seconds before the measurement.
        duration_s: Simulated seconds of the measurement.

    Returns:
        The ``StoreTraffic`` after the warm-up.
    """
    pages = Pages(page_count)
    weights = [1.0 / (rank + 1) for rank in range(accounts)]
    scale = TOKENS_PER_S / sum(weights)
    owners = {}
    peers = defaultdict(list)
    load = []
    for rank, weight in enumerate(weights):
        account = f"account-{rank}"
        pages.credit(account, int(weight * scale * 24 * 3600))
        shared = rank < accounts * SHARED_ACCOUNTS_SHARE
        data_centres = range(DATA_CENTRES) if shared else [rank % DATA_CENTRES]
        for data_centre in data_centres:
            owner = _add_owner(owners, peers, pages, page_count, account, data_centre)
            tokens = int(weight * scale * TICK_S / len(data_centres))
            load.append((owner, account, max(tokens, 1)))
    refused = 0
    ticks = int((warm_up_s + duration_s) / TICK_S)
    for tick in range(ticks):
        now = tick * TICK_S
        if now == warm_up_s:
            pages.reset()
            refused = 0
        for owner, account, tokens in load:
            refused += not owner.spend(account, tokens, now)
        for owner in owners.values():
            owner.renew(now)
    routers = DATA_CENTRES * ROUTERS_PER_DATA_CENTRE
    return StoreTraffic(
        page_count,
        round(pages.writes / duration_s, 2),
        round(pages.reads / duration_s, 2),
        round(pages.bytes / duration_s),
        round(pages.bytes / duration_s / routers),
        pages.largest_bytes(),
        refused,
    )


def _add_owner(owners, peers, pages, page_count, account, data_centre):
    routers = [f"router-{data_centre}-{n}" for n in range(ROUTERS_PER_DATA_CENTRE)]
    name = choose_owner(page_number(account, page_count), routers)
    if name not in owners:
        owners[name] = OwnerRouter(name, pages, page_count, "adaptive", peers)
    peers[account].append(owners[name])
    return owners[name]


@dataclass(frozen=True, slots=True)
class Refusals:
    """False refusals in one scenario.

    Attributes:
        scenario: Name of the scenario.
        policy: Sizing policy.
        requests: Number of requests.
        refused: Number of requests that were refused although the budget had enough
            tokens for them.
        overspend_tokens: Tokens spent beyond the budget.
        stranded_tokens: Tokens left unspent when the run ended.
        writes: Number of page writes.
    """

    scenario: str
    policy: str
    requests: int
    refused: int
    overspend_tokens: int
    stranded_tokens: int
    writes: int


def measure_refusals(scenario, policy):
    """Spends one budget through five owner routers until it is empty.

    The budget lasts for about an hour. A request that is refused although the budget
    has enough tokens for it is a false refusal: the tokens are in grants of the other
    owners, or the store is down.

    Args:
        scenario: ``calm``, ``outage`` (the store is down for ten minutes) or
            ``skewed`` (the same outage, and one owner receives at least nine tenths
            of the requests).
        policy: Sizing policy.

    Returns:
        The ``Refusals``.
    """
    rng = Random(7)
    pages = Pages(1)
    peers = defaultdict(list)
    owners = [
        OwnerRouter(f"home-{n}", pages, 1, policy, peers) for n in range(DATA_CENTRES)
    ]
    peers["shop"] = owners
    requests_per_s = 4
    budget = requests_per_s * 3600 * REQUEST_TOKENS + 120
    pages.credit("shop", budget)
    spent = requests = refused = 0
    for step in range(requests_per_s * 4000):
        now = step / requests_per_s
        pages.down = scenario != "calm" and 600 <= now < 1200
        owner = owners[_pick_owner(rng, scenario)]
        tokens = rng.randint(100, 2 * REQUEST_TOKENS - 100)
        requests += 1
        if owner.spend("shop", tokens, now):
            spent += tokens
        elif spent + tokens <= budget:
            refused += 1
        elif budget - spent < 100:
            break
        if step % requests_per_s == 0:
            for each in owners:
                each.renew(now)
    return Refusals(
        scenario,
        policy,
        requests,
        refused,
        max(spent - budget, 0),
        budget - spent,
        pages.writes,
    )


def _pick_owner(rng, scenario):
    if scenario == "skewed" and rng.random() < 0.9:
        return 0
    return rng.randrange(DATA_CENTRES)


def main(argv):
    """Runs the simulations and prints the figures as JSON lines."""
    del argv
    for scenario in ("calm", "outage", "skewed"):
        for policy in ("exact", "fixed", "adaptive"):
            print(json.dumps(asdict(measure_refusals(scenario, policy))), flush=True)
    for pages in _PAGES.value:
        traffic = measure_store_traffic(
            _ACCOUNTS.value, int(pages), _WARM_UP_S.value, _DURATION_S.value
        )
        print(json.dumps(asdict(traffic)), flush=True)


if __name__ == "__main__":
    app.run(main)
