"""What a holder of grants writes again after a return of the store."""

from dataclasses import dataclass

from pistachiowell.budgets.page import RestoreClosed, RestoreGrant
from pistachiowell.store.era import era_of

# After a return of the store no grant grows for so long, until all holders have written
# again what they hold.
SETTLE_S = 2.0
# The copy that the store returns from is younger.
CLOSED_KEPT_S = 30.0


@dataclass(frozen=True, slots=True)
class ClosedGrant:
    """A grant that its holder has closed.

    Attributes:
        account: Client account.
        used_tokens: Tokens used under it.
        at: Time in seconds at which the closing was seen in the page.
    """

    account: str
    used_tokens: int
    at: float


class Restoration:
    """Tells which pages have to be written again, and when grants may grow.

    Args:
        started_at: Time in seconds at which the process started.

    Examples:
        >>> restoration = Restoration(0.0)
        >>> restoration.is_settling(0, 10.0)
        False
        >>> restoration.notice_era(1, 10.0)
        >>> restoration.notice_era(2, 11.0)
        >>> restoration.is_settling(0, 12.0), restoration.is_settling(0, 13.0)
        (True, False)
    """

    __slots__ = ("_closed", "_era", "_page_eras", "_restoring", "_settled_at")

    def __init__(self, started_at):
        self._closed = {}
        self._era = None
        self._page_eras = {}
        self._restoring = set()
        self._settled_at = started_at + SETTLE_S

    @property
    def era(self):
        """Number of the latest era that is known; 0 if there is none."""
        return self._era or 0

    def notice_era(self, era, now):
        """Records an era that the store or a peer has named.

        Args:
            era: Number of the era.
            now: Time in seconds.
        """
        if self._era is None:
            self._era = era
        elif era > self._era:
            self._era = era
            self._settled_at = now + SETTLE_S

    def record_return(self, era, now):
        """Records a return of the store, also if no page was read before it.

        Args:
            era: Number of the new era.
            now: Time in seconds.
        """
        if self._era is None:
            self._era = 0
        self.notice_era(era, now)

    def observe(self, number, version, known_version, page, now):
        """Records a page as read or written.

        Args:
            number: Page number.
            version: Version of the page.
            known_version: Version known before; None for a page that is new.
            page: The ``BudgetPage``.
            now: Time in seconds.
        """
        self.notice_era(era_of(version), now)
        self._page_eras[number] = page.era
        if known_version is not None and era_of(version) > era_of(known_version):
            self._restoring.add(number)

    def is_restoring(self, number):
        """Returns whether a page may lack what this holder has written."""
        return number in self._restoring

    def end(self, number):
        """Records that a page has all that this holder has written."""
        self._restoring.discard(number)

    def is_due(self, number, version):
        """Returns whether a page has to be read or written again.

        Args:
            number: Page number.
            version: Version known; None for a page that is new.
        """
        is_old = version is not None and era_of(version) < self.era
        return is_old or number in self._restoring

    def is_settling(self, number, now):
        """Returns whether grants of a page must not grow yet.

        Args:
            number: Page number.
            now: Time in seconds.
        """
        is_marked = self._page_eras.get(number, 0) >= self.era
        return not is_marked and now < self._settled_at

    def record_closed(self, grant_id, account, used_tokens, now):
        """Records that a grant of this holder was closed at a time in seconds."""
        self._closed[grant_id] = ClosedGrant(account, used_tokens, now)
        for other, closed in list(self._closed.items()):
            if now - closed.at >= CLOSED_KEPT_S:
                del self._closed[other]

    def plan(self, incarnation, ledgers, now):
        """Returns the changes that write the grants of some accounts again.

        Args:
            incarnation: Incarnation of the holder.
            ledgers: ``AccountLedger`` by account, of one page.
            now: Time in seconds.
        """
        changes = [
            RestoreGrant(account, grant_id, incarnation, g.amount, g.page_version)
            for account, ledger in sorted(ledgers.items())
            for grant_id, g in ledger.grants.items()
        ]
        return changes + [
            RestoreClosed(closed.account, grant_id, closed.used_tokens)
            for grant_id, closed in self._closed.items()
            if closed.account in ledgers and now - closed.at < CLOSED_KEPT_S
        ]


def has_all(page, changes):
    """Returns whether a page has what restoring changes would write.

    Args:
        page: The ``BudgetPage``.
        changes: ``RestoreGrant`` and ``RestoreClosed``.
    """
    return all(_has(page.accounts.get(change.account), change) for change in changes)


def _has(account, change):
    if account is None:
        return False
    if isinstance(change, RestoreClosed):
        return change.grant_id in account.closed_grants
    grant = account.grants.get(change.grant_id)
    return grant is not None and grant.amount == change.tokens
