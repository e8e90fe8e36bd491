"""Requests and answers of the OpenAI API for the model engine stand-in."""

import hashlib
import re
import time

import msgspec

DEFAULT_ANSWER_WORDS = 16
_ANSWER_LENGTH = re.compile(r"\bwords=(\d+)\b")

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"


class BadRequestError(Exception):
    """The engine rejects a malformed request."""


def prompt_text(path, document):
    """Returns the prompt of a request as one text.

    Args:
        path: Path of the request.
        document: The decoded body.

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
    """Returns the words of the answer to a prompt.

    The answer depends on the prompt only, so every engine gives the same one. Each
    word consists of a digest of the prompt and the position of the word, so a test
    can detect an answer to another request and missing, repeated or swapped words,
    also in a stream that was resumed on another engine. ``words=N`` in the prompt
    sets the length.

    Args:
        prompt: The prompt.
        max_tokens: Largest number of words; None for no limit.

    Returns:
        ``(words, finish_reason)``; the reason is ``length`` if the limit cut the
        answer off.

    Examples:
        >>> words, finish_reason = answer_words("tell me words=3", None)
        >>> len(words), words[1].endswith(".1"), finish_reason
        (3, True, 'stop')
        >>> answer_words("tell me words=3", 2)[1]
        'length'
    """
    match = _ANSWER_LENGTH.search(prompt)
    length = int(match.group(1)) if match else DEFAULT_ANSWER_WORDS
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    finish_reason = "stop"
    if max_tokens is not None and max_tokens < length:
        length, finish_reason = max_tokens, "length"
    return [f"{digest}.{index}" for index in range(length)], finish_reason


def usage(prompt_tokens, completion_tokens, cached_tokens=0):
    """Returns the usage object of an answer."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }


class AnswerWriter:
    """Encodes one answer, as a whole or as server-sent events.

    Args:
        path: Path of the request.
        model: Name of the model.
        include_usage: Whether a stream reports the token usage at its end.
    """

    __slots__ = ("_common_fields", "_include_usage", "_is_chat")

    def __init__(self, path, model, include_usage=False):
        self._is_chat = path == CHAT_PATH
        self._include_usage = include_usage
        prefix = "chatcmpl" if self._is_chat else "cmpl"
        self._common_fields = {
            "id": f"{prefix}-{time.monotonic_ns():x}",
            "created": int(time.time()),
            "model": model,
        }

    def complete_answer(self, text, finish_reason, usage_document):
        """Returns the document of an answer that is not streamed."""
        name = "chat.completion" if self._is_chat else "text_completion"
        part = {"text": text}
        if self._is_chat:
            part = {"message": {"role": "assistant", "content": text, "refusal": None}}
        choice = {"index": 0, "logprobs": None, "finish_reason": finish_reason, **part}
        return {
            **self._common_fields,
            "object": name,
            "choices": [choice],
            "usage": usage_document,
        }

    def event(self, text, finish_reason=None, first=False):
        """Returns one server-sent event of a stream as bytes.

        Args:
            text: Next part of the answer.
            finish_reason: Why the answer ends; None while it goes on.
            first: Whether this is the first event, which names the role.
        """
        part = {"text": text}
        if self._is_chat:
            delta = {"role": "assistant"} if first else {}
            part = {"delta": {**delta, "content": text} if text else delta}
        choice = {"index": 0, "logprobs": None, "finish_reason": finish_reason, **part}
        return self._encode([choice], None)

    def last_events(self, usage_document):
        """Returns the events that end a stream, as bytes."""
        usage_event = self._encode([], usage_document) if self._include_usage else b""
        return usage_event + b"data: [DONE]\n\n"

    def _encode(self, choices, usage_document):
        name = "chat.completion.chunk" if self._is_chat else "text_completion"
        document = {**self._common_fields, "object": name, "choices": choices}
        if self._include_usage:
            document["usage"] = usage_document
        return b"data: " + msgspec.json.encode(document) + b"\n\n"
