"""Queue disciplines: which waiting request starts next, and which gives way."""

from collections import deque
from dataclasses import dataclass

from pistachiowell.admission.ticket import PRIORITIES
from pistachiowell.core.registry import Registry

DISCIPLINES = Registry("queue discipline")


@DISCIPLINES.add("fifo")
class Fifo:
    """First in, first out over all classes and accounts; the naive baseline."""

    __slots__ = ("_queue",)

    def __init__(self, settings):
        del settings
        self._queue = {}

    def __len__(self):
        return len(self._queue)

    def __iter__(self):
        return iter(list(self._queue.values()))

    def push(self, ticket):
        """Appends a ticket."""
        self._queue[ticket.request_id] = ticket

    def pop(self):
        """Removes and returns the next ticket, or None."""
        for request_id in self._queue:
            return self._queue.pop(request_id)
        return None

    def remove(self, request_id):
        """Removes and returns a ticket, or None."""
        return self._queue.pop(request_id, None)

    def victim(self, ticket):
        """Returns the waiting ticket that gives way to a new one, or None."""
        return

    def ahead_of(self, ticket):
        """Returns how much work would start before a new ticket."""
        return sum(waiting.cost for waiting in self._queue.values())

    def ahead_in_class(self, ticket):
        """Returns how much work of its class would start before a new ticket."""
        return sum(w.cost for w in self._queue.values() if w.rank == ticket.rank)

    def count(self, rank):
        """Returns the number of waiting tickets of a class."""
        return sum(waiting.rank == rank for waiting in self._queue.values())


@dataclass(slots=True)
class _Flow:
    """Waiting tickets of one account in one class.

    Attributes:
        tickets: Oldest first.
        start: Virtual start time of the oldest ticket.
        backlog: Sum of cost by weight of the tickets.
    """

    tickets: deque
    start: float
    backlog: float = 0.0


class _Class:
    """Start-time fair queueing over the accounts of one priority class."""

    __slots__ = ("_finishes", "_flows", "_virtual", "count")

    def __init__(self):
        self._flows = {}
        self._finishes = {}
        self._virtual = 0.0
        self.count = 0

    @property
    def flows(self):
        return self._flows

    def __iter__(self):
        return (ticket for flow in self._flows.values() for ticket in flow.tickets)

    def push(self, ticket):
        flow = self._flows.get(ticket.account)
        if flow is None:
            finish = self._finishes.pop(ticket.account, 0.0)
            flow = _Flow(deque(), max(self._virtual, finish))
            self._flows[ticket.account] = flow
        flow.tickets.append(ticket)
        flow.backlog += ticket.cost / ticket.weight
        self.count += 1

    def pop(self):
        account = min(self._flows, key=lambda name: self._flows[name].start)
        flow = self._flows[account]
        ticket = flow.tickets[0]
        self._virtual = flow.start
        flow.start += ticket.cost / ticket.weight
        self._drop(flow, ticket)
        return ticket

    def remove(self, ticket):
        self._drop(self._flows[ticket.account], ticket)

    def _drop(self, flow, ticket):
        flow.tickets.remove(ticket)
        flow.backlog -= ticket.cost / ticket.weight
        self.count -= 1
        if not flow.tickets:
            del self._flows[ticket.account]
            self._finishes[ticket.account] = flow.start
            self._forget_past()

    def _forget_past(self):
        self._finishes = {
            account: finish
            for account, finish in self._finishes.items()
            if finish > self._virtual
        }


@DISCIPLINES.add("weighted_fair")
class WeightedFair:
    """Priority classes with a bound on overtaking; fair by account inside a class.

    A class whose oldest request was overtaken as often as the settings allow goes
    first once. When the queue is full, the newest request of the account with the
    largest weighted backlog in the lowest class gives way to one that ranks higher.

    Args:
        settings: ``AdmissionSettings``.
    """

    __slots__ = ("_classes", "_limits", "_overtaken", "_tickets")

    def __init__(self, settings):
        limits = dict(settings.overtakes)
        self._limits = [limits.get(name, 0) for name in PRIORITIES]
        self._classes = [_Class() for _ in PRIORITIES]
        self._overtaken = [0 for _ in PRIORITIES]
        self._tickets = {}

    def __len__(self):
        return len(self._tickets)

    def __iter__(self):
        return iter(list(self._tickets.values()))

    def push(self, ticket):
        """Adds a ticket to its class and account."""
        self._tickets[ticket.request_id] = ticket
        self._classes[ticket.rank].push(ticket)

    def pop(self):
        """Removes and returns the next ticket, or None."""
        waiting = [rank for rank, cls in enumerate(self._classes) if cls.count]
        if not waiting:
            return None
        rank = next((r for r in waiting[1:] if self._is_due(r)), waiting[0])
        for other in waiting:
            if other > rank:
                self._overtaken[other] += 1
        self._overtaken[rank] = 0
        ticket = self._classes[rank].pop()
        del self._tickets[ticket.request_id]
        return ticket

    def remove(self, request_id):
        """Removes and returns a ticket, or None."""
        ticket = self._tickets.pop(request_id, None)
        if ticket is not None:
            cls = self._classes[ticket.rank]
            cls.remove(ticket)
            if not cls.count:
                self._overtaken[ticket.rank] = 0
        return ticket

    def victim(self, ticket):
        """Returns the waiting ticket that gives way to a new one, or None."""
        ranks = range(len(PRIORITIES) - 1, ticket.rank - 1, -1)
        rank = next((r for r in ranks if self._classes[r].count), None)
        if rank is None:
            return None
        flows = self._classes[rank].flows
        account = max(flows, key=lambda name: flows[name].backlog)
        if rank == ticket.rank and not self._exceeds(flows, account, ticket):
            return None
        return flows[account].tickets[-1]

    def ahead_of(self, ticket):
        """Returns how much work would start before a new ticket, at most."""
        higher = sum(
            waiting.cost for cls in self._classes[: ticket.rank] for waiting in cls
        )
        return higher + self.ahead_in_class(ticket)

    def count(self, rank):
        """Returns the number of waiting tickets of a class."""
        return self._classes[rank].count

    def ahead_in_class(self, ticket):
        """Returns how much work of its class would start before a new ticket."""
        flows = self._classes[ticket.rank].flows
        own = flows.get(ticket.account)
        share = ticket.cost / ticket.weight + (own.backlog if own else 0.0)
        work = 0.0
        for account, flow in flows.items():
            backlog = sum(waiting.cost for waiting in flow.tickets)
            weight = flow.tickets[0].weight
            work += (
                backlog
                if account == ticket.account
                else min(backlog, share * weight + 1.0)
            )
        return work

    def _is_due(self, rank):
        return self._overtaken[rank] >= self._limits[rank]

    @staticmethod
    def _exceeds(flows, account, ticket):
        own = flows.get(ticket.account)
        own_backlog = (own.backlog if own else 0.0) + ticket.cost / ticket.weight
        return account != ticket.account and flows[account].backlog > own_backlog
