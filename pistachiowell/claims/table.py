"""Table of the idempotency keys that one agent was asked to run."""

import enum
from collections import OrderedDict
from dataclasses import dataclass

from pistachiowell.claims.bucket import Bucket, ClaimNotReturned, ClaimReturned, Granted
from pistachiowell.claims.keys import bucket_of
from pistachiowell.core.errors import (
    InvalidRequest,
    KeyInProgress,
    OutcomeUnknown,
    PistachiowellError,
)
from pistachiowell.schema.generated.objects_claims import Claim

MAX_RECORDS = 20_000
_CLAIM_ID_BITS = 64


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Answer kept for repeats of its key.

    Attributes:
        status: HTTP status.
        content_type: Type of the body.
        body: Whole body as bytes.
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens of the answer.
    """

    status: int
    content_type: str
    body: bytes
    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Decision:
    """Outcome of a claim.

    Attributes:
        digest: Digest of the key.
        error: None if the request may run.
        claimed_by: Name of the other agent that claimed the key; empty if none did.
    """

    digest: str
    error: PistachiowellError | None = None
    claimed_by: str = ""


class RecordState(enum.Enum):
    """State of a key at this agent.

    ``WAITING`` means that the claim waits for its decision, and ``FAILED`` that the
    request may have run without a whole answer. ``RETURNING`` means that the request
    did not run and its claim is being removed from the store. ``RELEASED`` means that
    the claim may be in the store, that the request never ran under it, and that no
    other agent can run it.
    """

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    RETURNING = "returning"
    RELEASED = "released"


_BUSY_STATES = (RecordState.WAITING, RecordState.RUNNING, RecordState.RETURNING)
_ENDED_STATES = (RecordState.ANSWERED, RecordState.FAILED, RecordState.RELEASED)


class _Record:
    __slots__ = ("answer", "claim", "state")

    def __init__(self, claim):
        self.claim = claim
        self.state = RecordState.WAITING
        self.answer = None


class ClaimTable:
    """Decides which requests of one agent run, at most once for each key.

    A request runs only after its claim is known to be in the store. If the agent
    crashes while it runs, the claim keeps every agent from running the key again.

    Args:
        agent: Name of the agent.
        buckets: Number of buckets that all agents use.
        settings: Settings with ``kept_answer_bytes`` and those of ``Bucket``.
        rng: A ``Random`` for claim ids and the jitter of retries. Each run of an agent
            needs a seed of its own: with the ids of an earlier run it would take the
            claims of that run for its own and run their keys again.
        bucket_class: Class of the buckets.
    """

    __slots__ = (
        "_agent",
        "_bucket_class",
        "_bucket_count",
        "_buckets",
        "_kept_bytes",
        "_records",
        "_rng",
        "_settings",
    )

    def __init__(self, agent, buckets, settings, rng, bucket_class=Bucket):
        self._agent = agent
        self._bucket_count = buckets
        self._settings = settings
        self._rng = rng
        self._bucket_class = bucket_class
        self._buckets = {}
        self._records = OrderedDict()
        self._kept_bytes = 0

    @property
    def kept_bytes(self):
        """Bytes of the answers kept for repeats."""
        return self._kept_bytes

    def bucket_index(self, digest):
        """Returns the number of the bucket of a key."""
        return bucket_of(digest, self._bucket_count)

    def bucket(self, index):
        """Returns the ``Bucket`` with a number."""
        if index not in self._buckets:
            bucket = self._bucket_class(index, self._settings, self._rng)
            self._buckets[index] = bucket
        return self._buckets[index]

    def state(self, digest):
        """Returns the ``RecordState`` of a key, or None."""
        record = self._records.get(digest)
        return None if record is None else record.state

    def begin(self, digest, body):
        """Starts to claim a key.

        Args:
            digest: Result of ``key_digest``.
            body: Result of ``body_digest``.

        Returns:
            A ``KeptAnswer`` of an earlier run; None if the claim now waits for its
            ``Decision``.

        Raises:
            InvalidRequest: The key was used for another request.
            KeyInProgress: The key is being claimed or run here.
            OutcomeUnknown: The key ran here and its answer was not kept.
        """
        record = self._records.get(digest)
        if record is None:
            claim_id = f"{self._rng.getrandbits(_CLAIM_ID_BITS):016x}"
            record = _Record(Claim(claim_id, self._agent, body))
            self._records[digest] = record
            self._bucket_of(digest).submit(digest, record.claim)
            return None
        if record.claim.body != body:
            raise _other_request()
        if record.state in _BUSY_STATES:
            raise KeyInProgress(
                "The request with this key is in progress; repeat it later."
            )
        if record.state is RecordState.ANSWERED:
            return record.answer
        if record.state is RecordState.FAILED:
            raise OutcomeUnknown(
                "The request with this key may have run without a whole answer."
            )
        record.state = RecordState.WAITING
        self._bucket_of(digest).submit(digest, record.claim, reused=True)
        return None

    def pop_decisions(self, index):
        """Removes and returns the ``Decision`` list of a bucket since the last call."""
        outcomes = self.bucket(index).pop_outcomes()
        decisions = [self._decide(outcome) for outcome in outcomes]
        return [decision for decision in decisions if decision is not None]

    def finish(self, digest, answer):
        """Ends a running request and keeps its answer for repeats.

        Args:
            digest: Digest of the key.
            answer: A ``KeptAnswer``.
        """
        record = self._records[digest]
        record.state = RecordState.ANSWERED
        record.answer = answer
        self._kept_bytes += len(answer.body)
        self._records.move_to_end(digest)
        self._evict()

    def fail(self, digest):
        """Records that a running request may have run without a whole answer."""
        self._records[digest].state = RecordState.FAILED
        self._evict()

    def release(self, digest):
        """Releases a claim whose request has not begun to run.

        The claim is removed from the store, so that any agent can run a repeat. If its
        page is sealed it cannot be removed, and only this agent can run a repeat.

        Args:
            digest: Digest of the key.
        """
        record = self._records[digest]
        bucket = self._bucket_of(digest)
        was_running = record.state is RecordState.RUNNING
        maybe_written = bucket.cancel(digest)
        if was_running or maybe_written:
            record.state = RecordState.RETURNING
            bucket.return_claim(digest, record.claim)
        else:
            del self._records[digest]

    def _bucket_of(self, digest):
        return self.bucket(self.bucket_index(digest))

    def _decide(self, outcome):
        record = self._records[outcome.digest]
        if isinstance(outcome, ClaimNotReturned):
            record.state = RecordState.RELEASED
            return None
        if isinstance(outcome, ClaimReturned):
            del self._records[outcome.digest]
            return None
        if isinstance(outcome, Granted):
            record.state = RecordState.RUNNING
            return Decision(outcome.digest)
        del self._records[outcome.digest]
        claim = outcome.claim
        if claim.body != record.claim.body:
            return Decision(outcome.digest, _other_request())
        error = OutcomeUnknown(
            f"Agent {claim.agent} claimed the idempotency key earlier."
        )
        claimed_by = "" if claim.agent == self._agent else claim.agent
        return Decision(outcome.digest, error, claimed_by)

    def _evict(self):
        """Evicts ended requests above the limits; the pages still contain their claims.

        A repeat of an evicted key finds the claim in the store and does not run.
        """
        while self._kept_bytes > self._settings.kept_answer_bytes:
            self._evict_oldest(RecordState.ANSWERED)
        while len(self._records) > MAX_RECORDS:
            if not self._evict_oldest(*_ENDED_STATES):
                return

    def _evict_oldest(self, *states):
        records = self._records.items()
        digest = next((key for key, r in records if r.state in states), None)
        if digest is None:
            return False
        answer = self._records.pop(digest).answer
        if answer is not None:
            self._kept_bytes -= len(answer.body)
        return True


def _other_request():
    return InvalidRequest(
        "The idempotency key was used for another request; use a new key."
    )
