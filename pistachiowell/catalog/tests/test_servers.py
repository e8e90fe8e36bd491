"""Registered servers across outages and reuse of addresses.

Guards against the removal of running servers whose registrations expired during an
outage of the store, and against work for a server whose address was used again.
"""

import pytest

from pistachiowell.catalog import BackendServer, ServerRegistry


def server(name, port=80, **fields):
    return BackendServer(name, "desk", "10.0.0.1", port, "east", **fields)


@pytest.fixture
def registry():
    registry = ServerRegistry(grace_s=2.0)
    registry.replace({"a": server("a", 1), "b": server("b", 2)}, 0.0)
    return registry


def names(registry, now):
    return sorted(s.id for s in registry.available_servers("desk", now))


def test_missing_server_is_gone_at_once(registry):
    registry.replace({"b": server("b", 2)}, 1.0)
    assert names(registry, 1.0) == ["b"]


def test_missing_server_is_kept_for_the_grace_after_an_outage(registry):
    registry.record_outage_end(10.0)
    registry.replace({}, 10.0)
    assert names(registry, 11.9) == ["a", "b"]
    assert names(registry, 12.0) == []


def test_server_that_comes_back_leaving_gets_no_work(registry):
    registry.record_outage_end(10.0)
    registry.replace({}, 10.0)
    registry.replace({"a": server("a", 1, is_leaving=True)}, 10.5)
    assert names(registry, 10.6) == ["b"]


def test_younger_registration_takes_the_address(registry):
    registry.replace(
        {"a": server("a", 1, started_ms=5), "c": server("c", 1, started_ms=9)}, 1.0
    )
    assert names(registry, 1.0) == ["c"]
