"""Server-sent events of a model engine."""

import json
import re

END_OF_EVENT = b"\n\n"
DATA_PREFIX = b"data:"
DONE = b"[DONE]"

_USAGE_OBJECT = re.compile(rb'"usage"\s*:\s*\{')


class UsageReader:
    r"""Passes an event stream on and reads the token usage out of it.

    Args:
        include_usage: Whether the caller asked for the usage event; otherwise it
            is left out of what is passed on.

    Attributes:
        prompt_tokens: Tokens of the prompt; 0 until the engine tells.
        completion_tokens: Tokens generated; until the engine tells, the events
            that carried a part of the answer.
        done: Whether the end of the stream has come.

    Examples:
        >>> reader = UsageReader(False)
        >>> usage = b'data: {"choices": [], "usage": {"prompt_tokens": 2, '
        >>> reader.feed(usage + b'"completion_tokens": 3}}\n\ndata: [DONE]\n\n')
        b'data: [DONE]\n\n'
        >>> reader.prompt_tokens, reader.completion_tokens, reader.done
        (2, 3, True)
    """

    __slots__ = (
        "_buffer",
        "_include_usage",
        "completion_tokens",
        "done",
        "prompt_tokens",
    )

    def __init__(self, include_usage):
        self._include_usage = include_usage
        self._buffer = b""
        self.prompt_tokens = 0
        self.completion_tokens = 0
        self.done = False

    def feed(self, data):
        """Takes bytes of the engine and returns the bytes to pass on."""
        events = (self._buffer + data.replace(b"\r\n", b"\n")).split(END_OF_EVENT)
        self._buffer = events.pop()
        kept = [event for event in events if self._take(event)]
        return b"".join(event + END_OF_EVENT for event in kept)

    def _take(self, event):
        if not event.startswith(DATA_PREFIX):
            return True
        payload = event[len(DATA_PREFIX) :].strip()
        if payload == DONE:
            self.done = True
            return True
        # Decoding every event would cost more than all else that is done to it.
        usage, choices = None, True
        if _USAGE_OBJECT.search(payload):
            usage, choices = _read_usage(payload)
        if not usage:
            self.completion_tokens += 1
            return True
        self._take_usage(usage)
        return self._include_usage or choices

    def _take_usage(self, usage):
        self.prompt_tokens = usage.get("prompt_tokens", 0)
        self.completion_tokens = usage.get("completion_tokens", 0)


def _read_usage(payload):
    try:
        document = json.loads(payload)
        return document.get("usage"), bool(document.get("choices"))
    except (ValueError, AttributeError):
        return None, True


def usage_of_document(data):
    """Reads the usage of a whole answer.

    Args:
        data: The body as bytes.

    Returns:
        A pair of prompt and completion tokens; zeros if the body has no usage.

    Examples:
        >>> usage_of_document(b'{"usage": {"prompt_tokens": 1}}')
        (1, 0)
    """
    try:
        usage = json.loads(data).get("usage") or {}
        return usage.get("prompt_tokens", 0), usage.get("completion_tokens", 0)
    except (ValueError, AttributeError):
        return 0, 0
