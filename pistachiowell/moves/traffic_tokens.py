"""Time-limited traffic tokens: what a router may send to the new version of a move."""

from dataclasses import dataclass

TRAFFIC_TOKEN_S = 2.0


@dataclass(frozen=True, slots=True)
class TrafficToken:
    """Time-limited permission to send a share of one route to the new version.

    A token expires on the router's own monotonic clock, counted from the time at which
    the router sent the report that the token answers. So a holder that was paused, cut
    off or replaced affects a router for at most ``TRAFFIC_TOKEN_S`` after that router's
    last report to it; without the limit, a router could go on sending requests to a
    version that another holder has already rolled back.

    Attributes:
        move: Name of the move.
        old: The old version.
        new: The new version.
        fence: Fencing number of the holder.
        share: Share of the old version's weight that goes to the new version.
        valid_until: Time of expiry in seconds, on the router's monotonic clock.
        probes: Requests beyond the share that the router may send to the new version.
    """

    move: str
    old: str
    new: str
    fence: int
    share: float
    valid_until: float
    probes: int = 0

    def is_valid(self, now):
        """Returns whether the token has not expired."""
        return now < self.valid_until


def version_weights(route, traffic_token, now):
    """Returns the weights of a route's versions.

    Without a valid token the weights of the route apply unchanged, so the new version
    of an open move gets nothing.

    Args:
        route: The ``RouteRow``.
        traffic_token: The ``TrafficToken`` of the open move on the route, or None.
        now: Time in seconds.

    Returns:
        A mapping from version name to weight.

    Examples:
        >>> from pistachiowell.schema.generated.table import RouteRow
        >>> route = RouteRow("route", "chat", "model", {"v1": 1.0})
        >>> token = TrafficToken("m", "v1", "v2", 1, 0.25, valid_until=5.0)
        >>> version_weights(route, token, 4.0)
        {'v1': 0.75, 'v2': 0.25}
        >>> version_weights(route, token, 5.0)
        {'v1': 1.0}
    """
    weights = dict(route.weights)
    if traffic_token is None or not traffic_token.is_valid(now):
        return weights
    moved = weights.get(traffic_token.old, 0.0) * traffic_token.share
    if moved > 0:
        weights[traffic_token.old] -= moved
        weights[traffic_token.new] = weights.get(traffic_token.new, 0.0) + moved
    return weights
