"""Journal of billed requests, bills, and refunds of duplicate charges."""

from collections import defaultdict, deque

import msgspec

from pistachiowell.budgets.page import SetRefund
from pistachiowell.schema.generated.objects_budgets import JournalEntry, JournalObject

COLLECTION = "journals"
MAX_BATCH_ENTRIES = 4000


def entry_of(receipt):
    """Returns the journal entry of a ``Receipt``."""
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
    """Returns the key of the reservation that an entry is charged to."""
    return (entry.router, entry.reservation_id)


def encode_journal(entries):
    """Encodes entries as the content of a journal object."""
    return msgspec.json.encode(JournalObject(list(entries)))


def decode_journal(value):
    """Decodes the entries of a journal object."""
    return msgspec.json.decode(value, type=JournalObject).entries


def recovered_journal_name(router, agent):
    """Returns the name of the journal object with receipts from one agent.

    They are the receipts of a router that was lost. The name is fixed, so several
    routers that recover it at once write the object once.
    """
    return f"{router}-from-{agent}"


class JournalBatches:
    """Groups entries into batches with fixed names and fixed content.

    A batch keeps its name and content until it is known to be written, so writing
    it again after a lost answer is the same write and bills nothing twice.

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
        """Adds a ``JournalEntry`` to a later batch."""
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
        """Confirms that the batch is in the store; returns its entries."""
        entries, self._batch = self._batch, None
        self._number += 1
        return entries


def charges(entries):
    """Groups the charges by request.

    A reservation may occur in several objects and have several attempts; its largest
    charge counts.

    Args:
        entries: Journal entries in any order, with repeats.

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
    """Computes the bills: each request once, at its largest charge.

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
    """Computes the refunds of requests that were charged more than once.

    A refund never shrinks as entries are added, and it is the value to set and not an
    amount to add. Repeated and concurrent runs over the same journals thus have the
    effect of one and refund nothing twice.

    Args:
        entries: Journal entries in any order, with repeats.

    Returns:
        A list of ``SetRefund``.
    """
    return [
        SetRefund(account, request_id, sum(values) - max(values))
        for (account, request_id), attempts in charges(entries).items()
        if len(values := list(attempts.values())) > 1
    ]
