"""Orders to move a service to another version."""

from dataclasses import dataclass
from enum import StrEnum

from pistachiowell.store.era import era_of


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


def has_lost_status(ended, order):
    """Returns whether an order is one that has ended, whose status the store has lost.

    After a return from an older copy the order is there as it was before its end. The
    same order in the same era, with a later version, is a new one.

    Args:
        ended: The ``MoveOrder`` as last known, with its end.
        order: The ``MoveOrder`` as read now, without an end.
    """
    is_same = ended.target == order.target
    is_later_era = era_of(order.object_version) > era_of(ended.object_version)
    return is_same and (is_later_era or order.object_version < ended.object_version)
