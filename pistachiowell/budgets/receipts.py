"""Ledger of an agent: sums and receipts of the attempts that it runs under grants."""

import enum
from dataclasses import dataclass, field

from pistachiowell.schema.generated.messages_budgets import (
    GrantSum,
    Receipt,
    SealReport,
)
from pistachiowell.schema.generated.objects_budgets import DepartedAgent, DepartedSum


class Verdict(enum.Enum):
    """Decision about an attempt.

    ``REPEAT`` means that the same attempt was admitted before and must not run a
    second time. ``CHECK`` means that registrations have to be read before the decision.
    """

    RUN = "run"
    REPEAT = "repeat"
    REFUSE = "refuse"
    CHECK = "check"


@dataclass(frozen=True, slots=True)
class Spend:
    """One attempt of a request as the router sent it.

    Attributes:
        router: Incarnation of the sending router.
        request_id: Id of the request.
        attempt: Number of the attempt.
        account: Client account that pays.
        grant_id: Id of the grant that the attempt is charged to.
        holder: Incarnation that holds the grant.
        tokens: Reserved tokens, the most that the attempt may use.
        reservation_id: Id of the reservation that the attempt is charged to.
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
        """Key of the attempt; its first two items identify the reservation."""
        return (self.router, self.reservation_id, self.attempt)


@dataclass(slots=True)
class _GrantRecord:
    holder: str
    used: dict = field(default_factory=dict)
    admitted: set = field(default_factory=set)
    closed: set = field(default_factory=set)
    charged: dict = field(default_factory=dict)

    def charge(self, spend, tokens):
        """Charges an attempt; each reservation counts with its largest attempt."""
        before = self.charged.get(spend.key[:2], 0)
        growth = max(tokens - before, 0)
        self.charged[spend.key[:2]] = before + growth
        self.used[spend.router] = self.used.get(spend.router, 0) + growth


class ReceiptLedger:
    """Keeps the sums and receipts of one agent incarnation.

    A router incarnation is accepted only after its registration was read, and a fenced
    one never again. Recovery removes the registration before it collects the sums, so
    no agent, not even one that starts later, runs a request under a grant that was
    closed without it.

    Sums per grant are kept until the grant is closed, as recovery closes it at them if
    its holder dies. Receipts are kept until their bills are journaled, so that the
    bills of a router that dies can be written from them.

    Args:
        agent: Incarnation of the agent.

    Examples:
        >>> ledger = ReceiptLedger("agent-1")
        >>> spend = Spend("router-1", "r", 1, "shop", "g", "router-1", 100, "v")
        >>> ledger.admit(spend)
        <Verdict.CHECK: 'check'>
        >>> ledger.record_registration("router-1", True)
        >>> ledger.admit(spend)
        <Verdict.RUN: 'run'>
        >>> ledger.finish(spend.key, 40)
        40
        >>> ledger.fence("router-1").sums[0].used_tokens
        40
    """

    __slots__ = ("_agent", "_grants", "_receipts", "_registered", "_running", "_fenced")

    def __init__(self, agent):
        self._agent = agent
        self._registered = set()
        self._fenced = set()
        self._grants = {}
        self._running = {}
        self._receipts = {}

    @property
    def receipts(self):
        """Receipts whose bills are not known to be journaled."""
        return list(self._receipts.values())

    @property
    def running(self):
        """Running attempts, a ``Spend`` by key."""
        return dict(self._running)

    @property
    def grant_ids(self):
        """Ids of the grants with sums."""
        return set(self._grants)

    def unchecked(self, spend):
        """Returns the incarnations of a ``Spend`` whose registrations were not read."""
        return {spend.router, spend.holder} - self._registered - self._fenced

    def has_checked(self, incarnations):
        """Returns whether all the incarnations are either accepted or fenced."""
        return set(incarnations) <= self._registered | self._fenced

    def record_registration(self, incarnation, registered):
        """Records whether an incarnation is registered, as read from the store.

        A fenced incarnation is not accepted again by a read that began earlier.
        """
        if registered and incarnation not in self._fenced:
            self._registered.add(incarnation)

    def admit(self, spend):
        """Decides whether an attempt may run, and records it if so.

        Args:
            spend: A ``Spend``.

        Returns:
            A ``Verdict``; on ``CHECK`` the registrations of ``unchecked`` have to be
            read and passed to ``record_registration`` first.
        """
        if self._fenced & {spend.router, spend.holder}:
            return Verdict.REFUSE
        if self.unchecked(spend):
            return Verdict.CHECK
        record = self._grants.setdefault(spend.grant_id, _GrantRecord(spend.holder))
        if spend.key in record.admitted:
            return Verdict.REPEAT
        if spend.key[:2] in record.closed:
            return Verdict.REFUSE
        record.admitted.add(spend.key)
        self._running[spend.key] = spend
        return Verdict.RUN

    def finish(self, key, tokens):
        """Finishes a running attempt: charges its tokens and stores its receipt.

        Args:
            key: Key of the ``Spend``.
            tokens: Tokens that it used.

        Returns:
            The tokens charged, at most the reservation; 0 for an unknown key.
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
        """Refuses further attempts under a reservation and returns what it used.

        An attempt that arrives late is refused, as the router settles the reservation
        at the returned tokens.

        Args:
            router: Incarnation of the router that reserved.
            reservation_id: Id of the reservation.
            grant_id: Id of its grant.
            holder: Incarnation that holds the grant.

        Returns:
            The largest use of one attempt in tokens; None while an attempt runs.
        """
        record = self._grants.setdefault(grant_id, _GrantRecord(holder))
        record.closed.add((router, reservation_id))
        if self.running_under(router, reservation_id):
            return None
        pair = (router, reservation_id)
        used = [r.tokens for key, r in self._receipts.items() if key[:2] == pair]
        return max(used, default=0)

    def fence(self, incarnation):
        """Fences an incarnation: refuses it for ever and reports its sums.

        The sums are final once no attempt runs, since none is admitted any more.

        Args:
            incarnation: Incarnation to fence, as holder and as sender.

        Returns:
            A ``SealReport`` with the sums of its grants and of what it sent under
            the grants of others, and the receipts of what it sent.
        """
        self._fenced.add(incarnation)
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
        """Returns the ``DepartedAgent`` record that the agent stores when it stops.

        It is complete only if nothing runs. Recovery and routers read it in place of
        asking the agent.
        """
        sums = [
            DepartedSum(grant_id, router, tokens)
            for grant_id, record in self._grants.items()
            for router, tokens in record.used.items()
        ]
        return DepartedAgent(self._agent, complete=not self._running, sums=sums)

    def remove_receipts(self, router, reservation_ids):
        """Removes the receipts of reservations whose bills are in the journal."""
        journaled = {(router, reservation_id) for reservation_id in reservation_ids}
        for key in [key for key in self._receipts if key[:2] in journaled]:
            del self._receipts[key]

    def remove_grant_sums(self, grant_ids):
        """Removes the sums of grants that are closed in the store.

        Sums of a grant with running attempts are kept.
        """
        busy = {spend.grant_id for spend in self._running.values()}
        for grant_id in grant_ids:
            if grant_id not in busy:
                self._grants.pop(grant_id, None)
