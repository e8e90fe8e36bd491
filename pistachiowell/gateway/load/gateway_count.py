"""Counts the gateways, which share the fixed retries and the limits of servers.

Load pattern: gateways that start together, each of which would take all of the shared
retries if it assumed that it is alone.
"""

import anyio

from pistachiowell.core.errors import STORE_ERRORS
from pistachiowell.core.logs import part_logger
from pistachiowell.router.fleet import ROUTERS

LIST_INTERVAL_S = 15.0
CHECKED_LIST_INTERVAL_S = 120.0
COUNT_INTERVAL_S = 5.0
# Gateways that start together are not all registered when the first one lists them.
NAMES_AFTER_S = 5.0
# Assuming too few of them would give each one too large a share, for example before the
# first list.
MIN_GATEWAYS = 3

_log = part_logger("gateway")


class GatewayCount:
    """Number and names of the gateways, from the store and from the agents.

    Args:
        runtime: The process's ``Runtime``.

    Attributes:
        on_count: Function to call with each number from the first list on, as any
            number may run before it.
    """

    __slots__ = ("_are_listed", "_count", "_names", "_runtime", "on_count")

    def __init__(self, runtime):
        self._runtime = runtime
        self._are_listed = False
        self._count = MIN_GATEWAYS
        self._names = frozenset()
        self.on_count = lambda count: None

    @property
    def count(self):
        """Number of gateways that may be running."""
        return self._count

    @property
    def names(self):
        """Names of the gateways; empty before they are known."""
        return self._names

    async def run(self, agent_reports):
        """Counts until cancelled.

        Args:
            agent_reports: The ``AgentReports``; agents see the gateways that have come
                since the last list.
        """
        started_at = self._runtime.now()
        listed_at = float("-inf")
        listed = MIN_GATEWAYS
        while True:
            now = self._runtime.now()
            has_agents = agent_reports.has_enough_agents()
            interval_s = CHECKED_LIST_INTERVAL_S if has_agents else LIST_INTERVAL_S
            if now - listed_at >= interval_s:
                names = await self._list()
                if names is not None:
                    listed = len(names)
                    if now - started_at >= NAMES_AFTER_S:
                        self._names = names
                    self._are_listed = True
                if self._are_listed:
                    listed_at = now
            self._count = max(MIN_GATEWAYS, listed, agent_reports.gateways)
            if self._are_listed:
                self.on_count(self._count)
            await anyio.sleep(COUNT_INTERVAL_S)

    async def _list(self):
        """Returns the names in the store; None if it does not answer."""
        try:
            entries, _ = await self._runtime.store.list(ROUTERS)
        except STORE_ERRORS as error:
            _log.debug("Listing the gateways failed; keeping their number: {}", error)
            return None
        return frozenset(entry.name for entry in entries)
