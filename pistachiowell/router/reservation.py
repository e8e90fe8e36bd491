"""Tokens reserved for one attempt."""

from dataclasses import dataclass

from pistachiowell.schema.generated.messages_budgets import SettleTokens


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens reserved for one attempt of a request.

    Attributes:
        request_id: The request.
        account: Client account that pays.
        grant_id: Grant that covers the tokens.
        holder: Incarnation of the process that holds the grant.
        tokens: Upper bound of the request in tokens.
        reservation_id: Id of the reservation.
        router: Incarnation of the router that requested it.
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

    @classmethod
    def from_reply(cls, call, reply):
        """Returns the reservation that a holder has made.

        Args:
            call: The ``ReserveTokens``.
            reply: The ``TokensReserved``.
        """
        return cls(
            call.request_id,
            call.account,
            reply.grant_id,
            reply.holder,
            reply.tokens,
            call.reservation_id,
            call.router,
            reply.page_version,
        )

    def settlement(self, used_tokens):
        """Returns the ``SettleTokens`` that settles it.

        Args:
            used_tokens: Tokens that the attempt used.
        """
        return SettleTokens(
            self.account,
            self.request_id,
            self.grant_id,
            used_tokens,
            reservation_id=self.reservation_id,
            router=self.router,
        )
