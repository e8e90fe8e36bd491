"""Claims of non-idempotent requests, which may run at most once, in the store.

The agent claims the idempotency key of such a request in the store before it runs the
request. Without the claim, a repeat through another router could reach a second agent
and run there too, or run again after the first agent has crashed.
"""

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
    """This agent has claimed the key of the request; the request must run now."""


class ClaimCoordinator:
    """Claims keys in the store for the runner of one agent.

    ``ClaimTable`` decides; this class performs its store calls, one at a time for each
    bucket, and delivers its decisions to the requests that wait. After a lost answer of
    a write, the table reads the page before it decides, as the write may have taken
    effect: to assume a failure could lose the key, to assume success could run the key
    twice.

    Args:
        runtime: The process's ``Runtime``.
    """

    __slots__ = (
        "_claim_table",
        "_group",
        "_ready",
        "_return_events",
        "_runtime",
        "_waiters",
        "_wake_events",
    )

    def __init__(self, runtime):
        self._runtime = runtime
        self._claim_table = None
        self._group = None
        self._ready = anyio.Event()
        self._return_events = {}
        self._waiters = {}
        self._wake_events = {}

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Performs the store calls for claims until cancelled."""
        settings = self._runtime.settings
        async with anyio.create_task_group() as group:
            self._group = group
            task_status.started()
            buckets = await self._read_bucket_count()
            # Claim ids must differ from those of earlier runs of this agent; see
            # ``ClaimTable``.
            rng = Random(secrets.randbits(_SEED_BITS))
            self._claim_table = ClaimTable(settings.id, buckets, settings, rng)
            self._ready.set()
            await anyio.sleep_forever()

    async def claim(self, request):
        """Claims the idempotency key of a request.

        Args:
            request: The ``RunRequest``.

        Returns:
            ``Claimed`` if the request must run now, or the ``KeptAnswer`` of an earlier
            run at this agent.

        Raises:
            ClaimUnavailable: The store did not confirm the claim in time.
            InvalidRequest: The key was used for another request.
            KeyInProgress: An earlier request with the key still runs.
            OutcomeUnknown: The key was claimed earlier, and its answer is not kept
                here.
        """
        with anyio.move_on_after(self._runtime.settings.claim_timeout_s):
            await self._ready.wait()
        if self._claim_table is None:
            raise self._unavailable()
        digest = _digest_of(request)
        body = body_digest(request.method, request.path, request.body)
        try:
            kept = self._claim_table.begin(digest, body)
            if kept is None:
                await self._wait_for_decision(digest)
        except PistachiowellError as error:
            self._record_refusal(request, error)
            raise
        if kept is not None:
            self._record_event(EventKind.claim_repeated, request, "kept answer")
            return kept
        self._record_event(EventKind.claim_written, request, "")
        return Claimed()

    def finish(self, request, answer):
        """Finishes a claimed request and keeps its answer for repeats.

        Args:
            request: The ``RunRequest``.
            answer: A ``KeptAnswer``.
        """
        self._claim_table.finish(_digest_of(request), answer)
        self._runtime.metrics.gauge("claims.kept_bytes", self._claim_table.kept_bytes)

    @asynccontextmanager
    async def record_end(self, request):
        """Records the end of a claimed request whose run fails inside the context.

        If the request certainly did not run, its claim is removed from the store. The
        error is raised only after that, since the router may then send the request to
        another agent at once, which would find the key claimed. After any other
        failure the claim stays, and repeats get ``OutcomeUnknown``: the request may
        have run, and a second run could take effect twice.
        """
        digest = _digest_of(request)
        try:
            yield
        except PistachiowellError as error:
            if error.ran == "no":
                self._release(digest)
                await self._wait_for_return(digest)
            else:
                self._claim_table.fail(digest)
            raise
        except BaseException:
            self._claim_table.fail(digest)
            raise

    async def _wait_for_decision(self, digest):
        waiter = _Waiter()
        self._waiters[digest] = waiter
        claimed = False
        self._wake_bucket(self._claim_table.bucket_index(digest))
        try:
            with anyio.move_on_after(self._runtime.settings.claim_timeout_s):
                await waiter.event.wait()
            if waiter.decision is None:
                raise self._unavailable()
            if waiter.decision.error is not None:
                raise waiter.decision.error
            claimed = True
        finally:
            # A write may still store a claim that is not waited for any more; without
            # its release, the key could never run.
            del self._waiters[digest]
            refused = waiter.decision is not None and waiter.decision.error
            if not claimed and not refused:
                self._release(digest)

    async def _wait_for_return(self, digest):
        """Waits until a released claim is out of the store or cannot be removed."""
        event = self._return_events.setdefault(digest, anyio.Event())
        self._notify_returned()
        with anyio.move_on_after(self._runtime.settings.claim_timeout_s):
            await event.wait()
        self._return_events.pop(digest, None)

    def _notify_returned(self):
        for digest in list(self._return_events):
            if self._claim_table.state(digest) is not RecordState.RETURNING:
                self._return_events.pop(digest).set()

    def _release(self, digest):
        self._claim_table.release(digest)
        self._wake_bucket(self._claim_table.bucket_index(digest))

    def _unavailable(self):
        timeout_s = self._runtime.settings.claim_timeout_s
        return ClaimUnavailable(
            f"The store did not confirm the claim within {timeout_s} s."
        )

    def _wake_bucket(self, index):
        if index not in self._wake_events:
            self._wake_events[index] = anyio.Event()
            self._group.start_soon(self._serve_bucket, index)
        self._wake_events[index].set()

    async def _serve_bucket(self, index):
        bucket = self._claim_table.bucket(index)
        while True:
            action = bucket.next_action(self._runtime.now(), time.time())
            self._deliver_decisions(index)
            if action is None:
                await self._wait_for_work(index, bucket)
                continue
            await self._perform(bucket, action)
            self._deliver_decisions(index)

    async def _wait_for_work(self, index, bucket):
        """Waits until the next store call is due or, without one, for a new claim."""
        delay_s = bucket.not_before - self._runtime.now()
        if bucket.busy and delay_s > 0:
            await anyio.sleep(delay_s)
            return
        await self._wake_events[index].wait()
        self._wake_events[index] = anyio.Event()

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
            _log.warning(
                "The answer to a claim write was lost; reading the page next: {}", error
            )
            bucket.on_answer_lost(now())
        except PistachiowellError as error:
            _log.warning("A store call for claims failed; retrying: {}", error)
            bucket.on_unavailable(now())

    async def _delete(self, bucket, action):
        try:
            await self._runtime.store.delete(
                COLLECTION, action.name, action.expected_version
            )
        except PistachiowellError as error:
            _log.warning(
                "An expired claim page could not be deleted and stays: {}", error
            )
        bucket.on_deleted()

    def _deliver_decisions(self, index):
        for decision in self._claim_table.pop_decisions(index):
            waiter = self._waiters[decision.digest]
            waiter.decision = decision
            waiter.event.set()
        self._notify_returned()

    async def _read_bucket_count(self):
        """Returns the bucket count in the store; stores the setting if there is none.

        All agents must use one number: otherwise they would look for the same key in
        different buckets, and it could run at two agents.
        """
        store = self._runtime.store
        configured = self._runtime.settings.claim_buckets
        while True:
            try:
                entry = await store.get(COLLECTION, LAYOUT_NAME)
                if entry is not None:
                    return self._check_bucket_count(decode_layout(entry.value))
                value = msgspec.json.encode(ClaimLayout(configured))
                await store.put(COLLECTION, LAYOUT_NAME, value, ABSENT)
            except PistachiowellError as error:
                _log.warning(
                    "The claim layout could not be read or created; retrying: {}", error
                )
                await anyio.sleep(LAYOUT_RETRY_S)

    def _check_bucket_count(self, layout):
        configured = self._runtime.settings.claim_buckets
        if layout.buckets != configured:
            _log.warning(
                "The store has {} claim buckets; the setting of {} is ignored.",
                layout.buckets,
                configured,
            )
        return layout.buckets

    def _record_refusal(self, request, error):
        self._runtime.metrics.count(f"claims.{error.code}")
        if isinstance(error, OutcomeUnknown):
            self._record_event(EventKind.claim_repeated, request, error.message)

    def _record_event(self, kind, request, text):
        self._runtime.metrics.count(f"claims.{kind}")
        self._runtime.events.add(
            kind, request=request.request_id, account=request.account, text=text
        )


class _Waiter:
    __slots__ = ("decision", "event")

    def __init__(self):
        self.decision = None
        self.event = anyio.Event()


def _digest_of(request):
    return key_digest(request.account, request.route, request.idempotency_key)


__all__ = ["Claimed", "ClaimCoordinator", "KeptAnswer"]
