"""Bound on the requests that an unproven version gets."""

from dataclasses import dataclass

# Share of the slack that is planned with; the rest is for what was sent meanwhile.
PLANNED_SLACK_SHARE = 0.7
# A share is planned to last so long: reports are answered with a new one more often.
PLANNED_S = 1.0
MIN_ELAPSED_S = 0.5


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
    """Requests that an unproven version may still get.

    Load pattern: a version is slow, its callers leave before its answers come, and
    nothing shows for long whether it is as good. The stages of a move are a matter of
    time and of shares; the account bounds the number of requests meanwhile.

    Args:
        settings: ``ExposureSettings``.
        now: Time in seconds at which the move began.

    Examples:
        >>> account = ExposureAccount(ExposureSettings(share=0.1, slack=50), 0.0)
        >>> account.record_sent("r1", 100, 0)
        >>> account.left()
        45.0
        >>> account.max_share(10.0)
        1.0
        >>> account.record_sent("r1", 200, 40)
        >>> round(account.left(), 1), round(account.max_share(10.0), 3)
        (19.0, 0.792)
        >>> account.record_sent("r1", 200, 100)
        >>> account.max_share(10.0)
        0.0
    """

    __slots__ = ("_began", "_sent", "_settings")

    def __init__(self, settings, now):
        self._settings = settings
        self._began = now
        self._sent = {}

    def record_sent(self, router, old, new):
        """Records what a run of a router has sent since the move began.

        Args:
            router: Id of the run.
            old: Number of requests sent to the old version.
            new: Number of requests sent to the new version.
        """
        self._sent[router] = (old, new)

    def sent(self):
        """Returns how many requests the old and the new version have got."""
        sent = self._sent.values()
        return sum(old for old, _ in sent), sum(new for _, new in sent)

    def left(self):
        """Returns how many requests the new version may still get; may be negative."""
        old, new = self.sent()
        slack = PLANNED_SLACK_SHARE * self._settings.slack
        return self._settings.share * (old + new) + slack - new

    def max_share(self, now):
        """Returns the share of the requests that uses up what is left.

        Args:
            now: Time in seconds.
        """
        elapsed_s = max(MIN_ELAPSED_S, now - self._began)
        planned = sum(self.sent()) / elapsed_s * PLANNED_S
        if not planned:
            return 1.0
        return min(1.0, max(0.0, self.left() / planned))
