"""Where a request would go, without a network.

Guards against reasons that the answer omits, forecasts that differ from the choice that
follows, and questions that change the state of the gateway.
"""

import copy
import functools
import types
from collections import Counter, deque
from random import Random
from types import SimpleNamespace

import msgspec
import pytest

from pistachiowell.catalog import BackendServer
from pistachiowell.catalog.catalog import (
    Account,
    Catalog,
    EngineLimits,
    RequestKind,
    Route,
    Service,
)
from pistachiowell.core.errors import InvalidRequest, NotFound
from pistachiowell.core.metrics import Metrics
from pistachiowell.ctl.where_text import report_text
from pistachiowell.gateway.data.placement_report import PlacementReport
from pistachiowell.gateway.gateway import Gateway
from pistachiowell.gateway.moves.move_orders import MoveOrder, MoveState
from pistachiowell.gateway.servers.server_filters import registration_of
from pistachiowell.gateway.where import where, where_page
from pistachiowell.gateway.where.where_question import MAX_QUERY_BYTES, read_question
from pistachiowell.platform.headers import read_answer_head
from pistachiowell.platform.objects import ObjectStore
from pistachiowell.platform.programs import ADAPTER
from pistachiowell.routing import EngineRequest
from pistachiowell.schema.generated.messages_budgets import GrantNotice
from pistachiowell.schema.generated.settings import GatewaySettings

READ = b"route=read&account=free"
CHAT = b"route=chat&account=free&prompt_tokens=900&output_tokens=50&prefix=a:800,b:100"
ZONES = {"desk-0": "east", "desk-1": "east", "desk-2": "west", "desk-3": "north"}
POOL = ("pool-0", "pool-1")


def make_server(name, zone="east", version="v1"):
    service, _, number = name.partition("-")
    address = f"10.0.0.{ord(service[0])}", 20_000 + int(number)
    return BackendServer(name, service, *address, zone, version, slots=4)


def make_catalog():
    def route(name, kind, weights, **fields):
        return Route(name, "a.example", f"/{name}/", kind, weights, 3.0, 0.3, **fields)

    routes = [
        route("read", RequestKind.idempotent, {"desk": 1}, max_attempts=2),
        route("both", RequestKind.idempotent, {"desk": 3, "spare": 1}),
        route("book", RequestKind.non_idempotent, {"desk": 1}),
        route("none", RequestKind.idempotent, {"desk": 0}),
        route(
            "home",
            RequestKind.idempotent,
            {"desk": 1},
            home_regions=frozenset({"south"}),
        ),
        route("open", RequestKind.idempotent, {"desk": 1}, is_public=True),
        route("chat", RequestKind.streaming, {"pool": 1}, has_prompts=True),
    ]
    services = [
        Service("desk", 200, cold_s=3.0, cold_per_s=12.0),
        Service("spare", 200),
        Service("pool", 200, EngineLimits(4, 10_000, 5)),
    ]
    accounts = {"k1": Account("free"), "k2": Account("acme", 1, prepaid_tokens=500)}
    by_name = {service.name: service for service in services}
    return Catalog(7, {"a.example": routes}, by_name, accounts)


@pytest.fixture
def gateway():
    """A gateway that has its configuration and servers, and is not running."""
    settings = GatewaySettings(
        id="gate-1",
        region="south",
        data_centre="east",
        http_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        peer_host="127.0.0.1",
        peer_port=3,
        store_address="127.0.0.1:4",
        relay_port=5,
        evacuation_ms=5_000.0,
        cold_overshoot=1.5,
        cold_extra=5.0,
        regions={"east": "south", "west": "south", "north": "north"},
    )
    gateway = Gateway(settings, ObjectStore("127.0.0.1:4"), ADAPTER)
    state = gateway.state
    state.catalog = make_catalog()
    state.has_servers = True
    servers = [make_server(name, zone) for name, zone in ZONES.items()]
    servers += [make_server(name) for name in (*POOL, "spare-0")]
    state.servers.replace({server.id: server for server in servers}, 0.0)
    state.evacuations.confirm(now(gateway))
    # It has run for a while, so that no evacuation ended before it could see it.
    state.evacuations.knowledge.extend(now(gateway) - 60.0)
    return gateway


def now(gateway):
    return gateway._parts.runtime.now()


def ask(gateway, query=READ):
    """Returns the ``PlacementReport`` after a way through JSON, and checks its text."""
    report = gateway._parts.where_page._reporter.report(read_question(query))
    report = msgspec.json.decode(msgspec.json.encode(report), type=PlacementReport)
    text = report_text(report)
    assert all(name in text for name in report.chosen)
    return report


def reports_of(report):
    return {s.id: s for service in report.services for s in service.servers}


def head(status=200, **headers):
    pairs = [(n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()]
    return read_answer_head(status, pairs)


def refuse_connections(gateway, server):
    registration = registration_of(server)
    gateway._parts.selection.parts.unreachable.record_refusal(
        registration, now(gateway)
    )


def fail(gateway, server):
    for _ in range(3):
        gateway._parts.selection.parts.health.record_failure(server.id, now(gateway))


def fill(gateway, server):
    for _ in range(4):
        gateway._parts.selection.parts.loads.set_slots(server.id, 4)
        gateway._parts.selection.parts.loads.record_sent(server.id)


def notice_silence(gateway, server):
    detector = gateway._parts.silence._detector
    detector.record_notice(server.id, now(gateway), is_silent=True)


def reach_limit(gateway, server):
    limits = gateway._parts.selection.parts.limits
    limits.record_answer(server, head(server_limit="2.5"), now(gateway))
    incarnation = next(iter(limits._limits.in_force))
    limits._full_until = {incarnation: {0: now(gateway) + 9.0}}


def evacuate(gateway, server):
    del server
    gateway.state.evacuations.apply({"east"}, (1, 7), now(gateway))


def begin_trial(gateway, server):
    known = gateway.state.servers.known
    changed = make_server(server.id, server.data_centre, "v2")
    gateway.state.servers.replace({**known, server.id: changed}, 0.0)
    order = MoveOrder("desk", "v2", 60.0, MoveState.ordered, 9)
    gateway._parts.moves.apply_orders({"desk": order})


def set_limit(gateway, method, *arguments):
    limits = gateway._parts.selection.parts.limits
    getattr(limits, method)(*arguments)


REASONS = {
    "refuses connections": (refuse_connections, "refuses connections", "connections"),
    "fails": (fail, "ejected", "fails"),
    "silent": (notice_silence, "silence", "does not answer"),
    "limit": (reach_limit, "limit for", "takes no requests now"),
    "rate": (reach_limit, "takes 2.5 requests/s", "takes no requests now"),
    "evacuated": (evacuate, "evacuation", "evacuated"),
    "trial": (begin_trial, "version on trial", "version gets no requests"),
    "leaving": (
        lambda g, s: set_limit(g, "record_closure", s, head(server_leaving="1"), "t"),
        "leaving",
        "it leaves",
    ),
    "pause": (
        lambda g, s: set_limit(g, "record_closure", s, head(503, retry_after="9"), "t"),
        "pause for",
        "takes no requests now",
    ),
}


@pytest.mark.parametrize("name", REASONS)
def test_reason_against_a_server_is_missing(gateway, name):
    cause, against, left_out = REASONS[name]
    cause(gateway, gateway.state.servers.known["desk-0"])
    report = ask(gateway)
    server = reports_of(report)["desk-0"]
    assert any(text.startswith(against) for text in server.against)
    assert left_out in server.left_out
    assert "desk-0" not in report.chosen and report.outcome == "sent"


def test_cold_full_and_far_servers_are_not_told(gateway):
    servers = gateway.state.servers.known
    answer = head(pistachiowell_cold_ms="2000")
    set_limit(gateway, "record_answer", servers["desk-0"], answer, now(gateway))
    fill(gateway, servers["desk-1"])
    reports = reports_of(ask(gateway))
    assert reports["desk-0"].against[0].startswith("cold for ")
    assert reports["desk-0"].admitted_by == ""
    assert reports["desk-1"].against == ["full: 4 requests, 4 slots"]
    assert reports["desk-2"].against == ["other data centre"]
    assert (reports["desk-3"].against, reports["desk-3"].distance) == (
        ["other region"],
        2,
    )


def test_home_regions_are_not_told(gateway):
    report = ask(gateway, b"route=home&account=free")
    assert report.route.home_regions == ["south"]
    assert reports_of(report)["desk-3"].left_out == "outside the home regions"


def test_doubted_server_is_chosen(gateway):
    gateway._parts.silence._detector.record_doubt("desk-0", 1.0, now(gateway))
    report = ask(gateway)
    assert "in doubt" in reports_of(report)["desk-0"].against
    assert report.chosen == {"desk-1": 1.0}


def test_engine_with_the_prefix_is_not_preferred(gateway):
    engines = gateway._parts.selection.engines
    work = EngineRequest(900, 20, (("a", 800), ("b", 100)))
    engines.record_end(engines.record_sent("pool-1", work, now(gateway)))
    report = ask(gateway, CHAT)
    reports = reports_of(report)
    assert report.chosen == {"pool-1": 1.0}
    assert reports["pool-1"].kept_tokens == 800
    assert reports["pool-1"].cost_s < reports["pool-0"].cost_s
    for _ in range(4):
        engines.record_sent("pool-1", work, now(gateway))
    report = ask(gateway, CHAT)
    assert report.chosen == {"pool-0": 1.0}
    against = reports_of(report)["pool-1"].against
    assert against[0] == "full: 4 requests, 4 slots"
    assert "prompt tokens wait there" in against[-1]


def test_crash_candidate_and_quarantine_are_not_told(gateway):
    ledger, query = gateway._parts.crash_candidates._ledger, READ + b"&fingerprint=f00d"
    ledger.quarantine("f00d", now(gateway), 60.0)
    refusal = ask(gateway, query).refusals[0]
    assert (refusal.code, refusal.status) == ("quarantined", 503)
    assert 59.0 < refusal.retry_after_min_s <= 60.0


def overload(gateway):
    """Lets the gateway refuse and relay nearly everything."""
    policy, start = gateway._parts.load.overload, now(gateway)
    for number in range(100):
        policy.wait_s("free", start, 0)
        policy.record_transit(1.0, start - 5.0 + number / 20)
        gateway._parts.load._share.record(1.0, start - 5.0 + number / 20)
    policy._accounts[0, "free"].credit = 0.0


def test_overload_and_relay_are_not_told(gateway):
    overload(gateway)
    report = ask(gateway)
    refusal = report.refusals[0]
    assert (report.outcome, refusal.code, refusal.status) == (
        "refused",
        "overloaded",
        503,
    )
    assert 0.0 < refusal.retry_after_min_s < refusal.retry_after_max_s
    assert report.overload.refused_share == 0.95
    assert report.overload.relayed_to == {}
    gateway._parts.load._rooms.record("10.0.0.2:5", 500.0, now(gateway))
    gateway._parts.load._share._credit = 0.5
    report = ask(gateway)
    assert report.overload.relayed_to == {"10.0.0.2:5": 1.0}
    assert report.refusals[0].retry_after_min_s == 0.05
    assert "relayed to 10.0.0.2:5" in report_text(report)


def test_account_is_not_told(gateway):
    notice = GrantNotice("g1", "acme", "agent-1", 300)
    gateway._parts.grant_memory._table.record(notice, now(gateway))
    report = ask(gateway, CHAT.replace(b"free", b"acme"))
    account = report.account
    assert (account.needed_tokens, account.prepaid_tokens) == (950, 500)
    assert account.free_tokens is None and account.grants[0].tokens == 300
    assert "not known here" in report_text(report)
    assert report.refusals[0].code == "budget_unreachable"
    assert report.rank == 1 and ask(gateway, READ + b"&rank=3").rank == 3


@pytest.mark.parametrize(
    ("query", "status", "code"),
    [
        (b"route=read", 401, "unauthorized"),
        (b"route=none&account=free", 503, "overloaded"),
        (READ + b"&deadline_s=0", 503, "overloaded"),
    ],
)
def test_refusal_is_not_told(gateway, query, status, code):
    report = ask(gateway, query)
    assert report.outcome == "refused" and not report.chosen
    assert (report.refusals[0].status, report.refusals[0].code) == (status, code)


def test_stopping_gateway_or_no_server_is_not_told(gateway):
    gateway._parts.stop.begin(now(gateway))
    assert ask(gateway, b"route=book&account=free").refusals[0].code == "leaving"
    gateway.state.servers.replace({}, 0.0)
    refusal = ask(gateway).refusals[-1]
    assert (refusal.code, refusal.retry_after_min_s) == ("no_server", 2.0)


@pytest.mark.parametrize(
    ("query", "error"),
    [
        (b"path=/nope/", NotFound),
        (b"route=nope", NotFound),
        (b"route=read&account=nope", NotFound),
        (b"route=read&path=/read/", InvalidRequest),
        (b"account=free", InvalidRequest),
        (READ + b"&colour=red", InvalidRequest),
        (READ + b"&deadline_s=nan", InvalidRequest),
        (READ + b"&rank=-1", InvalidRequest),
        (CHAT + b",c:99999999999999", InvalidRequest),
        (READ + b"&key=" + b"x" * MAX_QUERY_BYTES, InvalidRequest),
        (b"path=/" + b"&a=" * 100, InvalidRequest),
    ],
)
def test_bad_question_is_answered(gateway, query, error):
    with pytest.raises(error):
        ask(gateway, query)


def test_stranger_asks_without_end(gateway):
    statuses = [gateway.where_page(READ).status for _ in range(50)]
    assert Counter(statuses)[200] <= where_page.BURST_S + 2
    refused = gateway.where_page(READ)
    assert refused.status == 429 and refused.headers[0][0] == b"retry-after"


def test_answer_grows_with_the_fleet(gateway):
    servers = [make_server(f"desk-{number}") for number in range(600)]
    gateway.state.servers.replace({server.id: server for server in servers}, 0.0)
    answer = gateway.where_page(READ)
    assert answer.status == 200 and len(answer.body) < 65_536
    document = msgspec.json.decode(answer.body)
    assert document["services"][0]["unlisted_servers"] == 536
    assert len(document["chosen"]) == where.MAX_LISTED_SERVERS


LEAVES = (str, bytes, int, float, bool, frozenset, type(None), type, tuple)
IGNORED = (Metrics, types.FunctionType, types.MethodType, functools.partial)


def snapshot(thing, path="", seen=None):
    """Returns the values of all that can be reached from an object, by path."""
    seen = {} if seen is None else seen
    if isinstance(thing, LEAVES):
        return {path: repr(thing)}
    if isinstance(thing, IGNORED) or id(thing) in seen:
        return {}
    seen[id(thing)] = thing
    if isinstance(thing, Random):
        return {path: hash(thing.getstate())}
    values = {}
    for name, value in parts_of(thing):
        values |= snapshot(value, f"{path}.{name}", seen)
    return {path: type(thing).__name__, **values}


def parts_of(thing):
    if isinstance(thing, dict):
        return [(repr(key), value) for key, value in thing.items()]
    if isinstance(thing, (list, deque)):
        return enumerate(thing)
    if isinstance(thing, set):
        return [("set", repr(sorted(map(repr, thing))))]
    if not type(thing).__module__.startswith("pistachiowell"):
        return []
    names = [n for c in type(thing).__mro__ for n in getattr(c, "__slots__", ())]
    names += list(getattr(thing, "__dict__", ()))
    return [(n, getattr(thing, n)) for n in names if hasattr(thing, n)]


def real_choices(gateway):
    """Returns the next choices, and puts the random numbers back."""
    rng = gateway._parts.dispatch._splitter._rng
    state, splitter = rng.getstate(), copy.deepcopy(gateway._parts.dispatch._splitter)
    request = SimpleNamespace(
        route=gateway.state.catalog.find_route("a.example", "/both/"),
        account=None,
        service=gateway.state.catalog.services["desk"],
        prompt=None,
        fingerprint="f",
    )
    chosen = []
    for _ in range(2_000):
        service = splitter.choose("both", request.route.weights)
        choice = gateway._parts.selection.choose(request, service, set(), (), 0)
        chosen.append(choice.server.id)
    rng.setstate(state)
    return chosen


def test_question_changes_the_gateway(gateway):
    servers = gateway.state.servers.known
    for cause in (refuse_connections, fail, notice_silence, reach_limit):
        cause(gateway, servers["desk-1"])
    begin_trial(gateway, servers["desk-2"])
    others = {f"desk-{n}": make_server(f"desk-{n}") for n in range(4, 8)}
    gateway.state.servers.replace({**gateway.state.servers.known, **others}, 0.0)
    for name in 12 * sorted(others):
        latency_s = 9.0 if name == "desk-4" else 0.1
        gateway._parts.selection.parts.health.record_success(
            name, latency_s, now(gateway)
        )
    overload(gateway)
    gateway._parts.load._rooms.record("10.0.0.2:5", 5.0, now(gateway) - 9.0)
    gateway._parts.load._rooms.record_failure("10.0.0.3:5", now(gateway) - 9.0)
    queries = (READ, CHAT, b"route=both&account=acme", b"route=home", b"route=open")
    before = snapshot(gateway)
    for query in queries:
        ask(gateway, query)
    assert snapshot(gateway) == before
    # A choice ejects slow servers, so the comparison covers what it changes.
    first = real_choices(gateway)
    assert snapshot(gateway) != before
    for query in queries:
        ask(gateway, query)
    assert real_choices(gateway) == first


def test_forecast_differs_from_the_choices(gateway):
    fill(gateway, gateway.state.servers.known["desk-0"])
    gateway._parts.selection.parts.loads.record_sent("desk-1")
    real_choices(gateway)
    report = ask(gateway, b"route=both&account=free")
    counts = Counter(real_choices(gateway))
    assert set(counts) == set(report.chosen)
    for name, share in report.chosen.items():
        assert abs(counts[name] / 2_000 - share) < 0.04
