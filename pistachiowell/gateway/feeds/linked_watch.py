"""Watches of the store that an agent needs only for the gateways linked to it."""

import anyio

CHECK_INTERVAL_S = 1.0
LINGER_S = 15.0


class LinkedWatches:
    """Runs watches while an agent has links, and for ``LINGER_S`` after the last.

    Load pattern: gateways link to few of many agents; the others would follow the store
    for nobody.

    Args:
        watchers: Objects with ``run`` and ``mark_stopped``.
        links: The ``LinkSet`` of the links to gateways.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_linked", "_links", "_now", "_watchers")

    def __init__(self, watchers, links, now):
        self._watchers = watchers
        self._links = links
        self._now = now
        self._linked = anyio.Event()
        links.add_link_listener(self._record_link)

    def _record_link(self, link):
        del link
        self._linked.set()

    async def run(self):
        """Starts and ends the watches as needed until cancelled."""
        while True:
            await self._linked.wait()
            async with anyio.create_task_group() as group:
                for watcher in self._watchers:
                    group.start_soon(watcher.run)
                await self._wait_for_idleness()
                group.cancel_scope.cancel()
            for watcher in self._watchers:
                watcher.mark_stopped()

    async def _wait_for_idleness(self):
        since = self._now()
        while self._now() - since < LINGER_S:
            await anyio.sleep(CHECK_INTERVAL_S)
            if len(self._links):
                since = self._now()
        self._linked = anyio.Event()
