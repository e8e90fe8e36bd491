"""What a gateway has used under the grants of agents.

Load pattern: an agent with grants is killed while its gateways go on; its next run asks
them what they have used, and everything else is granted again.
"""

from collections import defaultdict

from pistachiowell.schema.generated.messages_budgets import GrantUse


class GrantUses:
    """Sums of settled tokens and open reservations by grant.

    Examples:
        >>> uses = GrantUses()
        >>> uses.reserve("agent-1", "g", "r-1", 50)
        True
        >>> uses.reserve("agent-1", "g", "r-2", 40)
        True
        >>> uses.settle("agent-1", "r-1", 20)
        >>> uses.end("agent-1")
        [GrantUse(grant_id='g', used_tokens=20, open_tokens=40)]
        >>> uses.reserve("agent-1", "g", "r-3", 10)
        False
    """

    __slots__ = ("_ended", "_open", "_used")

    def __init__(self):
        self._ended = set()
        self._open = defaultdict(dict)
        self._used = defaultdict(dict)

    def reserve(self, holder, grant_id, reservation_id, tokens):
        """Records a reservation, unless it must not be used.

        Args:
            holder: Incarnation of the agent that holds the grant.
            grant_id: The grant.
            reservation_id: Id of the reservation.
            tokens: Reserved tokens.

        Returns:
            False if ``end`` has already reported the use of this holder's grants.
        """
        if holder in self._ended:
            return False
        self._open[holder][reservation_id] = (grant_id, tokens)
        return True

    def settle(self, holder, reservation_id, tokens):
        """Records what was used under a reservation; a repeat changes nothing.

        Args:
            holder: Incarnation of the agent that holds the grant.
            reservation_id: Id of the reservation.
            tokens: Used tokens.
        """
        reservation = self._open[holder].pop(reservation_id, None)
        if reservation is not None:
            grant_id, reserved = reservation
            used = self._used[holder]
            used[grant_id] = used.get(grant_id, 0) + min(tokens, reserved)

    def forget(self, holder, grant_id):
        """Discards the sum of a grant that its own holder has closed."""
        if holder not in self._ended:
            self._used[holder].pop(grant_id, None)

    def end(self, holder):
        """Accepts no reservation of a holder any more and returns its ``GrantUse``."""
        self._ended.add(holder)
        open_tokens = defaultdict(int)
        for grant_id, tokens in self._open[holder].values():
            open_tokens[grant_id] += tokens
        used = self._used[holder]
        return [
            GrantUse(grant_id, used.get(grant_id, 0), open_tokens[grant_id])
            for grant_id in sorted(used.keys() | open_tokens.keys())
        ]
