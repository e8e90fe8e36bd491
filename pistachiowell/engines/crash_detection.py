"""Judges whether lost connections to a backend server mean that it has crashed."""

import anyio

SAME_CRASH_WINDOW_S = 1.0


class CrashDetection:
    """Watches the requests in progress at one backend server.

    A lost connection counts as a crash only if the server then refuses new connections.
    Otherwise, an answer that was cut off, or a connection that the server closed under
    load, would make crash candidates of requests that did no harm.

    Args:
        refuses_connections: Async function that returns whether the server refuses new
            connections.
        report: Function that is called with a list of the requests that were in
            progress at a crash, as passed to ``record_start``, and with the time at
            which the connection was lost.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = (
        "_checked",
        "_crashed_at",
        "_in_question",
        "_now",
        "_questioned_at",
        "_refuses_connections",
        "_report",
        "_running",
    )

    def __init__(self, refuses_connections, report, now):
        self._refuses_connections = refuses_connections
        self._report = report
        self._now = now
        self._running = {}
        self._in_question = {}
        self._checked = None
        self._crashed_at = float("-inf")
        self._questioned_at = float("-inf")

    @property
    def is_idle(self):
        """Whether no request is in progress."""
        return not self._running and self._checked is None

    def record_start(self, key, request):
        """Records that a request may now reach the server.

        Args:
            key: Key of the request, unique among those in progress.
            request: What the report of a crash shall tell of it.
        """
        self._running[key] = request

    def record_end(self, key, *, is_innocent):
        """Records the end of a request.

        Args:
            key: Key of the request, as passed to ``record_start``.
            is_innocent: Whether the request has certainly not crashed the server: it
                has not reached it, or has got a complete answer.

        Returns:
            The request as passed to ``record_start``; None if the key is unknown.
        """
        if is_innocent:
            self._in_question.pop(key, None)
        return self._running.pop(key, None)

    def question(self):
        """Puts the requests in progress in question after a lost connection.

        One crash cuts the connections of all requests in progress. Only the first call
        asks for a check, which reports for all of them. Otherwise, one crash would be
        counted several times, and requests would be quarantined after a single crash.

        Returns:
            Whether ``check`` must be run.
        """
        self._in_question.update(self._running)
        if self._checked is not None:
            return False
        self._checked = anyio.Event()
        self._questioned_at = self._now()
        return True

    async def check(self):
        """Checks whether the server has crashed, and reports it."""
        try:
            if await self._refuses_connections():
                self._crashed_at = self._now()
                self._report(list(self._in_question.values()), self._questioned_at)
        finally:
            self._in_question = {}
            self._checked.set()
            self._checked = None

    async def wait(self):
        """Waits until the running check has ended."""
        if self._checked is not None:
            await self._checked.wait()

    async def detect(self):
        """Checks the server after a lost connection; returns whether it crashed.

        For ``SAME_CRASH_WINDOW_S`` after a crash, a lost connection counts as caused by
        that crash even if the server already accepts connections again.
        """
        if self.question():
            await self.check()
        else:
            await self.wait()
        return self._now() - self._crashed_at < SAME_CRASH_WINDOW_S
