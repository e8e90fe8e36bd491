"""Runs the requests of routers at the backend server."""

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
from pistachiowell.schema.generated.messages_requests import (
    AnswerCredit,
    AnswerEnd,
    AnswerFailed,
    AnswerStart,
    CancelRequest,
    RunRequest,
)

FIRST_SERVER_FAULT = 500
SERVICE_UNAVAILABLE = 503
EVENT_STREAM = "text/event-stream"

_log = part_logger("runner")


class Runner:
    """Takes ``RunRequest`` messages and runs them at the backend server.

    Args:
        runtime: The process's ``Runtime``.
        handlers: Handlers of the links from routers; this adds its own.
        gate: The ``Gate``.
        claiming: The ``Claiming``.
        crashes: The ``CrashWatch``.
        backend: The ``Backend``.
        version: Function that returns the version the backend server runs.

    Attributes:
        receipts: The ``Receipts``, set before the first request comes.
    """

    __slots__ = (
        "_backend",
        "_claiming",
        "_crashes",
        "_gate",
        "_group",
        "_idle",
        "_runs",
        "_runtime",
        "_version",
        "receipts",
    )

    def __init__(self, runtime, handlers, gate, claiming, crashes, backend, version):
        self._runtime = runtime
        self._gate = gate
        self._claiming = claiming
        self._crashes = crashes
        self._backend = backend
        self._version = version
        self._runs = {}
        self._group = None
        self._idle = anyio.Event()
        self.receipts = None
        handlers.on(RunRequest)(self._take)
        handlers.on(AnswerCredit)(self._take_credit)
        handlers.on(CancelRequest)(self._take_cancel)

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

    async def _take(self, link, request):
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

    async def _take_credit(self, link, message):
        run = self._runs.get((id(link), message.request_id, message.attempt))
        if run is not None:
            run.add_credit(message.size_bytes)

    async def _take_cancel(self, link, message):
        run = self._runs.get((id(link), message.request_id, message.attempt))
        if run is not None and run.request.repeatable:
            run.scope.cancel()

    async def _run(self, key, run):
        def cancel():
            if run.request.repeatable:
                run.scope.cancel()
            else:
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
        started = Progress()
        try:
            with anyio.fail_after(run.request.timeout_s):
                async with self.receipts.paid(run, started):
                    await self._admit(run, started)
        except TimeoutError:
            self._fail(run, started, DeadlineExceeded("The time is over."))
        except PistachiowellError as error:
            self._fail(run, started, error)
        except Exception:
            _log.exception("An attempt failed by a fault of the agent.")
            self._fail(run, started, InternalFault("The agent met a fault."))

    def _fail(self, run, started, error):
        ran = error.ran if started.sent or started.decided else "no"
        run.send(
            AnswerFailed(
                *run.key,
                code=str(error.code),
                ran=ran,
                message=error.message,
                retry_after_s=error.retry_after_s,
                prompt_tokens=started.prompt_tokens,
                completion_tokens=started.completion_tokens,
            )
        )

    async def _admit(self, run, started):
        request = run.request
        if self._runtime.leaving:
            raise Leaving("The backend server is leaving.")
        if request.version != self._version():
            raise NoServer(f"The backend server does not run {request.version}.")
        solo = self._crashes.check(request.fingerprint) or request.solo
        key = f"{id(run.link)}/{request.request_id}/{request.attempt}"
        async with self._gate.slot(request, key=key, solo=solo) as run.slot:
            if request.repeatable:
                await self._exchange(run, started, [])
                return
            await self._run_once(run, started)

    async def _run_once(self, run, started):
        try:
            claim = await self._claiming.claim(run.request)
        except ClaimUnavailable:
            raise
        except PistachiowellError:
            started.decided = True
            raise
        if isinstance(claim, KeptAnswer):
            await self._send_kept(run, claim)
            return
        async with self._claiming.ended(run.request):
            parts = []
            status, content_type = await self._exchange(run, started, parts)
            answer = KeptAnswer(status, content_type, b"".join(parts))
            self._claiming.finish(run.request, answer)

    async def _send_kept(self, run, answer):
        run.send(AnswerStart(*run.key, answer.status, answer.content_type, kept=True))
        await run.send_body(answer.body)
        run.send(AnswerEnd(*run.key, run.offset))

    async def _exchange(self, run, started, kept_parts):
        request = run.request
        headers = {"content-type": request.content_type}
        if request.idempotency_key:
            headers["idempotency-key"] = request.idempotency_key
        started.sent = True
        manager = self._backend.request(
            request.method, request.path, headers, request.body
        )
        async with self._watched(run):
            return await self._pass_answer(run, started, manager, kept_parts)

    @asynccontextmanager
    async def _watched(self, run):
        whole = False
        self._crashes.started(id(run), run.request.fingerprint)
        try:
            yield
            whole = True
        except ServerFailed as error:
            if error.ran != NOT_RUN and await self._crashes.judge():
                run.slot.outcome = Outcome.crashed
            raise
        finally:
            self._crashes.ended(id(run), whole=whole)

    async def _pass_answer(self, run, started, manager, kept_parts):
        request = run.request
        async with manager as response:
            _check_status(request, response.status)
            run.send(AnswerStart(*run.key, response.status, response.content_type))
            if response.content_type.startswith(EVENT_STREAM):
                await self._pass_events(run, started, response)
            else:
                await self._pass_body(run, started, response, kept_parts)
        run.send(
            AnswerEnd(
                *run.key,
                run.offset,
                prompt_tokens=started.prompt_tokens,
                completion_tokens=started.completion_tokens,
            )
        )
        return response.status, response.content_type

    async def _pass_events(self, run, started, response):
        reader = UsageReader(run.request.include_usage)
        async for data in response.chunks():
            passed = reader.feed(data)
            started.prompt_tokens = reader.prompt_tokens
            started.completion_tokens = reader.completion_tokens
            if passed:
                await run.send_body(passed)
        if not reader.done:
            raise AnswerBroken("The engine's stream ended early.")

    async def _pass_body(self, run, started, response, kept_parts):
        parts = kept_parts
        async for data in response.chunks():
            parts.append(data)
            await run.send_body(data)
        if run.request.token_limit:
            usage = usage_of_document(b"".join(parts))
            started.prompt_tokens, started.completion_tokens = usage


def _check_status(request, status):
    if not request.repeatable or status < FIRST_SERVER_FAULT:
        return
    if status == SERVICE_UNAVAILABLE:
        raise Overloaded("The backend server refused the request.", ran=MAY_HAVE_RUN)
    raise ServerFailed(f"The backend server answered {status}.")
