"""Requests and answers of the OpenAI API, as the engine stand-in speaks it."""

import hashlib
import re
import time

import msgspec

DEFAULT_ANSWER_WORDS = 16
_LENGTH = re.compile(r"\bwords=(\d+)\b")

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"


class BadRequestError(Exception):
    """The engine cannot read a request."""


def prompt_text(path, document):
    """Returns the prompt of a request as one text.

    Raises:
        BadRequestError: The prompt is missing or of a wrong type.
    """
    if path == TEXT_PATH:
        prompt = document.get("prompt")
        if not isinstance(prompt, str):
            raise BadRequestError("'prompt' must be a string.")
        return prompt
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadRequestError("'messages' must be a list that is not empty.")
    return " ".join(_content(message) for message in messages)


def _content(message):
    content = message.get("content") if isinstance(message, dict) else None
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return " ".join(str(part.get("text", "")) for part in content)
    raise BadRequestError("A message has no text content.")


def answer_words(prompt, max_tokens):
    """Makes the answer to a prompt, alike on every engine.

    Each word names the prompt's digest and its place, so that a reader can tell
    whose answer it is and whether it is whole. ``words=N`` in the prompt sets the
    length.

    Args:
        prompt: The prompt.
        max_tokens: Largest number of words, or None.

    Returns:
        ``(words, finish_reason)``.

    Examples:
        >>> words, reason = answer_words("tell me words=3", None)
        >>> len(words), words[1].endswith(".1"), reason
        (3, True, 'stop')
        >>> answer_words("tell me words=3", 2)[1]
        'length'
    """
    match = _LENGTH.search(prompt)
    length = int(match.group(1)) if match else DEFAULT_ANSWER_WORDS
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    reason = "stop"
    if max_tokens is not None and max_tokens < length:
        length, reason = max_tokens, "length"
    return [f"{digest}.{index}" for index in range(length)], reason


def usage(prompt_tokens, completion_tokens, cached_tokens=0):
    """Returns the usage object of an answer."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }


class AnswerWriter:
    """Writes the parts of one answer.

    Args:
        path: Path of the request.
        model: Name of the model.
        include_usage: Whether the stream ends with the usage.
    """

    __slots__ = ("_base", "_chat", "_include_usage")

    def __init__(self, path, model, include_usage=False):
        self._chat = path == CHAT_PATH
        self._include_usage = include_usage
        prefix = "chatcmpl" if self._chat else "cmpl"
        self._base = {
            "id": f"{prefix}-{time.monotonic_ns():x}",
            "created": int(time.time()),
            "model": model,
        }

    def whole(self, text, reason, usage_document):
        """Returns the document of an answer that is not streamed."""
        name = "chat.completion" if self._chat else "text_completion"
        part = {"text": text}
        if self._chat:
            part = {"message": {"role": "assistant", "content": text, "refusal": None}}
        choice = {"index": 0, "logprobs": None, "finish_reason": reason, **part}
        return {
            **self._base,
            "object": name,
            "choices": [choice],
            "usage": usage_document,
        }

    def event(self, text, reason=None, first=False):
        """Returns the bytes of one server-sent event with a piece of text."""
        part = {"text": text}
        if self._chat:
            delta = {"role": "assistant"} if first else {}
            part = {"delta": {**delta, "content": text} if text else delta}
        choice = {"index": 0, "logprobs": None, "finish_reason": reason, **part}
        return self._encode([choice], None)

    def last_events(self, usage_document):
        """Returns the bytes that end a stream."""
        tail = self._encode([], usage_document) if self._include_usage else b""
        return tail + b"data: [DONE]\n\n"

    def _encode(self, choices, usage_document):
        name = "chat.completion.chunk" if self._chat else "text_completion"
        document = {**self._base, "object": name, "choices": choices}
        if self._include_usage:
            document["usage"] = usage_document
        return b"data: " + msgspec.json.encode(document) + b"\n\n"
