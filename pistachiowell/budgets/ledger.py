"""Ledger of one holder's grants for one account.

Reservations are made and settled in memory, within the amounts of the grants. That
needs no store call, and requests go on while the store is away.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from pistachiowell.budgets.sizing import Demand, SizingSettings

MAX_ENDED_IDS = 4096


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
        ceiling: Amount in tokens to which a planned change lowers the grant; None if
            none is planned. Nothing is reserved above it from the time of planning,
            as the write may take effect even if its answer is lost.
        opened_at: Time of opening in seconds.
        page_version: Version of the page that was read when it was opened.
        used: Settled tokens by router incarnation.
        reservations: ``(router, tokens)`` by reservation id.
        renewing: Whether a new grant is to replace it.
        draining: Whether no new reservation is made under it, so that it can be
            closed once the open ones are settled.
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
    """Measures tokens per second over a window that decays exponentially.

    Args:
        window_s: Time constant of the decay in seconds.
        first_s: Least time in seconds over which a meter that is younger than the
            window measures; 0 to measure over the whole window from the start.

    Examples:
        >>> meter = RateMeter()
        >>> meter.add(300, 0.0)
        >>> meter.rate(0.0)
        1.0
        >>> meter = RateMeter(10.0, first_s=2.0)
        >>> for second in range(5):
        ...     meter.add(100, float(second))
        >>> round(meter.rate(5.0))
        95
    """

    __slots__ = ("_at", "_began_at", "_first_s", "_sum", "_window_s")

    def __init__(self, window_s=300.0, first_s=0.0):
        self._window_s = window_s
        self._first_s = first_s
        self._began_at = None
        self._sum = 0.0
        self._at = 0.0

    def add(self, tokens, now):
        """Adds tokens used at a time in seconds."""
        self._decay(now)
        self._sum += tokens
        if self._began_at is None:
            self._began_at = now

    def rate(self, now):
        """Returns tokens per second."""
        self._decay(now)
        if not self._first_s or self._began_at is None:
            return self._sum / self._window_s
        age_s = max(now - self._began_at, self._first_s)
        return self._sum / (self._window_s * -math.expm1(-age_s / self._window_s))

    def _decay(self, now):
        if now > self._at:
            self._sum *= math.exp((self._at - now) / self._window_s)
            self._at = now


class AccountLedger:
    """Reserves and settles tokens of one account and measures its demand.

    Args:
        sizing: The ``SizingSettings``.

    Attributes:
        credited_tokens: Tokens paid for when the account's page was last read.
        free_tokens: Free tokens of the account when its page was last read.
        grants: ``HeldGrant`` by id.
        last_request_at: Time of the last call of ``reserve`` in seconds.

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
        "_largest",
        "_meter",
        "_sizing",
        "_waiting",
        "credited_tokens",
        "free_tokens",
        "grants",
        "last_request_at",
    )

    def __init__(self, sizing=None):
        self._sizing = sizing or SizingSettings()
        self.credited_tokens = 0
        self.free_tokens = 0
        self.grants = {}
        self.last_request_at = float("-inf")
        self._waiting = {}
        self._largest = (0, float("-inf"))
        self._meter = RateMeter(self._sizing.rate_window_s, self._sizing.first_rate_s)
        self._ended = set()
        self._ended_order = deque()

    @property
    def available_tokens(self):
        """Tokens of the largest request that fits now."""
        open_grants = [g for g in self.grants.values() if not g.draining]
        return max((g.available_tokens for g in open_grants), default=0)

    @property
    def idle(self):
        """Whether nothing is reserved and nothing waits."""
        busy = any(grant.reservations for grant in self.grants.values())
        return not busy and not self._waiting

    def reserve(self, reservation_id, router, tokens, now):
        """Reserves tokens, or records that a request waits for them.

        Args:
            reservation_id: Id of the reservation. A repeat of an open one returns the
                same ``Reserved``; a repeat of a settled one returns None, so that a
                late message reserves nothing that nobody would settle.
            router: Incarnation of the router that asks.
            tokens: Upper bound of the request.
            now: Time in seconds.

        Returns:
            A ``Reserved``; None if no grant has room. The request then counts as
            demand until it is reserved, settled or cancelled.
        """
        self.last_request_at = now
        self._record_size(tokens, now)
        for grant_id, grant in self.grants.items():
            if reservation_id in grant.reservations:
                reserved = grant.reservations[reservation_id][1]
                return Reserved(grant_id, reserved, grant.page_version)
        if reservation_id in self._ended:
            return None
        reserved = self._reserve_now(reservation_id, router, tokens)
        if reserved is None:
            self._waiting[reservation_id] = (router, tokens)
        return reserved

    def serve_waiting(self):
        """Reserves tokens for the requests that wait, the earliest first.

        Called as soon as tokens become available. Otherwise requests that arrive in
        the same moment would reserve the tokens that were granted for those that wait.
        Each of them gets its ``Reserved`` when it calls ``reserve`` again.
        """
        for reservation_id, (router, tokens) in list(self._waiting.items()):
            self._reserve_now(reservation_id, router, tokens)

    def has_ended(self, reservation_id):
        """Returns whether a reservation was settled or cancelled by its router."""
        return reservation_id in self._ended

    def _reserve_now(self, reservation_id, router, tokens):
        for grant_id, grant in self.grants.items():
            if not grant.draining and grant.available_tokens >= tokens:
                grant.reservations[reservation_id] = (router, tokens)
                self._waiting.pop(reservation_id, None)
                return Reserved(grant_id, tokens, grant.page_version)
        return None

    def settle(self, reservation_id, router, tokens, now):
        """Settles a reservation: charges what was used and frees the rest.

        Args:
            reservation_id: Id of the reservation.
            router: Incarnation of the settling router.
            tokens: Tokens used.
            now: Time in seconds.

        Returns:
            True if the reservation was open; False for a repeat.
        """
        self.cancel(reservation_id)
        self._record_ended(reservation_id)
        for grant in self.grants.values():
            reservation = grant.reservations.pop(reservation_id, None)
            if reservation is not None:
                used = min(tokens, reservation[1])
                grant.used[router] = grant.used.get(router, 0) + used
                self._meter.add(used, now)
                self.serve_waiting()
                return True
        return False

    def cancel(self, reservation_id):
        """Cancels a waiting request; an open reservation is not affected."""
        self._waiting.pop(reservation_id, None)

    def settle_fenced_router(self, router, reports):
        """Settles the reservations of a fenced router at the sums of the agents.

        The router can no longer settle them itself, so their tokens would stay
        reserved for ever.

        Args:
            router: Incarnation of the router.
            reports: Complete ``FenceReports`` with nothing running. Reservations
                under a grant stay if a crashed agent may have run requests under it,
                as its sums are unknown.
        """
        for reservation_id in _ids_of_router(self._waiting, router):
            del self._waiting[reservation_id]
        for grant_id, grant in self.grants.items():
            if not reports.has_all_sums(grant.page_version):
                continue
            reservation_ids = _ids_of_router(grant.reservations, router)
            for reservation_id in reservation_ids:
                del grant.reservations[reservation_id]
                self._record_ended(reservation_id)
            if reservation_ids:
                used = reports.used_tokens(grant_id, router)
                grant.used[router] = max(grant.used.get(router, 0), used)

    def is_inactive(self, now):
        """Returns whether nothing was requested for ``close_idle_after_s``."""
        return now - self.last_request_at >= self._sizing.close_idle_after_s

    def has_reservations_of(self, router):
        """Returns whether a router has open reservations."""
        return any(
            _ids_of_router(grant.reservations, router) for grant in self.grants.values()
        )

    def demand(self, now):
        """Returns the ``Demand`` of the account."""
        return self._demand(now, max(self.available_tokens, 0))

    def can_grow(self, now):
        """Returns whether the free tokens suffice for the smallest waiting request.

        A page is not written for the others, which would cost a write for each request
        of a spent account.
        """
        demand = self.demand(now)
        return bool(demand.need_tokens) and (
            demand.smallest_need_tokens <= self.free_tokens
        )

    def demand_of(self, grant_id, now):
        """Returns the ``Demand`` that one grant has to meet alone.

        A request is paid out of one grant, so tokens left in others do not count.

        Args:
            grant_id: Id of the grant; one that is not open yet has nothing available.
            now: Time in seconds.
        """
        grant = self.grants.get(grant_id)
        available = max(grant.available_tokens, 0) if grant is not None else 0
        return self._demand(now, available)

    def _record_size(self, tokens, now):
        largest, at = self._largest
        if tokens >= largest or now - at > self._sizing.rate_window_s:
            self._largest = (tokens, now)

    def _demand(self, now, available):
        waiting = [tokens for _, tokens in self._waiting.values()]
        total = sum(waiting)
        smallest = min(waiting, default=0)
        return Demand(
            total if total > available else 0,
            max(smallest - available, 0),
            0.0 if self.is_inactive(now) else self._meter.rate(now),
            available,
            self._sizing,
            self.free_tokens,
            0 if self.is_inactive(now) else self._largest[0],
            self.credited_tokens,
        )

    def observe(self, grant_id, amount, now, page_version=0):
        """Applies the amount of a grant from the page as last read."""
        grant = self.grants.get(grant_id)
        if grant is None:
            self.grants[grant_id] = HeldGrant(amount, now, page_version)
            return
        grant.amount = amount
        if grant.ceiling is not None and amount <= grant.ceiling:
            grant.ceiling = None

    def _record_ended(self, reservation_id):
        if reservation_id in self._ended:
            return
        self._ended.add(reservation_id)
        self._ended_order.append(reservation_id)
        if len(self._ended_order) > MAX_ENDED_IDS:
            self._ended.discard(self._ended_order.popleft())


def _ids_of_router(reservations, router):
    return [key for key, (reserver, _) in reservations.items() if reserver == router]
