"""Handlers that every process has: liveness, status and events."""

import dataclasses

from pistachiowell.schema.generated.messages_control import (
    EventsQuery,
    EventsReport,
    StatusQuery,
    StatusReport,
)
from pistachiowell.schema.generated.messages_requests import Ping, Pong


def register_status_handlers(handlers, runtime):
    """Registers the handlers of ``Ping``, ``StatusQuery`` and ``EventsQuery``.

    Args:
        handlers: A ``Handlers``.
        runtime: The process's ``Runtime``.
    """

    @handlers.on(Ping, quick=True)
    async def answer_ping(link, message):
        return Pong(table_revision=runtime.table_revision(), leaving=runtime.leaving)

    @handlers.on(StatusQuery, quick=True)
    async def answer_status(link, message):
        return status_report(runtime)

    @handlers.on(EventsQuery)
    async def answer_events(link, message):
        events = runtime.events.latest(
            message.limit, lambda e: _matches_query(e, message)
        )
        return EventsReport(events=[dataclasses.asdict(event) for event in events])


def _matches_query(event, query):
    return (
        query.request in ("", event.request)
        and query.account in ("", event.account)
        and query.move in ("", event.move)
        and query.text in event.text
    )


def status_report(runtime):
    """Returns the ``StatusReport`` of this process.

    Args:
        runtime: The process's ``Runtime``.
    """
    return StatusReport(
        id=runtime.settings.id,
        role=runtime.role,
        incarnation=runtime.incarnation,
        data_centre=runtime.settings.data_centre,
        table_revision=runtime.table_revision(),
        leaving=runtime.leaving,
        values=runtime.metrics.values,
    )
