"""Tests of two concurrent faults with the real programs.

Budgets must never be overspent, every token must be accounted for, and a
non-idempotent request must never run twice.
"""

from concurrent.futures import ThreadPoolExecutor

import pytest

from pistachiowell.bench.plan import PLAIN, ServerSpec

ACCOUNT = "belt-north"
CREDIT = 6000
TOP_UP = 3000
MAX_REQUEST_TOKENS = 400
FAST_FLAGS = ("--word_s=0.0005",)
SLOW_FACTOR = 100.0
SERVERS = (
    ServerSpec("engine-1", "osu", "chat-1", flags=FAST_FLAGS),
    ServerSpec("engine-2", "tema", "chat-1", flags=FAST_FLAGS),
    ServerSpec("desk-1", "osu", "stock-1", PLAIN),
    ServerSpec("desk-2", "tema", "stock-1", PLAIN),
)
ROUTERS = (("router-1", "osu"), ("router-2", "tema"))


@pytest.fixture
def rig(make_rig):
    return make_rig(
        routers=ROUTERS, servers=SERVERS, relays=True, accounts=((ACCOUNT, CREDIT),)
    )


@pytest.fixture
def pool():
    with ThreadPoolExecutor(4) as executor:
        yield executor


def check_account(rig):
    """Returns the account's report after checking that its tokens add up.

    Charged, granted and free tokens must add up to the credit, and the bill must not
    exceed it.
    """
    code, document = rig.ctl("account", ACCOUNT, "--bill")
    assert code == 0
    parts = document["charged"] + document["granted"] + document["free"]
    assert parts == document["credited"] == CREDIT
    assert sum(document["bill"].values()) <= CREDIT
    return document


def chat(rig, router, words=4):
    return rig.chat(f"hello words={words}", max_tokens=words + 10, router=router)


def spend_all(rig, router):
    """Sends requests until one is refused; returns used tokens and the error code."""
    used_tokens = 0
    while True:
        reply = chat(rig, router, words=100)
        if reply.status != 200:
            return used_tokens, reply.error_code
        used_tokens += reply.document["usage"]["total_tokens"]


def incarnations(rig):
    return {name: r["incarnation"] for name, r in rig.objects("routers").items()}


def wait_fenced(rig, incarnation):
    """Waits until a lost router is fenced and holds no grants any more."""

    def is_fenced():
        return incarnation not in {g["holder"] for g in check_account(rig)["grants"]}

    rig.wait_until(is_fenced, "The lost router's grants are closed.", timeout_s=60)


def test_router_killed_while_the_store_is_down(rig):
    """The grants of a router that is killed during an outage are recovered.

    Once the store is back, the router is fenced, and its unspent tokens can be spent
    through the other router. Otherwise they would be lost to the account.
    """
    assert chat(rig, "router-1").status == 200
    assert chat(rig, "router-2").status == 200
    killed = incarnations(rig)["router-1"]
    rig.store_faults(down=True)
    assert chat(rig, "router-1").status == 200
    rig.kill("router-1")
    assert chat(rig, "router-2").status == 200
    rig.store_faults(down=False)
    wait_fenced(rig, killed)
    _, code = spend_all(rig, "router-2")
    assert code == "budget_exhausted"
    rig.wait_until(
        lambda: check_account(rig)["charged"] > CREDIT - 600, "All is billed."
    )


def test_top_up_while_data_centres_are_partitioned(rig):
    """A top-up during a partition counts once and can be spent after it.

    The operator repeats the top-up with the same id. All spending before, during and
    after the partition stays within the credit and one top-up, and leaves less than
    one request's tokens unspent.
    """
    used = [chat(rig, name).document["usage"]["total_tokens"] for name in rig.routers]
    rig.partition(["osu"], ["tema"])
    for _ in range(2):
        assert rig.ctl("topup", ACCOUNT, TOP_UP, "--id", "invoice-1")[0] == 0
    partitioned = [spend_all(rig, name) for name in rig.routers]
    refusals = {"budget_exhausted", "budget_unreachable", "no_server"}
    assert {code for _, code in partitioned} <= refusals
    rig.clear_link_and_store_faults()
    rig.wait_ready()
    rest = []

    def is_spent():
        rest.append(spend_all(rig, "router-1"))
        return rest[-1][1] == "budget_exhausted"

    rig.wait_until(is_spent, "The whole budget is spendable again.", timeout_s=60)
    total = sum(used) + sum(tokens for tokens, _ in [*partitioned, *rest])
    assert CREDIT + TOP_UP - MAX_REQUEST_TOKENS < total <= CREDIT + TOP_UP


def test_partition_while_a_router_is_paused(rig):
    """A paused router and a partitioned one together do not overspend the budget.

    The resumed router still has its grants in memory; it must not spend tokens that
    others received meanwhile.
    """
    used = [chat(rig, name).document["usage"]["total_tokens"] for name in rig.routers]
    rig.pause("router-1")
    rig.partition(["osu"], ["tema"])
    cut_off, code = spend_all(rig, "router-2")
    assert code in ("budget_exhausted", "budget_unreachable", "no_server")
    rig.clear_link_and_store_faults()
    rig.resume("router-1")
    rig.wait_ready()
    rest = [spend_all(rig, name)[0] for name in rig.routers]
    assert sum(used) + cut_off + sum(rest) <= CREDIT
    check_account(rig)


def test_reservation_whose_router_dies_while_answers_are_lost(rig, pool):
    """A non-idempotent request runs once although its router is killed.

    The store loses answers to writes of claims, so that claims are in doubt while the
    caller repeats the request through another router.
    """
    for name in ("desk-1", "desk-2"):
        rig.server_faults(name, slow_factor=SLOW_FACTOR)
    rig.store_faults(lose_answers=3)

    def reserve(router):
        return rig.service("reserve/belts", {"belt": "b-1"}, "twice", router=router)

    first = pool.submit(reserve, "router-1")
    rig.wait_until(lambda: rig.runs("twice") == 1, "The reservation runs.")
    rig.kill("router-1")
    first.result()
    repeat = rig.wait_until(
        lambda: (
            reply
            if (reply := reserve("router-2")).error_code != "key_in_progress"
            else None
        ),
        "The repeat has an end.",
    )
    assert repeat.status == 200 or repeat.document["error"]["ran"] == "unknown"
    assert rig.runs("twice") == 1


def test_operators_race_while_answers_are_lost(rig, pool):
    """Concurrent top-ups with the same ids count once per id.

    Lost answers of the store leave operators unsure whether a top-up took effect, so
    that they repeat it.
    """

    def top_up(number):
        return rig.ctl("topup", ACCOUNT, 100, "--id", f"invoice-{number % 2}")

    rig.store_faults(lose_answers=3)
    codes = [code for code, _ in pool.map(top_up, range(4))]
    rig.store_faults(lose_answers=0)
    for number in range(2):
        assert top_up(number)[0] == 0
    assert set(codes) <= {0, 5}
    _, document = rig.ctl("account", ACCOUNT)
    assert document["credited"] == CREDIT + 200
