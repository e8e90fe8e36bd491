"""Runs the attempts that routers send at the backend server."""

import sys
from contextlib import asynccontextmanager

import anyio

from pistachiowell.admission import Outcome
from pistachiowell.agent.claiming import KeptAnswer
from pistachiowell.agent.runs import Progress, Run
from pistachiowell.agent.sse import UsageReader, usage_of_document
from pistachiowell.core.errors import (
    MAY_HAVE_RUN,
    NOT_RUN,
    AnswerBroken,
    ClaimUnavailable,
    DeadlineExceeded,
    InternalFault,
    Leaving,
    NoServer,
    Overloaded,
    PistachiowellError,
    ServerFailed,
)
from pistachiowell.core.events import EventKind
from pistachiowell.core.logs import part_logger
from pistachiowell.engines import MAX_BODY_BYTES
from pistachiowell.schema.generated.messages_requests import (
    AnswerCredit,
    AnswerEnd,
    AnswerFailed,
    AnswerStart,
    CancelRequest,
    RunRequest,
)

FIRST_SERVER_ERROR_STATUS = 500
SERVICE_UNAVAILABLE_STATUS = 503
EVENT_STREAM_TYPE = "text/event-stream"

_log = part_logger("runner")


class Runner:
    """Handles ``RunRequest`` messages: runs each attempt at the backend server.

    Each attempt passes these steps in order: the check of who pays for it, the checks
    of its version and fingerprint, the wait for a slot, and for a non-idempotent
    request the claim of its key. A refusal by one of them reports that the attempt did
    not run, so that the router can send it elsewhere. Only a refusal by the claims
    reports its own ``ran``, as an earlier request with the key may have run.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links from routers; this adds its own.
        gate: The ``AdmissionGate``.
        claims: The ``ClaimCoordinator``.
        crash_detector: The ``CrashDetector``.
        backend: The ``Backend``.
        version: Function that returns the version that the backend server runs.

    Attributes:
        receipts: The ``ReceiptRecorder``, set before the first request arrives.
    """

    __slots__ = (
        "_backend",
        "_claims",
        "_crash_detector",
        "_gate",
        "_group",
        "_idle",
        "_runs",
        "_runtime",
        "_version",
        "receipts",
    )

    def __init__(
        self, runtime, handlers, gate, claims, crash_detector, backend, version
    ):
        self._runtime = runtime
        self._gate = gate
        self._claims = claims
        self._crash_detector = crash_detector
        self._backend = backend
        self._version = version
        self._runs = {}
        self._group = None
        self._idle = anyio.Event()
        self.receipts = None
        handlers.on(RunRequest)(self._handle_run_request)
        handlers.on(AnswerCredit)(self._handle_credit)
        handlers.on(CancelRequest)(self._handle_cancel)

    @property
    def in_progress(self):
        """Number of attempts in progress."""
        return len(self._runs)

    async def run(self, *, task_status):
        """Runs attempts until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            task_status.started()
            await anyio.sleep_forever()

    async def wait_idle(self):
        """Waits until no attempt is in progress."""
        while self._runs:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def _handle_run_request(self, link, request):
        run = Run(link, request)
        key = (id(link), *run.key)
        if key not in self._runs:
            self._runs[key] = run
            self._runtime.events.add(
                EventKind.request_received,
                request=request.request_id,
                account=request.account,
                text=f"attempt {request.attempt}",
            )
            self._group.start_soon(self._run, key, run)

    async def _handle_credit(self, link, message):
        run = self._runs.get((id(link), message.request_id, message.attempt))
        if run is not None:
            run.add_credit(message.size_bytes)

    async def _handle_cancel(self, link, message):
        # A non-idempotent request runs to its end, as its outcome would be unknown.
        run = self._runs.get((id(link), message.request_id, message.attempt))
        if run is not None and run.request.repeatable:
            run.scope.cancel()

    async def _run(self, key, run):
        def cancel():
            if run.request.repeatable:
                run.scope.cancel()
            else:
                # A closed link brings no more credit. Without credit, the answer would
                # not be read to its end and kept for a repeat of the key.
                run.add_credit(sys.maxsize)

        run.link.add_close_listener(cancel)
        try:
            with run.scope:
                await self._serve(run)
        finally:
            run.link.remove_close_listener(cancel)
            del self._runs[key]
            if not self._runs:
                self._idle.set()

    async def _serve(self, run):
        progress = Progress()
        try:
            with anyio.fail_after(run.request.timeout_s):
                async with self.receipts.record_receipt(run, progress):
                    await self._admit(run, progress)
        except TimeoutError:
            self._fail(
                run,
                progress,
                DeadlineExceeded("The deadline of the request has passed."),
            )
        except PistachiowellError as error:
            self._fail(run, progress, error)
        except Exception:
            _log.exception("An attempt failed with an unexpected error of the agent.")
            self._fail(
                run,
                progress,
                InternalFault("The agent failed with an unexpected error."),
            )

    def _fail(self, run, progress, error):
        ran = error.ran if progress.sent or progress.claim_refused else "no"
        run.send(
            AnswerFailed(
                *run.key,
                code=str(error.code),
                ran=ran,
                message=error.message,
                retry_after_s=error.retry_after_s,
                prompt_tokens=progress.prompt_tokens,
                completion_tokens=progress.completion_tokens,
            )
        )

    async def _admit(self, run, progress):
        request = run.request
        if self._runtime.leaving:
            raise Leaving("The backend server is leaving.")
        if request.version != self._version():
            raise NoServer(f"The backend server does not run {request.version}.")
        solo = self._crash_detector.check(request.fingerprint) or request.solo
        key = f"{id(run.link)}/{request.request_id}/{request.attempt}"
        async with self._gate.slot(request, key=key, solo=solo) as run.slot:
            if request.repeatable:
                await self._exchange(run, progress, [])
                return
            await self._run_claimed(run, progress)

    async def _run_claimed(self, run, progress):
        try:
            claim = await self._claims.claim(run.request)
        except ClaimUnavailable:
            raise
        except PistachiowellError:
            progress.claim_refused = True
            raise
        if isinstance(claim, KeptAnswer):
            await self._send_kept(run, claim)
            return
        async with self._claims.record_end(run.request):
            parts = []
            status, content_type = await self._exchange(run, progress, parts)
            answer = KeptAnswer(status, content_type, b"".join(parts))
            self._claims.finish(run.request, answer)

    async def _send_kept(self, run, answer):
        run.send(AnswerStart(*run.key, answer.status, answer.content_type, kept=True))
        await run.send_body(answer.body)
        run.send(AnswerEnd(*run.key, run.offset))

    async def _exchange(self, run, progress, kept_parts):
        request = run.request
        headers = {"content-type": request.content_type}
        if request.idempotency_key:
            headers["idempotency-key"] = request.idempotency_key
        progress.sent = True
        manager = self._backend.request(
            request.method, request.path, headers, request.body
        )
        async with self._track_crashes(run):
            return await self._forward_answer(run, progress, manager, kept_parts)

    @asynccontextmanager
    async def _track_crashes(self, run):
        complete, was_sent = False, True
        self._crash_detector.record_start(id(run), run.request.fingerprint)
        try:
            yield
            complete = True
        except ServerFailed as error:
            was_sent = error.ran != NOT_RUN
            if was_sent and await self._crash_detector.detect_crash():
                run.slot.outcome = Outcome.crashed
            raise
        finally:
            self._crash_detector.record_end(
                id(run), complete=complete, was_sent=was_sent
            )

    async def _forward_answer(self, run, progress, manager, kept_parts):
        request = run.request
        async with manager as response:
            _check_status(request, response.status)
            run.send(AnswerStart(*run.key, response.status, response.content_type))
            if response.content_type.startswith(EVENT_STREAM_TYPE):
                await self._forward_events(run, progress, response)
            else:
                await self._forward_body(run, progress, response, kept_parts)
        run.send(
            AnswerEnd(
                *run.key,
                run.offset,
                prompt_tokens=progress.prompt_tokens,
                completion_tokens=progress.completion_tokens,
            )
        )
        return response.status, response.content_type

    async def _forward_events(self, run, progress, response):
        reader = UsageReader(run.request.include_usage)
        async for data in response.chunks():
            forwarded = reader.feed(data)
            progress.prompt_tokens = reader.prompt_tokens
            progress.completion_tokens = reader.completion_tokens
            if forwarded:
                await run.send_body(forwarded)
        if not reader.done:
            raise AnswerBroken("The stream of the engine ended before its final event.")

    async def _forward_body(self, run, progress, response, kept_parts):
        parts, size = kept_parts, 0
        async for data in response.chunks():
            size += len(data)
            if size > MAX_BODY_BYTES:
                raise AnswerBroken(f"The answer exceeds {MAX_BODY_BYTES} bytes.")
            parts.append(data)
            await run.send_body(data)
        if run.request.token_limit:
            usage = usage_of_document(b"".join(parts))
            progress.prompt_tokens, progress.completion_tokens = usage


def _check_status(request, status):
    if not request.repeatable or status < FIRST_SERVER_ERROR_STATUS:
        return
    if status == SERVICE_UNAVAILABLE_STATUS:
        raise Overloaded("The backend server refused the request.", ran=MAY_HAVE_RUN)
    raise ServerFailed(f"The backend server answered with status {status}.")
