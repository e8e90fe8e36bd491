"""Decodes the platform's roll-out entries into ``MoveOrder``."""

import msgspec

from pistachiowell.core.decoding import DECODE_ERRORS
from pistachiowell.gateway.moves import MoveOrder, MoveState

COLLECTION = "rollouts"
MAX_DURATION_S = 1e7

_STATES = {
    "": MoveState.ordered,
    "in_progress": MoveState.in_progress,
    "completed": MoveState.completed,
    "rolled_back": MoveState.rolled_back,
}


class _Spec(msgspec.Struct, rename="pascal"):
    """Order of the operator to move a service to a version.

    Attributes:
        service: Name of the service.
        target: Version of the software to move to.
        duration_s: Duration of the move in seconds.
    """

    service: str
    target: str
    duration_s: float


class _Status(msgspec.Struct, rename="pascal"):
    """State of the move as the programs report it.

    Attributes:
        state: Key of ``_STATES``; empty before the move has begun.
        target: Version that the state refers to.
    """

    state: str = ""
    target: str = ""


def decode_order(value, status, object_version):
    """Decodes a roll-out entry.

    A reported state for another target belongs to an earlier order, which the operator
    has replaced in the same entry; the order then has the state ``ordered``.

    Args:
        value: The operator's JSON document as bytes.
        status: The programs' JSON document as bytes.
        object_version: Version of the object.

    Returns:
        A ``MoveOrder``; None if the entry cannot be decoded.
    """
    try:
        spec = msgspec.json.decode(value, type=_Spec)
        reported = msgspec.json.decode(status, type=_Status | None) or _Status()
    except DECODE_ERRORS:
        return None
    if not 0 < spec.duration_s < MAX_DURATION_S:
        return None
    state = _STATES.get(reported.state, MoveState.ordered)
    if reported.target != spec.target:
        state = MoveState.ordered
    return MoveOrder(spec.service, spec.target, spec.duration_s, state, object_version)


def encode_state(order, state):
    """Encodes the status of a roll-out entry.

    Args:
        order: The ``MoveOrder``.
        state: The new ``MoveState``.

    Returns:
        The JSON document as bytes.
    """
    return msgspec.json.encode(_Status(str(state), order.target))
