"""Decision of a gateway to do the work of agents while there are none.

Load pattern: all agents are lost at once, or a fleet has none from the start. Budgets,
moves and limits then have no owner, and each paid request would be refused although
servers and store are well.
"""

from dataclasses import dataclass

from pistachiowell.core.ids import stable_hash

TOPIC = "deputies"


@dataclass(frozen=True, slots=True)
class DeputySettings:
    """Settings of a ``DeputyRule``.

    Attributes:
        wanted: Number of deputies that are enough.
        patience_s: Seconds without an agent after which the first deputies begin.
        step_s: Seconds after which as many more begin, as the first may be gone.
        return_s: Seconds with an agent after which deputies end.
    """

    wanted: int = 5
    patience_s: float = 3.0
    step_s: float = 2.0
    return_s: float = 5.0


class DeputyRule:
    """Decides whether a gateway is a deputy.

    Gateways rank alike by rendezvous hash. It is a matter of speed only that few of
    them begin at once: agents, deputies among them, may overlap.

    Args:
        settings: ``DeputySettings``.
        name: Id of the gateway.

    Examples:
        >>> rule = DeputyRule(DeputySettings(), "g1")
        >>> rule.update(0, 0, ["g1", "g2"], 0.0), rule.update(0, 0, ["g1", "g2"], 3.0)
        (False, True)
        >>> rule.update(1, 1, ["g1", "g2"], 4.0), rule.update(1, 1, ["g1", "g2"], 9.0)
        (True, False)
    """

    __slots__ = ("_agents_since", "_is_deputy", "_name", "_needed_since", "_settings")

    def __init__(self, settings, name):
        self._settings = settings
        self._name = name
        self._is_deputy = False
        self._needed_since = None
        self._agents_since = None

    @property
    def is_needed(self):
        """Whether there are too few agents and deputies."""
        return self._needed_since is not None

    def update(self, agents, deputies, gateways, now):
        """Returns whether the gateway is a deputy from now on.

        Args:
            agents: Number of usable agents that are no deputies.
            deputies: Number of usable deputies.
            gateways: Ids of the registered gateways; None if the store does not
                answer, and a deputy could not work either.
            now: Present time in seconds.
        """
        if not agents:
            self._agents_since = None
        elif self._agents_since is None:
            self._agents_since = now
        if agents or deputies >= self._settings.wanted:
            self._needed_since = None
        elif self._needed_since is None:
            self._needed_since = now
        if self._is_deputy:
            self._is_deputy = not self._has_stable_agents(now)
        else:
            self._is_deputy = gateways is not None and self._is_next(gateways, now)
        return self._is_deputy

    def _has_stable_agents(self, now):
        since = self._agents_since
        return since is not None and now - since >= self._settings.return_s

    def _is_next(self, gateways, now):
        settings = self._settings
        if self._needed_since is None:
            return False
        waited_s = now - self._needed_since - settings.patience_s
        if waited_s < 0:
            return False
        rounds = 1 + int(waited_s / settings.step_s)
        ranking = sorted(gateways, key=lambda name: (stable_hash(TOPIC, name), name))
        return self._name in ranking[: rounds * settings.wanted]
