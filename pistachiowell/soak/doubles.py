"""Servers of a soak that answer twice, the second time late."""

from contextlib import suppress
from weakref import WeakKeyDictionary

import anyio

from pistachiowell.platform.standins import head

MAX_DELAY_S = 0.12
SHARE = 0.4
FAILED_SHARE = 0.35
OK = "200 OK"
REFUSED = "503 Full"
# The servers of a soak answer with these, and a gateway never does.
FAILURES = ("409 Conflict", "507 Full Disk")


class DoubleAnswers:
    """Answers of one server, some of which are written twice.

    The second answer comes glued to the first, later on the same connection, in one or
    two parts, or just before the next answer on it. It may bear another status than the
    first one, and no id.

    Args:
        rng: ``random.Random``.
        oracle: The ``Oracle``.
    """

    __slots__ = ("_oracle", "_rng", "_waiting")

    def __init__(self, rng, oracle):
        self._rng = rng
        self._oracle = oracle
        self._waiting = WeakKeyDictionary()

    async def answer(self, request, stream, more):
        """Answers a request; returns whether the connection stays open."""
        rng = self._rng
        request_id = request.headers["pistachiowell-attempt-id"]
        status = rng.choice((*FAILURES, REFUSED)) if self._draws(FAILED_SHARE) else OK
        if status != REFUSED:
            self._oracle.record_run(request_id, 0)
        self._oracle.record_first_answer(request_id, int(status.split()[0]))
        first = _answer(request, status, request_id, more)
        waiting = self._waiting.pop(stream, b"")
        second = self._second(request, request_id) if self._draws(SHARE) else b""
        how = rng.choice(("glued", "late", "cut", "next"))
        if how == "next":
            self._waiting[stream], second = second, b""
        elif how == "glued":
            first, second = first + second, b""
        await stream.send(waiting + first)
        if second:
            await self._send_late(stream, second, in_parts=how == "cut")
        return True

    def _draws(self, share):
        return self._rng.random() < share

    def _second(self, request, request_id):
        status = self._rng.choice((OK, OK, REFUSED, *FAILURES))
        names_request = self._draws(0.8)
        more = {} if names_request else {"Pistachiowell_Attempt_Id": ""}
        return _answer(request, status, f"second-{request_id}", more)

    async def _send_late(self, stream, second, *, in_parts):
        split = self._rng.randrange(len(second)) if in_parts else 0
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            for part in (second[:split], second[split:]):
                await anyio.sleep(self._rng.uniform(0.0, MAX_DELAY_S / 2))
                await stream.send(part)


def _answer(request, status, body, more):
    text = head(request, status, Content_Length=str(len(body)), **more)
    if status == REFUSED:
        text += "Pistachiowell-Not-Executed: 1\r\n"
    return f"{text}\r\n{body}".encode()
