"""Resolves reservations of attempts whose outcome is unknown."""

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


class OutcomeResolver:
    """Requests the usage of unresolved reservations from the agents.

    The tokens stay reserved until each agent that may have run the attempt has
    reported its usage, has left a record of its sums in the store or is recorded
    there as lost. Releasing them earlier would allow the account to spend tokens that
    an attempt has already used.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
    """

    __slots__ = ("_added", "_fleet", "_unresolved", "_runtime")

    def __init__(self, runtime, fleet):
        self._runtime = runtime
        self._fleet = fleet
        self._unresolved = {}
        self._added = anyio.Event()

    @property
    def unresolved_count(self):
        """Number of reservations whose outcome is not known yet."""
        return len(self._unresolved)

    def add(self, reservation, agents):
        """Adds a reservation whose attempt ended without a known usage.

        Args:
            reservation: The ``Reservation``.
            agents: Incarnations of the agents that may have run the attempt.
        """
        self._unresolved[reservation] = frozenset(agents)
        self._added.set()

    async def run(self, close_reservation):
        """Resolves reservations until cancelled.

        Args:
            close_reservation: Function that is called with a reservation and the
                tokens that it used.
        """
        while True:
            if not self._unresolved:
                self._added = anyio.Event()
                await self._added.wait()
            async with anyio.create_task_group() as group:
                for reservation in list(self._unresolved):
                    group.start_soon(self._resolve, reservation, close_reservation)
            if self._unresolved:
                await anyio.sleep(RETRY_DELAY_S)

    async def _resolve(self, reservation, close_reservation):
        if reservation.router != self._runtime.incarnation:
            # The agents' receipts were collected when that incarnation was fenced.
            del self._unresolved[reservation]
            return
        used = []
        for agent in self._unresolved[reservation]:
            tokens = await self._request_outcome(reservation, agent)
            if tokens is None:
                return
            used.append(tokens)
        del self._unresolved[reservation]
        close_reservation(reservation, max(used, default=0))

    async def _request_outcome(self, reservation, agent):
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
