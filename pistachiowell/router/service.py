"""Reserves tokens for requests, runs them and bills their usage."""

import json
from contextlib import aclosing

from pistachiowell.core.errors import NOT_RUN, NoServer
from pistachiowell.core.events import EventKind
from pistachiowell.routing import fingerprint
from pistachiowell.schema.generated.messages_requests import AnswerEnd, RunRequest


class RequestService:
    """Runs validated requests from reservation to bill.

    Args:
        runtime: The process's ``Runtime``.
        rows: The ``Rows`` with the current table.
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

    async def run(self, caller, abort=None):
        """Runs one request.

        Args:
            caller: The ``CallerRequest``.
            abort: Function that aborts the stream of a caller who reads too slowly;
                None if the stream cannot be aborted.

        Yields:
            ``AnswerStart``, ``AnswerChunk`` messages and ``AnswerEnd``.

        Raises:
            PistachiowellError: The request was refused or failed.
        """
        payment = Payment(self._spending, caller, self._rows.table)
        messages = self._dispatch.run(caller.route, payment, abort)
        async with aclosing(messages):
            async for message in messages:
                if isinstance(message, AnswerEnd):
                    self._record_answered(caller, billed_tokens(caller, message))
                yield message

    def _record_answered(self, caller, used_tokens):
        self._runtime.metrics.count("requests.answered")
        self._runtime.metrics.count("tokens.billed", used_tokens)
        self._runtime.events.add(
            EventKind.request_answered,
            request=caller.request_id,
            account=caller.account.name,
            text=f"{used_tokens} tokens",
        )


class Payment:
    """Reserves tokens for each attempt of one request.

    A failed attempt may have used tokens, so a retry gets a reservation of its own.
    Each reservation is closed exactly once. The request is billed only for its most
    expensive attempt.

    Args:
        spending: The ``Spending``.
        caller: The ``CallerRequest``.
        table: The current ``Table``.
    """

    __slots__ = ("_caller", "_reservations", "_spending", "_table")

    def __init__(self, spending, caller, table):
        self._spending = spending
        self._caller = caller
        self._table = table
        self._reservations = {}

    async def reserve(self, version, number, timeout_s):
        """Reserves tokens for an attempt.

        Args:
            version: Name of the version that runs the attempt.
            number: Number of the attempt.
            timeout_s: Seconds to the caller's deadline.

        Returns:
            The ``RunRequest``.

        Raises:
            BudgetExhausted: The budget is spent.
            BudgetUnreachable: The state of the budget is not available.
            NoServer: The version is not in the table.
        """
        caller = self._caller
        version_row = self._table.version(version)
        if version_row is None:
            raise NoServer(f"The table has no version {version}.")
        reservation = await self._spending.reserve(
            caller.account.name, caller.request_id, caller.bound_tokens
        )
        self._reservations[number] = reservation
        return run_request(caller, reservation, version_row, number, timeout_s)

    def close_reservation(self, outcome):
        """Closes the reservation of an attempt.

        The usage is zero if the attempt certainly did not run. If it may have run but
        no complete answer came, the usage is unknown and is requested from the agents.

        Args:
            outcome: The ``AttemptOutcome``.
        """
        reservation = self._reservations.pop(outcome.request.attempt)
        if outcome.end is not None:
            used_tokens = billed_tokens(self._caller, outcome.end)
        elif outcome.ran == NOT_RUN or not outcome.agents:
            used_tokens = 0
        else:
            used_tokens = None
        self._spending.close_reservation(reservation, used_tokens, outcome.agents)


def run_request(caller, reservation, version_row, number, timeout_s):
    """Returns the ``RunRequest`` of one attempt.

    Args:
        caller: The ``CallerRequest``.
        reservation: The ``Reservation`` of the attempt.
        version_row: The ``VersionRow``.
        number: Number of the attempt.
        timeout_s: Seconds to the caller's deadline.
    """
    return RunRequest(
        request_id=caller.request_id,
        attempt=number,
        account=caller.account.name,
        route=caller.route.name,
        version=version_row.name,
        priority=str(caller.route.priority),
        weight=caller.account.weight,
        method=caller.method,
        path=caller.path,
        body=backend_body(caller, version_row),
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
        timeout_s=timeout_s,
        max_wait_s=caller.route.max_wait_s,
        fingerprint=_fingerprint(caller),
    )


def backend_body(caller, version):
    """Returns the request body for the backend server.

    For a model this sets the engine's model name, the largest answer and, for a
    stream, the option that requests the usage.

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


def _fingerprint(caller):
    body = caller.body
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return fingerprint(caller.account.name, caller.route.name, data)
