"""Checks of the fencing numbers of orders to an engine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OrderDecision:
    """Whether an order may be passed on to the engine.

    Attributes:
        accepted: Whether it may.
        fence: Highest fencing number known.
        reason: Reason of a refusal; empty if accepted.
    """

    accepted: bool
    fence: int
    reason: str = ""


class FencingChecker:
    """Rejects orders of holders that have been replaced.

    Without this check, an engine that ignores fencing numbers would carry out a late
    order of a holder that was paused, after its successor's orders. The checker loses
    its state at a restart, so the caller passes the fencing number that the store has.

    Examples:
        >>> checker = FencingChecker()
        >>> checker.check("move-1", 3, stored_fence=3).accepted
        True
        >>> checker.check("move-1", 2, stored_fence=2).accepted
        False
        >>> checker.check("move-1", 3, stored_fence=4).accepted
        False
    """

    __slots__ = ("_fences",)

    def __init__(self):
        self._fences = {}

    def check(self, move, fence, stored_fence):
        """Checks the fencing number of an order.

        Args:
            move: Name of the move.
            fence: Fencing number of the order.
            stored_fence: Fencing number in the move's state in the store.

        Returns:
            The ``OrderDecision``.
        """
        highest = max(self._fences.get(move, 0), stored_fence)
        self._fences[move] = highest
        if fence < highest:
            reason = f"Fencing number {fence} is older than {highest}."
            return OrderDecision(False, highest, reason)
        if fence > stored_fence:
            return OrderDecision(False, highest, f"The store knows no fence {fence}.")
        return OrderDecision(True, highest)
