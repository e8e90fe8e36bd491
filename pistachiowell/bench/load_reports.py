"""Model of the load reports between the gateways and one of their agents.

Run ``python -m pistachiowell.bench.load_reports`` for the table of
``docs/CAPACITY.md``. All gateways are linked to eight agents, and each agent sums the
loads of an eighth of the engines. The reporters of both sides run with a clock of the
model; frames are encoded and decoded, but not sent over a network.
"""

import heapq
import itertools
import json
import random
import time
from collections import Counter
from dataclasses import dataclass
from types import SimpleNamespace

import anyio
from absl import app

from pistachiowell.bench.marginal_costs import REPEATS
from pistachiowell.catalog import Evacuations
from pistachiowell.core.clock import Stamp
from pistachiowell.gateway.load import LOAD_INTERVAL_S, AgentReports, LoadReporter
from pistachiowell.routing import (
    REPORT_PACERS,
    EngineRequest,
    EngineTable,
    PlacementSettings,
    SharingSettings,
)
from pistachiowell.schema.generated.messages_requests import Hello
from pistachiowell.wire import FrameReader, Handlers, encode_frame

AGENTS = 8
# Gateways and engines of the whole fleet.
FLEETS = ((30, 48), (120, 184), (350, 600))
# Requests a second at one gateway, to all engines.
REQUESTS_PER_S = 12.0
PROMPT_TOKENS = (200, 4_000)
OUTPUT_TOKENS = 300
FIRST_TOKEN_S = 0.15
ANSWER_S = 2.0
LENGTH_S = 20.0
MS_PER_S = 1000.0

_STAMP = Stamp(1_790_000_000_000_000_000, 3)


@dataclass(slots=True)
class Costs:
    """Costs over one run.

    Attributes:
        sizes: Bytes by the sender and the kind of message.
        messages: Number of messages by the same.
        agent_s: Processor time of the agent in seconds.
        gateways_s: Processor time of all gateways in seconds.
    """

    sizes: Counter
    messages: Counter
    agent_s: float = 0.0
    gateways_s: float = 0.0


class ModelLink:
    """One end of a link, which encodes frames and keeps them for the other end.

    Args:
        sender: Name of this end.
        hello: The ``Hello`` of the peer.
        costs: The ``Costs``.
    """

    closed = False

    def __init__(self, sender, hello, costs):
        self._sender = sender
        self.hello = hello
        self.frames = []
        self._reader = FrameReader()
        self._costs = costs

    def send(self, message):
        """Encodes a message."""
        data = encode_frame(message, 0, _STAMP)
        kind = f"{self._sender}: {type(message).__name__}"
        self._costs.sizes[kind] += len(data)
        self._costs.messages[kind] += 1
        self.frames.append(data)

    def add_close_listener(self, function):
        """Registers nothing, as no link is lost."""

    async def receive(self, frames, handlers):
        """Decodes the frames of the other end and handles their messages."""
        for data in frames:
            for frame in self._reader.feed(data):
                await handlers.find(frame.message)(self, frame.message)


class ModelGateway:
    """A gateway with its requests to the engines of one agent.

    Args:
        link: Its ``ModelLink`` to the agent.
        engines: Addresses of the engines.
        now: Function that returns the time of the model in seconds.
    """

    def __init__(self, link, engines, now):
        self.link = link
        self.handlers = Handlers()
        self._now = now
        self._addresses = set(engines)
        self.engines = EngineTable(PlacementSettings())
        record = SimpleNamespace(id="agent-1")
        peer = SimpleNamespace(record=record, link=link, usable=True)
        fleet = SimpleNamespace(
            agents={"agent-1": peer}, record_heartbeat=lambda link, *, leaving: peer
        )
        state = SimpleNamespace(catalog=None)
        self.reports = AgentReports(None, fleet, state, None, self.handlers, self)

    def record_remote_loads(self, loads):
        """Records the loads of the other gateways; see ``Selection``."""
        now = self._now()
        for address, load in loads.items():
            if address in self._addresses:
                self.engines.record_remote_load(address, load, now)

    def loads_by_address(self):
        """Returns the own loads; see ``Selection``."""
        return self.engines.own_loads()


class Model:
    """An agent and all gateways.

    Args:
        gateways: Number of the gateways.
        engines: Number of the engines whose loads the agent sums.
        reads_load_changes: Whether the processes read ``LoadChanges``.
        seed: Seed of the draws.
    """

    def __init__(self, gateways, engines, reads_load_changes, seed=1):
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._costs = Costs(Counter(), Counter())
        self._events = []
        self._numbers = itertools.count()
        self._engines = [f"10.0.{n // 250}.{n % 250}:8000" for n in range(engines)]
        self._handlers = Handlers()
        self._reporter = self._make_reporter()
        hello = Hello("router", "gateway", "run", "east", reads_load_changes)
        self._gateways = {}
        for _ in range(gateways):
            link = ModelLink("agent", hello, self._costs)
            other_end = ModelLink("gateway", hello, self._costs)
            self._gateways[link] = ModelGateway(other_end, self._engines, self._now)
            self._reporter.add_link(link)

    def _make_reporter(self):
        settings = SimpleNamespace(report_interval_s=SharingSettings().interval_s)
        runtime = SimpleNamespace(settings=settings, now=self._now, leaving=False)
        state = SimpleNamespace(catalog=None, evacuations=Evacuations(is_used=False))
        return LoadReporter(
            runtime,
            state,
            SimpleNamespace(on_change=None, follows_store=True),
            SimpleNamespace(on_change=None, digest=2**62 + 7),
            SimpleNamespace(on_change=None, follows_store=True, reported=list),
            self._handlers,
        )

    def _now(self):
        return self._now_s

    async def run(self):
        """Plays ``LENGTH_S`` and returns the ``Costs``."""
        settings = SharingSettings()
        pacer = REPORT_PACERS.find(settings.pacer)(settings)
        self._push(0.0, self._report, pacer.interval_s(len(self._gateways)))
        for gateway in self._gateways.values():
            self._push(self._rng.random() * LOAD_INTERVAL_S, self._send_loads, gateway)
            self._push(self._next_request_s(), self._start_request, gateway)
        while self._events[0][0] < LENGTH_S:
            self._now_s, _, action, arguments = heapq.heappop(self._events)
            await action(*arguments)
        return self._costs

    def _push(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    def _next_request_s(self):
        return self._now_s + self._rng.expovariate(REQUESTS_PER_S / AGENTS)

    async def _start_request(self, gateway):
        request = EngineRequest(self._rng.randint(*PROMPT_TOKENS), OUTPUT_TOKENS)
        engine = self._rng.choice(self._engines)
        placed = gateway.engines.record_sent(engine, request, self._now_s)
        self._push(
            self._now_s + FIRST_TOKEN_S, self._record_first_token, gateway, placed
        )
        end_s = self._now_s + ANSWER_S * self._rng.uniform(0.5, 1.5)
        self._push(end_s, self._end_request, gateway, placed)
        self._push(self._next_request_s(), self._start_request, gateway)

    async def _record_first_token(self, gateway, placed):
        gateway.engines.record_first_token(placed, self._now_s)

    async def _end_request(self, gateway, placed):
        gateway.engines.record_end(placed)

    async def _send_loads(self, gateway):
        started_s = time.process_time()
        gateway.reports.send_changed_loads()
        self._costs.gateways_s += time.process_time() - started_s
        self._push(self._now_s + LOAD_INTERVAL_S, self._send_loads, gateway)

    async def _report(self, interval_s):
        started_s = time.process_time()
        for link, gateway in self._gateways.items():
            await link.receive(gateway.link.frames, self._handlers)
            gateway.link.frames.clear()
        self._reporter.send_due()
        sent_s = time.process_time()
        for link, gateway in self._gateways.items():
            await gateway.link.receive(link.frames, gateway.handlers)
            link.frames.clear()
        self._costs.agent_s += sent_s - started_s
        self._costs.gateways_s += time.process_time() - sent_s
        self._push(self._now_s + interval_s, self._report, interval_s)


def measure(gateways, engines, reads_load_changes):
    """Returns the figures of one fleet, for one agent and for one gateway.

    Processor times are the minimum over ``REPEATS`` runs with the same draws.
    """
    runs = [
        anyio.run(Model(gateways, engines // AGENTS, reads_load_changes).run)
        for _ in range(REPEATS)
    ]
    costs = runs[0]
    agent_s = min(run.agent_s for run in runs)
    gateways_s = min(run.gateways_s for run in runs)
    gateway_part = AGENTS / gateways
    total = sum(costs.sizes.values())
    return {
        "agent: kB/s": round(total / LENGTH_S / 1000, 1),
        "agent: ms/s": round(agent_s / LENGTH_S * MS_PER_S, 1),
        "gateway: kB/s": round(total * gateway_part / LENGTH_S / 1000, 2),
        "gateway: ms/s": round(gateways_s * gateway_part / LENGTH_S * MS_PER_S, 2),
        "messages": {
            kind: f"{count / LENGTH_S:.0f}/s, {costs.sizes[kind] / count:.0f} bytes"
            for kind, count in costs.messages.items()
        },
    }


def main(argv):
    """Simulates all fleets and prints their figures as JSON."""
    del argv
    figures = {
        f"{gateways} gateways, {engines} engines, {way}": measure(
            gateways, engines, way == "changes"
        )
        for gateways, engines in FLEETS
        for way in ("whole reports", "changes")
    }
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    app.run(main)
