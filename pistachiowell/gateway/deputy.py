"""The part of an agent that a gateway runs while no agent is to be had."""

import anyio

from pistachiowell.core.errors import STORE_ERRORS
from pistachiowell.core.logs import part_logger
from pistachiowell.gateway.agent import GatewayAgent
from pistachiowell.membership import DeputyRule, DeputySettings
from pistachiowell.router.fleet import ROUTERS
from pistachiowell.schema.generated.settings import GatewayAgentSettings

CHECK_INTERVAL_S = 0.25
LIST_INTERVAL_S = 1.0
CLOSE_TIMEOUT_S = 0.5
RETRY_DELAY_S = 2.0

_log = part_logger("deputy")


class Deputy:
    """Runs a ``GatewayAgent`` in a gateway while the ``DeputyRule`` says so.

    It registers like an agent, and the gateways use it like one: with grants of its
    own, so that nothing is given twice while agents and deputies overlap.

    Args:
        runtime: The gateway's ``Runtime``.
        fleet: The ``Fleet`` with the agents.
        closed: The ``ClosedServers`` of the gateway.
        adapter: See ``Gateway``; ``make_store`` opens a store of the deputy's own.
    """

    __slots__ = (
        "_adapter",
        "_closed",
        "_fleet",
        "_gateways",
        "_leaving",
        "_listed_at",
        "_rule",
        "_runtime",
        "_stop",
    )

    def __init__(self, runtime, fleet, closed, adapter):
        self._runtime = runtime
        self._fleet = fleet
        self._adapter = adapter
        self._closed = closed
        self._rule = DeputyRule(DeputySettings(), runtime.settings.id)
        self._gateways = None
        self._listed_at = float("-inf")
        self._leaving = False
        self._stop = None
        runtime.metrics.watch("agents.deputy", lambda: int(self.is_running))

    @property
    def is_running(self):
        """Whether this gateway runs an agent's part."""
        return self._stop is not None

    def leave(self):
        """Ends the part for good, as the gateway stops."""
        self._leaving = True
        if self._stop is not None:
            self._stop.set()

    async def run(self):
        """Begins and ends the part as needed until cancelled."""
        async with anyio.create_task_group() as group:
            while not self._leaving:
                await anyio.sleep(CHECK_INTERVAL_S)
                await self._check(group)
            await anyio.sleep_forever()

    async def _check(self, group):
        if self._rule.is_needed:
            await self._list_gateways()
        usable = [peer.record for peer in self._fleet.agents.values() if peer.usable]
        deputies = sum(record.is_deputy for record in usable)
        should_run = self._rule.update(
            len(usable) - deputies, deputies, self._gateways, self._runtime.now()
        )
        if self._leaving:
            return
        if should_run and self._stop is None:
            self._stop = anyio.Event()
            group.start_soon(self._run_agent, self._stop)
        elif not should_run and self._stop is not None:
            self._stop.set()

    async def _list_gateways(self):
        now = self._runtime.now()
        if now - self._listed_at < LIST_INTERVAL_S:
            return
        self._listed_at = now
        self._gateways = None
        try:
            entries, _ = await self._runtime.store.list(ROUTERS)
        except STORE_ERRORS as error:
            _log.debug("Listing the gateways failed: {}", error)
        else:
            self._gateways = [entry.name for entry in entries]

    async def _run_agent(self, stop):
        _log.warning("No agent is to be had; this gateway does its work.")
        settings = self._agent_settings()
        store = self._adapter.make_store(settings.store_address)
        try:
            agent = GatewayAgent(
                settings,
                store,
                self._adapter,
                is_deputy=True,
                closed=self._closed,
                clients=self._runtime.clients,
            )
            await agent.run(stop.wait)
            _log.info("This gateway no longer does the work of an agent.")
        except Exception:
            # Requests of this gateway must go on, such as those without a budget.
            _log.exception("The part of an agent failed; it is tried again.")
            await anyio.sleep(RETRY_DELAY_S)
        finally:
            self._stop = None
            with (
                anyio.CancelScope(shield=True),
                anyio.move_on_after(CLOSE_TIMEOUT_S),
            ):
                await store.aclose()

    def _agent_settings(self):
        settings = self._runtime.settings
        return GatewayAgentSettings(
            id=f"{settings.id}-deputy",
            region=settings.region,
            data_centre=settings.data_centre,
            host=settings.peer_host,
            port=settings.peer_port,
            advertised_port=settings.advertised_port,
            store_address=settings.store_address,
            log_level=settings.log_level,
            event_ring_size=settings.event_ring_size,
            budget_pages=settings.budget_pages,
            budget_horizon_s=settings.budget_horizon_s,
            report_interval_s=settings.report_interval_s,
            exposure_share=settings.exposure_share,
            exposure_slack=settings.exposure_slack,
            evacuation_ms=settings.evacuation_ms,
            regions=settings.regions,
            cold_overshoot=settings.cold_overshoot,
            cold_extra=settings.cold_extra,
            follows_moves=settings.follows_moves,
        )
