"""Model of ways to bound the requests that a cold server gets.

Run ``python -m pistachiowell.bench.cold_servers`` for the table of
``docs/design/places.md``. Gateways with uneven demand send to one cold server: each in
its own situation, with one or two agents that take themselves for the first, or none.
"""

from dataclasses import dataclass
from random import Random

from pistachiowell.admission import (
    ColdAdmission,
    ColdSettings,
    ColdTurns,
    Incarnation,
    Observation,
    RateLimits,
    RateSettings,
    divide_bound,
)
from pistachiowell.core.registry import Registry

WAYS = Registry("way to bound the requests to a cold server")

SERVER = "s1"
PER_S = 12.0
BOUND = 23
LENGTH_S = 30.0
DEMAND_PER_S = 400.0
WINDOW_S = 1.0
# Share of the gateways that reach the first agent, the second one, and none.
SITUATIONS = {
    "one agent": (1.0, 0.0),
    "two agents": (0.5, 0.5),
    "two agents, some gateways without": (0.4, 0.3),
    "no agent": (0.0, 0.0),
}
CLOCK_DIFFERENCE_S = 0.1


class Way:
    """Base of the ways.

    Args:
        gateways: Number of gateways.
        rng: A ``Random``.
    """

    def __init__(self, gateways, rng):
        self._gateways = gateways
        self._rng = rng

    def admit(self, gateway, agent, now):
        """Returns whether a request of a gateway is sent.

        Args:
            gateway: Number of the gateway.
            agent: Number of the agent that it reaches; None without one.
            now: Present time in seconds.
        """
        raise NotImplementedError


@WAYS.add("as for named limits")
class NamedLimit(Way):
    """An agent saves a second of the rate; without one, each gateway has turns."""

    def __init__(self, gateways, rng):
        super().__init__(gateways, rng)
        self._server = Incarnation(SERVER)
        self._limits = [RateLimits(RateSettings()) for _ in range(2 + gateways)]
        for number, limits in enumerate(self._limits):
            per_s = PER_S if number < 2 else PER_S / gateways
            limits.observe(self._server, Observation(per_s, 0.0), 0.0)

    def admit(self, gateway, agent, now):
        """Returns whether a request is sent; see ``Way``."""
        limits = self._limits[2 + gateway if agent is None else agent]
        return not limits.try_take(self._server, 0, now)


class Divided(Way):
    """Each of two agents has a part, and gateways without one the rest."""

    def __init__(self, gateways, rng, settings):
        super().__init__(gateways, rng)
        self._shares = divide_bound(settings, PER_S)
        self._agents = [ColdAdmission(), ColdAdmission()]
        self._names = {f"gate-{number}" for number in range(gateways)}
        self._turns = [ColdTurns(settings, f"gate-{n}") for n in range(gateways)]
        self._clocks = [
            rng.uniform(-CLOCK_DIFFERENCE_S, CLOCK_DIFFERENCE_S) / 2
            for _ in range(gateways)
        ]

    def admit(self, gateway, agent, now):
        """Returns whether a request is sent; see ``Way``."""
        shares = self._shares
        if agent is not None:
            return not self._agents[agent].try_take(SERVER, shares.agent_per_s, now)
        wall_s = 1_000.0 + now + self._clocks[gateway]
        turns = self._turns[gateway]
        return not turns.try_take(SERVER, shares.gateways_a_turn, self._names, wall_s)


@WAYS.add("divided, nothing for gateways without an agent")
class DividedByTwo(Divided):
    """The two agents have the whole bound."""

    def __init__(self, gateways, rng):
        super().__init__(gateways, rng, ColdSettings(1.5, 5.0, min_turns_bound=1_000))


@WAYS.add("divided, three for gateways without an agent")
class DividedByThree(Divided):
    """The way that is taken."""

    def __init__(self, gateways, rng):
        super().__init__(gateways, rng, ColdSettings(1.5, 5.0))


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a way does in a play.

    Attributes:
        most_in_window: Largest number of requests that were sent within a second.
        per_s: Requests that were sent a second.
    """

    most_in_window: int
    per_s: float


def play(way, situation, gateways, seed=1):
    """Plays a way under a demand of many times the bound.

    Requests leave some time after their admission, those of a slow connection later.

    Args:
        way: Name of the way in ``WAYS``.
        situation: Name in ``SITUATIONS``.
        gateways: Number of gateways.
        seed: Seed of the demand.

    Returns:
        An ``Outcome``.

    Examples:
        >>> name = "divided, three for gateways without an agent"
        >>> play(name, "two agents, some gateways without", 30).most_in_window <= BOUND
        True
    """
    rng = Random(seed)
    model = WAYS.find(way)(gateways, rng)
    first, second = SITUATIONS[situation]
    weights = [1 / (number + 1) for number in range(gateways)]
    places = rng.sample(range(gateways), gateways)
    now, sent = 0.0, []
    while now < LENGTH_S:
        now += rng.expovariate(DEMAND_PER_S)
        gateway = rng.choices(range(gateways), weights)[0]
        share = (places[gateway] + 0.5) / gateways
        agent = 0 if share < first else 1 if share < first + second else None
        if model.admit(gateway, agent, now):
            longest_s = 0.1 if agent is None else 0.2
            sent.append(now + rng.choice((0.002, 0.002, longest_s * rng.random())))
    sent.sort()
    most = max((_count(sent, at) for at in sent), default=0)
    return Outcome(most, len(sent) / LENGTH_S)


def _count(sent, at):
    return sum(at <= time_s <= at + WINDOW_S for time_s in sent)


def main():
    """Prints the table."""
    print("| way | situation | gateways | most in 1 s | requests/s |")
    print("| --- | --- | ---: | ---: | ---: |")
    for way in WAYS:
        for situation in SITUATIONS:
            for gateways in (4, 30, 350):
                got = play(way, situation, gateways)
                print(
                    f"| {way} | {situation} | {gateways} | {got.most_in_window} |"
                    f" {got.per_s:.1f} |"
                )


if __name__ == "__main__":
    main()
