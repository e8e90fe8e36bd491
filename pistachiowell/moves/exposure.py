"""Bound on the requests that an unproven version gets during a whole move."""

import math
from collections import deque
from dataclasses import dataclass

# Share of the slack that is given out; the rest is for arrivals that are not counted.
PLANNED_SLACK_SHARE = 0.9
RATE_WINDOW_S = 3.0
MIN_RATE_WINDOW_S = 0.5


@dataclass(frozen=True, slots=True)
class ExposureSettings:
    """Settings of an ``ExposureAccount``.

    Attributes:
        share: Share of the requests of a move that an unproven version may get.
        slack: Requests beyond the share that it may get.
    """

    share: float = 0.1
    slack: float = 50.0


class ExposureAccount:
    """Requests that a version may get until its move has ended.

    Load pattern: a version is bad and nothing shows it, as its callers leave, its
    failures are rare or the processes that count them are killed. The bound must not
    depend on a judgement, so it is kept by numbers that are given out before they are
    used: the store holds how many requests all judges together may permit, a judge
    permits no more than it has reserved there, and a router sends no more than it was
    permitted. What a killed process had left counts as used.

    Permits are ceilings on the number of requests that one run of a router has sent
    since the move began. A permit that comes late or twice therefore adds nothing.

    Args:
        settings: ``ExposureSettings``.

    Examples:
        >>> account = ExposureAccount(ExposureSettings(share=0.1, slack=50))
        >>> account.record_sent("r1", 100, 0, now=0.0)
        >>> account.allowed()
        55
        >>> account.add_reserved(10, total=10)
        >>> account.permit("r1", 4), account.permit("r1", 40), account.permit("r2", 1)
        (4, 10, 0)
        >>> account.left()
        45
    """

    __slots__ = ("_ceilings", "_free", "_history", "_sent", "_settings", "_total")

    def __init__(self, settings):
        self._settings = settings
        self._sent = {}
        self._ceilings = {}
        self._free = 0
        self._total = 0
        self._history = {}

    @property
    def free(self):
        """Requests that this judge has reserved and not permitted."""
        return self._free

    @property
    def total(self):
        """Requests that all judges have reserved, as far as known."""
        return self._total

    @property
    def runs(self):
        """Number of runs of routers that have reported."""
        return len(self._sent)

    def record_sent(self, run, old, new, now):
        """Records what a run of a router has sent since the move began.

        Args:
            run: Id of the run.
            old: Number of requests sent to the old version.
            new: Number of requests sent to the new version.
            now: Time in seconds.
        """
        self._sent[run] = (old, new)
        # Another judge may have permitted what was sent.
        self._ceilings[run] = max(new, self._ceilings.get(run, 0))
        history = self._history.setdefault(run, deque())
        history.append((now, old + new))
        while history[0][0] < now - RATE_WINDOW_S:
            history.popleft()

    def sent(self):
        """Returns how many requests the old and the new version have got."""
        sent = self._sent.values()
        return sum(old for old, _ in sent), sum(new for _, new in sent)

    def sent_by(self, run):
        """Returns how many requests a run has sent to the new version."""
        return self._sent.get(run, (0, 0))[1]

    def rate(self, run=None):
        """Returns the requests per second to both versions in the latest reports.

        Args:
            run: Id of a run of a router; None for all that have reported lately.
        """
        if run is None:
            newest = max((h[-1][0] for h in self._history.values()), default=0.0)
            return sum(
                self.rate(run)
                for run, history in self._history.items()
                if history[-1][0] >= newest - RATE_WINDOW_S
            )
        history = self._history.get(run)
        if history is None:
            return 0.0
        (began, first), (ended, last) = history[0], history[-1]
        return (last - first) / max(ended - began, MIN_RATE_WINDOW_S)

    def observed_s(self):
        """Returns for how many seconds the requests have been observed lately."""
        return max((h[-1][0] - h[0][0] for h in self._history.values()), default=0.0)

    def allowed(self, expected=0.0):
        """Returns how many requests the new version may get in all.

        Args:
            expected: Requests of the move that are expected to come.
        """
        share_of_all = self._settings.share * (sum(self.sent()) + expected)
        return math.floor(share_of_all + PLANNED_SLACK_SHARE * self._settings.slack)

    def left(self):
        """Returns how many more requests may be reserved; may be negative."""
        return self.allowed() - self._total

    def record_total(self, total):
        """Records what all judges have reserved, as read or told by a router."""
        self._total = max(self._total, total)

    def add_reserved(self, count, total):
        """Adds requests that this judge has reserved.

        Args:
            count: Number of requests.
            total: What all judges have reserved, these included.
        """
        self._free += count
        self.record_total(total)

    def permit(self, run, ceiling):
        """Raises the ceiling of a run as far as the reserved requests reach.

        Args:
            run: Id of the run.
            ceiling: Number of requests that the run shall be able to send in all.

        Returns:
            The ceiling in force; it is never lowered.
        """
        known = self._ceilings.get(run, 0)
        raised = min(max(0, ceiling - known), self._free)
        self._free -= raised
        self._ceilings[run] = known + raised
        return known + raised
