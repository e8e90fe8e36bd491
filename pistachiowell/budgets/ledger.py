"""Books of one holder about its grants for one account."""

import math
from collections import deque
from dataclasses import dataclass, field

from pistachiowell.budgets.sizing import Demand, SizingSettings

ENDED_IDS_KEPT = 4096


@dataclass(frozen=True, slots=True)
class Reserved:
    """Tokens reserved under a grant.

    Attributes:
        grant_id: The grant.
        tokens: Reserved tokens.
        page_version: The grant's ``page_version``.
    """

    grant_id: str
    tokens: int
    page_version: int = 0


@dataclass(slots=True)
class HeldGrant:
    """A grant as its holder sees it.

    Attributes:
        amount: Tokens, as the page was last read.
        ceiling: Limit below ``amount`` that a planned change will set; None if no
            such change is planned.
        opened_at: Time of opening in seconds.
        page_version: Version of the page that was read when it was opened.
        used: Settled tokens by router incarnation.
        reservations: ``(router, tokens)`` by reservation id.
        renewing: Whether another grant is to take its place.
        draining: Whether no new reservation is made under it.
    """

    amount: int
    opened_at: float
    page_version: int = 0
    ceiling: int | None = None
    used: dict = field(default_factory=dict)
    reservations: dict = field(default_factory=dict)
    renewing: bool = False
    draining: bool = False

    @property
    def used_tokens(self):
        """Settled tokens of all routers."""
        return sum(self.used.values())

    @property
    def committed_tokens(self):
        """Settled and reserved tokens."""
        return self.used_tokens + sum(t for _, t in self.reservations.values())

    @property
    def available_tokens(self):
        """Tokens that can still be reserved."""
        limit = self.amount if self.ceiling is None else min(self.amount, self.ceiling)
        return limit - self.committed_tokens


class RateMeter:
    """Tokens per second over a window that decays exponentially.

    Examples:
        >>> meter = RateMeter()
        >>> meter.add(300, 0.0)
        >>> meter.rate(0.0)
        1.0
    """

    __slots__ = ("_at", "_sum", "_window_s")

    def __init__(self, window_s=300.0):
        self._window_s = window_s
        self._sum = 0.0
        self._at = 0.0

    def add(self, tokens, now):
        """Counts tokens at a time in seconds."""
        self._decay(now)
        self._sum += tokens

    def rate(self, now):
        """Returns tokens per second."""
        self._decay(now)
        return self._sum / self._window_s

    def _decay(self, now):
        if now > self._at:
            self._sum *= math.exp((self._at - now) / self._window_s)
            self._at = now


class AccountLedger:
    """Reserves, settles and counts the demand of one account.

    Args:
        sizing: The ``SizingSettings``.

    Attributes:
        grants: ``HeldGrant`` by id.
        asked_at: Time in seconds at which a reservation was last asked for.

    Examples:
        >>> ledger = AccountLedger()
        >>> ledger.reserve("a", "router-1", 10, 0.0) is None
        True
        >>> ledger.demand(0.0).need_tokens
        10
        >>> ledger.observe("g", 100, 0.0)
        >>> ledger.reserve("a", "router-1", 10, 0.0)
        Reserved(grant_id='g', tokens=10, page_version=0)
        >>> ledger.settle("a", "router-1", 4, 0.0)
        True
        >>> ledger.available_tokens
        96
    """

    __slots__ = (
        "_ended",
        "_ended_order",
        "_meter",
        "_sizing",
        "_waiting",
        "asked_at",
        "grants",
    )

    def __init__(self, sizing=None):
        self._sizing = sizing or SizingSettings()
        self.grants = {}
        self.asked_at = float("-inf")
        self._waiting = {}
        self._meter = RateMeter(self._sizing.rate_window_s)
        self._ended = set()
        self._ended_order = deque()

    @property
    def available_tokens(self):
        """Largest request that fits now."""
        open_grants = [g for g in self.grants.values() if not g.draining]
        return max((g.available_tokens for g in open_grants), default=0)

    @property
    def idle(self):
        """Whether nothing is reserved and nothing waits."""
        busy = any(grant.reservations for grant in self.grants.values())
        return not busy and not self._waiting

    def reserve(self, reservation_id, router, tokens, now):
        """Reserves tokens, or notes that they are wanted.

        Args:
            reservation_id: Id of the reservation; a repeat gets the same answer.
            router: Incarnation of the asking router.
            tokens: Upper bound of the request.
            now: Time in seconds.

        Returns:
            A ``Reserved``; None if no grant has room. The request then waits
            until it is asked for again or given up.
        """
        self.asked_at = now
        for grant_id, grant in self.grants.items():
            if reservation_id in grant.reservations:
                held = grant.reservations[reservation_id][1]
                return Reserved(grant_id, held, grant.page_version)
        if reservation_id in self._ended:
            return None
        for grant_id, grant in self.grants.items():
            if not grant.draining and grant.available_tokens >= tokens:
                grant.reservations[reservation_id] = (router, tokens)
                self._waiting.pop(reservation_id, None)
                return Reserved(grant_id, tokens, grant.page_version)
        self._waiting[reservation_id] = (router, tokens)
        return None

    def settle(self, reservation_id, router, tokens, now):
        """Books the end of a reservation.

        Args:
            reservation_id: The reservation.
            router: Incarnation of the settling router.
            tokens: Tokens used.
            now: Time in seconds.

        Returns:
            True if the reservation was open; False for a repeat.
        """
        self.cancel(reservation_id)
        self._remember(reservation_id)
        for grant in self.grants.values():
            held = grant.reservations.pop(reservation_id, None)
            if held is not None:
                used = min(tokens, held[1])
                grant.used[router] = grant.used.get(router, 0) + used
                self._meter.add(used, now)
                return True
        return False

    def cancel(self, reservation_id):
        """Forgets a request that waits."""
        self._waiting.pop(reservation_id, None)

    def settle_fenced_router(self, router, reports):
        """Ends the reservations of a dead router at the agents' sums.

        Args:
            router: Its incarnation.
            reports: Complete ``FenceReports`` with nothing running. Reservations
                under a grant that a lost agent may have used stay as they are.
        """
        for reservation_id in _owned(self._waiting, router):
            del self._waiting[reservation_id]
        for grant_id, grant in self.grants.items():
            if not reports.resolves(grant.page_version):
                continue
            held = _owned(grant.reservations, router)
            for reservation_id in held:
                del grant.reservations[reservation_id]
                self._remember(reservation_id)
            if held:
                used = reports.used_tokens(grant_id, router)
                grant.used[router] = max(grant.used.get(router, 0), used)

    def is_unasked(self, now):
        """Whether no reservation was asked for since grants are closed for that."""
        return now - self.asked_at >= self._sizing.close_idle_after_s

    def has_reservations_of(self, router):
        """Tells whether a router has open reservations."""
        return any(_owned(grant.reservations, router) for grant in self.grants.values())

    def demand(self, now):
        """Returns the ``Demand`` of the account."""
        return self._demand(now, max(self.available_tokens, 0))

    def demand_of(self, grant_id, now):
        """Returns the ``Demand`` that one grant shall meet alone.

        A request is paid out of one grant, so what others have left does not count.

        Args:
            grant_id: A grant; one that is not open yet has nothing available.
            now: Time in seconds.
        """
        grant = self.grants.get(grant_id)
        available = max(grant.available_tokens, 0) if grant is not None else 0
        return self._demand(now, available)

    def _demand(self, now, available):
        waiting = [tokens for _, tokens in self._waiting.values()]
        total = sum(waiting)
        smallest = min(waiting, default=0)
        return Demand(
            max(total - available, 0),
            max(smallest - available, 0),
            0.0 if self.is_unasked(now) else self._meter.rate(now),
            available,
            self._sizing,
        )

    def observe(self, grant_id, amount, now, page_version=0):
        """Takes the amount of a grant from the page as last read."""
        grant = self.grants.get(grant_id)
        if grant is None:
            self.grants[grant_id] = HeldGrant(amount, now, page_version)
            return
        grant.amount = amount
        if grant.ceiling is not None and amount <= grant.ceiling:
            grant.ceiling = None

    def _remember(self, reservation_id):
        if reservation_id in self._ended:
            return
        self._ended.add(reservation_id)
        self._ended_order.append(reservation_id)
        if len(self._ended_order) > ENDED_IDS_KEPT:
            self._ended.discard(self._ended_order.popleft())


def _owned(reservations, router):
    return [name for name, (owner, _) in reservations.items() if owner == router]
