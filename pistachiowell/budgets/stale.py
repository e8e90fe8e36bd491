"""Reservations that have been open for long, as their settlement may be lost."""

from collections import defaultdict
from dataclasses import dataclass

ASK_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class OpenReservation:
    """A reservation that is not settled.

    Attributes:
        account: Client account.
        reservation_id: Id of the reservation.
        router: Incarnation of the router or gateway that has to settle it.
        tokens: Reserved tokens.
    """

    account: str
    reservation_id: str
    router: str
    tokens: int


class StaleReservations:
    """Tells for which reservations their routers have to be asked.

    Examples:
        >>> stale = StaleReservations()
        >>> stale.update([OpenReservation("shop", "a", "gate-1", 10)], 0.0)
        >>> stale.due(1.0), sorted(stale.due(6.0))
        ({}, ['gate-1'])
    """

    __slots__ = ("_since",)

    def __init__(self):
        self._since = {}

    def update(self, reservations, now):
        """Takes over the reservations that are open at a time in seconds."""
        self._since = {each: self._since.get(each, now) for each in reservations}

    def due(self, now):
        """Returns the reservations open for ``ASK_AFTER_S``, in lists by router."""
        due = defaultdict(list)
        for reservation, since in self._since.items():
            if now - since >= ASK_AFTER_S:
                due[reservation.router].append(reservation)
        return dict(due)


def lost_reservations(asked, open_ids):
    """Returns the reservations that a router neither uses nor is about to settle.

    Args:
        asked: The ``OpenReservation`` that the router was asked for.
        open_ids: Ids that it has named as open.
    """
    still_open = set(open_ids)
    return [each for each in asked if each.reservation_id not in still_open]
