"""Split of a route's requests over versions by their weights."""

from pistachiowell.core.registry import Registry

SPLITTERS = Registry("version split")


@SPLITTERS.add("random")
class RandomSplit:
    """Draws each version by its weight; the naive baseline.

    Args:
        rng: A ``Random``.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng):
        self._rng = rng

    def choose(self, route, weights):
        """Returns a version name, or None if no weight is positive."""
        live = {name: weight for name, weight in weights.items() if weight > 0}
        if not live:
            return None
        return self._rng.choices(list(live), list(live.values()))[0]


@SPLITTERS.add("smooth")
class SmoothSplit:
    """Smooth weighted round robin with a random phase for each route.

    In any run of requests on a route with fixed weights, the count of a version
    passes its share by at most the number of the route's versions. The random phase
    keeps many routers from sending to a small version at once.

    Args:
        rng: A ``Random``.

    Examples:
        >>> from pistachiowell.core.rng import Random
        >>> split = SmoothSplit(Random(1))
        >>> sent = [split.choose("r", {"a": 3, "b": 1}) for _ in range(8)]
        >>> sent.count("b")
        2
    """

    __slots__ = ("_credits", "_rng", "_weights")

    def __init__(self, rng):
        self._rng = rng
        self._credits = {}
        self._weights = {}

    def choose(self, route, weights):
        """Returns a version name, or None if no weight is positive."""
        live = {name: weight for name, weight in weights.items() if weight > 0}
        if not live:
            return None
        if self._weights.get(route) != live:
            self._weights[route] = live
            self._credits[route] = self._first_credits(live)
        return self._next(route, live)

    def _first_credits(self, live):
        total = sum(live.values())
        draws = {name: total * self._rng.random() for name in live}
        mean = sum(draws.values()) / len(draws)
        return {name: draw - mean for name, draw in draws.items()}

    def _next(self, route, live):
        balances = self._credits[route]
        for name, weight in live.items():
            balances[name] += weight
        chosen = max(balances, key=balances.get)
        balances[chosen] -= sum(live.values())
        return chosen
