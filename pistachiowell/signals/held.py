"""Keeps signals from ending a process and queues them for its event loop.

Load pattern: stops, reloads and repeats of both come in series, also while a process
starts or ends. The default action of each would cut off all requests in progress.
"""

import os
import signal
from contextlib import contextmanager

STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
RELOAD_SIGNAL = signal.SIGHUP
HANDLED_SIGNALS = STOP_SIGNALS | {RELOAD_SIGNAL}
READ_BYTES = 4096

_process_queue = None


class SignalQueue:
    """Queue of the signals that this process has received.

    Python's signal handler writes the number of each signal to a pipe, so a signal that
    comes before the event loop runs waits there and none is lost between two readers.
    """

    __slots__ = ("_reader", "_writer")

    def __init__(self):
        self._reader, self._writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(self._writer, warn_on_full_buffer=False)
        for number in HANDLED_SIGNALS:
            signal.signal(number, _handle)

    @property
    def descriptor(self):
        """File descriptor that is readable while signals wait."""
        return self._reader

    def pop_all(self):
        """Returns the waiting signals, oldest first, and removes them."""
        try:
            data = os.read(self._reader, READ_BYTES)
        except BlockingIOError:
            return []
        return [signal.Signals(number) for number in data if number in HANDLED_SIGNALS]


def process_queue():
    """Returns the ``SignalQueue`` of this process; None if signals are not held."""
    return _process_queue


@contextmanager
def signals_held():
    """Returns a context manager in which ``HANDLED_SIGNALS`` wait in a queue.

    After it they are ignored until the process exits: all work is done, and a default
    action would only change the exit code.

    See Also:
        pistachiowell.signals.watch.SignalWatch: Reads the queue.
    """
    global _process_queue
    _process_queue = SignalQueue()
    try:
        yield
    finally:
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)


def _handle(number, frame):
    """Does nothing: the number is in the pipe already."""
    del number, frame
