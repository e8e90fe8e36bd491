"""Model of ways to share the rate limit of one server between routers.

Run ``python -m pistachiowell.bench.rate_limits`` for the table of
``docs/design/limits.md``. The demand of the routers is uneven: that of the n-th one is
proportional to 1 / n.
"""

from dataclasses import dataclass
from random import Random

from pistachiowell.admission import (
    Incarnation,
    Observation,
    RateLimits,
    RateSettings,
    RateSlots,
)
from pistachiowell.core.registry import Registry

SHARERS = Registry("sharing of a rate limit")

SERVER = Incarnation("s1")
WINDOW_S = 4.0
LENGTH_S = 200.0
DEMAND_FACTOR = 3.0
ROUND_TRIP_S = 0.003
SHARE_INTERVAL_S = 0.5


class Sharer:
    """Base of the ways to share a limit.

    Args:
        per_s: The limit in requests a second.
        routers: Number of routers.
        rng: A ``Random``.

    Attributes:
        messages: Number of messages between routers and agents so far.
    """

    def __init__(self, per_s, routers, rng):
        self._per_s = per_s
        self._routers = routers
        self._rng = rng
        self.messages = 0

    def admit(self, router, now):
        """Returns whether a request of a router is sent."""
        raise NotImplementedError


def _limits(per_s):
    limits = RateLimits(RateSettings())
    limits.observe(SERVER, Observation(per_s, 0.0), 0.0)
    return limits


@SHARERS.add("each alone")
class EachAlone(Sharer):
    """Each router keeps the whole limit for itself; the baseline."""

    def __init__(self, per_s, routers, rng):
        super().__init__(per_s, routers, rng)
        self._limits = [_limits(per_s) for _ in range(routers)]

    def admit(self, router, now):
        """Returns whether a request is sent; see ``Sharer``."""
        return not self._limits[router].try_take(SERVER, 0, now)


@SHARERS.add("turns by the clock")
class Turns(Sharer):
    """Each router has its turns, with demand or without."""

    def __init__(self, per_s, routers, rng):
        super().__init__(per_s, routers, rng)
        settings = RateSettings()
        self._slots = [RateSlots(settings, rng.random()) for _ in range(routers)]

    def admit(self, router, now):
        """Returns whether a request is sent; see ``Sharer``."""
        return not self._slots[router].try_take(self._per_s, self._routers, now)


@SHARERS.add("shares by demand")
class SharesByDemand(Sharer):
    """An agent deals out the whole requests of the next interval by the last demand."""

    def __init__(self, per_s, routers, rng):
        super().__init__(per_s, routers, rng)
        self._demand = [0] * routers
        self._shares = [0] * routers
        self._dealt_at = 0.0
        self._rest = 0.0

    def admit(self, router, now):
        """Returns whether a request is sent; see ``Sharer``."""
        if now - self._dealt_at >= SHARE_INTERVAL_S:
            self._deal(now)
        self._demand[router] += 1
        if not self._shares[router]:
            return False
        self._shares[router] -= 1
        return True

    def _deal(self, now):
        self._rest = min(
            self._rest + self._per_s * (now - self._dealt_at), self._per_s + 1
        )
        self._dealt_at = now
        self._shares = [0] * self._routers
        asking = [n for n, count in enumerate(self._demand) for _ in range(count)]
        self.messages += 2 * sum(count > 0 for count in self._demand)
        for router in self._rng.sample(asking, min(len(asking), int(self._rest))):
            self._shares[router] += 1
            self._rest -= 1
        self._demand = [0] * self._routers


@SHARERS.add("one admits all")
class OneAdmitsAll(Sharer):
    """An agent admits each request; a router that is refused waits as it is told."""

    def __init__(self, per_s, routers, rng):
        super().__init__(per_s, routers, rng)
        self._limits = _limits(per_s)
        self._full_until = [0.0] * routers

    def admit(self, router, now):
        """Returns whether a request is sent; see ``Sharer``."""
        if now < self._full_until[router]:
            return False
        self.messages += 2
        wait_s = self._limits.try_take(SERVER, 0, now + ROUND_TRIP_S / 2)
        self._full_until[router] = now + ROUND_TRIP_S + wait_s if wait_s else now
        return not wait_s


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a way of sharing does in a play.

    Attributes:
        most_in_window: Largest number of requests sent in ``WINDOW_S``.
        served_share: Requests sent by what the limit allows.
        messages_per_s: Messages a second.
    """

    most_in_window: int
    served_share: float
    messages_per_s: float


def play(name, per_s, routers, seed=1):
    """Plays a way of sharing under three times the demand that the limit allows.

    Args:
        name: Name of the way in ``SHARERS``.
        per_s: The limit in requests a second.
        routers: Number of routers.
        seed: Seed of the demand.

    Returns:
        An ``Outcome``.

    Examples:
        >>> play("one admits all", 10.0, 30).served_share > 0.9
        True
    """
    rng = Random(seed)
    sharer = SHARERS.find(name)(per_s, routers, rng)
    weights = [1 / (n + 1) for n in range(routers)]
    now, sent = 0.0, []
    while now < LENGTH_S:
        now += rng.expovariate(DEMAND_FACTOR * per_s)
        router = rng.choices(range(routers), weights)[0]
        if sharer.admit(router, now):
            sent.append(now)
    most = max(sum(a <= t < a + WINDOW_S for t in sent) for a in sent)
    served = len(sent) / (per_s * LENGTH_S)
    return Outcome(most, served, sharer.messages / LENGTH_S)


def main():
    """Prints the table."""
    print("| way | routers | limit | most in 4 s | served / limit | messages/s |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name in SHARERS:
        for routers in (4, 30, 350):
            for per_s in (1.2, 10.0):
                got = play(name, per_s, routers)
                print(
                    f"| {name} | {routers} | {per_s} | {got.most_in_window} |"
                    f" {got.served_share:.2f} | {got.messages_per_s:.1f} |"
                )


if __name__ == "__main__":
    main()
