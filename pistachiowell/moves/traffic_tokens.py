"""What a router may send to the new version of a move."""

from dataclasses import dataclass

TRAFFIC_TOKEN_S = 2.0


@dataclass(frozen=True, slots=True)
class TrafficToken:
    """Time-limited permission for one route.

    A permit ends on the router's own monotonic clock, counted from the sending of
    the report that it answers. So a holder that was paused, cut off or replaced has
    no effect later than ``TRAFFIC_TOKEN_S`` after its last report from that router.

    Attributes:
        move: Name of the move.
        old: The old version.
        new: The new version.
        fence: Fencing number of the holder.
        share: Share of the old version's weight that goes to the new version.
        valid_until: End of the permission.
        probes: Further requests that the router may send to the new version.
    """

    move: str
    old: str
    new: str
    fence: int
    share: float
    valid_until: float
    probes: int = 0

    def is_valid(self, now):
        """Whether the permission still holds."""
        return now < self.valid_until


def version_weights(route, permit, now):
    """Returns the weights of a route's versions.

    Args:
        route: The ``RouteRow``.
        permit: The ``TrafficToken`` of the open move on the route, or None.
        now: Time in seconds.

    Returns:
        A mapping from version name to weight.

    Examples:
        >>> from pistachiowell.schema.generated.table import RouteRow
        >>> route = RouteRow("route", "chat", "model", {"v1": 1.0})
        >>> permit = TrafficToken("m", "v1", "v2", 1, 0.25, valid_until=5.0)
        >>> version_weights(route, permit, 4.0)
        {'v1': 0.75, 'v2': 0.25}
        >>> version_weights(route, permit, 5.0)
        {'v1': 1.0}
    """
    weights = dict(route.weights)
    if permit is None or not permit.is_valid(now):
        return weights
    moved = weights.get(permit.old, 0.0) * permit.share
    if moved > 0:
        weights[permit.old] -= moved
        weights[permit.new] = weights.get(permit.new, 0.0) + moved
    return weights
