"""Split of the requests of a route between versions by weight."""

from pistachiowell.core.registry import Registry

SPLITTERS = Registry("version split")


@SPLITTERS.add("random")
class RandomSplit:
    """Draws each version at random by its weight; the baseline without a bound.

    Args:
        rng: A ``Random``.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng):
        self._rng = rng

    def choose(self, route, weights):
        """Returns a version name, or None if no weight is positive."""
        positive = {name: weight for name, weight in weights.items() if weight > 0}
        if not positive:
            return None
        return self._rng.choices(list(positive), list(positive.values()))[0]

    def odds(self, route, weights):
        """Returns the probability of each version at the next choice.

        Nothing is chosen, and nothing changes.
        """
        del route
        return weight_shares(weights)


@SPLITTERS.add("smooth")
class SmoothSplit:
    """Smooth weighted round robin with a random phase for each route.

    In any sequence of requests on a route with fixed weights, the count of a version
    exceeds its share by at most the number of versions of the route. The random phase
    prevents many routers from sending to a version with a small weight at once.

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
        positive = {name: weight for name, weight in weights.items() if weight > 0}
        if not positive:
            return None
        if self._weights.get(route) != positive:
            self._weights[route] = positive
            self._credits[route] = self._first_credits(positive)
        return self._next(route, positive)

    def odds(self, route, weights):
        """Returns the probability of each version at the next choice.

        The next version is certain, except before the first choice and after a change
        of the weights, when a random phase is drawn. Nothing is chosen, and nothing
        changes.

        Args:
            route: Name of the route.
            weights: Weight by version name.
        """
        positive = {name: weight for name, weight in weights.items() if weight > 0}
        if not positive or self._weights.get(route) != positive:
            return weight_shares(weights)
        balances = _raised(self._credits[route], positive)
        return {max(balances, key=balances.get): 1.0}

    def _first_credits(self, positive):
        total = sum(positive.values())
        phases = {name: total * self._rng.random() for name in positive}
        mean = sum(phases.values()) / len(phases)
        return {name: phase - mean for name, phase in phases.items()}

    def _next(self, route, positive):
        balances = self._credits[route] = _raised(self._credits[route], positive)
        chosen = max(balances, key=balances.get)
        balances[chosen] -= sum(positive.values())
        return chosen


def _raised(balances, positive):
    """Returns the credits of the versions before the next choice."""
    return {name: balance + positive[name] for name, balance in balances.items()}


def weight_shares(weights):
    """Returns the share of each version with a positive weight.

    Examples:
        >>> weight_shares({"a": 3, "b": 1, "c": 0})
        {'a': 0.75, 'b': 0.25}
    """
    positive = {name: weight for name, weight in weights.items() if weight > 0}
    total = sum(positive.values())
    return {name: weight / total for name, weight in positive.items()}
