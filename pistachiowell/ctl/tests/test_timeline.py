"""Tests of the timeline of processes whose clocks differ, and of the status."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiowell.core.clock import HybridClock
from pistachiowell.core.events import EventKind, EventRing
from pistachiowell.ctl.commands.status import status_document, status_text
from pistachiowell.ctl.processes import ProcessReply
from pistachiowell.ctl.timeline import event_line, merge_events
from pistachiowell.ctl.timeline_page import timeline_page
from pistachiowell.schema.generated.messages_control import StatusReport

PROCESSES = ("a", "b", "c")
steps = st.lists(
    st.tuples(st.sampled_from(PROCESSES), st.sampled_from(PROCESSES)), max_size=40
)
skews = st.tuples(*[st.integers(-50, 50)] * len(PROCESSES))


def simulate_processes(steps, skews):
    """Sends a message at each step.

    Args:
        steps: Pairs of sender and receiver.
        skews: Difference of each process's clock from the true time.

    Returns:
        ``(rings, requests)``: the event ring of each process and the ids of the
        messages, each with a sent and a received event.
    """
    now = [0]
    rings = {}
    for name, skew in zip(PROCESSES, skews, strict=True):
        clock = HybridClock(lambda skew=skew: 1000 + now[0] + skew)
        rings[name] = EventRing(name, clock, 1000)
    requests = []
    for number, (sender, receiver) in enumerate(steps):
        now[0] += 1
        rings[sender].add(EventKind.request_sent, request=str(number))
        rings[receiver].clock.observe(rings[sender].clock.tick())
        rings[receiver].add(EventKind.request_received, request=str(number))
        requests.append(str(number))
    return rings, requests


def event_mappings(ring):
    names = ("kind", "process", "wall_ns", "logical", "request")
    events = ring.latest(1000)
    return [{name: getattr(event, name) for name in names} for event in events]


def keeps_causal_order(events, requests):
    place = {(event["request"], event["kind"]): i for i, event in enumerate(events)}
    return all(
        place[n, "request_sent"] < place[n, "request_received"] for n in requests
    )


@given(steps, skews)
def test_merged_order_keeps_causes_before_effects(steps, skews):
    rings, requests = simulate_processes(steps, skews)
    lists = [event_mappings(ring) for ring in rings.values()]
    merged = merge_events(lists)
    assert keeps_causal_order(merged, requests)
    for events in lists:
        name = events[0]["process"] if events else ""
        assert [event for event in merged if event["process"] == name] == events


def test_order_by_wall_time_alone_is_rejected():
    rings, requests = simulate_processes([("a", "b")], (30, -30, 0))
    now = {"a": 1030, "b": 970}
    lists = [event_mappings(ring) for ring in rings.values()]
    by_wall = sorted(sum(lists, []), key=lambda event: now[event["process"]])
    assert not keeps_causal_order(by_wall, requests)
    assert keeps_causal_order(merge_events(lists), requests)


@pytest.fixture
def event():
    fields = dict.fromkeys(("request", "account", "grant", "move", "text"), "")
    stamp = {"wall_ns": 5, "logical": 2, "table_revision": 4}
    return {"kind": "peer_lost", "process": "r1", **fields, **stamp}


def test_page_is_self_contained_and_escaped(event):
    page = timeline_page([{**event, "text": "<script>alert(1)</script>"}])
    assert "<script>alert" not in page
    assert 'class="fault"' in page
    assert "http" not in page


def test_line_shows_only_the_fields_that_are_set(event):
    line = event_line({**event, "account": "shop"})
    assert line == "1970-01-01T00:00:00.000000Z+2 r1 peer_lost account=shop " + (
        "table_revision=4"
    )


def test_status_counts_processes_behind_and_without_answer():
    reports = [StatusReport(f"r{n}", "router", "", "osu", n) for n in (1, 2)]
    answers = [ProcessReply(report.id, report) for report in reports]
    document = status_document(2, [*answers, ProcessReply("r3", None)])
    assert document["in_force"] == {"have": ["r2"], "lack": ["r1", "r3"]}
    text = status_text(document, "r1")
    assert "in force on 1 of 3" in text
    assert "no answer" in text
