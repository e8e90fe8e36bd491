"""Pays for requests, runs them and books what they used."""

import hashlib
import json
from contextlib import aclosing
from dataclasses import replace

from pistachiowell.core.errors import PistachiowellError
from pistachiowell.core.events import EventKind
from pistachiowell.schema.generated.messages_requests import AnswerEnd, RunRequest


class RequestService:
    """Runs checked requests from reservation to bill.

    Args:
        runtime: The process's ``Runtime``.
        rows: The ``Rows`` with the table in force.
        spending: The ``Spending``.
        dispatch: The ``Dispatch``.
        journal: The ``Journal``.
    """

    __slots__ = ("_dispatch", "_journal", "_rows", "_runtime", "_spending")

    def __init__(self, runtime, rows, spending, dispatch, journal):
        self._runtime = runtime
        self._rows = rows
        self._spending = spending
        self._dispatch = dispatch
        self._journal = journal

    async def run(self, caller, give_up=None):
        """Runs one request.

        Args:
            caller: The ``CallerRequest``.
            give_up: Function that ends the stream of a caller who reads too slowly;
                None if it cannot be ended.

        Yields:
            ``AnswerStart``, ``AnswerChunk`` messages and ``AnswerEnd``.

        Raises:
            PistachiowellError: The request was refused or failed.
        """
        reservation = await self._spending.reserve(
            caller.account.name, caller.request_id, caller.bound_tokens
        )
        used_tokens = None
        try:
            async for message in self._attempt(caller, reservation, give_up):
                if isinstance(message, AnswerEnd):
                    used_tokens = billed_tokens(caller, message)
                    self._note_answered(caller, used_tokens)
                yield message
        except PistachiowellError as error:
            if error.ran == "no":
                used_tokens = 0
            raise
        finally:
            self._spending.end(reservation, used_tokens)

    def _note_answered(self, caller, used_tokens):
        self._runtime.metrics.count("requests.answered")
        self._runtime.metrics.count("tokens.billed", used_tokens)
        self._runtime.events.add(
            EventKind.request_answered,
            request=caller.request_id,
            account=caller.account.name,
            text=f"{used_tokens} tokens",
        )

    async def _attempt(self, caller, reservation, give_up):
        def build(version, number, timeout_s):
            request = self._run_request(caller, reservation, version)
            return replace(request, attempt=number, timeout_s=timeout_s)

        messages = self._dispatch.run(caller.route, build, give_up)
        async with aclosing(messages):
            async for message in messages:
                yield message

    def _run_request(self, caller, reservation, version):
        body = backend_body(caller, self._rows.table.version(version))
        return RunRequest(
            request_id=caller.request_id,
            attempt=1,
            account=caller.account.name,
            route=caller.route.name,
            version=version,
            priority=str(caller.route.priority),
            weight=caller.account.weight,
            method=caller.method,
            path=caller.path,
            body=body,
            content_type=caller.content_type,
            idempotency_key=caller.idempotency_key,
            repeatable=caller.route.repeatable,
            stream=caller.stream,
            include_usage=caller.include_usage,
            token_limit=caller.answer_tokens,
            reserved_tokens=reservation.tokens,
            grant_id=reservation.grant_id,
            reservation_id=reservation.reservation_id,
            holder=reservation.holder,
            timeout_s=caller.route.timeout_s,
            fingerprint=fingerprint(caller),
        )


def backend_body(caller, version):
    """Returns the body as the backend server gets it.

    For a model the engine's model name, the bound of the answer and, in a stream,
    the request for usage are set.

    Args:
        caller: The ``CallerRequest``.
        version: The ``VersionRow``.
    """
    if isinstance(caller.body, bytes):
        return caller.body
    document = dict(caller.body)
    document["model"] = version.model
    document["max_tokens"] = caller.answer_tokens
    document.pop("max_completion_tokens", None)
    if caller.stream:
        options = document.get("stream_options") or {}
        document["stream_options"] = {**options, "include_usage": True}
    return json.dumps(document).encode()


def billed_tokens(caller, end):
    """Returns the price of an answer in tokens, never above the reservation.

    Args:
        caller: The ``CallerRequest``.
        end: The ``AnswerEnd``.
    """
    if not caller.answer_tokens:
        return caller.bound_tokens
    return min(end.prompt_tokens + end.completion_tokens, caller.bound_tokens)


def fingerprint(caller):
    """Returns a hash that repeats of the same work share.

    Args:
        caller: The ``CallerRequest``.
    """
    body = caller.body
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"{caller.account.name}\0{caller.route.name}\0".encode()
    return hashlib.sha256(head + data).hexdigest()[:32]
