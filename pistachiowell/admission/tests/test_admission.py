"""Admission control as a state machine, and single cases.

Guards against overload of the server, requests that wait beyond their time, queues
without bound, starvation of a priority class, and accounts that delay each other.
The naive policies must break the same checks.
"""

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from pistachiowell.admission import (
    LIMITS,
    AdmissionQueue,
    AdmissionSettings,
    Outcome,
    Refuse,
    Start,
    Ticket,
)
from pistachiowell.core.errors import SettingsInvalid

SETTINGS = AdmissionSettings(
    slots=3,
    max_waiting=12,
    max_waiting_bytes=100,
    max_overtakes=(("label", 4), ("report", 8)),
)
FIFO = AdmissionSettings(
    slots=3, max_waiting=10**9, max_waiting_bytes=10**9, discipline="fifo"
)
UNBOUNDED = AdmissionSettings(slots=3, limit="unbounded")
MAX_OVERTAKEN = {"chat": 2, "label": 6, "report": 10}


def admission_machine(settings):
    class Machine(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.queue = AdmissionQueue(settings)
            self.now = 0.0
            self.tickets, self.waiting, self.running = {}, set(), set()
            self.overtaken = dict.fromkeys(MAX_OVERTAKEN, 0)

        def apply_actions(self, actions):
            for action in actions:
                assert action.request_id in self.waiting, "one answer per request"
                self.waiting.remove(action.request_id)
                if isinstance(action, Start):
                    self.record_start(self.tickets[action.request_id])
                else:
                    assert isinstance(action, Refuse) and action.retry_after_s > 0
            for name in MAX_OVERTAKEN:
                if not any(self.tickets[i].priority == name for i in self.waiting):
                    self.overtaken[name] = 0

        def record_start(self, ticket):
            solo = [i for i in self.running if self.tickets[i].solo]
            assert not solo and not (ticket.solo and self.running)
            assert self.now <= ticket.start_by
            self.running.add(ticket.request_id)
            self.overtaken[ticket.priority] = -1
            for name in MAX_OVERTAKEN:
                waits = any(self.tickets[i].priority == name for i in self.waiting)
                self.overtaken[name] = self.overtaken[name] + 1 if waits else 0
                assert self.overtaken[name] <= MAX_OVERTAKEN[name], "starved"

        @rule(
            account=st.sampled_from("ab"),
            priority=st.sampled_from(["chat", "chat", "label", "report"]),
            size=st.integers(0, 40),
            left_s=st.sampled_from([0.0, 5.0, 60.0, 1e9, 1e9]),
            latest_start_in_s=st.sampled_from([1.0, 7.0, 1e9, 1e9, 1e9]),
            solo=st.sampled_from([False] * 9 + [True]),
            copies=st.integers(1, 6),
        )
        def offer(
            self, account, priority, size, left_s, latest_start_in_s, solo, copies
        ):
            for _ in range(copies):
                ticket = Ticket(
                    f"r{len(self.tickets)}",
                    account,
                    priority,
                    size,
                    self.now + left_s,
                    start_by=self.now + latest_start_in_s,
                    solo=solo,
                )
                self.tickets[ticket.request_id] = ticket
                self.waiting.add(ticket.request_id)
                self.apply_actions(self.queue.offer(ticket, self.now))

        @precondition(lambda self: self.running)
        @rule(data=st.data(), outcome=st.sampled_from([Outcome.ok] * 4 + list(Outcome)))
        def finish(self, data, outcome):
            request_id = data.draw(st.sampled_from(sorted(self.running)))
            self.running.remove(request_id)
            self.apply_actions(self.queue.finish(request_id, self.now, outcome))

        @precondition(lambda self: self.waiting)
        @rule(data=st.data())
        def cancel(self, data):
            request_id = data.draw(st.sampled_from(sorted(self.waiting)))
            self.waiting.remove(request_id)
            self.apply_actions(self.queue.cancel(request_id, self.now))

        @rule(step=st.floats(0.0, 8.0))
        def wait(self, step):
            self.now += step
            self.apply_actions(self.queue.expire(self.now))

        @invariant()
        def bounds_hold(self):
            assert len(self.running) == self.queue.running <= settings.slots
            assert len(self.waiting) == self.queue.waiting <= settings.max_waiting
            held = sum(self.tickets[i].size_bytes for i in self.waiting)
            assert held == self.queue.waiting_bytes <= settings.max_waiting_bytes
            waiting = [self.tickets[i] for i in self.waiting]
            late = [t for t in waiting if min(t.deadline, t.start_by) < self.now]
            assert not late, "a late request still waits"
            assert self.running or not self.waiting, "idle while requests wait"

    return Machine


def run_machine(settings):
    run_state_machine_as_test(
        admission_machine(settings),
        settings=hypothesis_settings(
            max_examples=100,
            stateful_step_count=40,
            report_multiple_bugs=False,
            phases=[Phase.generate],
        ),
    )


def test_bounds_and_order_hold():
    run_machine(SETTINGS)


@pytest.mark.parametrize("settings", [FIFO, UNBOUNDED], ids=["fifo", "unbounded"])
def test_naive_policies_break_them(settings):
    with pytest.raises(AssertionError):
        run_machine(settings)


@pytest.mark.parametrize(("discipline", "fair"), [("weighted_fair", 1), ("fifo", 0)])
def test_a_flood_of_one_account_does_not_hold_up_another(discipline, fair):
    queue = AdmissionQueue(AdmissionSettings(slots=1, discipline=discipline))
    for number in range(100):
        queue.offer(Ticket(f"a{number}", "a"), 0.0)
    for number in range(4):
        queue.offer(Ticket(f"b{number}", "b", weight=2.0), 0.0)
    order = ["a0"]
    for _ in range(7):
        order += [a.request_id for a in queue.finish(order[-1], 0.0)]
    assert ("b3" in order) == bool(fair)


def test_a_full_queue_of_reports_gives_way_to_chat():
    queue = AdmissionQueue(AdmissionSettings(slots=1, max_waiting=2))
    for number in range(3):
        queue.offer(Ticket(f"r{number}", "a", "report"), 0.0)
    (refusal,) = queue.offer(Ticket("chat", "b"), 0.0)
    assert refusal.request_id == "r2"
    assert refusal.code == "overloaded"


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    queue = AdmissionQueue(AdmissionSettings(slots=1))
    queue.offer(Ticket("warm", "a"), 0.0)
    queue.finish("warm", 4.0)
    for number in range(5):
        queue.offer(Ticket(f"r{number}", "a", deadline=1000.0), 4.0)
    (refusal,) = queue.offer(Ticket("late", "a", deadline=10.0), 4.0)
    assert (refusal.request_id, refusal.retry_after_s) == ("late", 16.0)


def test_a_request_waits_no_longer_than_its_bound():
    queue = AdmissionQueue(AdmissionSettings(slots=1))
    queue.offer(Ticket("runs", "a"), 0.0)
    assert queue.offer(Ticket("hasty", "a", start_by=2.0), 0.0) == []
    assert queue.offer(Ticket("patient", "a"), 0.0) == []
    assert queue.expire(1.9) == []
    (refusal,) = queue.expire(2.0)
    assert (refusal.request_id, refusal.code) == ("hasty", "overloaded")
    assert queue.waiting == 1


def test_slots_follow_crashes_and_slow_answers():
    limit = LIMITS.find("adaptive")(AdmissionSettings(slots=16))
    limit.observe(Outcome.crashed, 1.0, 1, 0.0)
    assert limit.slots == 16, "a crash at little load is no sign"
    for running in (12, 11, 10):
        limit.observe(Outcome.crashed, 1.0, running, 0.0)
    assert limit.slots == 9
    for step in range(100):
        limit.observe(Outcome.ok, 1.0, limit.slots, 1.0 + step)
    assert limit.slots == 9
    for step in range(200):
        limit.observe(Outcome.ok, 1.0, limit.slots, 400.0 + step)
    assert limit.slots == 16
    for step in range(8):
        limit.observe(Outcome.ok, 30.0, 16, 700.0 + step)
    assert limit.slots < 16
    with pytest.raises(SettingsInvalid):
        LIMITS.find("none such")
