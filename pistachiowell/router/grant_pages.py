"""The budget pages in which a router holds grants."""

from pistachiowell.core.errors import BudgetUnreachable, LinkLost
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.router.pages import HeldPage
from pistachiowell.schema.generated.messages_budgets import GrantsClosed

RETIRE_INTERVAL_S = 5.0

_log = part_logger("budgets")


class GrantPages:
    """Brings the plans of a ``GrantHolder`` into the budget pages.

    Args:
        runtime: The process's ``Runtime``.
        agents: Function that returns the agents as ``Peer``; they are told of closed
            grants.
        holder: The ``GrantHolder``.
        retire_interval_s: Time between two checks for grants to give back in seconds.
        first_changes: See ``HeldPage``.
    """

    __slots__ = (
        "_agents",
        "_first_changes",
        "_held",
        "_holder",
        "_next_sync_at",
        "_pages",
        "_retire_interval_s",
        "_retired_at",
        "_runtime",
    )

    def __init__(
        self,
        runtime,
        agents,
        holder,
        retire_interval_s=RETIRE_INTERVAL_S,
        first_changes=lambda number, page: [],
    ):
        self._runtime = runtime
        self._agents = agents
        self._retire_interval_s = retire_interval_s
        self._first_changes = first_changes
        self._holder = holder
        self._held = {}
        self._pages = {}
        self._next_sync_at = {}
        self._retired_at = 0.0

    def page_of(self, account):
        """Returns the ``HeldPage`` of an account."""
        return self._page(self._holder.page_of(account))

    def reserve(self, call):
        """Reserves what a ``ReserveTokens`` asks for; see ``GrantHolder.reserve``."""
        return self._holder.reserve(
            call.account,
            call.reservation_id,
            call.router,
            call.tokens,
            self._runtime.now(),
        )

    def settle(self, message):
        """Books what a ``SettleTokens`` tells; see ``GrantHolder.settle``."""
        self._holder.settle(
            message.account,
            message.reservation_id,
            message.router,
            message.used_tokens,
            self._runtime.now(),
        )

    async def sync(self, account):
        """Writes what is planned for the page of an account and reads the rest.

        Returns:
            The ``BudgetPage``.

        Raises:
            BudgetUnreachable: The store does not answer.
        """
        return await self._sync(self._holder.page_of(account))

    async def keep_grants(self):
        """Renews, grows and closes grants as far as that is due."""
        now = self._runtime.now()
        if now - self._retired_at >= self._retire_interval_s:
            self._retired_at = now
            self._retire_idle(now)
        for number in self._holder.page_numbers:
            due = now >= self._next_sync_at.get(number, now)
            if due and self._holder.has_changes(number, now):
                await self._try_sync(number)
                if self._holder.has_changes(number, now):
                    self._next_sync_at[number] = now + self._retire_interval_s

    async def give_back(self):
        """Gives all idle tokens back."""
        for number in self._holder.page_numbers:
            for account in self._holder.accounts(number):
                self._holder.recall(account, self._runtime.now())
            await self._try_sync(number)

    def _retire_idle(self, now):
        for number in self._holder.page_numbers:
            for account in self._holder.accounts(number):
                self._holder.retire_idle(account, now)

    def _page(self, number):
        page = self._pages.get(number)
        if page is None:
            page = HeldPage(self._runtime, self._holder, number, self._first_changes)
            self._pages[number] = page
        return page

    async def _sync(self, number):
        closing = self._holder.closing
        page = await self._page(number).sync()
        self._note_opened(number, page)
        closed = sorted(closing - self._holder.closing)
        if closed:
            self._tell_closed(closed)
        return page

    def _note_opened(self, number, page):
        held = {
            grant_id: account
            for account, budget in page.accounts.items()
            for grant_id, grant in budget.grants.items()
            if grant.holder == self._holder.incarnation
        }
        for grant_id in held.keys() - self._held.get(number, set()):
            self._runtime.events.add(
                EventKind.grant_opened, grant=grant_id, account=held[grant_id]
            )
        self._held[number] = set(held)

    async def _try_sync(self, number):
        try:
            await self._sync(number)
        except BudgetUnreachable as error:
            _log.debug("Budget page {} waits: {}", number, error.message)

    def _tell_closed(self, grant_ids):
        for peer in self._agents():
            if peer.usable:
                self._send_closed(peer, grant_ids)
        for grant_id in grant_ids:
            self._runtime.events.add(EventKind.grant_closed, grant=grant_id)

    @staticmethod
    def _send_closed(peer, grant_ids):
        try:
            peer.link.send(GrantsClosed(grant_ids))
        except LinkLost as error:
            _log.debug("An agent was not told of closed grants: {}", error.message)
