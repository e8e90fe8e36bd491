"""Bytes held for slow readers stay within the bounds, whatever the agents send.

Guards against callers that read slowly or stop reading while their answers fill the
memory, and against callers that keep up but are left without credit.
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

from pistachiowell.routing import CREDIT_POOLS, CreditSettings

SETTINGS = CreditSettings(
    process_bytes=1000,
    account_share=0.6,
    stream_min_bytes=100,
    stream_max_bytes=400,
    stream_overhead_bytes=50,
    stall_s=5.0,
)


def credit_machine(name):
    class Machine(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.pool = CREDIT_POOLS.find(name)(SETTINGS)
            self.now = 0.0
            self.credit, self.held, self.accounts, self.consumed_at = {}, {}, {}, {}
            self.count = 0

        def streams(self):
            return st.sampled_from(sorted(self.credit))

        @rule(account=st.sampled_from("ab"), step=st.sampled_from([0.0, 1.0, 6.0]))
        def open(self, account, step):
            self.now += step
            self.count += 1
            stream = f"s{self.count}"
            credit, aborts = self.pool.open(stream, account, self.now)
            for abort in aborts:
                assert self.held[abort.stream], "only those who hold bytes"
                assert self.now - self.consumed_at[abort.stream] >= SETTINGS.stall_s
                del self.credit[abort.stream], self.held[abort.stream]
            if credit:
                self.credit[stream], self.held[stream] = credit, 0
                self.accounts[stream], self.consumed_at[stream] = account, self.now

        @precondition(lambda self: self.credit)
        @rule(data=st.data(), share=st.floats(0.0, 1.0))
        def agent_sends(self, data, share):
            stream = data.draw(self.streams())
            size = int(self.credit[stream] * share)
            self.credit[stream] -= size
            self.held[stream] += size
            self.pool.record_received(stream, size)

        @precondition(lambda self: self.credit)
        @rule(data=st.data(), share=st.sampled_from([0.5, 1.0]))
        def caller_reads(self, data, share):
            stream = data.draw(self.streams())
            size = int(self.held[stream] * share)
            if size:
                self.held[stream] -= size
                self.consumed_at[stream] = self.now
                self.credit[stream] += self.pool.record_consumed(stream, size, self.now)

        @precondition(lambda self: self.credit)
        @rule(data=st.data())
        def close(self, data):
            stream = data.draw(self.streams())
            del self.credit[stream], self.held[stream]
            self.pool.close(stream)

        @invariant()
        def bounds_hold(self):
            assert self.pool.held_bytes == sum(self.held.values())
            total = {
                stream: self.held[stream] + self.credit[stream] for stream in self.held
            }
            overhead = SETTINGS.stream_overhead_bytes
            used = {s: size + overhead for s, size in total.items()}
            assert sum(used.values()) <= SETTINGS.process_bytes
            assert all(size <= SETTINGS.stream_max_bytes for size in total.values())
            for account in "ab":
                own = [size for s, size in used.items() if self.accounts[s] == account]
                assert sum(own) <= SETTINGS.process_bytes * SETTINGS.account_share

        @invariant()
        def a_reader_that_keeps_up_always_has_credit(self):
            for stream, credit in self.credit.items():
                assert credit or self.held[stream]

    return Machine


def run_machine(name):
    run_state_machine_as_test(
        credit_machine(name),
        settings=hypothesis_settings(
            max_examples=100,
            stateful_step_count=40,
            report_multiple_bugs=False,
            phases=[Phase.generate],
        ),
    )


def test_bounded_pool_keeps_its_bounds():
    run_machine("bounded")


def test_unbounded_pool_does_not():
    with pytest.raises(AssertionError):
        run_machine("unbounded")


@pytest.mark.parametrize("readers", [1, 3, 5])
def test_streams_that_keep_up_leave_no_room_for_new_ones(readers):
    settings = CreditSettings(process_bytes=512 * 1024)
    pool = CREDIT_POOLS.find("bounded")(settings)
    credit = {f"s{n}": pool.open(f"s{n}", "acme", 0.0)[0] for n in range(readers)}
    for step in range(200):
        for stream in credit:
            size = min(1000, credit[stream])
            pool.record_received(stream, size)
            credit[stream] += pool.record_consumed(stream, size, step / 100) - size
    assert sum(credit.values()) > readers * settings.stream_min_bytes
    assert pool.reserved_bytes <= settings.account_share * settings.process_bytes / 2
    for number in range(10):
        assert pool.open(f"new-{number}", "acme", 2.0) == (4096, [])
