"""Naive variants of a bucket, which the proofs must reject.

No program uses them; tests and measurements compare them with ``Bucket``.
"""

import dataclasses

from pistachiowell.claims.bucket import Bucket, Granted

VARIANTS = {"group_commit": Bucket}


def variant(name):
    """Returns a decorator that registers a class of buckets."""

    def decorate(cls):
        VARIANTS[name] = cls
        return cls

    return decorate


@variant("memory_only")
class MemoryOnlyBucket(Bucket):
    """Grants every key that this agent does not know; writes nothing."""

    __slots__ = ()

    def next_action(self, now, wall_s):
        """Grants all waiting claims."""
        del now, wall_s
        self._outcomes += [Granted(digest) for digest in self._waiting]
        self._waiting.clear()
        return


@variant("assume_failure")
class AssumeFailureBucket(Bucket):
    """Takes a write whose answer was lost for one without effect."""

    __slots__ = ()

    def on_answer_lost(self, now):
        """Forgets that the claims were sent."""
        super().on_answer_lost(now)
        self._carried.clear()


@variant("assume_success")
class AssumeSuccessBucket(Bucket):
    """Takes a write whose answer was lost for one with effect."""

    __slots__ = ()

    def on_answer_lost(self, now):
        """Grants the claims that were sent."""
        sent = [digest for digest in self._waiting if digest in self._carried]
        super().on_answer_lost(now)
        for digest in sent:
            del self._waiting[digest]
        self._outcomes += [Granted(digest) for digest in sent]


@variant("unsealed")
class UnsealedBucket(Bucket):
    """Archives a full page and opens the next one without sealing the first.

    An agent with a larger page size may still add claims to the first page.
    """

    __slots__ = ()

    def _is_full(self, page):
        return len(page.claims) >= self._settings.claim_page_size

    def _add(self, page, claims, wall_s):
        return dataclasses.replace(page, claims=page.claims | claims)
