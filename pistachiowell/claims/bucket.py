"""Claims of one bucket: group commit, sealed pages, and resolution of lost answers.

Conditional writes: the open page of a bucket is one store object. A write names the
version that it was computed from, and the store rejects it if the object has changed
since. Two agents that claim the same key at once thus cannot both succeed.

Group commit: one write carries all claims that were submitted while the previous store
call ran. The number of writes thus does not grow with the number of claims, and the
writes of one agent do not conflict with each other.

Sealed pages: the write that fills a page also seals it, and a sealed page takes no more
claims. It is copied to the archive before the next page opens in its place. Every agent
that copies it writes the same copy. Without the seal, an agent with a larger page size
could add a claim after the copy; the claim would be lost with the page, and its key
could run twice.

Writes in doubt: a write whose answer was lost may have taken effect, or may still do
so. Assuming that it failed could lose the key, and assuming that it succeeded could run
the key twice. The page is read instead. If it contains the claim, known by its random
id, the write took effect; if it contains another claim of the key, that one came first;
otherwise the claim is written again.
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
    """Asks the driver to delete an archived page past the retention time."""

    name: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class Granted:
    """The waiting claim is in the store; the request may run."""

    digest: str


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The key was claimed earlier, with another id."""

    digest: str
    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimReturned:
    """A returned claim was removed from the store; any agent may claim the key."""

    digest: str


@dataclass(frozen=True, slots=True)
class ClaimNotReturned:
    """A returned claim was not removed: its page is sealed, or no page contains it."""

    digest: str


@dataclass(frozen=True, slots=True)
class _ArchivedPage:
    version: int
    page: ClaimPage


class Bucket:
    """Writes and reads the claims of one bucket on behalf of one agent.

    The driver performs one action at a time and reports its result by one of the
    ``on_`` methods. Claims submitted meanwhile go into the next write together.

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
        "_maybe_written",
        "_failures",
        "_index",
        "_not_before",
        "_outcomes",
        "_page",
        "_expired",
        "_removals_sent",
        "_returning",
        "_rng",
        "_settings",
        "_ignore_read",
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
        self._expired = []
        self._returning = {}
        self._removals_sent = set()
        self._waiting = {}
        self._maybe_written = set()
        self._outcomes = []
        self._action = None
        self._ignore_read = False
        self._failures = 0
        self._not_before = 0.0

    @property
    def not_before(self):
        """Time before which ``next_action`` returns nothing."""
        return self._not_before

    @property
    def busy(self):
        """Whether a claim waits for its outcome or is being returned."""
        return bool(self._waiting or self._returning)

    def submit(self, digest, claim, *, reused=False):
        """Adds a claim that waits for its outcome.

        Args:
            digest: Digest of the key.
            claim: The ``Claim``, whose id no other claim has.
            reused: Whether an earlier write may have stored this claim. The open page
                is then read again, and the result of a read that has begun is ignored:
                the claim may have been removed after its retention time, and the pages
                read so far may not show that.
        """
        self._waiting[digest] = claim
        if reused:
            self._maybe_written.add(digest)
            self._page = None
            self._ignore_read = self._action is not None

    def cancel(self, digest):
        """Cancels a waiting claim.

        Args:
            digest: Digest of the key.

        Returns:
            Whether the claim may be in the store, now or later.
        """
        self._waiting.pop(digest, None)
        maybe_written = digest in self._maybe_written
        self._maybe_written.discard(digest)
        return maybe_written

    def return_claim(self, digest, claim):
        """Begins to return a claim: removes it from the store.

        Without that, a key whose request did not run could never run at another agent.
        Until the outcome is ``ClaimReturned`` or ``ClaimNotReturned`` the caller must
        not use the claim: a removal whose answer was lost may still take effect, and
        another agent could then claim and run the key too.

        Args:
            digest: Digest of the key.
            claim: The ``Claim``.
        """
        self._returning[digest] = claim

    def find(self, digest):
        """Returns the ``Claim`` of a key in the pages read so far, or None."""
        pages = [archive.page for archive in self._archives.values()]
        if self._page is not None:
            pages.append(self._page)
        return next((p.claims[digest] for p in pages if digest in p.claims), None)

    def pop_outcomes(self):
        """Removes and returns the outcomes since the last call."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def next_action(self, now, wall_s):
        """Chooses the next call of the store.

        Args:
            now: Monotonic time in seconds.
            wall_s: Wall time in seconds since 1970, for the retention.

        Returns:
            A ``ReadPage``, ``WritePage`` or ``DeletePage``; None if there is nothing
            to do, the last action has no result yet, or ``not_before`` is not reached.
        """
        if self._action is not None or now < self._not_before:
            return None
        self._action = self._choose(wall_s)
        if isinstance(self._action, WritePage):
            self._not_before = now + self._settings.claim_write_interval_s
        return self._action

    def on_read(self, entry, now):
        """Applies the result of a ``ReadPage``.

        Args:
            entry: An ``Entry``, or None if the object is absent.
            now: Monotonic time in seconds.
        """
        action = self._end_action()
        if self._ignore_read:
            self._ignore_read = False
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
            self._archives[page.sequence] = _ArchivedPage(entry.version, page)

    def on_written(self, version):
        """Applies the success of a ``WritePage``.

        Args:
            version: The object's new version.
        """
        action = self._end_action()
        self._failures = 0
        if action.name == open_page_name(self._index):
            self._set_page(action.page, version)
            self._resolve_claims()
        else:
            self._archived = True
            self._archives[action.page.sequence] = _ArchivedPage(version, action.page)

    def on_deleted(self):
        """Handles the end of a ``DeletePage``, successful or not."""
        self._end_action()

    def on_conflict(self, now):
        """Handles the conflict of a ``WritePage``, which had no effect.

        A conflict of an archive page means that the same copy is there already.

        Args:
            now: Monotonic time in seconds.
        """
        action = self._end_action()
        if action.name == open_page_name(self._index):
            self._page = None
            self._delay_retry(now)
        else:
            self._archived = True

    def on_answer_lost(self, now):
        """Handles the loss of a write's answer.

        The write is in doubt: it may have taken effect or may still do so. The open
        page is read before the next write of it.

        Args:
            now: Monotonic time in seconds.
        """
        action = self._end_action()
        if action.name == open_page_name(self._index):
            self._page = None
        self._delay_retry(now)

    def on_unavailable(self, now):
        """Handles a failure of the store that certainly had no effect.

        Args:
            now: Monotonic time in seconds.
        """
        self._end_action()
        self._delay_retry(now)

    def _choose(self, wall_s):
        if not self._waiting and not self._returning:
            return self._expired.pop() if self._expired else None
        if self._page is None:
            return ReadPage(open_page_name(self._index))
        missing = self._missing_archive()
        if missing is not None:
            return ReadPage(archive_name(self._index, missing))
        self._resolve_claims()
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
        self._removals_sent.update(self._returning)
        room = MAX_PAGE_CLAIMS - len(page.claims)
        batch = dict(list(self._waiting.items())[:room])
        self._maybe_written.update(batch)
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
            self._expired.append(DeletePage(name, version))

    def _resolve_claims(self):
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
            self._maybe_written.discard(digest)
            own = found.id == claim.id
            self._outcomes.append(
                Granted(digest) if own else AlreadyClaimed(digest, found)
            )

    def _return_outcome(self, digest, claim):
        found = self.find(digest)
        stays = found is not None and found.id == claim.id
        removed = digest in self._removals_sent
        self._removals_sent.discard(digest)
        if removed and not stays:
            return ClaimReturned(digest)
        # Only this agent may use the claim from now on. A removal that is still under
        # way cannot take effect: it expects an older version of the page.
        return ClaimNotReturned(digest)

    def _end_action(self):
        action, self._action = self._action, None
        return action

    def _delay_retry(self, now):
        longest_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._not_before = now + longest_s * (0.5 + self._rng.random() / 2)
