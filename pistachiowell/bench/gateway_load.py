"""Model of ways to share load between the gateways of a data centre.

Run ``python -m pistachiowell.bench.gateway_load`` for the table of
``docs/design/gateway_load.md``. Eight gateways serve callers that a hash spreads over
them. From ``SURGE_AT_S`` on, some of them get several times what they can serve.
"""

import random
from collections import deque
from dataclasses import dataclass

from pistachiowell.admission import (
    OVERLOAD_POLICIES,
    GatewayLoadSettings,
    LoadMeter,
    OverloadSettings,
    PeerRooms,
    PeerRoomSettings,
    RelaySettings,
    RelayShare,
    room_shares,
)
from pistachiowell.core.registry import Registry
from pistachiowell.gateway.room_owner import TOLD_BUSY

WAYS = Registry("way to share load")

GATEWAYS = 8
CORES = 0.387
LENGTH_S = 20.0
SURGE_AT_S = 5.0
STEP_S = 0.01
REPORT_S = 0.25
REPORT_DELAY_S = 0.3
# Seconds of a whole core. Relaying a request with 45 events takes 0.5 to 1.4 ms; the
# time of a refusal is that of the overload tests.
REQUEST_S = 0.009
RELAY_S = 0.0014
REFUSAL_S = 0.002
USUAL_LOAD = 0.15
HOT_LOAD = 2.0
OBJECTIVE_S = 0.3
# Callers honour a Retry-After of up to a third of their 1.6 s and retry once.
PATIENCE_S = 1.6 / 3
# The load balancer asks once a second, and takes a gateway out after two misses.
CHECK_S = 1.0


class Gateway:
    """A processor that serves in order of arrival."""

    def __init__(self, cores, way, rng):
        policy, has_rooms = way.policy, way.knows_rooms
        self.cores = cores
        self.backlog_s = 0.0
        self.cpu_s = 0.0
        self.meter = LoadMeter(GatewayLoadSettings(), cores)
        self.share = RelayShare(RelaySettings())
        self.rooms = PeerRooms(PeerRoomSettings())
        self.policy = OVERLOAD_POLICIES.find(policy)(
            OverloadSettings(), self.rooms if has_rooms else None, rng
        )
        self.misses = 0

    def work(self, now):
        """Works for a step and measures its load."""
        used_s = min(self.backlog_s, self.cores * STEP_S)
        self.backlog_s -= used_s
        self.cpu_s += used_s
        delay_s = self.backlog_s / self.cores
        self.policy.record_transit(delay_s, now)
        self.meter.record(self.cpu_s / self.cores, now)
        self.share.record_transit(delay_s, now)
        self.share.record(self.meter.busy, now)

    def serve(self, *, is_received):
        """Begins a request and returns the seconds until it is served."""
        self.backlog_s += REQUEST_S
        self.meter.add_request(is_received=is_received)
        return self.backlog_s / self.cores


class Way:
    """Base of the ways: refusals alone; the baseline.

    Attributes:
        policy: Name of the overload policy.
        knows_rooms: Whether refusals know the room of the others.
    """

    policy = "fair_share"
    knows_rooms = False

    def route(self, gateways, number, now, rng):
        """Returns the number of the gateway that serves a new connection."""
        del gateways, now, rng
        return number


@WAYS.add("refusals")
class Refusals(Way):
    """Refusals whose time follows the excess."""


@WAYS.add("refusals that know the room")
class KnowingRefusals(Way):
    """Refusals with a short time while another gateway has room."""

    knows_rooms = True


@WAYS.add("not ready")
class NotReady(Way):
    """A gateway that refuses is taken out of rotation by the load balancer."""

    def __init__(self):
        self._checked_at = 0.0
        self._out = set()

    def route(self, gateways, number, now, rng):
        """Returns the gateway that serves a new connection; see ``Way``."""
        if now - self._checked_at >= CHECK_S:
            self._checked_at = now
            for gateway in gateways:
                is_ready = not gateway.policy.refused_share
                gateway.misses = 0 if is_ready else gateway.misses + 1
            self._out = {n for n, g in enumerate(gateways) if g.misses >= 2}
        ready = [n for n in range(len(gateways)) if n not in self._out]
        if number in ready or 2 * len(ready) < len(gateways):
            return number
        return rng.choice(ready)


@WAYS.add("relay")
class Relay(KnowingRefusals):
    """Relays a share of the new connections, and refuses the rest."""

    def route(self, gateways, number, now, rng):
        """Returns the gateway that serves a new connection; see ``Way``."""
        gateway = gateways[number]
        if not gateway.share.takes_next(now):
            return number
        target = gateway.rooms.choose(now, rng)
        if target is None:
            return number
        gateway.backlog_s += RELAY_S
        return target


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a way does in a play, from the surge on.

    Attributes:
        in_time: Share of the requests that are served in time.
        refused: Refusals by requests.
        most_busy_neighbour: Largest busy share of a gateway without a surge.
    """

    in_time: float
    refused: float
    most_busy_neighbour: float


class _Play:
    def __init__(self, name, hot, seed):
        self.rng = random.Random(seed)
        self.way = WAYS.find(name)()
        # The hot gateways are small and the others are of several sizes.
        sizes = [CORES] * hot + [CORES * (1 + n % 3) for n in range(GATEWAYS - hot)]
        self.gateways = [Gateway(cores, self.way, self.rng) for cores in sizes]
        self.hot = hot
        self.reports = deque()
        self.retries = []
        self.came = self.in_time = self.refused = 0
        self.most_busy = 0.0

    def run(self):
        """Plays the arrivals, and returns the ``Outcome``."""
        now = next_report = 0.0
        while now < LENGTH_S:
            now += STEP_S
            if now >= next_report:
                next_report += REPORT_S
                self._report(now)
            self._arrive(now)
            for gateway in self.gateways:
                gateway.work(now)
            busy = [gateway.meter.busy for gateway in self.gateways[self.hot :]]
            self.most_busy = max(self.most_busy, *busy)
        came = max(1, self.came)
        return Outcome(self.in_time / came, self.refused / came, self.most_busy)

    def _arrive(self, now):
        for number, gateway in enumerate(self.gateways):
            is_hot = number < self.hot and now >= SURGE_AT_S
            load = HOT_LOAD if is_hot else USUAL_LOAD
            if self.rng.random() < load * gateway.cores / REQUEST_S * STEP_S:
                self.came += now >= SURGE_AT_S
                self._connect(number, now, is_retry=False)
        due = [number for at, number in self.retries if at <= now]
        self.retries = [entry for entry in self.retries if entry[0] > now]
        for number in due:
            self._connect(number, now, is_retry=True)

    def _connect(self, number, now, *, is_retry):
        first = number
        number = self.way.route(self.gateways, first, now, self.rng)
        gateway = self.gateways[number]
        wait_s = gateway.policy.wait_s("a", now)
        counts = now >= SURGE_AT_S
        if not wait_s:
            latency_s = gateway.serve(is_received=number != first)
            self.in_time += counts and latency_s <= OBJECTIVE_S
            return
        gateway.backlog_s += REFUSAL_S
        self.refused += counts
        if not is_retry and wait_s <= PATIENCE_S:
            others = [n for n in range(len(self.gateways)) if n != number]
            self.retries.append((now + wait_s, self.rng.choice(others)))

    def _report(self, now):
        loads = [
            (g.meter.room_per_s, g.meter.busy, g.share.excess_per_s(now))
            for g in self.gateways
        ]
        self.reports.append((now, loads))
        while self.reports and now - self.reports[0][0] >= REPORT_DELAY_S:
            self._tell(*self.reports.popleft())

    def _tell(self, at, loads):
        told = [n for n, (_, busy, _) in enumerate(loads) if busy >= TOLD_BUSY]
        shares = room_shares([loads[n][2] for n in told])
        for own, share in zip(told, shares, strict=True):
            for number, (room_per_s, _, _) in enumerate(loads):
                if number != own and room_per_s >= 1.0:
                    self.gateways[own].rooms.record(number, share * room_per_s, at)


def play(name, hot=1, seed=1):
    """Plays a surge of twice the capacity at some of the gateways.

    Args:
        name: Name of the way in ``WAYS``.
        hot: Number of gateways with a surge.
        seed: Seed of the arrivals.

    Returns:
        An ``Outcome``.
    """
    return _Play(name, hot, seed).run()


def main():
    """Prints the table."""
    print("| way | hot gateways | in time | refusals / requests | busiest neighbour |")
    print("| --- | --- | --- | --- | --- |")
    for name in WAYS:
        for hot in (1, 4):
            found = [play(name, hot, seed) for seed in range(3)]
            in_time, refused = (
                sum(getattr(f, field) for f in found) / len(found)
                for field in ("in_time", "refused")
            )
            most = max(f.most_busy_neighbour for f in found)
            print(f"| {name} | {hot} | {in_time:.2f} | {refused:.2f} | {most:.2f} |")


if __name__ == "__main__":
    main()
