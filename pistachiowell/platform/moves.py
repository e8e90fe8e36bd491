"""Decodes the platform's roll-out entries into ``MoveOrder``."""

import msgspec

from pistachiowell.gateway.move_orders import MoveOrder, MoveState

COLLECTION = "rollouts"

_STATES = {
    "": MoveState.ordered,
    "in_progress": MoveState.in_progress,
    "completed": MoveState.completed,
    "rolled_back": MoveState.rolled_back,
}


class _Spec(msgspec.Struct, rename="pascal"):
    """What the operator wants.

    Attributes:
        target: Version of the software.
    """

    service: str
    target: str
    duration_s: float


class _Status(msgspec.Struct, rename="pascal"):
    state: str = ""
    target: str = ""


def decode_order(value, status, object_version):
    """Decodes an entry.

    Args:
        value: What the operator wrote, as bytes.
        status: What the programs reported, as bytes.
        object_version: Version of the object.

    Returns:
        A ``MoveOrder``; None if the entry cannot be read.
    """
    try:
        spec = msgspec.json.decode(value, type=_Spec)
        reported = msgspec.json.decode(status, type=_Status | None) or _Status()
    except (msgspec.MsgspecError, ValueError):
        return None
    state = _STATES.get(reported.state, MoveState.ordered)
    if reported.target != spec.target:
        state = MoveState.ordered
    return MoveOrder(spec.service, spec.target, spec.duration_s, state, object_version)


def encode_state(order, state):
    """Returns the status of an entry as bytes.

    Args:
        order: The ``MoveOrder``.
        state: The new ``MoveState``.
    """
    return msgspec.json.encode(_Status(str(state), order.target))
