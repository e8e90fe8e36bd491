"""Tokens set aside for one attempt."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens set aside for one attempt of a request.

    Attributes:
        request_id: The request.
        account: Client account that pays.
        grant_id: Grant that covers the tokens.
        holder: Incarnation that holds the grant.
        tokens: Upper bound of the request in tokens.
        reservation_id: Id of the reservation.
        router: Incarnation of the router that asked for it.
        page_version: The grant's ``page_version``.
    """

    request_id: str
    account: str
    grant_id: str
    holder: str
    tokens: int
    reservation_id: str = ""
    router: str = ""
    page_version: int = 0
