"""Memory of the agents' grants at the gateways, for returns of the store.

If the store returns from an older copy and the agent that held a grant is gone, nobody
else would know what was spent under it, and its tokens would be granted again. Agents
therefore tell the gateways of each change of a grant. After a return the gateways tell
the agents that own the pages, which write the grants again.
"""

from dataclasses import replace
from enum import StrEnum

import anyio

from pistachiowell.budgets.page import RestoreClosed, RestoreGrant, page_number
from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.common import tell_agents
from pistachiowell.schema.generated.messages_budgets import GrantNotice

# Copies that the store returns from are younger.
NOTICE_KEPT_S = 30.0
TELLING_INTERVAL_S = 0.4
# Gateways that pass a notice on to other agents, so that it outlives all gateways.
RELAYS = 2
# After a return, notices are told and written again for so long.
TELLING_S = 3.0
RESTORING_S = 10.0

_log = part_logger("budgets")


class Purpose(StrEnum):
    """What the receiver of a ``GrantNotice`` does with it."""

    keep = "keep"
    relay = "relay"
    restore = "restore"


class GrantTeller:
    """Tells the gateways of the changes of this agent's grants.

    Args:
        incarnation: Incarnation of the agent.
        links: The ``LinkSet`` of the links to gateways.
    """

    __slots__ = ("_incarnation", "_links", "_open")

    def __init__(self, incarnation, links):
        self._incarnation = incarnation
        self._links = links
        self._open = {}
        links.add_link_listener(self._tell_new_link)

    def _tell_new_link(self, link):
        try:
            for notice in self._open.values():
                link.send(notice)
        except LinkLost as error:
            _log.debug("Telling a gateway of the grants failed: {}", error)

    def tell(self, news):
        """Sends each ``GrantNews`` to all gateways."""
        for item in news:
            notice = GrantNotice(
                item.grant_id,
                item.account,
                self._incarnation,
                item.tokens,
                item.is_closed,
            )
            if item.is_closed:
                self._open.pop(item.grant_id, None)
            else:
                self._open[item.grant_id] = notice
            self._links.broadcast(notice)
            self._links.send_to_some(
                replace(notice, purpose=str(Purpose.relay)), RELAYS
            )


class NoticeTable:
    """The latest notice of each grant, for ``NOTICE_KEPT_S``.

    Examples:
        >>> table = NoticeTable()
        >>> table.record(GrantNotice("g", "shop", "agent-1", 50), 1.0)
        >>> [notice.tokens for notice in table.latest(2.0)]
        [50]
        >>> table.latest(100.0)
        []
    """

    __slots__ = ("_notices",)

    def __init__(self):
        self._notices = {}

    def record(self, notice, now):
        """Records a ``GrantNotice`` received at a time in seconds."""
        self._notices.pop(notice.grant_id, None)
        self._notices[notice.grant_id] = (notice, now)
        while next(iter(self._notices.values()))[1] < now - NOTICE_KEPT_S:
            del self._notices[next(iter(self._notices))]

    def latest(self, now):
        """Returns the notices that are recent at a time in seconds."""
        return [n for n, at in self._notices.values() if now - at < NOTICE_KEPT_S]


class GrantMemory:
    """Keeps the agents' notices at a gateway and tells them again after a return.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        handlers: Handlers of the links to agents; this registers its own.

    Attributes:
        on_closed: Function of a holder and the id of a grant that it has closed.
    """

    __slots__ = ("_fleet", "_returned", "_runtime", "_table", "on_closed")

    def __init__(self, runtime, fleet, handlers):
        self._runtime = runtime
        self._fleet = fleet
        self._table = NoticeTable()
        self._returned = anyio.Event()
        self.on_closed = lambda holder, grant_id: None
        runtime.store.era.add_listener(self._record_return)
        handlers.on(GrantNotice, quick=True)(self._handle_notice)

    def _record_return(self, number):
        del number
        self._returned.set()

    def known_grants(self, account):
        """Returns the latest ``GrantNotice`` of each grant of an account.

        Args:
            account: Name of the account.
        """
        latest = self._table.latest(self._runtime.now())
        return [notice for notice in latest if notice.account == account]

    async def _handle_notice(self, link, message):
        del link
        if message.purpose == Purpose.relay:
            self._tell_owners(replace(message, purpose=str(Purpose.keep)))
        else:
            self._table.record(message, self._runtime.now())
            if message.is_closed:
                self.on_closed(message.holder, message.grant_id)

    def _tell_owners(self, notice):
        pages = self._runtime.settings.budget_pages
        tell_agents(self._fleet, page_number(notice.account, pages), notice)

    async def run(self):
        """Tells the owners of the pages after each return until cancelled."""
        while True:
            await self._returned.wait()
            self._returned = anyio.Event()
            until = self._runtime.now() + TELLING_S
            # What was told when the store returned may have been spent before it.
            notices = [
                replace(notice, purpose=str(Purpose.restore))
                for notice in self._table.latest(self._runtime.now())
            ]
            while self._runtime.now() < until:
                for notice in notices:
                    self._tell_owners(notice)
                await anyio.sleep(TELLING_INTERVAL_S)


class NoticedGrants:
    """Grants of other holders that an agent writes again after a return.

    Args:
        incarnation: Incarnation of this agent; it knows its own grants itself.
        pages: Number of budget pages.
    """

    __slots__ = ("_incarnation", "_pages", "_returned_at", "_table")

    def __init__(self, incarnation, pages):
        self._incarnation = incarnation
        self._pages = pages
        self._table = NoticeTable()
        self._returned_at = float("-inf")

    def record_return(self, now):
        """Records that the store has returned at a time in seconds."""
        self._returned_at = now

    def record(self, notice, now):
        """Records what a gateway has told at a time in seconds."""
        if notice.purpose == Purpose.restore:
            self.record_return(now)
        if notice.holder != self._incarnation:
            self._table.record(notice, now)

    def accounts(self, now):
        """Returns the accounts whose grants have to be written again."""
        return {notice.account for notice in self._due(now)}

    def changes(self, number, now):
        """Returns the changes that write the grants of a page again.

        Args:
            number: Page number.
            now: Time in seconds.
        """
        return [
            RestoreClosed(notice.account, notice.grant_id, notice.tokens)
            if notice.is_closed
            else RestoreGrant(
                notice.account,
                notice.grant_id,
                notice.holder,
                notice.tokens,
                is_exact=False,
            )
            for notice in self._due(now)
            if page_number(notice.account, self._pages) == number
        ]

    def _due(self, now):
        if now - self._returned_at >= RESTORING_S:
            return []
        return self._table.latest(now)
