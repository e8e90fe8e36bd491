"""Tells the gateways of a data centre after which time an answer is slow.

The agent that ranks first for the data centre adds up what its gateways report. What a
gateway sends and receives does not grow with the number of gateways.
"""

from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.common import ReportRounds, RoundSettings
from pistachiowell.routing import HedgeSettings, KindTimes, TimesSum
from pistachiowell.schema.generated.messages_gateway import (
    GatewayTimes,
    UsualTime,
    UsualTimes,
)

# A message has 352 bytes at most, so an agent sends 3.5 KB/s to up to 100 gateways.
ROUNDS = RoundSettings(5.0, 10.0, interval_per_gateway_s=0.1)

_log = part_logger("hedges")


class _DataCentre:
    """The gateways of a data centre that report, and the sum of their answers."""

    __slots__ = ("links", "total")

    def __init__(self):
        self.links = set()
        self.total = TimesSum(HedgeSettings())


class TimesOwner:
    """Adds up the answers that gateways report, and tells them what these show.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links to gateways; this registers its own.
    """

    __slots__ = ("_data_centres", "_has_warned", "_number", "_rounds", "_runtime")

    def __init__(self, runtime, handlers):
        self._runtime = runtime
        self._data_centres = {}
        self._rounds = ReportRounds(ROUNDS, self._tell_all)
        self._has_warned = False
        self._number = 0
        handlers.on(GatewayTimes, quick=True)(self._handle_times)

    async def run(self):
        """Tells the gateways until cancelled."""
        await self._rounds.run()

    async def _handle_times(self, link, message):
        if link.closed:
            return
        now, total = self._runtime.now(), self._join(link, message.data_centre)
        for new in message.kinds:
            times = _decode_times(new)
            if times is None:
                self._warn_once(link)
            else:
                total.add(times, now)
        self._rounds.record_report()

    def _join(self, link, name):
        """Adds a gateway to a data centre and returns the ``TimesSum`` of that."""
        for other, data_centre in list(self._data_centres.items()):
            if other != name and link in data_centre.links:
                self._leave(link, other)
        data_centre = self._data_centres.setdefault(name, _DataCentre())
        if link not in data_centre.links:
            data_centre.links.add(link)
            link.add_close_listener(lambda: self._leave(link, name))
        return data_centre.total

    def _leave(self, link, name):
        data_centre = self._data_centres.get(name)
        if data_centre is None:
            return
        data_centre.links.discard(link)
        if not data_centre.links:
            del self._data_centres[name]

    def _warn_once(self, link):
        if not self._has_warned:
            self._has_warned = True
            gateway = link.hello.id if link.hello else ""
            _log.warning("Ignored implausible counts of answers.", gateway=gateway)

    def _tell_all(self):
        """Tells all gateways, and returns how many were told."""
        told = 0
        for data_centre in list(self._data_centres.values()):
            summaries = data_centre.total.summaries(self._runtime.now())
            if summaries:
                self._number += 1
                kinds = [_encode_summary(summary) for summary in summaries]
                message = UsualTimes(self._number, kinds)
                told += _send_to_all(list(data_centre.links), message)
        return told


def _send_to_all(links, message):
    for link in links:
        try:
            link.send(message)
        except LinkLost as error:
            _log.debug("Telling a gateway the usual times failed: {}", error)
    return len(links)


def _decode_times(new):
    """Returns the ``KindTimes`` of a ``NewTimes``; None if it is not plausible."""
    if len(new.buckets) != len(new.counts):
        return None
    counts = dict(zip(new.buckets, new.counts, strict=True))
    times = KindTimes((new.service, new.route), counts, new.slow, new.timely)
    return times if times.is_plausible else None


def _encode_summary(summary):
    service, route = summary.kind
    delay_s, slow_share = round(summary.delay_s, 4), round(summary.slow_share, 3)
    return UsualTime(service, route, delay_s, slow_share)
