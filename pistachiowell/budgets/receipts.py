"""What an agent records about the requests that it runs under grants."""

import enum
from dataclasses import dataclass, field

from pistachiowell.schema.generated.messages_budgets import (
    GrantSum,
    Receipt,
    SealReport,
)
from pistachiowell.schema.generated.objects_budgets import DepartedAgent, DepartedSum


class Verdict(enum.Enum):
    """Whether an attempt may run."""

    RUN = "run"
    REPEAT = "repeat"
    REFUSE = "refuse"
    CHECK = "check"


@dataclass(frozen=True, slots=True)
class Spend:
    """One attempt of a request as the router sent it.

    Attributes:
        router: Incarnation of the sending router.
        request_id: The request.
        attempt: Number of the attempt.
        account: Client account.
        grant_id: Grant that pays.
        holder: Incarnation that holds the grant.
        tokens: Reserved tokens, the most that the attempt may use.
        reservation_id: Reservation that pays.
    """

    router: str
    request_id: str
    attempt: int
    account: str
    grant_id: str
    holder: str
    tokens: int
    reservation_id: str

    @property
    def key(self):
        """Identifies the attempt."""
        return (self.router, self.reservation_id, self.attempt)


@dataclass(slots=True)
class _GrantRecord:
    holder: str
    used: dict = field(default_factory=dict)
    keys: set = field(default_factory=set)
    ended: set = field(default_factory=set)
    charged: dict = field(default_factory=dict)

    def charge(self, spend, tokens):
        """Charges the largest attempt of each reservation."""
        before = self.charged.get(spend.key[:2], 0)
        growth = max(tokens - before, 0)
        self.charged[spend.key[:2]] = before + growth
        self.used[spend.router] = self.used.get(spend.router, 0) + growth


class ReceiptLedger:
    """Sums and receipts of one agent incarnation.

    A router incarnation is accepted only after its registration was read, and a
    sealed one never again. Sums per grant are kept until the grant is closed;
    receipts until their bills are journaled.

    Args:
        agent: Incarnation of the agent.

    Examples:
        >>> book = ReceiptLedger("agent-1")
        >>> spend = Spend("router-1", "r", 1, "shop", "g", "router-1", 100, "v")
        >>> book.admit(spend)
        <Verdict.CHECK: 'check'>
        >>> book.record_registration("router-1", True)
        >>> book.admit(spend)
        <Verdict.RUN: 'run'>
        >>> book.finish(spend.key, 40)
        40
        >>> book.fence("router-1").sums[0].used_tokens
        40
    """

    __slots__ = ("_agent", "_grants", "_receipts", "_registered", "_running", "_sealed")

    def __init__(self, agent):
        self._agent = agent
        self._registered = set()
        self._sealed = set()
        self._grants = {}
        self._running = {}
        self._receipts = {}

    @property
    def receipts(self):
        """Receipts that wait for their journal entry."""
        return list(self._receipts.values())

    @property
    def running(self):
        """Running attempts as ``Spend`` by key."""
        return dict(self._running)

    @property
    def grant_ids(self):
        """Ids of the grants with sums."""
        return set(self._grants)

    def unchecked(self, spend):
        """Returns the incarnations whose registration is still to be read."""
        return {spend.router, spend.holder} - self._registered - self._sealed

    def has_checked(self, incarnations):
        """Tells whether all the incarnations are either accepted or sealed."""
        return set(incarnations) <= self._registered | self._sealed

    def record_registration(self, incarnation, registered):
        """Takes the result of reading a registration."""
        if registered and incarnation not in self._sealed:
            self._registered.add(incarnation)

    def admit(self, spend):
        """Decides whether an attempt may run, and records it if so.

        Args:
            spend: A ``Spend``.

        Returns:
            A ``Verdict``; ``CHECK`` asks for the registrations of ``unchecked``.
        """
        if self._sealed & {spend.router, spend.holder}:
            return Verdict.REFUSE
        if self.unchecked(spend):
            return Verdict.CHECK
        record = self._grants.setdefault(spend.grant_id, _GrantRecord(spend.holder))
        if spend.key in record.keys:
            return Verdict.REPEAT
        if spend.key[:2] in record.ended:
            return Verdict.REFUSE
        record.keys.add(spend.key)
        self._running[spend.key] = spend
        return Verdict.RUN

    def finish(self, key, tokens):
        """Books the end of an attempt.

        Args:
            key: Key of the ``Spend``.
            tokens: Tokens that it used.

        Returns:
            The tokens booked, at most the reservation; 0 for an unknown key.
        """
        spend = self._running.pop(key, None)
        if spend is None:
            return 0
        tokens = min(tokens, spend.tokens)
        self._grants[spend.grant_id].charge(spend, tokens)
        self._receipts[key] = Receipt(
            spend.request_id,
            spend.attempt,
            spend.account,
            spend.grant_id,
            spend.router,
            tokens,
            spend.reservation_id,
        )
        return tokens

    def running_of(self, router):
        """Returns the keys of the running attempts that a router sent."""
        return [key for key, spend in self._running.items() if spend.router == router]

    def running_under(self, router, reservation_id):
        """Returns the keys of the running attempts under a reservation."""
        return [key for key in self._running if key[:2] == (router, reservation_id)]

    def close_reservation(self, router, reservation_id, grant_id, holder):
        """Tells what a reservation was used for; it is refused from now on.

        Args:
            router: Incarnation of the router that reserved.
            reservation_id: The reservation.
            grant_id: Its grant.
            holder: Incarnation that holds the grant.

        Returns:
            The largest use of one attempt in tokens; None while one still runs.
        """
        record = self._grants.setdefault(grant_id, _GrantRecord(holder))
        record.ended.add((router, reservation_id))
        if self.running_under(router, reservation_id):
            return None
        pair = (router, reservation_id)
        used = [r.tokens for key, r in self._receipts.items() if key[:2] == pair]
        return max(used, default=0)

    def fence(self, incarnation):
        """Refuses an incarnation for ever and reports its sums.

        Returns:
            A ``SealReport`` with the sums of its grants and of what it sent under
            the grants of others.
        """
        self._sealed.add(incarnation)
        self._registered.discard(incarnation)
        sums = {}
        for grant_id, record in self._grants.items():
            for router, tokens in record.used.items():
                if incarnation in (record.holder, router):
                    sums[grant_id, router] = [tokens, 0]
        for spend in self._running.values():
            if incarnation in (spend.holder, spend.router):
                pair = sums.setdefault((spend.grant_id, spend.router), [0, 0])
                pair[1] += spend.tokens
        return SealReport(
            incarnation,
            self._agent,
            sums=[GrantSum(*key, *pair) for key, pair in sums.items()],
            receipts=[r for r in self._receipts.values() if r.router == incarnation],
        )

    def final_record(self):
        """Returns the ``DepartedAgent`` to leave behind once nothing runs."""
        sums = [
            DepartedSum(grant_id, router, tokens)
            for grant_id, record in self._grants.items()
            for router, tokens in record.used.items()
        ]
        return DepartedAgent(self._agent, complete=not self._running, sums=sums)

    def remove_receipts(self, router, reservation_ids):
        """Drops the receipts of reservations whose bills are in the journal."""
        ended = {(router, reservation_id) for reservation_id in reservation_ids}
        for key in [key for key in self._receipts if key[:2] in ended]:
            del self._receipts[key]

    def remove_grant_sums(self, grant_ids):
        """Drops the sums of grants that the store shows closed."""
        busy = {spend.grant_id for spend in self._running.values()}
        for grant_id in grant_ids:
            if grant_id not in busy:
                self._grants.pop(grant_id, None)
