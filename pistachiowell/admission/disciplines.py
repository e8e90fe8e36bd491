"""Queue disciplines: which waiting request starts next, and which is evicted.

With one queue for all, an account that sends many requests delays those of all others,
and requests of low priority fill the queue before urgent ones arrive. Fair queueing by
account inside priority classes prevents both.
"""

from collections import deque
from dataclasses import dataclass

from pistachiowell.admission.ticket import PRIORITIES
from pistachiowell.core.registry import Registry

DISCIPLINES = Registry("queue discipline")


@DISCIPLINES.add("fifo")
class Fifo:
    """First in, first out over all classes and accounts; the unfair baseline."""

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

    def eviction_candidate(self, ticket):
        """Returns None, as no waiting ticket is evicted."""
        return

    def cost_ahead(self, ticket):
        """Returns the total cost of the tickets that would start before a new one."""
        return sum(waiting.cost for waiting in self._queue.values())

    def class_cost_ahead(self, ticket):
        """Returns the cost of the tickets of its class that would start before it."""
        return sum(
            waiting.cost
            for waiting in self._queue.values()
            if waiting.rank == ticket.rank
        )

    def count(self, rank):
        """Returns the number of waiting tickets of a class."""
        return sum(waiting.rank == rank for waiting in self._queue.values())


@dataclass(slots=True)
class _Flow:
    """Waiting tickets of one account in one class.

    Attributes:
        tickets: Waiting tickets, oldest first.
        virtual_start: Virtual start time of the oldest ticket.
        backlog: Sum of cost divided by weight over the tickets.
    """

    tickets: deque
    virtual_start: float
    backlog: float = 0.0


class _ClassQueue:
    """Start-time fair queueing over the accounts of one priority class.

    The account whose oldest ticket has the earliest virtual start time goes next. An
    account that becomes active again starts at the virtual time of the class or at its
    own last finish time, whichever is later, so it neither saves up service while it is
    idle nor gets more by sending one request at a time.
    """

    __slots__ = ("_finish_times", "_flows", "_virtual_time", "count")

    def __init__(self):
        self._flows = {}
        self._finish_times = {}
        self._virtual_time = 0.0
        self.count = 0

    @property
    def flows(self):
        return self._flows

    def __iter__(self):
        return (ticket for flow in self._flows.values() for ticket in flow.tickets)

    def push(self, ticket):
        flow = self._flows.get(ticket.account)
        if flow is None:
            finish = self._finish_times.pop(ticket.account, 0.0)
            flow = _Flow(deque(), max(self._virtual_time, finish))
            self._flows[ticket.account] = flow
        flow.tickets.append(ticket)
        flow.backlog += ticket.cost / ticket.weight
        self.count += 1

    def pop(self):
        account = min(self._flows, key=lambda name: self._flows[name].virtual_start)
        flow = self._flows[account]
        ticket = flow.tickets[0]
        self._virtual_time = flow.virtual_start
        flow.virtual_start += ticket.cost / ticket.weight
        self._remove_from_flow(flow, ticket)
        return ticket

    def remove(self, ticket):
        self._remove_from_flow(self._flows[ticket.account], ticket)

    def _remove_from_flow(self, flow, ticket):
        flow.tickets.remove(ticket)
        flow.backlog -= ticket.cost / ticket.weight
        self.count -= 1
        if not flow.tickets:
            del self._flows[ticket.account]
            self._finish_times[ticket.account] = flow.virtual_start
            self._remove_past_finishes()

    def _remove_past_finishes(self):
        self._finish_times = {
            account: finish
            for account, finish in self._finish_times.items()
            if finish > self._virtual_time
        }


@DISCIPLINES.add("weighted_fair")
class WeightedFair:
    """Priority classes with bounded overtaking, and fair queueing inside a class.

    Requests of higher classes start first. To prevent starvation, a class that was
    overtaken as often as the settings allow starts one request before them. When the
    queue is full, the newest request of the account with the largest weighted backlog
    in the lowest class is evicted for a request of a higher class, or for one of the
    same class from an account with a smaller backlog.

    Args:
        settings: ``AdmissionSettings``.
    """

    __slots__ = ("_classes", "_max_overtakes", "_overtake_counts", "_tickets")

    def __init__(self, settings):
        max_overtakes = dict(settings.max_overtakes)
        self._max_overtakes = [max_overtakes.get(name, 0) for name in PRIORITIES]
        self._classes = [_ClassQueue() for _ in PRIORITIES]
        self._overtake_counts = [0 for _ in PRIORITIES]
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
        waiting = [rank for rank, queue in enumerate(self._classes) if queue.count]
        if not waiting:
            return None
        rank = next((r for r in waiting[1:] if self._must_start(r)), waiting[0])
        for other in waiting:
            if other > rank:
                self._overtake_counts[other] += 1
        self._overtake_counts[rank] = 0
        ticket = self._classes[rank].pop()
        del self._tickets[ticket.request_id]
        return ticket

    def remove(self, request_id):
        """Removes and returns a ticket, or None."""
        ticket = self._tickets.pop(request_id, None)
        if ticket is not None:
            queue = self._classes[ticket.rank]
            queue.remove(ticket)
            if not queue.count:
                self._overtake_counts[ticket.rank] = 0
        return ticket

    def eviction_candidate(self, ticket):
        """Returns the waiting ticket to evict for a new one, or None."""
        ranks = range(len(PRIORITIES) - 1, ticket.rank - 1, -1)
        rank = next((r for r in ranks if self._classes[r].count), None)
        if rank is None:
            return None
        flows = self._classes[rank].flows
        account = max(flows, key=lambda name: flows[name].backlog)
        if rank == ticket.rank and not self._has_larger_backlog(flows, account, ticket):
            return None
        return flows[account].tickets[-1]

    def cost_ahead(self, ticket):
        """Returns the maximum cost of the tickets that would start before a new one."""
        higher = sum(
            waiting.cost for queue in self._classes[: ticket.rank] for waiting in queue
        )
        return higher + self.class_cost_ahead(ticket)

    def count(self, rank):
        """Returns the number of waiting tickets of a class."""
        return self._classes[rank].count

    def class_cost_ahead(self, ticket):
        """Returns the cost of the tickets of its class that would start before it."""
        flows = self._classes[ticket.rank].flows
        own = flows.get(ticket.account)
        share = ticket.cost / ticket.weight + (own.backlog if own else 0.0)
        cost = 0.0
        for account, flow in flows.items():
            backlog = sum(waiting.cost for waiting in flow.tickets)
            weight = flow.tickets[0].weight
            cost += (
                backlog
                if account == ticket.account
                else min(backlog, share * weight + 1.0)
            )
        return cost

    def _must_start(self, rank):
        return self._overtake_counts[rank] >= self._max_overtakes[rank]

    @staticmethod
    def _has_larger_backlog(flows, account, ticket):
        own = flows.get(ticket.account)
        own_backlog = (own.backlog if own else 0.0) + ticket.cost / ticket.weight
        return account != ticket.account and flows[account].backlog > own_backlog
