"""Requests that a server has run and whose callers got no whole answer.

Load pattern: callers keep their connections or read slowly, while gateways are stopped
in order and their files change. That excuses no lost answer; a failure does.
"""

import time

# The users' span after which a failure excuses nothing.
FAILURE_ECHO_S = 3.0
PLANNED_KINDS = ("restart", "signals", "leave", "evacuate")


class LossOracle:
    """Records failures, and connections that ended without a whole answer.

    Attributes:
        judged_count: Number of requests that no failure would have excused.
    """

    __slots__ = ("_failures", "_losses", "judged_count")

    def __init__(self):
        self._failures = []
        self._losses = []
        self.judged_count = 0

    def record_fault(self, fault):
        """Records that a ``Fault`` begins; those that are planned excuse nothing."""
        if fault.kind not in PLANNED_KINDS:
            now = time.monotonic()
            end = now + fault.duration_s + FAILURE_ECHO_S
            self._failures.append((now, end))

    def record_end(self, request_id, sent_at, *, is_lost, runs):
        """Records how a request ended whose caller has waited for its answer.

        Args:
            request_id: The request.
            sent_at: Time at which its caller has sent it in seconds.
            is_lost: Whether its connection ended without a whole answer.
            runs: Number of its runs; without one, it may have crossed the close of its
                connection.
        """
        now = time.monotonic()
        if any(begin < now and sent_at < end for begin, end in self._failures):
            return
        self.judged_count += 1
        if is_lost and runs:
            self._losses.append(request_id)

    def violations(self):
        """Returns a sentence for each lost request."""
        return [f"{request_id}: ran and was lost" for request_id in self._losses]
