"""Where a gateway has its configuration from: agents, or the store itself.

Load pattern: a configuration of a megabyte changes every second while requests share
the gateway's link, which may be thin. Agents follow the store over links of their own
and pass a compressed configuration on, so a gateway follows the store only while too
few of them do.
"""

import anyio

CHECK_INTERVAL_S = 0.25
MIN_AGENTS_STABLE_S = 5.0


class CatalogSource:
    """Runs a gateway's own feed of the configuration while it is needed.

    Args:
        catalogs: The ``CatalogFeed``.
        agents_suffice: Function that tells whether agents pass configurations on.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_agents_suffice", "_catalogs", "_now")

    def __init__(self, catalogs, agents_suffice, now):
        self._catalogs = catalogs
        self._agents_suffice = agents_suffice
        self._now = now

    async def run(self):
        """Runs until cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                group.start_soon(self._catalogs.run)
                await self._until_agents_last()
                group.cancel_scope.cancel()
            self._catalogs.stopped()
            while self._agents_suffice():
                await anyio.sleep(CHECK_INTERVAL_S)

    async def _until_agents_last(self):
        """Waits until agents have sufficed for some time."""
        since = self._now()
        while self._now() - since < MIN_AGENTS_STABLE_S:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self._agents_suffice():
                since = self._now()
