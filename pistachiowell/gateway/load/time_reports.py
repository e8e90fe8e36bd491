"""Reports of a gateway's answers to agents, and the summaries that come back.

The decisions are in ``routing/shared_times.py``.
"""

import anyio

from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.common import tell_agents
from pistachiowell.routing import KindSummary
from pistachiowell.schema.generated.messages_gateway import (
    GatewayTimes,
    NewTimes,
    UsualTimes,
)

# With up to 371 bytes each, a gateway sends 74 bytes/s; 28 with one kind of requests.
REPORT_INTERVAL_S = 5.0

_log = part_logger("hedges")


class TimeReports:
    """Reports new answers of this gateway and records the summaries of agents.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        shared: The ``SharedTimes`` of the hedge policy.
        handlers: Handlers of the links to agents; this registers its own.
    """

    __slots__ = ("_fleet", "_has_summaries", "_has_warned", "_runtime", "_shared")

    def __init__(self, runtime, fleet, shared, handlers):
        self._runtime = runtime
        self._fleet = fleet
        self._shared = shared
        self._has_summaries = False
        self._has_warned = False
        handlers.on(UsualTimes, quick=True)(self._handle_usual)
        runtime.metrics.watch(
            "hedges.known_kinds", lambda: shared.known_kinds(runtime.now())
        )

    async def run(self):
        """Reports new answers until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            self._report()

    def _report(self):
        # Taken also without an agent: they would be old by the next report.
        kinds = [_encode_times(times) for times in self._shared.take()]
        data_centre = self._runtime.settings.data_centre
        if kinds:
            # One agent is enough: what it has told counts while the next one learns.
            topic = f"times {data_centre}"
            message = GatewayTimes(data_centre, kinds)
            tell_agents(self._fleet, topic, message, count=1)

    async def _handle_usual(self, link, message):
        if link.hello is None:
            return
        received = [
            KindSummary((usual.service, usual.route), usual.delay_s, usual.slow_share)
            for usual in message.kinds
        ]
        summaries = [summary for summary in received if summary.is_plausible]
        if len(summaries) < len(received):
            self._warn_once(link)
        source, now = link.hello.incarnation, self._runtime.now()
        if not self._shared.record_summaries(source, message.number, summaries, now):
            self._runtime.metrics.count("hedges.old_times")
        elif summaries and not self._has_summaries:
            self._has_summaries = True
            _log.info(
                "An agent tells how long answers usually take.", agent=link.hello.id
            )

    def _warn_once(self, link):
        if not self._has_warned:
            self._has_warned = True
            _log.warning("Ignored an implausible usual time.", agent=link.hello.id)


def _encode_times(times):
    service, route = times.kind
    buckets, counts = list(times.counts), list(times.counts.values())
    return NewTimes(service, route, buckets, counts, times.slow, times.timely)
