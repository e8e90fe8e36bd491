"""Guards against a process that never hears that the store has returned."""

from types import SimpleNamespace

from pistachiowell.core.metrics import Metrics
from pistachiowell.gateway.feeds.store_returns import StoreReturns
from pistachiowell.schema.generated.messages_budgets import StoreReturned
from pistachiowell.store.era import StoreEra
from pistachiowell.wire import AcknowledgedReports, Handlers, LinkSet
from pistachiowell.wire.tests.lossy_links import LossyLink


def test_return_of_the_store_is_lost_with_the_link_that_has_queued_it():
    runtime = SimpleNamespace(
        now=lambda: 1.0, metrics=Metrics(), store=SimpleNamespace(era=StoreEra())
    )
    links = LinkSet()
    StoreReturns(runtime, AcknowledgedReports(runtime, links, Handlers()))
    lost, link = LossyLink("gateway-1"), LossyLink("gateway-1")
    links.add(lost)
    era = runtime.store.era
    assert [era.record(number) for number in (1, 2)] == [True, True]
    lost.lose()
    # One comes while the gateway has no link; only the latest matters.
    assert era.record(3)
    links.add(link)
    assert [report.era for report in lost.sent] == [2]
    assert link.sent == [StoreReturned(3, number=2)]
