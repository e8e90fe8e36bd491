"""Lets requests through to the backend server."""

from contextlib import asynccontextmanager

import anyio

from pistachiowell.core.errors import Overloaded


class Gate:
    """Admits requests in the order of their arrival.

    Args:
        runtime: The process's ``Runtime``.
        slots: Requests that may run at once.
    """

    __slots__ = ("_limiter", "_runtime", "_slots")

    def __init__(self, runtime, slots):
        self._runtime = runtime
        self._slots = slots
        self._limiter = anyio.CapacityLimiter(slots)

    @property
    def running(self):
        """Requests that run now."""
        return int(self._limiter.borrowed_tokens)

    @property
    def waiting(self):
        """Requests that wait for a slot."""
        return self._limiter.statistics().tasks_waiting

    @property
    def slots(self):
        """Requests that may run at once."""
        return self._slots

    @asynccontextmanager
    async def slot(self, request):
        """Waits for a slot and holds it inside the context.

        Args:
            request: The ``RunRequest``.

        Raises:
            Overloaded: Too many requests wait already.
        """
        if self.waiting >= self._runtime.settings.max_waiting:
            raise Overloaded(f"{self.waiting} requests wait already.")
        async with self._limiter:
            yield
