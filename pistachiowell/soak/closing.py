"""Servers of a soak that say that they leave or want a pause, and who kept to it.

Load pattern: servers are emptied or ask for a pause in the middle of other faults. What
a gateway was told it has to keep, unless it or its link was in trouble since then.
"""

import time
from collections import defaultdict
from dataclasses import dataclass, field

from pistachiowell.platform.standin_documents import cold_headers
from pistachiowell.platform.standins import head

# The bounds that the users state.
DRAIN_S = 2.0
PAUSE_SLACK_S = 0.5
ALLOWED_IN_PAUSE = 2
# A fault that has ended this long before a server spoke excuses nothing.
FAULT_ECHO_S = 1.0


@dataclass(slots=True)
class ServerState:
    """What a server says of itself at present.

    Attributes:
        is_leaving: Whether it says in its answers that it leaves.
        paused_until: Time until which it turns requests away in seconds.
        endless_until: Time until which it sends bytes without end in seconds.
        double_until: Time until which it answers some requests twice in seconds.
        cold_until: Time until which it is cold in seconds.
    """

    is_leaving: bool = False
    paused_until: float = 0.0
    endless_until: float = 0.0
    double_until: float = 0.0
    cold_until: float = 0.0

    @property
    def is_endless(self):
        """Whether it sends bytes without end."""
        return time.monotonic() < self.endless_until

    @property
    def is_double(self):
        """Whether it answers some requests twice."""
        return time.monotonic() < self.double_until

    @property
    def cold_left_s(self):
        """Seconds for which it stays cold; 0.0 if it is warm."""
        return max(0.0, self.cold_until - time.monotonic())

    def headers(self):
        """Returns more headers of an answer by name with ``_`` for ``-``."""
        fields = {"Server_Leaving": "1"} if self.is_leaving else {}
        return fields | (cold_headers(self.cold_left_s) if self.cold_left_s else {})

    def refusal(self, request):
        """Returns the answer that turns a request away as bytes; None if open."""
        left_s = self.paused_until - time.monotonic()
        if left_s <= 0:
            return None
        fields = {"Content_Length": "0", "Retry_After": f"{left_s:.3f}"}
        text = head(request, "503 Busy", **fields, **self.headers())
        return (text + "Pistachiowell-Not-Executed: 1\r\n\r\n").encode()


@dataclass(slots=True)
class _Told:
    at: float
    until: float
    arrivals: list = field(default_factory=list)


class ClosingOracle:
    """Records what servers told gateways, and which requests came nevertheless.

    Attributes:
        told_count: Number of times at which a gateway was told something.
        relayed: Times in which others may have served a gateway's requests, and may
            have been told what it was told, by gateway.
    """

    __slots__ = (
        "_answered_by",
        "_faults",
        "_leaving",
        "_pauses",
        "relayed",
        "told_count",
    )

    def __init__(self):
        self._answered_by = {}
        self._faults = defaultdict(list)
        self._leaving = {}
        self._pauses = defaultdict(list)
        self.relayed = defaultdict(list)
        self.told_count = 0

    def record_fault(self, target, duration_s):
        """Records that a process or a server's link is in trouble from now on.

        Args:
            target: Name of the process or server.
            duration_s: Seconds for which the trouble lasts.
        """
        now = time.monotonic()
        self._faults[target].append((now, now + duration_s + FAULT_ECHO_S))

    def record_answer(self, run, request_id):
        """Records that a run that leaves has answered a request."""
        self._answered_by[request_id] = run

    def record_leaving(self, request_id, gateway):
        """Records that a gateway has passed on an answer that says leaving."""
        run = self._answered_by[request_id]
        self.told_count += 1
        self._leaving.setdefault((run, gateway), _Told(time.monotonic(), float("inf")))

    def record_pause(self, run, gateway, pause_s):
        """Records that a run has turned away a request of a gateway."""
        self.told_count += 1
        now = time.monotonic()
        self._pauses[run, gateway].append(_Told(now, now + pause_s))

    def record_arrival(self, run, gateway, sent_at):
        """Records that a request of a gateway has reached a run of a server.

        Args:
            run: Name and number of the run of the server.
            gateway: Name of the gateway.
            sent_at: Time at which the caller has sent it in seconds.
        """
        now = time.monotonic()
        told = self._leaving.get((run, gateway))
        if told is not None and sent_at > told.at + DRAIN_S:
            told.arrivals.append(now)
        for pause in self._pauses[run, gateway]:
            if pause.at + PAUSE_SLACK_S < now < pause.until:
                pause.arrivals.append(now)

    def violations(self):
        """Returns a sentence for each gateway that has not kept to what it was told."""
        found = []
        for (run, gateway), told in self._leaving.items():
            found += self._judge(told, 0, run, gateway, "had said that it leaves")
        for (run, gateway), pauses in self._pauses.items():
            for told in pauses:
                found += self._judge(
                    told, ALLOWED_IN_PAUSE, run, gateway, "wanted a pause"
                )
        return found

    def _judge(self, told, allowed, run, gateway, what):
        server = run[0]
        late = [
            at
            for at in told.arrivals
            if not any(
                start < at and told.at < end
                for target in (server, gateway)
                for start, end in self._faults[target]
            )
            and not any(
                start < moment < end
                for moment in (told.at, at)
                for start, end in self.relayed[gateway]
            )
        ]
        if len(late) <= allowed:
            return []
        return [f"{len(late)} requests of {gateway} reached {server}, which {what}"]
