"""Client that streams chats through routers and checks the answers."""

import time
from dataclasses import dataclass

import httpcore
import msgspec

from pistachiowell.standins.openai_api import answer_words

CHAT_PATH = "/v1/chat/completions"
UNNAMED = "unnamed"
_DATA = "data: "


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one request as its caller sees it.

    Attributes:
        status: HTTP status; 0 if the connection failed or broke off.
        code: Error code; empty without an error.
        first_s: Seconds from the start to the first data; 0 without data.
        total_s: Seconds from the start to the end.
        tokens: Total tokens in the usage of the answer.
        whole: Whether the answer is complete and equals the expected one.
    """

    status: int
    code: str
    first_s: float
    total_s: float
    tokens: int
    whole: bool


class Caller:
    """Sends streamed chats over a pool of connections.

    Args:
        max_connections: Limit of concurrent connections.
    """

    __slots__ = ("_pool",)

    def __init__(self, max_connections=1000):
        self._pool = httpcore.AsyncConnectionPool(max_connections=max_connections)

    async def aclose(self):
        """Closes all connections."""
        await self._pool.aclose()

    async def chat(self, url, key, model, prompt, max_tokens):
        """Sends one chat request and reads its streamed answer.

        Args:
            url: Base URL of the router.
            key: API key.
            model: Name of the route.
            prompt: Content of the user's message.
            max_tokens: Limit of the answer in tokens.

        Returns:
            An ``Outcome``.
        """
        reader = _StreamReader(prompt, max_tokens)
        document = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
        try:
            manager = self._pool.stream(
                "POST",
                url + CHAT_PATH,
                headers=list(headers.items()),
                content=msgspec.json.encode(document),
            )
            async with manager as response:
                reader.status = response.status
                async for data in response.aiter_stream():
                    reader.feed(data)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            reader.status = 0
        return reader.outcome()


class _StreamReader:
    """Collects the data of one response and compares it with the expected answer."""

    __slots__ = ("_body", "_first_s", "_max_tokens", "_prompt", "_started", "status")

    def __init__(self, prompt, max_tokens):
        self._prompt = prompt
        self._max_tokens = max_tokens
        self._started = time.perf_counter()
        self._first_s = 0.0
        self._body = []
        self.status = 0

    def feed(self, data):
        if not self._first_s:
            self._first_s = time.perf_counter() - self._started
        self._body.append(data)

    def outcome(self):
        total_s = time.perf_counter() - self._started
        text = b"".join(self._body).decode()
        if self.status != 200:
            code = _error_code(text)
            if code == UNNAMED:
                code = f"status_{self.status}"
            return Outcome(self.status, code, 0.0, total_s, 0, False)
        events = [part[len(_DATA) :] for part in text.split("\n\n") if part]
        documents = [msgspec.json.decode(e) for e in events if e.startswith("{")]
        code = _stream_error(documents)
        words, tokens = _join_chunks(documents)
        expected, _ = answer_words(self._prompt, self._max_tokens)
        whole = words.split() == expected and not code and events[-1] == "[DONE]"
        return Outcome(self.status, code, self._first_s, total_s, tokens, whole)


def _error_code(text):
    try:
        return msgspec.json.decode(text)["error"]["code"] or UNNAMED
    except (msgspec.MsgspecError, KeyError, TypeError):
        return UNNAMED


def _stream_error(documents):
    errors = [document["error"] for document in documents if "error" in document]
    return errors[0].get("code") or UNNAMED if errors else ""


def _join_chunks(documents):
    contents = []
    tokens = 0
    for document in documents:
        for choice in document.get("choices", ()):
            contents.append(choice["delta"].get("content") or "")
        if document.get("usage"):
            tokens = document["usage"]["total_tokens"]
    return "".join(contents), tokens
