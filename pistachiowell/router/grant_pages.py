"""The budget pages in which a process holds grants."""

from pistachiowell.core.errors import BudgetUnreachable, LinkLost
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.router.pages import GrantPage
from pistachiowell.schema.generated.messages_budgets import GrantsClosed

RETIRE_INTERVAL_S = 5.0

_log = part_logger("budgets")


class GrantPages:
    """Writes the changes that a ``GrantHolder`` plans to the budget pages.

    Args:
        runtime: The process's ``Runtime``.
        agents: Function that returns the agents as ``Peer``; closed grants are
            reported to them.
        holder: The ``GrantHolder``.
        retire_interval_s: Time in seconds between two checks for idle tokens to
            return.
        first_changes: See ``GrantPage``.
        tell: Function that is called with each list of ``GrantNews``.
    """

    __slots__ = (
        "_agents",
        "_first_changes",
        "_known_grants",
        "_holder",
        "_next_sync_at",
        "_pages",
        "_retire_interval_s",
        "_retired_at",
        "_runtime",
        "_tell",
    )

    def __init__(
        self,
        runtime,
        agents,
        holder,
        retire_interval_s=RETIRE_INTERVAL_S,
        first_changes=lambda number, page: [],
        tell=lambda news: None,
    ):
        self._runtime = runtime
        self._agents = agents
        self._retire_interval_s = retire_interval_s
        self._first_changes = first_changes
        self._tell = tell
        self._holder = holder
        self._known_grants = {}
        self._pages = {}
        self._next_sync_at = {}
        self._retired_at = 0.0

    def page_of(self, account):
        """Returns the ``GrantPage`` of an account."""
        return self._page(self._holder.page_of(account))

    def reserve(self, call):
        """Reserves the tokens of a ``ReserveTokens``; see ``GrantHolder.reserve``."""
        return self._holder.reserve(
            call.account,
            call.reservation_id,
            call.router,
            call.tokens,
            self._runtime.now(),
        )

    def settle(self, message):
        """Settles the reservation of a ``SettleTokens``; see ``GrantHolder.settle``."""
        self._holder.settle(
            message.account,
            message.reservation_id,
            message.router,
            message.used_tokens,
            self._runtime.now(),
        )

    async def sync(self, account):
        """Writes the planned changes to the page of an account.

        Returns:
            The ``BudgetPage`` as last read or written.

        Raises:
            BudgetUnreachable: The store does not answer.
        """
        return await self._sync(self._holder.page_of(account))

    async def sync_page(self, number):
        """Writes the planned changes to a page, given by its number; see ``sync``."""
        return await self._sync(number)

    def unspent_tokens(self, holder):
        """Returns the unspent tokens of a holder's grants in the pages read so far.

        Args:
            holder: Incarnation of the process that holds the grants.
        """
        return sum(
            grant.amount - grant.used_tokens
            for page in self._pages.values()
            for account in page.page.accounts.values()
            for grant in account.grants.values()
            if grant.holder == holder
        )

    def record_return(self, era):
        """Makes the next check write again what the store may have lost.

        Args:
            era: Number of the store's era.
        """
        self._holder.record_return(era, self._runtime.now())
        self._next_sync_at.clear()

    async def keep_grants(self):
        """Renews, grows and closes the grants that are due.

        A page that still has work after its write, because its budget has too few
        free tokens, is written again after ``retire_interval_s`` only. Otherwise
        exhausted accounts would cause calls to the store at every check.
        """
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

    async def return_idle_tokens(self):
        """Returns all idle tokens to the budget pages."""
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
            page = GrantPage(self._runtime, self._holder, number, self._first_changes)
            self._pages[number] = page
        return page

    async def _sync(self, number):
        closing = self._holder.closing
        page = await self._page(number).sync()
        self._tell(self._holder.drain_news())
        self._record_opened(number, page)
        closed = sorted(closing - self._holder.closing)
        if closed:
            self._report_closed(closed)
        return page

    def _record_opened(self, number, page):
        present = {
            grant_id: account
            for account, budget in page.accounts.items()
            for grant_id, grant in budget.grants.items()
            if grant.holder == self._holder.incarnation
        }
        for grant_id in present.keys() - self._known_grants.get(number, set()):
            self._runtime.events.add(
                EventKind.grant_opened, grant=grant_id, account=present[grant_id]
            )
        self._known_grants[number] = set(present)

    async def _try_sync(self, number):
        try:
            await self._sync(number)
        except BudgetUnreachable as error:
            _log.debug(
                "Budget page {} was not written; the next check retries: {}",
                number,
                error.message,
            )

    def _report_closed(self, grant_ids):
        """Reports closed grants to the agents, which then discard their sums."""
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
            _log.debug("Closed grants were not reported to an agent: {}", error.message)
