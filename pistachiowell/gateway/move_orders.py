"""Orders to move a service to another version."""

from dataclasses import dataclass
from enum import StrEnum


class MoveState(StrEnum):
    """State of a move order."""

    ordered = "ordered"
    in_progress = "in_progress"
    completed = "completed"
    rolled_back = "rolled_back"

    @property
    def has_ended(self):
        """Whether the move is completed or rolled back; both states are final."""
        return self in (MoveState.completed, MoveState.rolled_back)


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """An order to move a service, as stored.

    Attributes:
        service: Name of the service.
        target: Version that its requests shall go to.
        duration_s: Seconds from the order by which the move shall have ended.
        state: A ``MoveState``.
        object_version: Version of the object in the store.
    """

    service: str
    target: str
    duration_s: float
    state: MoveState
    object_version: int
