"""Claims of requests that may run at most once, kept in the platform's store."""

import secrets
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import msgspec

from pistachiowell.claims import (
    ClaimTable,
    DeletePage,
    KeptAnswer,
    ReadPage,
    RecordState,
    body_digest,
    key_digest,
)
from pistachiowell.claims.pages import COLLECTION, LAYOUT_NAME, decode_layout
from pistachiowell.core.errors import (
    ClaimUnavailable,
    OutcomeUnknown,
    PistachiowellError,
    StoreAnswerLost,
    StoreConflict,
)
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.core.rng import Random
from pistachiowell.schema.generated.objects_claims import ClaimLayout
from pistachiowell.store.store import ABSENT

LAYOUT_RETRY_S = 0.5
_SEED_BITS = 128

_log = part_logger("claims")


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request is claimed by this agent and shall run."""


class Claiming:
    """Claims keys in the store for the runner of one agent.

    Args:
        runtime: The process's ``Runtime``.
    """

    __slots__ = (
        "_book",
        "_group",
        "_ready",
        "_returns",
        "_runtime",
        "_waiters",
        "_wakes",
    )

    def __init__(self, runtime):
        self._runtime = runtime
        self._book = None
        self._group = None
        self._ready = anyio.Event()
        self._returns = {}
        self._waiters = {}
        self._wakes = {}

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Reads and writes claim pages until cancelled."""
        settings = self._runtime.settings
        async with anyio.create_task_group() as group:
            self._group = group
            task_status.started()
            buckets = await self._agree_on_buckets()
            rng = Random(secrets.randbits(_SEED_BITS))
            self._book = ClaimTable(settings.id, buckets, settings, rng)
            self._ready.set()
            await anyio.sleep_forever()

    async def claim(self, request):
        """Claims a request's key.

        Args:
            request: The ``RunRequest``.

        Returns:
            ``Claimed`` or ``KeptAnswer``.

        Raises:
            ClaimUnavailable: The store did not confirm the claim in time.
            InvalidRequest: The key was used for another request.
            KeyInProgress: An earlier request with the key still runs.
            OutcomeUnknown: The key was claimed earlier, and its answer is not here.
        """
        with anyio.move_on_after(self._runtime.settings.claim_timeout_s):
            await self._ready.wait()
        if self._book is None:
            raise self._unavailable()
        digest = _key_of(request)
        body = body_digest(request.method, request.path, request.body)
        try:
            kept = self._book.begin(digest, body)
            if kept is None:
                await self._wait_decision(digest)
        except PistachiowellError as error:
            self._note_refusal(request, error)
            raise
        if kept is not None:
            self._note(EventKind.claim_repeated, request, "kept answer")
            return kept
        self._note(EventKind.claim_written, request, "")
        return Claimed()

    def finish(self, request, answer):
        """Keeps the answer of a claimed request.

        Args:
            request: The ``RunRequest``.
            answer: A ``KeptAnswer``.
        """
        self._book.finish(_key_of(request), answer)
        self._runtime.metrics.gauge("claims.kept_bytes", self._book.kept_bytes)

    @asynccontextmanager
    async def ended(self, request):
        """Notes how a claimed request ends inside the context.

        If no answer was given to ``finish``, the key is released where the request
        certainly did not run, and its outcome is unknown otherwise. The release is
        waited for, since the router may send the request to another agent at once.
        """
        digest = _key_of(request)
        try:
            yield
        except PistachiowellError as error:
            if error.ran == "no":
                self._release(digest)
                await self._wait_returned(digest)
            else:
                self._book.fail(digest)
            raise
        except BaseException:
            self._book.fail(digest)
            raise

    async def _wait_decision(self, digest):
        waiter = _Waiter()
        self._waiters[digest] = waiter
        claimed = False
        self._wake(self._book.bucket_index(digest))
        try:
            with anyio.move_on_after(self._runtime.settings.claim_timeout_s):
                await waiter.event.wait()
            if waiter.decision is None:
                raise self._unavailable()
            if waiter.decision.error is not None:
                raise waiter.decision.error
            claimed = True
        finally:
            del self._waiters[digest]
            refused = waiter.decision is not None and waiter.decision.error
            if not claimed and not refused:
                self._release(digest)

    async def _wait_returned(self, digest):
        """Waits until a released claim is out of the store, or cannot be."""
        returned = self._returns.setdefault(digest, anyio.Event())
        self._set_returned()
        with anyio.move_on_after(self._runtime.settings.claim_timeout_s):
            await returned.wait()
        self._returns.pop(digest, None)

    def _set_returned(self):
        for digest in list(self._returns):
            if self._book.state(digest) is not RecordState.RETURNING:
                self._returns.pop(digest).set()

    def _release(self, digest):
        self._book.release(digest)
        self._wake(self._book.bucket_index(digest))

    def _unavailable(self):
        timeout_s = self._runtime.settings.claim_timeout_s
        return ClaimUnavailable(f"The store confirmed no claim within {timeout_s} s.")

    def _wake(self, index):
        if index not in self._wakes:
            self._wakes[index] = anyio.Event()
            self._group.start_soon(self._serve_bucket, index)
        self._wakes[index].set()

    async def _serve_bucket(self, index):
        bucket = self._book.bucket(index)
        while True:
            action = bucket.next_action(self._runtime.now(), time.time())
            self._tell_decisions(index)
            if action is None:
                await self._wait_work(index, bucket)
                continue
            await self._perform(bucket, action)
            self._tell_decisions(index)

    async def _wait_work(self, index, bucket):
        """Waits for the time of a retry or, without one, for a new claim."""
        delay_s = bucket.not_before - self._runtime.now()
        if bucket.busy and delay_s > 0:
            await anyio.sleep(delay_s)
            return
        await self._wakes[index].wait()
        self._wakes[index] = anyio.Event()

    async def _perform(self, bucket, action):
        store = self._runtime.store
        now = self._runtime.now
        try:
            if isinstance(action, ReadPage):
                bucket.on_read(await store.get(COLLECTION, action.name), now())
            elif isinstance(action, DeletePage):
                await self._delete(bucket, action)
            else:
                value = msgspec.json.encode(action.page)
                self._runtime.metrics.count("claims.store_writes")
                self._runtime.metrics.count("claims.store_bytes", len(value))
                version = await store.put(
                    COLLECTION, action.name, value, action.expected_version
                )
                bucket.on_written(version)
        except StoreConflict:
            self._runtime.metrics.count("claims.conflicts")
            bucket.on_conflict(now())
        except StoreAnswerLost as error:
            _log.warning("A claim write has no answer; reading the page: {}", error)
            bucket.on_answer_lost(now())
        except PistachiowellError as error:
            _log.warning("The store refused a call for claims: {}", error)
            bucket.on_unavailable(now())

    async def _delete(self, bucket, action):
        try:
            await self._runtime.store.delete(
                COLLECTION, action.name, action.expected_version
            )
        except PistachiowellError as error:
            _log.warning("A claim page past its retention stays: {}", error)
        bucket.on_deleted()

    def _tell_decisions(self, index):
        for decision in self._book.pop_decisions(index):
            waiter = self._waiters[decision.digest]
            waiter.decision = decision
            waiter.event.set()
        self._set_returned()

    async def _agree_on_buckets(self):
        """Returns the number of buckets that the store holds, or sets it."""
        store = self._runtime.store
        wanted = self._runtime.settings.claim_buckets
        while True:
            try:
                entry = await store.get(COLLECTION, LAYOUT_NAME)
                if entry is not None:
                    return self._checked_buckets(decode_layout(entry.value))
                value = msgspec.json.encode(ClaimLayout(wanted))
                await store.put(COLLECTION, LAYOUT_NAME, value, ABSENT)
            except PistachiowellError as error:
                _log.warning("The claim layout is not known yet: {}", error)
                await anyio.sleep(LAYOUT_RETRY_S)

    def _checked_buckets(self, layout):
        wanted = self._runtime.settings.claim_buckets
        if layout.buckets != wanted:
            _log.warning(
                "The store keeps {} claim buckets; the setting of {} is not used.",
                layout.buckets,
                wanted,
            )
        return layout.buckets

    def _note_refusal(self, request, error):
        self._runtime.metrics.count(f"claims.{error.code}")
        if isinstance(error, OutcomeUnknown):
            self._note(EventKind.claim_repeated, request, error.message)

    def _note(self, kind, request, text):
        self._runtime.metrics.count(f"claims.{kind}")
        self._runtime.events.add(
            kind, request=request.request_id, account=request.account, text=text
        )


class _Waiter:
    __slots__ = ("decision", "event")

    def __init__(self):
        self.decision = None
        self.event = anyio.Event()


def _key_of(request):
    return key_digest(request.account, request.route, request.idempotency_key)


__all__ = ["Claimed", "Claiming", "KeptAnswer"]
