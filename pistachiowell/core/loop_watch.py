"""Lateness of the event loop, and deadlines that do not count it.

A process that is short of processor time runs its callbacks late. What it has not read
yet, such as an answer, then looks like an answer that has not come.
"""

import asyncio
import time
from contextlib import contextmanager

import anyio

from pistachiowell.core.event_loop import waited_s

BUSY_TICK_S = 0.02
IDLE_TICK_S = 0.05
# Turns of the loop that a request takes from its head to the end of its answer, and the
# number of them that is measured.
TRANSIT_TURNS = 12
MEASURED_TURNS = 3
# Longest time for what has arrived by a time limit to be handled after it.
MAX_HANDLING_S = 0.1


@contextmanager
def time_limit(limit_s):
    """Cancels the enclosed code at a time limit, once what has arrived was handled.

    A loop that is late reads what has come in time, such as the end of an answer, in
    the turn in which the limit passes. It gets as many turns as a request takes.

    Args:
        limit_s: Seconds from now; the code is not begun if they are over.

    Yields:
        The ``anyio.CancelScope``.
    """
    with anyio.CancelScope() as scope:
        if limit_s <= 0:
            scope.cancel()
        timer = _LimitTimer(scope, limit_s)
        try:
            yield scope
        finally:
            timer.stop()


class _LimitTimer:
    """Cancels a scope some turns of the loop after a time limit.

    Args:
        scope: The ``anyio.CancelScope``.
        limit_s: Seconds from now.
    """

    __slots__ = ("_ends_at", "_handle", "_loop", "_scope")

    def __init__(self, scope, limit_s):
        self._scope = scope
        self._loop = asyncio.get_running_loop()
        self._ends_at = None
        self._handle = self._loop.call_later(limit_s, self._begin)

    def stop(self):
        """Ends the timer without effect."""
        self._handle.cancel()

    def _begin(self):
        self._ends_at = self._loop.time() + MAX_HANDLING_S
        self._pass_turn(TRANSIT_TURNS)

    def _pass_turn(self, turns):
        if turns and self._loop.time() < self._ends_at:
            self._handle = self._loop.call_soon(self._pass_turn, turns - 1)
        else:
            self._scope.cancel()


class LoopWatch:
    """Calls listeners in short intervals and tells them how late the loop is.

    Args:
        is_busy: Function that returns whether the ticks shall be close.

    Examples:
        >>> async def measure():
        ...     ticks, watch = [], LoopWatch()
        ...     watch.add_listener(lambda now, late_s: ticks.append(late_s))
        ...     with anyio.move_on_after(0.2):
        ...         await watch.run()
        ...     return len(ticks) > 0
        >>> anyio.run(measure)
        True
    """

    __slots__ = (
        "_due_at",
        "_is_busy",
        "_is_measuring",
        "_late_s",
        "_listeners",
        "_load_listeners",
        "_loop",
        "_scopes",
        "_timer",
        "_transit_listeners",
    )

    def __init__(self, is_busy=lambda: False):
        self._is_busy = is_busy
        self._listeners = []
        self._load_listeners = []
        self._scopes = set()
        self._transit_listeners = []
        self._is_measuring = False
        self._due_at = float("inf")
        self._late_s = 0.0
        self._loop = None
        self._timer = None

    @property
    def late_s(self):
        """Seconds by which the loop was late at its last tick, or is late now.

        What is handled now may have arrived so long ago.
        """
        if self._loop is None:
            return 0.0
        return max(self._late_s, self._loop.time() - self._due_at)

    def add_listener(self, function):
        """Registers a function of the present time and the lateness in seconds."""
        self._listeners.append(function)

    def add_transit_listener(self, function):
        """Registers a function of a transit time and the present time in seconds.

        The transit time is what the loop takes for ``TRANSIT_TURNS``, estimated at each
        tick while the process is busy, and 0 while it is not.
        """
        self._transit_listeners.append(function)

    def add_load_listener(self, function):
        """Registers a function of the loop's busy time so far and the present time.

        Both are in seconds. The busy time is that in which the loop does not wait; on a
        loop that does not measure its waits it is the processor time.
        """
        self._load_listeners.append(function)

    async def run(self):
        """Ticks until cancelled."""
        self._loop = asyncio.get_running_loop()
        self._schedule()
        try:
            await anyio.sleep_forever()
        finally:
            self._timer.cancel()

    @contextmanager
    def deadline(self, timeout_s):
        """Cancels the enclosed code after a timeout that does not count lateness.

        Args:
            timeout_s: Seconds for which the loop is on time.

        Yields:
            The ``anyio.CancelScope``.
        """
        with anyio.move_on_after(timeout_s) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def _schedule(self):
        busy = self._scopes or self._is_busy()
        self._due_at = self._loop.time() + (BUSY_TICK_S if busy else IDLE_TICK_S)
        # A callback and no task: it runs before the deadlines that have passed since.
        self._timer = self._loop.call_at(self._due_at, self._tick)

    def _tick(self):
        now = self._loop.time()
        self._late_s = late_s = max(0.0, now - self._due_at)
        # First, so that an error in a listener does not end the ticks.
        self._schedule()
        for scope in self._scopes:
            scope.deadline += late_s
        for listener in self._listeners:
            listener(now, late_s)
        self._tell_load(now)
        self._start_transit(now)

    def _tell_load(self, now):
        if self._load_listeners:
            idle_s = waited_s(self._loop)
            busy_s = time.process_time() if idle_s is None else now - idle_s
            for listener in self._load_listeners:
                listener(busy_s, now)

    def _start_transit(self, now):
        if not self._transit_listeners or self._is_measuring:
            return
        if self._is_busy():
            self._is_measuring = True
            self._loop.call_soon(self._pass_turn, now, MEASURED_TURNS)
        else:
            self._tell_transit(0.0, now)

    def _pass_turn(self, started_at, turns):
        if turns:
            self._loop.call_soon(self._pass_turn, started_at, turns - 1)
            return
        self._is_measuring = False
        now = self._loop.time()
        self._tell_transit((now - started_at) * TRANSIT_TURNS / MEASURED_TURNS, now)

    def _tell_transit(self, transit_s, now):
        for listener in self._transit_listeners:
            listener(transit_s, now)
