"""Data centres that operators have evacuated, also over returns of the store.

Load pattern: operators evacuate a data centre while requests to it are on their way,
and while processes are cut off from the store or start. The state arrives from the
store and from several agents, some of which lag behind. The newest one counts, and
until the store has confirmed one nobody can tell where a request may go.
"""

from pistachiowell.admission.evacuation_knowledge import (
    MAX_UNCONFIRMED_S,
    EvacuationKnowledge,
)

# Time for an operator or a program to write again what a return of the store has lost.
RETURN_HOLD_S = 10.0


class Evacuations:
    """The evacuated data centres as this process knows them.

    What the store has lost in a return from an older copy stays in force for
    ``RETURN_HOLD_S``, as the copy says nothing about it. An evacuation that only the
    copy has is in force, as its object exists.

    Args:
        is_used: Whether the deployment has evacuations. Otherwise none is ever in force
            and nothing has to be known.

    Examples:
        >>> evacuations = Evacuations(is_used=True)
        >>> evacuations.is_known
        False
        >>> evacuations.apply({"east"}, (1, 7), 0.0)
        True
        >>> evacuations.confirm(0.0)
        >>> evacuations.is_known, evacuations.apply((), (1, 6), 1.0)
        (True, False)
        >>> evacuations.apply((), (2, 3), 2.0), evacuations.in_force(2.0)
        (True, frozenset({'east'}))
        >>> evacuations.in_force(12.0), evacuations.ended_at("east", 12.0)
        (frozenset(), 12.0)
    """

    __slots__ = (
        "_confirmed_at",
        "_ended_at",
        "_held_until",
        "_is_confirmed",
        "_is_used",
        "_knowledge",
        "_names",
        "_version",
    )

    def __init__(self, is_used):
        self._is_used = is_used
        self._names = frozenset()
        self._version = None
        self._held_until = {}
        self._ended_at = {}
        self._is_confirmed = False
        self._confirmed_at = float("-inf")
        self._knowledge = EvacuationKnowledge()

    @property
    def is_used(self):
        """Whether the deployment has evacuations."""
        return self._is_used

    @property
    def is_known(self):
        """Whether it is known to which data centres requests may be sent."""
        return self._is_confirmed or not self._is_used

    @property
    def names(self):
        """The evacuated data centres as the store holds them."""
        return self._names

    @property
    def version(self):
        """Era and revision of the state; None before the first one."""
        return self._version

    @property
    def knowledge(self):
        """The ``EvacuationKnowledge`` of this process."""
        return self._knowledge

    def in_force(self, now):
        """Returns the names of the data centres that get no requests.

        Args:
            now: Present time in seconds.
        """
        held = (name for name, until in self._held_until.items() if now < until)
        return self._names.union(held)

    def is_evacuated(self, data_centre, now):
        """Returns whether a data centre gets no requests."""
        is_held = now < self._held_until.get(data_centre, now)
        return data_centre in self._names or is_held

    def ended_at(self, data_centre, now):
        """Returns when the last evacuation of a data centre ended.

        Args:
            data_centre: Name of the data centre.
            now: Present time in seconds.

        Returns:
            The time in seconds; None if there was none or it is in force.
        """
        if self.is_evacuated(data_centre, now):
            return None
        return self._latest_end(data_centre)

    def _latest_end(self, data_centre):
        ends = (self._held_until.get(data_centre), self._ended_at.get(data_centre))
        return max((end for end in ends if end is not None), default=None)

    def recent_ends(self, now, within_s):
        """Returns the latest ends of evacuations, the latest first.

        Args:
            now: Present time in seconds.
            within_s: Seconds before now within which they ended.

        Returns:
            A list of ``(data_centre, ended_s)`` with the seconds since the end. They
            are below 0 for what a return of the store has lost and is still in force.
        """
        ends = {}
        for data_centre in self._ended_at.keys() | self._held_until.keys():
            ended_s = now - self._latest_end(data_centre)
            if data_centre not in self._names and ended_s < within_s:
                ends[data_centre] = ended_s
        return sorted(ends.items(), key=lambda item: (item[1], item[0]))

    def record_end(self, data_centre, ended_at, now):
        """Records the end of an evacuation that another process has seen.

        Args:
            data_centre: Name of the data centre.
            ended_at: Time of the end in seconds; after now if it is still in force, as
                a return of the store has lost it.
            now: Present time in seconds.
        """
        if data_centre in self._names:
            return
        ends = self._held_until if ended_at > now else self._ended_at
        ended_at = min(ended_at, now + RETURN_HOLD_S)
        ends[data_centre] = max(ends.get(data_centre, ended_at), ended_at)

    def apply(self, names, version, now):
        """Applies a state unless a newer one is known.

        Args:
            names: Names of the evacuated data centres.
            version: Era and revision.
            now: Present time in seconds.

        Returns:
            Whether other data centres are evacuated than before.
        """
        known = self._version
        if known is not None and version < known:
            return False
        names = frozenset(names)
        is_return = known is not None and version[0] > known[0]
        for name in self._names - names:
            if is_return:
                self._held_until[name] = now + RETURN_HOLD_S
            else:
                self._ended_at[name] = now
        for name in names:
            self._held_until.pop(name, None)
        has_changed = names != self._names
        self._names = names
        self._version = version
        return has_changed

    def confirm(self, now):
        """Records that the store, or an agent that follows it, has confirmed it."""
        self._is_confirmed = True
        self._confirmed_at = now
        self._knowledge.confirm(now)

    def keep_confirmed(self, now):
        """Records that the store has reported each change until now."""
        self._knowledge.keep(now)
        self.confirm(now)

    def require_confirmation(self, now):
        """Records that the store answers again after an outage.

        A process that nobody has told anything meanwhile may have missed an evacuation.
        """
        if now - self._confirmed_at > MAX_UNCONFIRMED_S:
            self._is_confirmed = False
