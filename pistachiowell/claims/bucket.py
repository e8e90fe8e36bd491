"""Claims of one bucket: group commit, sealing, and doubt resolved by reading.

The open page is one object, and each claim is a conditional update of it, so two
agents never both claim a key. A full page is sealed in the update that fills it.
A sealed page is copied to the archive before the next page opens in its place:
its claims cannot change any more, so whoever copies it writes the same copy.
"""

from dataclasses import dataclass

from pistachiowell.claims.pages import (
    MAX_PAGE_CLAIMS,
    add_claims,
    archive_name,
    decode_page,
    next_page,
    open_page_name,
    remove_claims,
)
from pistachiowell.core.errors import StoreUnavailable
from pistachiowell.schema.generated.objects_claims import Claim, ClaimPage

ABSENT = 0
FIRST_RETRY_S = 0.02
MAX_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class ReadPage:
    """Asks the driver to read an object."""

    name: str


@dataclass(frozen=True, slots=True)
class WritePage:
    """Asks the driver to write a page if the object has the expected version."""

    name: str
    expected_version: int
    page: ClaimPage


@dataclass(frozen=True, slots=True)
class DeletePage:
    """Asks the driver to delete a page that no longer counts."""

    name: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class Granted:
    """The waiting claim is in the store; the request may run."""

    digest: str


@dataclass(frozen=True, slots=True)
class Taken:
    """The key was claimed before, with another id."""

    digest: str
    claim: Claim


@dataclass(frozen=True, slots=True)
class Returned:
    """A claim that was given back is no longer in the store."""

    digest: str


@dataclass(frozen=True, slots=True)
class NotReturned:
    """A claim that was given back stays, as its page is sealed, or never came."""

    digest: str


@dataclass(frozen=True, slots=True)
class _Archive:
    version: int
    page: ClaimPage


class Bucket:
    """Claims of one bucket, as one agent sees it.

    The driver performs one action at a time and reports its result. Claims that
    are submitted meanwhile go into the next write together.

    Args:
        index: Number of the bucket.
        settings: Settings with ``claim_page_size``, ``claim_retention_s`` and
            ``claim_write_interval_s``.
        rng: A ``Random`` for the jitter of retries.
    """

    __slots__ = (
        "_action",
        "_archived",
        "_archives",
        "_carried",
        "_failures",
        "_index",
        "_not_before",
        "_outcomes",
        "_page",
        "_retired",
        "_removed",
        "_returning",
        "_rng",
        "_settings",
        "_stale_read",
        "_version",
        "_waiting",
    )

    def __init__(self, index, settings, rng):
        self._index = index
        self._settings = settings
        self._rng = rng
        self._page = None
        self._version = ABSENT
        self._archives = {}
        self._archived = False
        self._retired = []
        self._returning = {}
        self._removed = set()
        self._waiting = {}
        self._carried = set()
        self._outcomes = []
        self._action = None
        self._stale_read = False
        self._failures = 0
        self._not_before = 0.0

    @property
    def not_before(self):
        """Time before which ``next_action`` returns nothing."""
        return self._not_before

    @property
    def busy(self):
        """Whether a claim waits for its outcome or is given back."""
        return bool(self._waiting or self._returning)

    def submit(self, digest, claim, *, reused=False):
        """Adds a claim that waits for its outcome.

        Args:
            digest: Digest of the key.
            claim: The ``Claim``, whose id no other claim has.
            reused: Whether an earlier write may have carried this claim. The open
                page is then read anew, as the retention may have dropped the claim.
        """
        self._waiting[digest] = claim
        if reused:
            self._carried.add(digest)
            self._page = None
            self._stale_read = self._action is not None

    def withdraw(self, digest):
        """Gives up a waiting claim.

        Returns:
            Whether the claim may be in the store, now or later.
        """
        self._waiting.pop(digest, None)
        carried = digest in self._carried
        self._carried.discard(digest)
        return carried

    def give_back(self, digest, claim):
        """Begins to take a claim out of the store, so that any agent may claim.

        The caller must not use the claim until the outcome is ``Returned`` or
        ``NotReturned``, as a lost write may still take it out.
        """
        self._returning[digest] = claim

    def find(self, digest):
        """Returns the ``Claim`` of a key in the pages read so far, or None."""
        pages = [archive.page for archive in self._archives.values()]
        if self._page is not None:
            pages.append(self._page)
        return next((p.claims[digest] for p in pages if digest in p.claims), None)

    def take_outcomes(self):
        """Returns the outcomes since the last call."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def next_action(self, now, wall_s):
        """Chooses the next call of the store.

        Args:
            now: Monotonic time in seconds.
            wall_s: Wall time in seconds since 1970, for the retention.

        Returns:
            A ``ReadPage``, ``WritePage`` or ``DeletePage``; None if there is nothing
            to do, the last action has no result yet, or it is too early to retry.
        """
        if self._action is not None or now < self._not_before:
            return None
        self._action = self._choose(wall_s)
        if isinstance(self._action, WritePage):
            self._not_before = now + self._settings.claim_write_interval_s
        return self._action

    def on_read(self, entry, now):
        """Takes the result of a ``ReadPage``.

        Args:
            entry: An ``Entry``, or None if the object is absent.
            now: Monotonic time in seconds.
        """
        action = self._end_action()
        if self._stale_read:
            self._stale_read = False
            return
        try:
            page = ClaimPage() if entry is None else decode_page(entry.value)
        except StoreUnavailable:
            self._delay_retry(now)
            return
        self._failures = 0
        if action.name == open_page_name(self._index):
            self._set_page(page, ABSENT if entry is None else entry.version)
        elif entry is None:
            self._page = None
            self._delay_retry(now)
        else:
            self._archives[page.sequence] = _Archive(entry.version, page)

    def on_written(self, version):
        """Takes the success of a ``WritePage``.

        Args:
            version: The object's new version.
        """
        action = self._end_action()
        self._failures = 0
        if action.name == open_page_name(self._index):
            self._set_page(action.page, version)
            self._settle()
        else:
            self._archived = True
            self._archives[action.page.sequence] = _Archive(version, action.page)

    def on_deleted(self):
        """Takes the end of a ``DeletePage``, whatever became of it."""
        self._end_action()

    def on_conflict(self, now):
        """Takes the conflict of a ``WritePage``; nothing of it took effect."""
        action = self._end_action()
        if action.name == open_page_name(self._index):
            self._page = None
            self._delay_retry(now)
        else:
            self._archived = True

    def on_answer_lost(self, now):
        """Takes the loss of a write's answer: it may take effect, even later."""
        action = self._end_action()
        if action.name == open_page_name(self._index):
            self._page = None
        self._delay_retry(now)

    def on_unavailable(self, now):
        """Takes a failure of the store after which nothing has taken effect."""
        self._end_action()
        self._delay_retry(now)

    def _choose(self, wall_s):
        if not self._waiting and not self._returning:
            return self._retired.pop() if self._retired else None
        if self._page is None:
            return ReadPage(open_page_name(self._index))
        missing = self._missing_archive()
        if missing is not None:
            return ReadPage(archive_name(self._index, missing))
        self._settle()
        if not self._waiting and not self._returning:
            return None
        return self._choose_write(wall_s)

    def _choose_write(self, wall_s):
        page = self._page
        full = self._is_full(page)
        if full and not self._archived:
            name = archive_name(self._index, page.sequence)
            return WritePage(name, ABSENT, page)
        if full:
            page = next_page(page, self._oldest_page(wall_s))
        page = remove_claims(page, self._returning)
        self._removed.update(self._returning)
        room = MAX_PAGE_CLAIMS - len(page.claims)
        batch = dict(list(self._waiting.items())[:room])
        self._carried.update(batch)
        page = self._add(page, batch, wall_s)
        return WritePage(open_page_name(self._index), self._version, page)

    def _is_full(self, page):
        return page.sealed

    def _add(self, page, claims, wall_s):
        return add_claims(page, claims, self._settings.claim_page_size, wall_s)

    def _oldest_page(self, wall_s):
        horizon_s = wall_s - self._settings.claim_retention_s
        oldest = self._page.oldest
        while oldest < self._page.sequence:
            if self._archives[oldest].page.sealed_at_s > horizon_s:
                break
            oldest += 1
        return oldest

    def _missing_archive(self):
        wanted = range(self._page.oldest, self._page.sequence)
        return next((n for n in wanted if n not in self._archives), None)

    def _set_page(self, page, version):
        if self._page is None or page.sequence != self._page.sequence:
            self._archived = False
        self._page = page
        self._version = version
        for sequence in [n for n in self._archives if n < page.oldest]:
            version = self._archives.pop(sequence).version
            name = archive_name(self._index, sequence)
            self._retired.append(DeletePage(name, version))

    def _settle(self):
        for digest, claim in list(self._returning.items()):
            found = self._page.claims.get(digest)
            if (
                found is not None
                and found.id == claim.id
                and not self._is_full(self._page)
            ):
                continue
            del self._returning[digest]
            self._outcomes.append(self._return_outcome(digest, claim))
        for digest, claim in list(self._waiting.items()):
            found = self.find(digest)
            if found is None:
                continue
            del self._waiting[digest]
            self._carried.discard(digest)
            own = found.id == claim.id
            self._outcomes.append(Granted(digest) if own else Taken(digest, found))

    def _return_outcome(self, digest, claim):
        found = self.find(digest)
        stays = found is not None and found.id == claim.id
        removed = digest in self._removed
        self._removed.discard(digest)
        if removed and not stays:
            return Returned(digest)
        # A removal that is still under way expects an older version of the page.
        return NotReturned(digest)

    def _end_action(self):
        action, self._action = self._action, None
        return action

    def _delay_retry(self, now):
        longest_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._not_before = now + longest_s * (0.5 + self._rng.random() / 2)
