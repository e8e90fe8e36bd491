"""Requests as admission sees them, and its answers."""

from dataclasses import dataclass
from enum import StrEnum

PRIORITIES = ("chat", "label", "report")


class Outcome(StrEnum):
    """How a started request ended, as far as capacity is concerned."""

    ok = "ok"
    failed = "failed"
    overloaded = "overloaded"
    crashed = "crashed"
    cancelled = "cancelled"


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that wants a slot.

    Attributes:
        request_id: Unique among the requests that wait or run.
        account: Name of the client account.
        priority: One of ``PRIORITIES``; an unknown class counts as the lowest.
        size_bytes: Bytes held while the request waits.
        deadline: Time of the caller's deadline on the clock of ``now``.
        start_by: Time by which it must have started, on the same clock.
        weight: Share of the account against other accounts.
        cost: Work of the request in any unit that all tickets share.
        solo: Whether it must run while nothing else runs.
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
        """Rank of the priority class; 0 goes first."""
        if self.priority in PRIORITIES:
            return PRIORITIES.index(self.priority)
        return len(PRIORITIES) - 1


@dataclass(frozen=True, slots=True)
class Start:
    """The request may run now."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request did not run and will not.

    Attributes:
        request_id: Id of the request.
        code: Code of the error list.
        reason: What was full or late, in a few words.
        retry_after_s: Seconds after which another try makes sense.
    """

    request_id: str
    code: str
    reason: str
    retry_after_s: float
