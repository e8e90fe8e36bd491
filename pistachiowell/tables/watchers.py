"""Which routers of a data centre watch the store for all the others."""

from pistachiowell.core.ids import stable_hash

WATCHERS_PER_DATA_CENTRE = 2


def ranked(router_ids):
    """Orders the routers of a data centre alike in every process.

    Examples:
        >>> ranked({"r1", "r2"}) == ranked(["r2", "r1"])
        True
    """
    return sorted(set(router_ids), key=lambda name: stable_hash("watcher", name))


def is_watcher(router_id, live_ids, count=WATCHERS_PER_DATA_CENTRE):
    """Tells whether a router watches the store.

    Args:
        router_id: The router itself.
        live_ids: Routers of its data centre that it sees alive.
        count: Number of watchers.

    Examples:
        >>> is_watcher("r1", [])
        True
        >>> names = [f"r{n}" for n in range(9)]
        >>> sum(is_watcher(name, names) for name in names)
        2
    """
    return router_id in ranked([router_id, *live_ids])[:count]
