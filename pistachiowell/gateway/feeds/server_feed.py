"""A gateway's own watch of the backend servers, checked by what agents have read.

Load pattern: many gateways watch the servers in the store. A watch that has gone silent
shows only when its wait is over, so the waits were short, and the calls of all gateways
grew with them. Agents report a digest of what they have read: a gateway that has read
something else for too long starts its watch again, so its waits may be long.
"""

import anyio

from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.feeds.store_fallback import wait_for_stable_agents

CHECK_INTERVAL_S = 0.25
LONG_WAIT_S = 25.0
# Agents and gateways read a change at slightly different times.
MAX_DIFFERENCE_S = 1.5

_log = part_logger("feeds")


class DigestCheck:
    """Decides whether what a gateway has read is what its agents have read.

    Examples:
        >>> check = DigestCheck()
        >>> check.record("agent-1", 7)
        >>> check.update(7, {"agent-1"}, 0.0), check.update(8, {"agent-1"}, 1.0)
        (True, True)
        >>> check.update(8, {"agent-1"}, 3.0), check.update(8, set(), 9.0)
        (False, True)
    """

    __slots__ = ("_agreed_at", "_digests")

    def __init__(self):
        self._digests = {}
        self._agreed_at = float("-inf")

    def record(self, agent, digest):
        """Records the digest that an agent reports; 0 if it has none."""
        self._digests[agent] = digest

    def update(self, digest, agents, now):
        """Returns whether an agent has agreed within ``MAX_DIFFERENCE_S``.

        Args:
            digest: Digest of what the gateway has read.
            agents: Names of the usable agents.
            now: Present time in seconds.
        """
        reported = {self._digests.get(name, 0) for name in agents} - {0}
        if not reported or digest in reported:
            self._agreed_at = now
        return now - self._agreed_at <= MAX_DIFFERENCE_S

    def restart(self, now):
        """Gives a new watch the time to agree from ``now`` on."""
        self._agreed_at = now


class ServerFeed:
    """Runs the ``ServerWatcher`` of a gateway.

    Args:
        watcher: The ``ServerWatcher``.
        registry: The ``ServerRegistry``.
        fleet: The ``Fleet`` with the agents.
        has_enough_agents: Function that returns whether enough agents follow the store.
        now: Function that returns the monotonic time in seconds.

    Attributes:
        check: The ``DigestCheck``.
    """

    __slots__ = (
        "_fleet",
        "_has_enough_agents",
        "_now",
        "_registry",
        "_watcher",
        "check",
    )

    def __init__(self, watcher, registry, fleet, has_enough_agents, now):
        self._watcher = watcher
        self._registry = registry
        self._fleet = fleet
        self._has_enough_agents = has_enough_agents
        self._now = now
        self.check = DigestCheck()

    async def run(self):
        """Follows the servers until cancelled."""
        while True:
            await self._run_watch(None, self._wait_for_stable_agents)
            self.check.restart(self._now())
            while await self._run_watch(LONG_WAIT_S, self._wait_for_difference):
                _log.warning("The watch of the servers is silent; starting it again.")
                self.check.restart(self._now())
            # What expired in an outage that only the agents have noticed is kept for
            # the time in which it comes back.
            self._registry.record_outage_end(self._now())

    async def _run_watch(self, wait_s, wait_for_end):
        async with anyio.create_task_group() as group:
            group.start_soon(self._watcher.run, wait_s)
            result = await wait_for_end()
            group.cancel_scope.cancel()
        return result

    async def _wait_for_stable_agents(self):
        await wait_for_stable_agents(self._has_enough_agents, self._now)

    async def _wait_for_difference(self):
        """Returns True once the agents differ, and False once they are too few."""
        while self._has_enough_agents():
            usable = {name for name, p in self._fleet.agents.items() if p.usable}
            if not self.check.update(self._watcher.digest, usable, self._now()):
                return True
            await anyio.sleep(CHECK_INTERVAL_S)
        return False
