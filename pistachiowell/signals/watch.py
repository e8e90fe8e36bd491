"""Follows the signals of a program while its event loop runs."""

from contextlib import asynccontextmanager

import anyio

from pistachiowell.core.logs import part_logger
from pistachiowell.signals.held import (
    HANDLED_SIGNALS,
    STOP_SIGNALS,
    process_queue,
)

_log = part_logger("signals")


class SignalWatch:
    """Takes the first signal to stop as a request; logs and ignores all others.

    SIGHUP is ignored since the settings cannot be reloaded. A second signal to stop is
    ignored too: the stop is bounded in time, and SIGKILL ends it earlier.
    """

    __slots__ = ("_stop",)

    def __init__(self):
        self._stop = anyio.Event()

    async def run(self):
        """Reads signals until cancelled."""
        async with _signal_batches() as batches:
            async for numbers in batches:
                self._record(numbers)

    async def wait_for_stop(self):
        """Waits for a signal to stop, which may have come before this call."""
        await self._stop.wait()

    async def run_unless_stopped(self, function, *args):
        """Runs an async function, which the request to stop cancels.

        Returns:
            Whether it has run to its end.
        """
        has_ended = False
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_at_stop, group.cancel_scope)
            await function(*args)
            has_ended = True
            group.cancel_scope.cancel()
        return has_ended

    async def _cancel_at_stop(self, scope):
        await self._stop.wait()
        scope.cancel()

    def _record(self, numbers):
        ignored = []
        for number in numbers:
            if number in STOP_SIGNALS and not self._stop.is_set():
                self._stop.set()
                _log.info("Stop is requested.", signal=number.name)
            else:
                ignored.append(number.name)
        if ignored:
            _log.info("Signals are ignored.", signals=ignored)


@asynccontextmanager
async def _signal_batches():
    """Yields an async iterator over lists of signals.

    A process that does not hold its signals, such as a test, handles them meanwhile.
    """
    queue = process_queue()
    if queue is not None:
        yield _queued_batches(queue)
        return
    with anyio.open_signal_receiver(*HANDLED_SIGNALS) as received:
        yield ([number] async for number in received)


async def _queued_batches(queue):
    while True:
        await anyio.wait_readable(queue.descriptor)
        yield queue.pop_all()
