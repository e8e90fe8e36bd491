"""Tells, at an agent, all gateways which servers have said that they are cold.

Load pattern: a server becomes cold again while some gateways are cut off from the
store, or a health check shows it first. All servers of a data centre may say it
together, so what comes within a moment is told as one.
"""

import anyio

from pistachiowell.gateway.servers.cold_servers import encode_cold, shorten_cold
from pistachiowell.schema.generated.messages_gateway import ServersCold

MERGE_S = 0.1


class ColdReports:
    """Tells the gateways what the agent has read, heard and been told.

    Args:
        runtime: The process's ``Runtime``.
        reports: The ``AcknowledgedReports`` to and from the gateways.
        cold: The ``ColdServers``.
    """

    __slots__ = ("_cold", "_has_news", "_reports", "_runtime", "_until")

    def __init__(self, runtime, reports, cold):
        self._runtime = runtime
        self._reports = reports
        self._cold = cold
        self._has_news = anyio.Event()
        self._until = {}
        cold.on_news = self._record
        reports.on(ServersCold)(self._handle)

    async def run(self):
        """Tells the gateways until cancelled."""
        while True:
            await self._has_news.wait()
            await anyio.sleep(MERGE_S)
            self._has_news = anyio.Event()
            now, until = self._runtime.now(), self._until
            self._until = {}
            times = {i: max(0.0, end - now) for i, end in until.items()}
            self._reports.broadcast(encode_cold(times), renew=shorten_cold)

    def _record(self, incarnation, left_s):
        self._until[incarnation] = self._runtime.now() + left_s
        self._has_news.set()

    async def _handle(self, link, message):
        del link
        self._cold.record_told(message)
