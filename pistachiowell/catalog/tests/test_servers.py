"""Servers through outages and reuse of addresses."""

import pytest

from pistachiowell.catalog import BackendServer, ServerRegistry


def server(name, port=80, **fields):
    return BackendServer(name, "desk", "10.0.0.1", port, "east", **fields)


@pytest.fixture
def book():
    book = ServerRegistry(grace_s=2.0)
    book.replace({"a": server("a", 1), "b": server("b", 2)}, 0.0)
    return book


def names(book, now):
    return sorted(s.id for s in book.available_servers("desk", now))


def test_missing_server_is_gone_at_once(book):
    book.replace({"b": server("b", 2)}, 1.0)
    assert names(book, 1.0) == ["b"]


def test_missing_server_is_kept_for_the_grace_after_an_outage(book):
    book.record_outage_end(10.0)
    book.replace({}, 10.0)
    assert names(book, 11.9) == ["a", "b"]
    assert names(book, 12.0) == []


def test_server_that_comes_back_leaving_gets_no_work(book):
    book.record_outage_end(10.0)
    book.replace({}, 10.0)
    book.replace({"a": server("a", 1, is_leaving=True)}, 10.5)
    assert names(book, 10.6) == ["b"]


def test_younger_registration_takes_the_address(book):
    book.replace(
        {"a": server("a", 1, started_ms=5), "c": server("c", 1, started_ms=9)}, 1.0
    )
    assert names(book, 1.0) == ["c"]
