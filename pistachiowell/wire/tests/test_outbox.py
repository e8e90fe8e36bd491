"""Guards against reports that count as received as soon as they are queued."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from pistachiowell.wire.outbox import KEPT_S, MAX_REPORTS, Inbox, Outbox

PEERS = ("g1", "g2")
peers = st.sampled_from(PEERS)


class LossyLinks(RuleBasedStateMachine):
    """One sender, two receivers, and links that lose what they have queued.

    What a lost link has delivered may be read only after the next link is open.
    """

    def __init__(self):
        super().__init__()
        self.outbox = Outbox()
        self.inboxes = {peer: Inbox() for peer in PEERS}
        self.links = dict.fromkeys(PEERS)
        self.late = {peer: [] for peer in PEERS}
        self.applied = {peer: [] for peer in PEERS}
        self.wanted = {peer: [] for peer in PEERS}

    @initialize()
    def link_all(self):
        for peer in PEERS:
            self.connect(peer)

    def send(self, peer, kept):
        if self.links[peer] is not None:
            self.links[peer].append(kept)

    @rule(
        key=st.sampled_from([None, "a", "b"]),
        only=st.none() | st.sets(peers, min_size=1),
    )
    def report(self, key, only):
        number = self.outbox.add(key, 0.0, key, only)
        for peer in only or PEERS:
            self.wanted[peer].append((number, key))
            self.send(peer, number)

    @rule(peer=peers)
    def connect(self, peer):
        if self.links[peer] is None:
            self.links[peer] = []
            self.outbox.connect(peer)
            for kept in self.outbox.pending(peer):
                self.send(peer, kept.number)

    @rule(peer=peers, read_late=st.integers(0, 5))
    def lose(self, peer, read_late):
        if self.links[peer] is not None:
            self.late[peer] += self.links[peer][:read_late]
            self.links[peer] = None
            self.outbox.disconnect(peer, 0.0)

    @rule(peer=peers, count=st.integers(1, 5), is_acknowledged=st.booleans())
    def deliver(self, peer, count, is_acknowledged):
        link = self.links[peer]
        if link is None:
            return
        self.apply(peer, link[:count])
        del link[:count]
        if is_acknowledged:
            self.outbox.acknowledge(peer, self.inboxes[peer].last(peer))

    @rule(peer=peers)
    def read_what_came_late(self, peer):
        late, self.late[peer] = self.late[peer], []
        self.apply(peer, late)

    def apply(self, peer, numbers):
        for number in numbers:
            if self.inboxes[peer].take(peer, number):
                self.applied[peer].append(number)

    @invariant()
    def each_is_applied_once_and_in_order(self):
        for numbers in self.applied.values():
            assert numbers == sorted(set(numbers))

    def teardown(self):
        for peer in PEERS:
            self.connect(peer)
            self.deliver(peer, 1_000_000, True)
            newest = {key: number for number, key in self.wanted[peer] if key}
            for number, key in self.wanted[peer]:
                is_needed = key is None or number == newest[key]
                # A newer report about the same may have been told the other peer only.
                is_replaced = key is not None and any(
                    k == key and n > number for w in self.wanted.values() for n, k in w
                )
                if is_needed and not is_replaced:
                    assert number in self.applied[peer]
        assert len(self.outbox) == 0


TestLossyLinks = LossyLinks.TestCase


def test_reports_for_a_peer_that_never_returns_are_kept_without_end():
    outbox = Outbox()
    outbox.connect("g1")
    outbox.connect("g2")
    outbox.disconnect("g1", 0.0)
    for number in range(MAX_REPORTS + 5):
        outbox.add(number, 1.0)
    assert (len(outbox), outbox.dropped) == (MAX_REPORTS, 5)
    outbox.acknowledge("g2", MAX_REPORTS + 5)
    assert len(outbox) == MAX_REPORTS
    outbox.add("last", KEPT_S)
    assert [kept.report for kept in outbox.pending("g2")] == ["last"]
    assert (len(outbox), outbox.dropped) == (1, MAX_REPORTS + 5)
