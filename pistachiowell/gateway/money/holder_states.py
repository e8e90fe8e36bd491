"""Which holders of grants are still registered.

Agents have no links to each other and do not follow each other's registrations. The
gateways do, so an agent asks one of them, which costs no call to the store.
"""

import anyio

from pistachiowell.core.errors import LinkLost, LinkTimeout
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_budgets import FindHolders, HoldersFound

CALL_TIMEOUT_S = 1.0
# A lost holder is recognised well within 15 s; see docs/HARD_LOAD.md.
STATE_KEPT_S = 5.0
MAX_GATEWAYS_ASKED = 3

_log = part_logger("budgets")


class HolderDirectory:
    """Answers agents at a gateway.

    Args:
        fleet: The ``Fleet`` with the agents.
        handlers: Handlers of the links to agents; this registers its own.
    """

    __slots__ = ("_fleet",)

    def __init__(self, fleet, handlers):
        self._fleet = fleet
        handlers.on(FindHolders, quick=True)(self._handle_find)

    async def _handle_find(self, link, message):
        del link
        agents = self._fleet.agents.values()
        known = {peer.record.incarnation for peer in agents}
        registered = [holder for holder in message.holders if holder in known]
        return HoldersFound(registered, bool(known))


class HolderStates:
    """Keeps at an agent what gateways have answered.

    Args:
        links: The ``LinkSet`` of the links to gateways.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_asked", "_links", "_now", "_states", "_wake")

    def __init__(self, links, now):
        self._links = links
        self._now = now
        self._states = {}
        self._asked = set()
        self._wake = anyio.Event()

    def is_registered(self, holder):
        """Returns whether a holder is registered; None if that is not known."""
        state, at = self._states.get(holder, (None, 0.0))
        return state if self._now() - at < STATE_KEPT_S else None

    def ask(self, holders):
        """Has ``run`` ask for some holders unless they are known."""
        self._asked |= {h for h in holders if self.is_registered(h) is None}
        if self._asked:
            self._wake.set()

    async def run(self):
        """Asks gateways for the holders to ask for until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await self._refresh()

    async def _refresh(self):
        asked, self._asked = sorted(self._asked), set()
        for link in self._links.links[-MAX_GATEWAYS_ASKED:]:
            try:
                reply = await link.call(FindHolders(asked), CALL_TIMEOUT_S)
            except (LinkLost, LinkTimeout) as error:
                _log.debug("A gateway did not tell which holders live: {}", error)
                continue
            if isinstance(reply, HoldersFound) and reply.is_informed:
                self._record(asked, set(reply.registered))
                return

    def _record(self, asked, registered):
        now = self._now()
        kept = {h: s for h, s in self._states.items() if now - s[1] < STATE_KEPT_S}
        self._states = kept | {holder: (holder in registered, now) for holder in asked}
