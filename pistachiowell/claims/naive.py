"""Naive variants of a bucket, which the state machine test must reject.

No program uses them; the tests compare them with ``Bucket``.
"""

import dataclasses

from pistachiowell.claims.bucket import Bucket, Granted

VARIANTS = {"group_commit": Bucket}


def register_variant(name):
    """Returns a decorator that registers a class of buckets under a name."""

    def decorate(cls):
        VARIANTS[name] = cls
        return cls

    return decorate


@register_variant("memory_only")
class MemoryOnlyBucket(Bucket):
    """Grants every key that is new to this agent; writes nothing."""

    __slots__ = ()

    def next_action(self, now, wall_s):
        """Grants all waiting claims."""
        del now, wall_s
        self._outcomes += [Granted(digest) for digest in self._waiting]
        self._waiting.clear()
        return


@register_variant("assume_failure")
class AssumeFailureBucket(Bucket):
    """Assumes that a write whose answer was lost had no effect."""

    __slots__ = ()

    def on_answer_lost(self, now):
        """Discards the record of the claims that were sent."""
        super().on_answer_lost(now)
        self._maybe_written.clear()


@register_variant("assume_success")
class AssumeSuccessBucket(Bucket):
    """Assumes that a write whose answer was lost took effect."""

    __slots__ = ()

    def on_answer_lost(self, now):
        """Grants the claims that were sent."""
        sent = [digest for digest in self._waiting if digest in self._maybe_written]
        super().on_answer_lost(now)
        for digest in sent:
            del self._waiting[digest]
        self._outcomes += [Granted(digest) for digest in sent]


@register_variant("unsealed")
class UnsealedBucket(Bucket):
    """Archives a full page and opens the next one without sealing the first.

    An agent with a larger page size may still add claims to the first page after it
    was archived; they are lost, and their keys run twice.
    """

    __slots__ = ()

    def _is_full(self, page):
        return len(page.claims) >= self._settings.claim_page_size

    def _add(self, page, claims, wall_s):
        return dataclasses.replace(page, claims=page.claims | claims)
