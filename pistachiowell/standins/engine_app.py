"""HTTP API of the model engine stand-in."""

import anyio
import msgspec

from pistachiowell.standins import asgi, openai_api
from pistachiowell.standins.batching import Generation
from pistachiowell.standins.behaviour import Behaviour
from pistachiowell.standins.openai_api import AnswerWriter, BadRequestError


class EngineApp:
    """ASGI application of the model engine stand-in.

    Serves the OpenAI API, the load report and the control endpoints.

    Args:
        engine: An ``Engine``.
    """

    __slots__ = ("_engine",)

    def __init__(self, engine):
        self._engine = engine

    async def __call__(self, scope, receive, send):
        """Answers one HTTP request."""
        path = scope["path"]
        body = await asgi.read_body(receive)
        try:
            if path in (openai_api.CHAT_PATH, openai_api.TEXT_PATH):
                await self._handle_generation(path, body, receive, send)
            elif path == "/v1/models":
                await asgi.send_json(send, 200, self._model_list())
            elif path == "/load":
                await asgi.send_json(send, 200, self._engine.load())
            elif path == "/control/order":
                await self._handle_order(body, send)
            elif path == "/control":
                await self._handle_control(scope["method"], body, send)
            else:
                await asgi.send_error(send, 404, f"No path {path}.")
        except (BadRequestError, msgspec.MsgspecError) as error:
            await asgi.send_error(send, 400, str(error), "invalid_request_error")

    def _model_list(self):
        return {
            "object": "list",
            "data": [
                {"id": name, "object": "model", "created": 0, "owned_by": "engine"}
                for name in self._engine.models
            ],
        }

    async def _handle_control(self, method, body, send):
        if method == "POST":
            self._engine.behaviour = msgspec.json.decode(body, type=Behaviour)
        await asgi.send_json(send, 200, self._engine.status())

    async def _handle_order(self, body, send):
        order = msgspec.json.decode(body, type=dict)
        accepted = await self._engine.execute_order(
            order["action"], order["version"], order["fence"]
        )
        document = {"accepted": accepted, "fence": self._engine.fence}
        await asgi.send_json(send, 200 if accepted else 409, document)

    async def _handle_generation(self, path, body, receive, send):
        engine = self._engine
        document = msgspec.json.decode(body, type=dict)
        prompt = openai_api.prompt_text(path, document)
        faults = engine.draw_request_faults(path, body)
        if document.get("model") not in engine.models:
            await asgi.send_error(send, 404, "The model is not loaded.")
            return
        if engine.is_recovering or engine.behaviour.refuse:
            await asgi.send_error(send, 503, "The engine takes no requests.")
            return
        if faults.fails:
            engine.counts["failed"] += 1
            await asgi.send_error(send, 500, "The engine failed.")
            return
        limit = document.get("max_completion_tokens") or document.get("max_tokens")
        words, finish_reason = openai_api.answer_words(prompt, limit)
        # A caller that resumes a stream already has these words.
        skipped_words = int(document.get("resume_after_tokens", 0))
        generation = Generation(
            prompt.split(),
            words[skipped_words:],
            int(document.get("priority", 0)),
            faults.slow_factor,
        )
        engine.submit(generation)
        answer = _AnswerSender(path, document, generation, finish_reason, faults)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
                await answer.send(send)
                group.cancel_scope.cancel()
        finally:
            engine.finish(generation)


async def _cancel_on_disconnect(receive, scope):
    await asgi.wait_for_disconnect(receive)
    scope.cancel()


class _AnswerSender:
    """Sends the answer of one generation to its caller.

    A stream whose generation fails is cut off, as by an engine that crashes, so that
    its caller sees an incomplete answer.
    """

    __slots__ = ("_faults", "_finish_reason", "_generation", "_stream", "_writer")

    def __init__(self, path, document, generation, finish_reason, faults):
        options = document.get("stream_options") or {}
        self._stream = bool(document.get("stream"))
        include_usage = bool(options.get("include_usage"))
        self._writer = AnswerWriter(path, document["model"], include_usage)
        self._generation = generation
        self._finish_reason = finish_reason
        self._faults = faults

    async def send(self, send):
        if self._stream:
            await self._send_stream(send)
        else:
            await self._send_complete(send)

    def _usage(self):
        generation = self._generation
        return openai_api.usage(
            len(generation.prompt), generation.generated_words, generation.cached_words
        )

    async def _send_complete(self, send):
        generation = self._generation
        while not generation.done:
            await generation.wait(generation.generated_words)
        if generation.failure_reason or self._faults.drops_connection:
            await asgi.send_error(send, 500, f"The engine {generation.failure_reason}.")
            return
        text = " ".join(generation.answer)
        document = self._writer.complete_answer(
            text, self._finish_reason, self._usage()
        )
        await asgi.send_json(send, 200, document)

    async def _send_stream(self, send):
        generation, sent = self._generation, 0
        await generation.wait(0)
        if generation.failure_reason:
            await asgi.send_error(send, 503, f"The engine {generation.failure_reason}.")
            return
        await asgi.send_start(send, 200, "text/event-stream")
        while sent < len(generation.answer):
            await generation.wait(sent)
            if generation.failure_reason or (
                self._faults.drops_connection and sent > 0
            ):
                raise ConnectionAbortedError(
                    "connection closed before the end of the stream"
                )
            while sent < generation.generated_words:
                space = " " if sent else ""
                text = space + generation.answer[sent]
                sent += 1
                await asgi.send_body(send, self._writer.event(text, first=sent == 1))
        last_event = self._writer.event("", self._finish_reason)
        final_events = self._writer.last_events(self._usage())
        await asgi.send_body(send, last_event + final_events, more=False)
