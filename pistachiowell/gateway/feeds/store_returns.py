"""Tells peers that the store has returned from an older copy.

A process learns of a return by an answer of the store, and some have to wait for their
next one. As holders of grants have to write again what was lost, all learn it from the
first, also one that has no link just then.
"""

from pistachiowell.schema.generated.messages_budgets import StoreReturned


class StoreReturns:
    """Passes a return of the store on, once for each era.

    Args:
        runtime: The process's ``Runtime``.
        reports: The ``AcknowledgedReports`` to and from the peers.
    """

    __slots__ = ("_reports", "_runtime")

    def __init__(self, runtime, reports):
        self._runtime = runtime
        self._reports = reports
        runtime.store.era.add_listener(self._tell)
        reports.on(StoreReturned)(self._handle)

    def _tell(self, number):
        self._reports.broadcast(StoreReturned(number), key=StoreReturned)

    async def _handle(self, link, message):
        del link
        self._runtime.store.era.record(message.era)
