"""Selection of the routers that watch the store for their data centre.

If every router watched the store, its load would grow with the fleet.
"""

from pistachiowell.core.ids import stable_hash

WATCHERS_PER_DATA_CENTRE = 2


def ranked(router_ids):
    """Returns the routers of a data centre in an order that is equal everywhere.

    Args:
        router_ids: Names of the routers, in any order.

    Examples:
        >>> ranked({"r1", "r2"}) == ranked(["r2", "r1"])
        True
    """
    return sorted(set(router_ids), key=lambda name: stable_hash("watcher", name))


def is_watcher(router_id, live_ids, count=WATCHERS_PER_DATA_CENTRE):
    """Returns whether a router watches the store.

    Args:
        router_id: Name of the router itself.
        live_ids: Names of the routers of its data centre that it knows to be alive.
        count: Number of watchers.

    Examples:
        >>> is_watcher("r1", [])
        True
        >>> names = [f"r{n}" for n in range(9)]
        >>> sum(is_watcher(name, names) for name in names)
        2
    """
    return router_id in ranked([router_id, *live_ids])[:count]
