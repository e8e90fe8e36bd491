"""Which requests reached evacuated data centres and cold servers.

Load pattern: a data centre is evacuated, and servers join cold, in the middle of other
faults and of surges. A gateway has to know an evacuation in time unless its process or
the store was in trouble; the bound of a cold server holds whatever is in trouble.
"""

from collections import defaultdict

from pistachiowell.platform.standin_documents import COLD_PER_S, COLD_S

# The bounds that the users state.
EVACUATE_S = 5.0
COLD_OVERSHOOT, COLD_EXTRA = 1.5, 5.0
COLD_BOUND = COLD_PER_S * COLD_OVERSHOOT + COLD_EXTRA
PLACE_SETTINGS = {
    "evacuation_ms": EVACUATE_S * 1000,
    "regions": {"east": "south", "west": "south"},
    "cold_overshoot": COLD_OVERSHOOT,
    "cold_extra": COLD_EXTRA,
}
# What is sent within a second takes a moment until it has been read.
WINDOW_S = 0.95
# Trouble counts for this long after its end, as what a link has withheld until then
# arrives within this time.
TROUBLE_ECHO_S = 1.0


class PlaceOracle:
    """Records evacuations, cold servers, and what is sent to servers.

    Args:
        data_centres: Data centre by id of the server; the owner adds to it.
        relayed: Times in which others may have served a gateway's requests, by gateway;
            the owner adds to it.

    Attributes:
        receivers_killed: Number of gateways killed while they served relayed requests.
    """

    __slots__ = (
        "_arrivals",
        "_cold",
        "_data_centres",
        "_evacuations",
        "_relayed",
        "_troubles",
        "receivers_killed",
    )

    def __init__(self, data_centres, relayed):
        self._data_centres = data_centres
        self._arrivals = defaultdict(list)
        self._cold = defaultdict(list)
        self._evacuations = []
        self._relayed = relayed
        self._troubles = defaultdict(list)
        self.receivers_killed = 0

    def record_trouble(self, target, start, end):
        """Records a time of trouble of a process or link; "" stands for all of them."""
        self._troubles[target].append((start, end + TROUBLE_ECHO_S))

    def record_arrival(self, server, gateway, now):
        """Records a request of a gateway's caller; None for a health check."""
        self._arrivals[server].append((now, gateway))

    def begin_evacuation(self, data_centre, now):
        """Records that the store has confirmed an evacuation."""
        self._evacuations.append((data_centre, now, float("inf")))

    def end_evacuation(self, now):
        """Records that the latest evacuation is taken back; its servers are cold."""
        data_centre, start, _ = self._evacuations.pop()
        self._evacuations.append((data_centre, start, now))
        # Some gateways may never have known a short one.
        if now - start > EVACUATE_S:
            for server, place in self._data_centres.items():
                if place == data_centre:
                    self.record_cold(server, now, now + COLD_S)

    def record_cold(self, server, now, until):
        """Records until when a server is cold, as the latest that was said of it."""
        spans = self._cold[server]
        if spans:
            spans[-1] = (spans[-1][0], min(now, spans[-1][1]))
        if now < until:
            spans.append((now, until))

    def counts(self):
        """Returns how much was checked, as text."""
        spans = [(name, *span) for name, spans in self._cold.items() for span in spans]
        return (
            f"{len(self._evacuations)} evacuations, {len(spans)} times cold with"
            f" at most {max((self._most(*s) for s in spans), default=0)} in a second,"
            f" {sum(map(len, self._relayed.values()))} times relaying,"
            f" {self.receivers_killed} receivers killed"
        )

    def violations(self):
        """Returns a sentence for each bound that was not kept."""
        found = []
        for server, data_centre in self._data_centres.items():
            for place, start, end in self._evacuations:
                late = self._late(server, start, end) if place == data_centre else 0
                if late:
                    found.append(f"{late} sent to {server}, which is evacuated")
            for start, end in self._cold[server]:
                most = self._most(server, start, end)
                if most > COLD_BOUND:
                    found.append(f"{most} in a second sent to {server}, which is cold")
        return found

    def _late(self, server, start, end):
        """Returns how many requests came although their gateways had to know."""
        return sum(
            start < at < end
            and self._undisturbed_s(start, at, gateway) > EVACUATE_S
            and not self._has_trouble(("", f"server-{server}"), at, at)
            for at, gateway in self._arrivals[server]
        )

    def _undisturbed_s(self, start, end, gateway):
        """Returns for how long a gateway could learn of an evacuation.

        A gateway learns of it from the store and from agents. Trouble of its link to
        the store therefore counts only while an agent is in trouble too, and trouble of
        agents only while that link is. A request without a known gateway, or from one
        that relayed at the time, may come from any gateway, so any trouble counts.

        Args:
            start: Beginning of the evacuation.
            end: Time up to which the seconds count.
            gateway: Name of the gateway; None if it is not known.
        """
        troubles = self._troubles
        agents = [s for name in troubles if "agent" in name for s in troubles[name]]
        spans = troubles[""] + troubles[gateway]
        for a, b in troubles[f"store-{gateway}"]:
            spans += [(max(a, c), min(b, d)) for c, d in agents if a < d and c < b]
        if gateway is None or any(a < end < b for a, b in self._relayed[gateway]):
            spans = [span for name in troubles for span in troubles[name]]
        undisturbed_s, at = 0.0, start
        for begin, until in sorted(spans):
            undisturbed_s += max(0.0, min(begin, end) - at)
            at = max(at, min(until, end))
        return undisturbed_s + end - at

    def _most(self, server, start, end):
        """Returns the most requests in a second of a time that a server is cold."""
        times = [at for at, name in self._arrivals[server] if name and start < at < end]
        targets = ("", f"server-{server}")
        counts = (
            sum(first <= at <= first + WINDOW_S for at in times)
            for first in times
            if not self._has_trouble(targets, first, first + WINDOW_S)
        )
        return max(counts, default=0)

    def _has_trouble(self, targets, start, end):
        spans = (span for target in targets for span in self._troubles[target])
        return any(begin <= end and start <= until for begin, until in spans)
