"""Fixtures that the tests of real processes share."""

from contextlib import asynccontextmanager

import anyio
import pytest

from pistachiowell.soak.fleet import Fleet


@pytest.fixture
def start_fleet(tmp_path, free_port):
    """Returns an async context manager that yields a ``Fleet``.

    It starts the gateway ``gate-1``, the agent ``agent-1`` and the backend servers that
    are given as tuples of id, service and script.
    """

    @asynccontextmanager
    async def start(configuration, servers, gateway_settings=None):
        async with anyio.create_task_group() as group:
            fleet = Fleet(group, tmp_path, free_port, gateway_settings)
            try:
                await fleet.start_store()
                fleet.store.put("config", "main", configuration)
                for server in servers:
                    await fleet.add_server(*server)
                await fleet.add_agent("agent-1")
                await fleet.add_gateway("gate-1")
                await fleet.wait_until_registered(2)
                yield fleet
            finally:
                fleet.stop()
                group.cancel_scope.cancel()

    return start
