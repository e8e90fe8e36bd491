"""Journal of billed requests, bills and the return of double charges."""

from collections import defaultdict, deque

import msgspec

from pistachiowell.budgets.page import SetRefund
from pistachiowell.schema.generated.objects_budgets import JournalEntry, JournalObject

COLLECTION = "journals"
MAX_BATCH_ENTRIES = 4000


def entry_of(receipt):
    """Makes the journal entry of a ``Receipt``."""
    return JournalEntry(
        receipt.request_id,
        receipt.account,
        receipt.grant_id,
        receipt.tokens,
        receipt.router,
        receipt.reservation_id,
        receipt.attempt,
    )


def entry_key(entry):
    """Returns the key of the reservation that an entry bills."""
    return (entry.router, entry.reservation_id)


def encode_journal(entries):
    """Returns the content of a journal object."""
    return msgspec.json.encode(JournalObject(list(entries)))


def decode_journal(value):
    """Returns the entries of a journal object."""
    return msgspec.json.decode(value, type=JournalObject).entries


def recovered_journal_name(router, agent):
    """Names the object with the receipts of a lost router from one agent."""
    return f"{router}-from-{agent}"


class JournalBatches:
    """Cuts entries into batches with fixed names and fixed content.

    A batch keeps its name and content until it is known to be written, so writing
    it again after a lost answer is the same write.

    Args:
        router: Incarnation of the writing router.

    Examples:
        >>> batches = JournalBatches("router-1")
        >>> batches.add(JournalEntry("r", "shop", "g", 5, "router-1"))
        >>> name, entries = batches.next_batch()
        >>> name, batches.next_batch()[0], batches.confirm_written()[0].tokens
        ('router-1-0', 'router-1-0', 5)
        >>> batches.next_batch() is None
        True
    """

    __slots__ = ("_batch", "_number", "_router", "_waiting")

    def __init__(self, router):
        self._router = router
        self._waiting = deque()
        self._number = 0
        self._batch = None

    @property
    def pending_count(self):
        """Number of entries that are not known to be written."""
        return len(self._waiting) + len(self._batch or ())

    def add(self, entry):
        """Adds an entry."""
        self._waiting.append(entry)

    def next_batch(self):
        """Returns ``(name, entries)`` of the batch to write next, or None."""
        if self._batch is None:
            if not self._waiting:
                return None
            count = min(len(self._waiting), MAX_BATCH_ENTRIES)
            self._batch = [self._waiting.popleft() for _ in range(count)]
        return f"{self._router}-{self._number}", self._batch

    def confirm_written(self):
        """Takes note that the batch is in the store and returns its entries."""
        entries, self._batch = self._batch, None
        self._number += 1
        return entries


def charges(entries):
    """Sums up the charges by request.

    A reservation may stand in several objects and have several attempts; its
    highest figure counts.

    Returns:
        ``{(account, request id): {reservation key: tokens}}``.
    """
    by_request = defaultdict(dict)
    for entry in entries:
        attempts = by_request[entry.account, entry.request_id]
        key = entry_key(entry)
        attempts[key] = max(attempts.get(key, 0), entry.tokens)
    return by_request


def bills(entries, account=None):
    """Makes the bill: each request once, at its largest charge.

    Args:
        entries: Entries of all journal objects, in any order, with repeats.
        account: Only requests of this account; None for all.

    Returns:
        Tokens by request id.

    Examples:
        >>> first = JournalEntry("r", "shop", "g", 5, "router-1")
        >>> again = JournalEntry("r", "shop", "h", 7, "router-2")
        >>> bills([first, again, first])
        {'r': 7}
    """
    return {
        request_id: max(attempts.values())
        for (name, request_id), attempts in charges(entries).items()
        if account in (None, name)
    }


def refunds(entries):
    """Decides what requests that were charged several times get back.

    The result grows with the set of entries and names the value to set, so
    repeated and racing folds of the same journals have the effect of one.

    Returns:
        A list of ``SetRefund``.
    """
    return [
        SetRefund(account, request_id, sum(values) - max(values))
        for (account, request_id), attempts in charges(entries).items()
        if len(values := list(attempts.values())) > 1
    ]
