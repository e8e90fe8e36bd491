"""Attempts beside each other for one request, of which one answers the caller."""

from contextlib import asynccontextmanager

import anyio

from pistachiowell.core.errors import PistachiowellError


class Race:
    """Lets the first complete answer win and cancels the other attempts.

    Args:
        now: Function that returns the monotonic time in seconds.
        on_failure: Function of the ``PistachiowellError`` of an attempt beside which
            another one goes on.
        held: The ``HeldBytes`` of the answers that are kept whole; None to count none.

    Attributes:
        answer: Pair of ``AnswerHead`` and body of that answer; None before.
        errors: The errors of the attempts in the order of their ends.
        time_s: Seconds from the start to the first complete answer; None before.
        winner: The ``Lane`` with that answer; None before.
    """

    __slots__ = (
        "_held",
        "_held_bytes",
        "_lanes",
        "_now",
        "_on_failure",
        "_scope",
        "_started_at",
        "answer",
        "errors",
        "time_s",
        "winner",
    )

    def __init__(self, now, on_failure, held=None):
        self._held = held
        self._held_bytes = 0
        self._now = now
        self._on_failure = on_failure
        self._started_at = now()
        self._lanes = []
        self._scope = anyio.CancelScope()
        self.answer = None
        self.errors = []
        self.time_s = None
        self.winner = None

    def lane(self):
        """Returns a new ``Lane``."""
        lane = Lane(self)
        self._lanes.append(lane)
        return lane

    @asynccontextmanager
    async def task_group(self):
        """Yields the task group of the attempts.

        Once there is an answer, the others still end here, however the caller is: it is
        not lost if the deadline passes or the caller closes its side meanwhile.
        """
        with self._scope:
            async with anyio.create_task_group() as group:
                yield group

    def decide(self, lane, answer):
        """Makes a lane the winner unless there is one; cancels the other lanes."""
        if self.winner is not None:
            return
        self.winner = lane
        self.answer = answer
        if self._held is not None:
            self._held_bytes = len(answer[1])
            self._held.size += self._held_bytes
        self.time_s = self._now() - self._started_at
        self._scope.shield = True
        for other in self._lanes:
            if other is not lane:
                other.cancel()

    def take_answer(self):
        """Returns the answer, which neither counts nor is kept here any more.

        The race and its lanes refer to each other, so that what they keep is freed only
        by the garbage collector.
        """
        answer, self.answer = self.answer, None
        if self._held is not None:
            self._held.size -= self._held_bytes
            self._held_bytes = 0
        return answer

    def record_error(self, error):
        """Records the error with which an attempt has ended."""
        self.errors.append(error)
        if any(lane.is_running for lane in self._lanes):
            self._on_failure(error)


class Lane:
    """Runs one attempt of a ``Race``.

    Args:
        race: The ``Race``.

    Attributes:
        ended: ``anyio.Event`` that is set at the end of the attempt.
        error: The ``PistachiowellError`` with which it ended, or None.
        is_running: Whether the attempt is in progress.
    """

    __slots__ = ("_race", "_scope", "ended", "error", "is_running")

    def __init__(self, race):
        self._race = race
        self._scope = anyio.CancelScope()
        self.ended = anyio.Event()
        self.error = None
        self.is_running = False

    def cancel(self):
        """Cancels the attempt, which closes its connection."""
        self._scope.cancel()

    async def claim(self, head, body):
        """Makes this attempt the one that answers the caller.

        It returns in one lane of a race only; the others are cancelled in it. The
        answer is sent once all attempts have ended, as a caller that has it counts as
        gone, and what is still in progress for it is cancelled.

        Args:
            head: The ``AnswerHead``.
            body: The complete body.
        """
        self._race.decide(self, (head, body))
        if self._race.winner is not self:
            await anyio.sleep_forever()

    async def run(self, attempt):
        """Runs an attempt and keeps its error, as the other one may still succeed.

        Args:
            attempt: Async function of this ``Lane``.
        """
        self.is_running = True
        try:
            with self._scope:
                await attempt(self)
        except PistachiowellError as error:
            self.error = error
        finally:
            self.is_running = False
            self.ended.set()
        if self.error is not None:
            self._race.record_error(self.error)
