"""Finds out what reservations with an unknown outcome were used for."""

import anyio
import msgspec

from pistachiowell.budgets.fencing import (
    DEPARTED_COLLECTION,
    StoppedAgent,
    usage_at_stopped_agent,
)
from pistachiowell.budgets.journal import COLLECTION as JOURNALS
from pistachiowell.budgets.journal import decode_journal
from pistachiowell.core.errors import STORE_ERRORS, LinkLost, LinkTimeout
from pistachiowell.schema.generated.messages_budgets import (
    ReservationOutcome,
    ReservationUsed,
)
from pistachiowell.schema.generated.objects_budgets import DepartedAgent

RETRY_DELAY_S = 0.5
CALL_TIMEOUT_S = 5.0


class Outcomes:
    """Asks the agents that may have run the attempt.

    The tokens stay reserved until every one of them has answered, has left its
    sums behind or is noted as lost.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
    """

    __slots__ = ("_added", "_fleet", "_open", "_runtime")

    def __init__(self, runtime, fleet):
        self._runtime = runtime
        self._fleet = fleet
        self._open = {}
        self._added = anyio.Event()

    @property
    def open_count(self):
        """Number of reservations whose outcome is not known yet."""
        return len(self._open)

    def add(self, reservation, agents):
        """Takes a ``Reservation`` whose attempt ended without a known usage.

        Args:
            reservation: The ``Reservation``.
            agents: Incarnations of the agents that may have run the attempt.
        """
        self._open[reservation] = frozenset(agents)
        self._added.set()

    async def run(self, end):
        """Resolves reservations until cancelled.

        Args:
            end: Function that takes a reservation and its tokens.
        """
        while True:
            if not self._open:
                self._added = anyio.Event()
                await self._added.wait()
            async with anyio.create_task_group() as group:
                for reservation in list(self._open):
                    group.start_soon(self._resolve, reservation, end)
            if self._open:
                await anyio.sleep(RETRY_DELAY_S)

    async def _resolve(self, reservation, end):
        if reservation.router != self._runtime.incarnation:
            # The agents' receipts were collected when that incarnation was sealed.
            del self._open[reservation]
            return
        used = []
        for agent in self._open[reservation]:
            tokens = await self._ask(reservation, agent)
            if tokens is None:
                return
            used.append(tokens)
        del self._open[reservation]
        end(reservation, max(used, default=0))

    async def _ask(self, reservation, agent):
        peers = self._fleet.agents.values()
        peer = next((p for p in peers if p.record.incarnation == agent), None)
        if peer is None:
            return await self._read_departed(reservation, agent)
        if peer.link is None or peer.link.closed:
            return None
        call = ReservationOutcome(
            reservation.reservation_id, reservation.grant_id, reservation.holder
        )
        try:
            reply = await peer.link.call(call, CALL_TIMEOUT_S)
        except (LinkLost, LinkTimeout):
            return None
        return reply.tokens if isinstance(reply, ReservationUsed) else None

    async def _read_departed(self, reservation, agent):
        store = self._runtime.store
        try:
            entry = await store.get(DEPARTED_COLLECTION, agent)
            if entry is None:
                return None
            journal = await store.get(JOURNALS, agent)
        except STORE_ERRORS:
            return None
        record = msgspec.json.decode(entry.value, type=DepartedAgent)
        entries = decode_journal(journal.value) if journal else []
        departed = StoppedAgent(entry.version, record)
        return usage_at_stopped_agent(departed, reservation, entries)
