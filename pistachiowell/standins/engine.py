"""Model engine stand-in: OpenAI API, batching, prefix cache, orders, faults.

Examples:
    Run ``python -m pistachiowell.standins.engine --port 9001 --model small-1``.
"""

import os
import sys
import time
from random import Random

import anyio
import msgspec
from absl import flags

from pistachiowell.standins import asgi, openai_api
from pistachiowell.standins.batching import Batch, Generation, PrefixCache
from pistachiowell.standins.behaviour import Behaviour, draw_fate
from pistachiowell.standins.openai_api import AnswerWriter, BadRequestError

COLLAPSE_EXIT_CODE = 70
CRASH_EXIT_CODE = 71


def define_flags():
    """Returns the flags of the program."""
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_integer("port", None, "TCP port.", required=True, **define)
    flags.DEFINE_list("model", ["model"], "Names of the models loaded.", **define)
    flags.DEFINE_integer("slots", 8, "Requests that run at once.", **define)
    flags.DEFINE_float("word_s", 0.004, "Seconds per word.", **define)
    flags.DEFINE_float("batch_cost", 0.05, "Share added per request.", **define)
    flags.DEFINE_float("prompt_word_s", 0.0002, "Seconds per prompt word.", **define)
    flags.DEFINE_integer("cache_blocks", 1024, "Prefix blocks kept.", **define)
    flags.DEFINE_integer("capacity", 64, "Requests held before collapse.", **define)
    flags.DEFINE_enum(
        "collapse", "refuse", ["refuse", "exit"], "What a collapse does.", **define
    )
    flags.DEFINE_float("collapse_s", 2.0, "Seconds that it refuses.", **define)
    flags.DEFINE_float("load_lag_s", 0.2, "Lag of the load report.", **define)
    flags.DEFINE_float("order_s", 0.0, "Seconds that an order takes.", **define)
    flags.DEFINE_boolean("fencing", False, "Refuse old fencing numbers.", **define)
    flags.DEFINE_integer("seed", 1, "Seed of the faults.", **define)
    return values


class Engine:
    """State of the engine.

    Args:
        settings: Flag values; see ``define_flags``.
    """

    __slots__ = (
        "_rng",
        "_settings",
        "batch",
        "behaviour",
        "collapsed_until",
        "counts",
        "fence",
        "models",
        "orders",
        "role",
    )

    def __init__(self, settings):
        self._settings = settings
        self._rng = Random(settings.seed)
        self.behaviour = Behaviour()
        self.models = list(settings.model)
        self.role = "serve"
        self.fence = 0
        self.orders = []
        self.collapsed_until = 0.0
        self.counts = dict.fromkeys(
            ("requests", "answered", "failed", "cancelled", "collapses"), 0
        )
        self.counts.update(prompt_tokens=0, completion_tokens=0, cached_tokens=0)
        self.batch = Batch(
            settings.slots,
            settings.word_s,
            settings.batch_cost,
            settings.prompt_word_s,
            PrefixCache(settings.cache_blocks),
        )

    @property
    def collapsed(self):
        """Whether the engine refuses everything after a collapse."""
        return time.monotonic() < self.collapsed_until

    def draw_fate(self, path, body):
        """Draws the fate of a request and counts it."""
        requests = self.counts["requests"]
        self.counts["requests"] += 1
        if self.behaviour.crashes(body):
            os._exit(CRASH_EXIT_CODE)
        return draw_fate(
            self.behaviour, self._rng, path, body, requests, self.batch.running
        )

    def submit(self, generation):
        """Queues a generation, or collapses when too many are held."""
        if self.batch.held >= self._settings.capacity:
            self._collapse()
            generation.fail("collapsed")
        else:
            self.batch.submit(generation)

    def finish(self, generation):
        """Counts a generation that has ended and frees it."""
        words = len(generation.prompt)
        self.counts["completion_tokens"] += generation.made
        self.counts["prompt_tokens"] += words if generation.made else 0
        self.counts["cached_tokens"] += generation.cached_words
        if not generation.done:
            self.batch.cancel(generation)
            self.counts["cancelled"] += 1
        elif generation.failed:
            self.counts["failed"] += 1
        else:
            self.counts["answered"] += 1

    def _collapse(self):
        if self._settings.collapse == "exit":
            os._exit(COLLAPSE_EXIT_CODE)
        self.counts["collapses"] += 1
        self.collapsed_until = time.monotonic() + self._settings.collapse_s
        self.batch.fail_all("collapsed")

    def load(self):
        """Returns the load report, which lags."""
        running, waiting = self.batch.load_before(self._settings.load_lag_s)
        slots = self._settings.slots
        return {"running": running, "waiting": waiting, "slots": slots}

    async def order(self, action, version, fence):
        """Takes a model order.

        Returns:
            Whether the order was accepted.
        """
        accepted = not (self._settings.fencing and fence < self.fence)
        self.orders.append([action, version, fence, accepted])
        if not accepted:
            return False
        self.fence = max(self.fence, fence)
        await anyio.sleep(self._settings.order_s)
        if action == "load" and version not in self.models:
            self.models.append(version)
        elif action == "unload" and version in self.models:
            self.models.remove(version)
        elif action == "set_role":
            self.role = version
        return True

    def status(self):
        """Returns everything that the control endpoint shows."""
        return {
            "behaviour": self.behaviour,
            "counts": self.counts,
            "fence": self.fence,
            "models": self.models,
            "orders": self.orders,
            "role": self.role,
        }


class EngineApp:
    """The ASGI application of the engine.

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
                await self._generate(path, body, receive, send)
            elif path == "/v1/models":
                await asgi.send_json(send, 200, self._models())
            elif path == "/load":
                await asgi.send_json(send, 200, self._engine.load())
            elif path == "/control/order":
                await self._order(body, send)
            elif path == "/control":
                await self._control(scope["method"], body, send)
            else:
                await asgi.send_error(send, 404, f"No path {path}.")
        except (BadRequestError, msgspec.MsgspecError) as error:
            await asgi.send_error(send, 400, str(error), "invalid_request_error")

    def _models(self):
        return {
            "object": "list",
            "data": [
                {"id": name, "object": "model", "created": 0, "owned_by": "engine"}
                for name in self._engine.models
            ],
        }

    async def _control(self, method, body, send):
        if method == "POST":
            self._engine.behaviour = msgspec.json.decode(body, type=Behaviour)
        await asgi.send_json(send, 200, self._engine.status())

    async def _order(self, body, send):
        order = msgspec.json.decode(body, type=dict)
        accepted = await self._engine.order(
            order["action"], order["version"], order["fence"]
        )
        document = {"accepted": accepted, "fence": self._engine.fence}
        await asgi.send_json(send, 200 if accepted else 409, document)

    async def _generate(self, path, body, receive, send):
        engine = self._engine
        document = msgspec.json.decode(body, type=dict)
        prompt = openai_api.prompt_text(path, document)
        fate = engine.draw_fate(path, body)
        if document.get("model") not in engine.models:
            await asgi.send_error(send, 404, "The model is not loaded.")
            return
        if engine.collapsed or engine.behaviour.refuse:
            await asgi.send_error(send, 503, "The engine takes no requests.")
            return
        if fate.fails:
            engine.counts["failed"] += 1
            await asgi.send_error(send, 500, "The engine failed.")
            return
        limit = document.get("max_completion_tokens") or document.get("max_tokens")
        words, reason = openai_api.answer_words(prompt, limit)
        skipped = int(document.get("resume_after_tokens", 0))
        generation = Generation(
            prompt.split(),
            words[skipped:],
            int(document.get("priority", 0)),
            fate.slow_factor,
        )
        engine.submit(generation)
        answer = _Answer(path, document, generation, reason, fate)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
                await answer.send(send)
                group.cancel_scope.cancel()
        finally:
            engine.finish(generation)


async def _cancel_on_disconnect(receive, scope):
    await asgi.wait_disconnect(receive)
    scope.cancel()


class _Answer:
    """Sends one generation to its caller."""

    __slots__ = ("_fate", "_generation", "_reason", "_stream", "_writer")

    def __init__(self, path, document, generation, reason, fate):
        options = document.get("stream_options") or {}
        self._stream = bool(document.get("stream"))
        include_usage = bool(options.get("include_usage"))
        self._writer = AnswerWriter(path, document["model"], include_usage)
        self._generation = generation
        self._reason = reason
        self._fate = fate

    async def send(self, send):
        if self._stream:
            await self._send_stream(send)
        else:
            await self._send_whole(send)

    def _usage(self):
        generation = self._generation
        return openai_api.usage(
            len(generation.prompt), generation.made, generation.cached_words
        )

    async def _send_whole(self, send):
        generation = self._generation
        while not generation.done:
            await generation.wait(generation.made)
        if generation.failed or self._fate.cut:
            await asgi.send_error(send, 500, f"The engine {generation.failed}.")
            return
        text = " ".join(generation.answer)
        document = self._writer.whole(text, self._reason, self._usage())
        await asgi.send_json(send, 200, document)

    async def _send_stream(self, send):
        generation, sent = self._generation, 0
        await generation.wait(0)
        if generation.failed:
            await asgi.send_error(send, 503, f"The engine {generation.failed}.")
            return
        await asgi.send_start(send, 200, "text/event-stream")
        while sent < len(generation.answer):
            await generation.wait(sent)
            if generation.failed or (self._fate.cut and sent > 0):
                raise ConnectionAbortedError("The answer is cut.")
            while sent < generation.made:
                space = " " if sent else ""
                text = space + generation.answer[sent]
                sent += 1
                await asgi.send_part(send, self._writer.event(text, first=sent == 1))
        end = self._writer.event("", self._reason)
        tail = self._writer.last_events(self._usage())
        await asgi.send_part(send, end + tail, more=False)


async def serve(settings):
    """Runs the engine until a signal ends it.

    Args:
        settings: Flag values; see ``define_flags``.
    """
    engine = Engine(settings)
    async with anyio.create_task_group() as group:
        group.start_soon(engine.batch.run)
        await asgi.serve_app(EngineApp(engine), settings.port)
        group.cancel_scope.cancel()


def main(argv):
    """Runs the program with its command line."""
    settings = define_flags()
    settings(argv)
    anyio.run(serve, settings)


if __name__ == "__main__":
    main(sys.argv)
