"""Event loop that measures how long it waits for I/O and timers.

The time in which a loop does not wait tells how busy a process is. Processor time does
not: a VM may get only a share of a core, and some platforms count the real time of the
process in its place.
"""

import asyncio
import selectors
import time
import weakref

_selectors = weakref.WeakKeyDictionary()


class TimedSelector(selectors.DefaultSelector):
    """Selector that sums the time of its waits.

    Attributes:
        waited_s: Seconds of all waits so far.
    """

    def __init__(self):
        super().__init__()
        self.waited_s = 0.0

    def select(self, timeout=None):
        """Waits for events; see ``selectors.BaseSelector.select``."""
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        started_at = time.monotonic()
        events = super().select(timeout)
        self.waited_s += time.monotonic() - started_at
        return events


def make_event_loop():
    """Returns a new event loop that measures its waits."""
    selector = TimedSelector()
    loop = asyncio.SelectorEventLoop(selector)
    _selectors[loop] = selector
    return loop


def waited_s(loop):
    """Returns the seconds that a loop has waited so far.

    Args:
        loop: The event loop.

    Returns:
        Seconds; None for a loop that ``make_event_loop`` has not made.

    Examples:
        >>> import asyncio
        >>> async def wait():
        ...     before = waited_s(asyncio.get_running_loop())
        ...     await asyncio.sleep(0.05)
        ...     return waited_s(asyncio.get_running_loop()) - before
        >>> with asyncio.Runner(loop_factory=make_event_loop) as runner:
        ...     0.04 < runner.run(wait()) < 0.5
        True
    """
    selector = _selectors.get(loop)
    return selector.waited_s if selector is not None else None
