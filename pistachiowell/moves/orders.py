"""Acceptance of orders to an engine by fencing numbers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OrderDecision:
    """Whether an order may be passed on.

    Attributes:
        accepted: Whether it may.
        fence: Highest fencing number known.
        reason: Why not.
    """

    accepted: bool
    fence: int
    reason: str = ""


class FencingChecker:
    """Refuses orders of holders that have been replaced.

    Needed for engines that ignore fencing numbers. The gate remembers nothing over a
    restart, so the caller gives it the fencing number that the store holds.

    Examples:
        >>> gate = FencingChecker()
        >>> gate.check("move-1", 3, stored_fence=3).accepted
        True
        >>> gate.check("move-1", 2, stored_fence=2).accepted
        False
        >>> gate.check("move-1", 3, stored_fence=4).accepted
        False
    """

    __slots__ = ("_fences",)

    def __init__(self):
        self._fences = {}

    def check(self, move, fence, stored_fence):
        """Decides on an order.

        Args:
            move: Name of the move.
            fence: Fencing number of the order.
            stored_fence: Fencing number in the move's state in the store.
        """
        highest = max(self._fences.get(move, 0), stored_fence)
        self._fences[move] = highest
        if fence < highest:
            reason = f"Fencing number {fence} is older than {highest}."
            return OrderDecision(False, highest, reason)
        if fence > stored_fence:
            return OrderDecision(False, highest, f"The store knows no fence {fence}.")
        return OrderDecision(True, highest)
