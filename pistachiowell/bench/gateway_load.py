"""Model of ways to share load between the gateways of a data centre.

Run ``python -m pistachiowell.bench.gateway_load`` for the table of
``docs/design/gateway_load.md``. Eight gateways serve callers that a hash spreads over
them. From ``SURGE_AT_S`` on, some of them get several times what they can serve. With
``LINK``, the network links of these are full before their processors.
"""

import math
import random
from collections import deque
from dataclasses import dataclass

from pistachiowell.admission import (
    OVERLOAD_POLICIES,
    GatewayLoadSettings,
    LinkMeter,
    LinkSettings,
    LinkShare,
    LoadMeter,
    OverloadSettings,
    PeerRooms,
    PeerRoomSettings,
    RelaySettings,
    RelayShare,
    room_shares,
)
from pistachiowell.core.registry import Registry
from pistachiowell.gateway.load import TOLD_BUSY

WAYS = Registry("way to share load")

GATEWAYS = 8
CORES = 0.387
LENGTH_S = 20.0
SURGE_AT_S = 5.0
STEP_S = 0.01
REPORT_S = 0.25
REPORT_DELAY_S = 0.3
USUAL_LOAD = 0.15
# The bytes of a request, half to one and a half times as many, come spread over the
# life of its stream.
REQUEST_BYTES = 6000
REFUSAL_BYTES = 1000
STREAM_S = (1.0, 3.0)
OBJECTIVE_S = 0.3
# Callers honour a Retry-After of up to a third of their 1.6 s and retry once.
PATIENCE_S = 1.6 / 3
# The load balancer asks once a second, and takes a gateway out after two misses.
CHECK_S = 1.0


@dataclass(frozen=True, slots=True)
class Scene:
    """What requests cost and what limits the gateways.

    Attributes:
        request_s: Seconds of a whole core that a request takes.
        relay_s: The same for relaying it; 45 events take 0.5 to 1.4 ms.
        refusal_s: The same for refusing it.
        hot_load: Load of a gateway with a surge, as a share of its processor.
        mbps: Bandwidth of the link of a gateway with ``CORES``, in proportion to the
            cores of the others.
    """

    request_s: float = 0.009
    relay_s: float = 0.0014
    refusal_s: float = 0.002
    hot_load: float = 2.0
    mbps: float = math.inf


PROCESSOR = Scene()
# 174 requests a second at a link that is full at 104.
LINK = Scene(0.002, 0.0007, 0.0005, hot_load=0.9, mbps=5.0)


class Stream:
    """The bytes of a request with its answer, until its end."""

    def __init__(self, now, rng):
        life_s = rng.uniform(*STREAM_S)
        self.size = REQUEST_BYTES * rng.uniform(0.5, 1.5)
        self.per_s = self.size / life_s
        self.ends_at = now + life_s
        self.is_late = False


class Link:
    """A network link that sends in order of arrival."""

    def __init__(self, mbps):
        self.bytes_per_s = mbps * 125_000
        self.queued = 0.0
        self.sent = 0.0
        self.streams = []
        self.meter = LinkMeter(LinkSettings(), mbps)
        self.share = LinkShare(LinkSettings(), self.meter)

    @property
    def delay_s(self):
        """Seconds that a byte waits."""
        return self.queued / self.bytes_per_s

    def add(self, stream, now, *, is_received=False):
        """Begins a stream."""
        self.meter.add_request(now, is_received=is_received)
        stream.is_late |= self.delay_s > OBJECTIVE_S
        self.streams.append(stream)

    def refuse(self, now):
        """Sends a refusal."""
        self.meter.add_refusal(now)
        self.queued += REFUSAL_BYTES

    def work(self, peer_room_per_s, now):
        """Sends for a step, and measures the load."""
        self.queued += STEP_S * sum(stream.per_s for stream in self.streams)
        sent = min(self.queued, STEP_S * self.bytes_per_s)
        self.queued -= sent
        self.sent += sent
        for stream in [stream for stream in self.streams if stream.ends_at <= now]:
            self.streams.remove(stream)
            stream.is_late |= self.delay_s > OBJECTIVE_S
            self.meter.add_size(stream.size, now)
        self.meter.record(self.sent, now)
        self.share.record(peer_room_per_s, now)

    def report(self, now):
        """Returns its room, its load and its excess."""
        load = max(self.meter.load, self.meter.expected_load(now))
        return self.meter.room_per_s(now), load, self.share.excess_per_s


class Gateway:
    """A processor that serves in order of arrival, and its link."""

    def __init__(self, cores, way, scene, rng):
        policy, has_rooms = way.policy, way.knows_rooms
        self.cores = cores
        self.request_s = scene.request_s
        self.link = Link(scene.mbps * cores / CORES)
        self.knows_link = way.knows_link
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
        link = self.link.share
        self.link.work(self.rooms.room_per_s(now), now)
        is_full = self.knows_link and link.is_near_limit
        self.share.record(self.meter.busy, now, is_link_full=is_full)
        if self.knows_link:
            self.policy.record_link(link.refused_share, link.has_peer_room, now)

    def serve(self, stream, now, *, is_received):
        """Begins a request."""
        self.backlog_s += self.request_s
        self.meter.add_request(is_received=is_received)
        self.link.add(stream, now, is_received=is_received)
        stream.is_late |= self.backlog_s / self.cores > OBJECTIVE_S

    def report(self, now):
        """Returns its room, its load and its excess."""
        excess_per_s = self.share.excess_per_s(now)
        found = self.meter.room_per_s, self.meter.busy, excess_per_s
        if not self.knows_link:
            return found
        room_per_s, load, excess_per_s = self.link.report(now)
        return (
            min(found[0], room_per_s),
            max(found[1], load),
            max(found[2], excess_per_s),
        )


class Way:
    """Base of the ways: refusals alone; the baseline.

    Attributes:
        policy: Name of the overload policy.
        knows_rooms: Whether refusals know the room of the others.
        knows_link: Whether the load of the link counts.
        relays: Whether a connection passes its first gateway on the way to another.
    """

    policy = "fair_share"
    knows_rooms = False
    knows_link = False
    relays = False

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

    relays = True

    def route(self, gateways, number, now, rng):
        """Returns the gateway that serves a new connection; see ``Way``."""
        gateway = gateways[number]
        if not gateway.share.takes_next(now):
            return number
        target = gateway.rooms.choose(now, rng)
        if target is None:
            return number
        return target


@WAYS.add("relay, and refusals for the link")
class LinkRefusals(Relay):
    """The same, but refuses what exceeds the link and relays nothing meanwhile."""

    knows_link = True


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
    def __init__(self, name, hot, seed, scene):
        self.rng = random.Random(seed)
        # Of its own, so that the arrivals are the same with any streams.
        self.stream_rng = random.Random(seed)
        self.scene = scene
        self.way = WAYS.find(name)()
        # The hot gateways are small and the others are of several sizes.
        sizes = [CORES] * hot + [CORES * (1 + n % 3) for n in range(GATEWAYS - hot)]
        self.gateways = [Gateway(cores, self.way, scene, self.rng) for cores in sizes]
        self.hot = hot
        self.reports = deque()
        self.retries = []
        self.served = []
        self.came = self.refused = 0
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
        in_time = sum(not stream.is_late for stream in self.served)
        return Outcome(in_time / came, self.refused / came, self.most_busy)

    def _arrive(self, now):
        for number, gateway in enumerate(self.gateways):
            is_hot = number < self.hot and now >= SURGE_AT_S
            load = self.scene.hot_load if is_hot else USUAL_LOAD
            expected = load * gateway.cores / self.scene.request_s * STEP_S
            draws = 1 if expected < 1.0 else 10
            for _ in range(draws):
                if self.rng.random() < expected / draws:
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
        if self.way.relays and number != first:
            self.gateways[first].backlog_s += self.scene.relay_s
        if not wait_s:
            self._serve(number, first, now, counts=counts)
            return
        gateway.backlog_s += self.scene.refusal_s
        gateway.link.refuse(now)
        self.refused += counts
        if not is_retry and wait_s <= PATIENCE_S:
            others = [n for n in range(len(self.gateways)) if n != number]
            self.retries.append((now + wait_s, self.rng.choice(others)))

    def _serve(self, number, first, now, *, counts):
        stream = Stream(now, self.stream_rng)
        if self.way.relays and number != first:
            self.gateways[first].link.add(stream, now)
        self.gateways[number].serve(stream, now, is_received=number != first)
        if counts:
            self.served.append(stream)

    def _report(self, now):
        loads = [gateway.report(now) for gateway in self.gateways]
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


def play(name, hot=1, seed=1, scene=PROCESSOR):
    """Plays a surge beyond the capacity at some of the gateways.

    Args:
        name: Name of the way in ``WAYS``.
        hot: Number of gateways with a surge.
        seed: Seed of the arrivals.
        scene: A ``Scene``.

    Returns:
        An ``Outcome``.
    """
    return _Play(name, hot, seed, scene).run()


def main():
    """Prints the table."""
    for scene in (PROCESSOR, LINK):
        print(f"\n{scene}\n")
        _print_table(scene)


def _print_table(scene):
    print("| way | hot gateways | in time | refusals / requests | busiest neighbour |")
    print("| --- | --- | --- | --- | --- |")
    for name in WAYS:
        for hot in (1, 4):
            found = [play(name, hot, seed, scene) for seed in range(3)]
            in_time, refused = (
                sum(getattr(f, field) for f in found) / len(found)
                for field in ("in_time", "refused")
            )
            most = max(f.most_busy_neighbour for f in found)
            print(f"| {name} | {hot} | {in_time:.2f} | {refused:.2f} | {most:.2f} |")


if __name__ == "__main__":
    main()
