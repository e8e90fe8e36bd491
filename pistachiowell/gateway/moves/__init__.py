"""Version moves: what gateways count, and how agents judge it."""

from pistachiowell.gateway.moves.move_judge import MoveJudge
from pistachiowell.gateway.moves.move_orders import MoveOrder, MoveState
from pistachiowell.gateway.moves.moves import GatewayMoves

__all__ = [
    "GatewayMoves",
    "MoveJudge",
    "MoveOrder",
    "MoveState",
]
