"""Requests to admission control and its decisions."""

from dataclasses import dataclass
from enum import StrEnum

PRIORITIES = ("chat", "label", "report")


class Outcome(StrEnum):
    """Result of a started request, as far as it concerns the capacity."""

    ok = "ok"
    failed = "failed"
    overloaded = "overloaded"
    crashed = "crashed"
    cancelled = "cancelled"


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request for a slot.

    Attributes:
        request_id: Unique among the requests that wait or run.
        account: Name of the client account.
        priority: One of ``PRIORITIES``; an unknown class counts as the lowest.
        size_bytes: Bytes held in memory while the request waits.
        deadline: Deadline of the caller in seconds, on the clock of ``now``.
        start_by: Time by which it must have started in seconds, on the same clock.
        weight: Weight of the account relative to other accounts.
        cost: Expected cost of the request in any unit that all tickets share.
        solo: Whether it must run while nothing else runs, as a crash candidate must.
    """

    request_id: str
    account: str
    priority: str = "chat"
    size_bytes: int = 0
    deadline: float = float("inf")
    start_by: float = float("inf")
    weight: float = 1.0
    cost: float = 1.0
    solo: bool = False

    @property
    def rank(self):
        """Rank of the priority class; 0 is the highest."""
        if self.priority in PRIORITIES:
            return PRIORITIES.index(self.priority)
        return len(PRIORITIES) - 1


@dataclass(frozen=True, slots=True)
class Start:
    """The request may run now.

    Attributes:
        request_id: Id of the request.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused; it did not run and will not.

    Attributes:
        request_id: Id of the request.
        code: Code of the error list.
        reason: Reason in a few words, for the error message.
        retry_after_s: Suggested delay before a retry in seconds.
    """

    request_id: str
    code: str
    reason: str
    retry_after_s: float
