"""What a gateway learns from its agents, or from the store itself while they are few.

Load pattern: a configuration of a megabyte changes every second while requests share
the gateway's network link, which may have a low bandwidth. A watch of the store would
transfer each configuration uncompressed and delay requests. Agents follow the store
over links of their own and pass on a compressed configuration, so a gateway falls back
to following the store only while too few agents do.
"""

import anyio

CHECK_INTERVAL_S = 0.25
MIN_AGENTS_STABLE_S = 5.0


async def wait_for_stable_agents(has_enough_agents, now):
    """Waits until there were enough agents for ``MIN_AGENTS_STABLE_S``.

    Agents that connect and disconnect in turn would otherwise start a watch again, and
    with it a transfer of all that is watched, each time.

    Args:
        has_enough_agents: Function that returns whether enough agents follow the store.
        now: Function that returns the monotonic time in seconds.
    """
    since = now()
    while now() - since < MIN_AGENTS_STABLE_S:
        await anyio.sleep(CHECK_INTERVAL_S)
        if not has_enough_agents():
            since = now()


class StoreFallback:
    """Runs a gateway's own watch of the store while too few agents follow it.

    Args:
        watcher: Object with the watch ``run`` and with ``mark_stopped``, which is
            called when the watch has ended, such as the ``CatalogWatcher``.
        has_enough_agents: Function that returns whether enough agents follow the
            store to pass on what they know.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_has_enough_agents", "_now", "_watcher")

    def __init__(self, watcher, has_enough_agents, now):
        self._watcher = watcher
        self._has_enough_agents = has_enough_agents
        self._now = now

    async def run(self):
        """Starts and stops the watch as needed until cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watcher.run)
                await wait_for_stable_agents(self._has_enough_agents, self._now)
                group.cancel_scope.cancel()
            self._watcher.mark_stopped()
            while self._has_enough_agents():
                await anyio.sleep(CHECK_INTERVAL_S)
