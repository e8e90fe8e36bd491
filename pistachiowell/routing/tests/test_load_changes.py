"""Loads that links transfer as changes, over lost links and restarts.

Guards against a receiver that knows something else than from whole reports, such as a
load that is never ended, and against numbers that the ends of a link read differently.
"""

from collections import deque
from random import Random

import pytest

from pistachiowell.core.errors import MessageInvalid
from pistachiowell.routing import (
    NO_LOAD,
    EncodedLoads,
    EngineLoad,
    LoadDecoder,
    LoadEncoder,
    SharedLoads,
)
from pistachiowell.routing.load_changes import MAX_ENGINES, MAX_NUMBERS

GATEWAYS = 3
ENGINES = [f"e{number}:80" for number in range(4)]
LOADS = [NO_LOAD, NO_LOAD, EngineLoad(0, 1, 9), EngineLoad(5, 2, 9)]
STEPS = 500


class Gateway:
    """A gateway, with what it would know from whole reports."""

    def __init__(self):
        self.own = dict.fromkeys(ENGINES, NO_LOAD)
        self.known = {}
        self.known_from_whole = {}
        self.connect()

    def connect(self):
        """Opens a new link; what was on the way is lost."""
        self.to_agent, self.from_agent = deque(), deque()
        self.sent = {}
        self.own_encoder, self.own_decoder = LoadEncoder(), LoadDecoder()
        self.encoder, self.decoder = LoadEncoder(), LoadDecoder()


class LoadLinks:
    """Gateways with links to an agent that sums their loads."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.now = 0
        self.gateways = [Gateway() for _ in range(GATEWAYS)]
        self.restart_agent()

    def play(self):
        """Does some of all that can happen, in any order."""
        actions = {
            self.send_own: 4,
            self.receive_own: 4,
            self.report: 4,
            self.receive_report: 4,
            self.lose_link: 0.5,
            self.restart_agent: 0.1,
        }
        for _ in range(STEPS):
            [action] = self.rng.choices(list(actions), list(actions.values()))
            action(self.rng.randrange(GATEWAYS))

    def restart_agent(self, _=None):
        self.shared = SharedLoads()
        self.told = [{} for _ in self.gateways]
        for number, gateway in enumerate(self.gateways):
            gateway.connect()
            self.shared.add_router(number)

    def lose_link(self, number):
        self.gateways[number].connect()
        self.told[number] = {}
        self.shared.remove_router(number)
        self.shared.add_router(number)

    def send_own(self, number):
        gateway = self.gateways[number]
        gateway.own[self.rng.choice(ENGINES)] = self.rng.choice(LOADS)
        changed = {
            address: load
            for address, load in gateway.own.items()
            if gateway.sent.get(address, NO_LOAD) != load
        }
        gateway.sent.update(changed)
        encoded = gateway.own_encoder.encode(changed)
        gateway.to_agent.append((encoded, dict(gateway.own)))

    def receive_own(self, number):
        gateway = self.gateways[number]
        if gateway.to_agent:
            encoded, self.told[number] = gateway.to_agent.popleft()
            for address, load in gateway.own_decoder.decode(encoded).items():
                self.shared.record_load(number, address, load)

    def report(self, number):
        gateway = self.gateways[number]
        if self.rng.random() < 0.1:
            self.shared.add_router(number)
            gateway.encoder.restart()
        changes = self.shared.changes(number)
        self.shared.record_sent(number, changes)
        whole = self.shared.others(number)
        gateway.from_agent.append((gateway.encoder.encode(changes), whole))
        for address in ENGINES:
            told = (
                t.get(address, NO_LOAD) for n, t in enumerate(self.told) if n != number
            )
            assert whole.get(address, NO_LOAD) == sum(told, NO_LOAD)

    def receive_report(self, number):
        gateway = self.gateways[number]
        self.now += 1
        if not gateway.from_agent:
            return
        encoded, whole = gateway.from_agent.popleft()
        changed = gateway.decoder.decode(encoded)
        for address, load in {**gateway.decoder.loads, **changed}.items():
            gateway.known[address] = (load, self.now)
        for address, load in whole.items():
            gateway.known_from_whole[address] = (load, self.now)
        assert loaded(gateway.known) == loaded(gateway.known_from_whole)


def loaded(known):
    """Returns the loads that are more than none, with the times of their reports."""
    return {name: value for name, value in known.items() if value[0] != NO_LOAD}


@pytest.mark.parametrize("seed", range(20))
def test_changes_tell_as_much_as_whole_reports(seed):
    LoadLinks(seed).play()


@pytest.mark.parametrize(
    ("engines", "loads"),
    [
        ([], [1, 5, 1, 9]),
        ([], [-1, 5, 1, 9]),
        ([], [0, 5, 1]),
        (["e1:80"] * MAX_NUMBERS, []),
    ],
)
def test_loads_that_do_not_fit_change_nothing(engines, loads):
    decoder = LoadDecoder()
    decoder.decode(EncodedLoads(True, ["e0:80"], [0, 1, 1, 1]))
    with pytest.raises(MessageInvalid):
        decoder.decode(EncodedLoads(False, engines, loads))
    assert decoder.loads == {"e0:80": EngineLoad(1, 1, 1)}


def test_numbers_last_while_engines_come_and_go():
    encoder, decoder = LoadEncoder(), LoadDecoder()
    for number in range(3 * MAX_ENGINES):
        if encoder.is_full:
            encoder.restart()
        address = f"10.0.0.1:{number}"
        decoder.decode(encoder.encode({address: EngineLoad(1, 1, 1)}))
        assert decoder.loads[address] == EngineLoad(1, 1, 1)
