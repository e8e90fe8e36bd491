"""What gateways and agents follow in the store, and what stands in for it."""

from pistachiowell.gateway.feeds.evacuation_watch import (
    EvacuationWatcher,
    encode_history,
    encode_version,
)
from pistachiowell.gateway.feeds.linked_watch import LinkedWatches
from pistachiowell.gateway.feeds.server_feed import ServerFeed
from pistachiowell.gateway.feeds.store_fallback import StoreFallback
from pistachiowell.gateway.feeds.store_returns import StoreReturns
from pistachiowell.gateway.feeds.watchers import (
    CatalogWatcher,
    MoveOrderWatcher,
    ServerWatcher,
)

__all__ = [
    "CatalogWatcher",
    "EvacuationWatcher",
    "LinkedWatches",
    "MoveOrderWatcher",
    "ServerFeed",
    "ServerWatcher",
    "StoreFallback",
    "StoreReturns",
    "encode_history",
    "encode_version",
]
