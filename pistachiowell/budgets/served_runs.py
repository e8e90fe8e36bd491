"""Which gateway runs an agent may reserve tokens for.

Load pattern: an agent with grants is killed while its gateways go on. Its next run can
recover what they have not used only if it knows all gateways that may have used it. An
agent therefore writes a list of gateway runs to the store and reserves only for those.
"""

from pistachiowell.schema.generated.objects_budgets import HolderRun, ServedRuns

COLLECTION = "servedruns"
# A gateway that is cut off for some seconds stays listed. It could not be listed again
# while the store is away, and would be refused until then.
UNLINKED_S = 10.0
MAX_LOST_RUNS = 8


class RunList:
    """Keeps the list of gateway runs of one run of an agent.

    The driver writes what ``plan`` returns, on the condition that the object still has
    the version that was read, and calls ``confirm`` once the write has taken effect.

    Args:
        holder: The ``GrantHolder``.

    Examples:
        >>> from pistachiowell.budgets.holder import GrantHolder
        >>> runs = RunList(GrantHolder("agent-1", 1))
        >>> runs.request("gate-1")
        >>> planned = runs.plan(0, [])
        >>> runs.is_listed("gate-1")
        False
        >>> runs.confirm(planned)
        >>> runs.is_listed("gate-1")
        True
    """

    __slots__ = (
        "_earlier",
        "_first_read",
        "_holder",
        "_ids",
        "_is_replaced",
        "_listed",
        "_listed_before",
        "_unlinked_at",
        "_wanted",
        "_written",
    )

    def __init__(self, holder):
        self._holder = holder
        self._wanted = {}
        self._ids = {}
        self._listed = self._listed_before = frozenset()
        self._written = None
        self._first_read = None
        self._unlinked_at = {}
        self._earlier = []
        self._is_replaced = False

    @property
    def is_replaced(self):
        """Whether a newer run of the agent has replaced the list; it lists no more."""
        return self._is_replaced

    def is_listed(self, run):
        """Returns whether tokens may be reserved for a gateway run."""
        return run in self._listed

    def request(self, run):
        """Has a gateway run listed by the next write."""
        self._wanted[run] = None

    def observe_links(self, linked, now):
        """Records which gateway runs are linked, and leaves out those that have ended.

        The next list lacks runs that have been without a link for ``UNLINKED_S``, or
        that a newer run of the same gateway has replaced.

        Args:
            linked: Mapping of the incarnations of the linked gateways to their ids.
            now: Time in seconds.
        """
        self._ids.update(linked)
        unlinked = self._wanted.keys() - linked.keys()
        self._unlinked_at = {r: self._unlinked_at.get(r, now) for r in unlinked}
        reserving, linked_ids = self._holder.reserving_routers(), set(linked.values())
        for run, since in self._unlinked_at.items():
            is_replaced = self._ids.get(run) in linked_ids
            if run not in reserving and (is_replaced or now - since >= UNLINKED_S):
                del self._wanted[run]
                self._ids.pop(run, None)

    def is_due(self, era):
        """Returns whether the list has to be written.

        Args:
            era: Number of the store's era.
        """
        if self._is_replaced:
            return False
        if self._written is None:
            return bool(self._wanted or self._earlier)
        is_changed = self._wanted.keys() != set(self._written.gateways)
        is_withheld = not self._wanted.keys() <= self._listed
        return is_changed or is_withheld or self._written.era != era

    def plan(self, era, lost):
        """Returns the ``ServedRuns`` to write.

        A run with open reservations stays listed. The use of the others is known here
        and written with the list; nothing is reserved for them from now on.

        Args:
            era: Number of the store's era for which it is written.
            lost: ``HolderRun`` of the earlier runs that are recovered.
        """
        for run in self._holder.reserving_routers() & self._listed:
            self._wanted[run] = None
        self._listed_before = self._listed
        self._listed &= self._wanted.keys()
        used = self._holder.used_by_others(self._wanted.keys())
        current = HolderRun(self._holder.incarnation, era, list(self._wanted), used)
        known = {run.holder for run in lost}
        earlier = [run for run in self._earlier if run.holder not in known]
        return ServedRuns(current, [*lost, *earlier][-MAX_LOST_RUNS:])

    def withdraw(self):
        """Records that the write of the last plan surely had no effect."""
        self._listed = self._listed_before

    def confirm(self, written):
        """Records that a planned ``ServedRuns`` is in the store.

        Only now no earlier run can list any more gateways.
        """
        self._written = written.current
        self._listed = frozenset(written.current.gateways)
        self._earlier = []

    def observe(self, stored, era):
        """Records what the store holds before a write.

        Lists of another era are left out, as they may lack gateways.

        Args:
            stored: The ``ServedRuns``; None if there is none.
            era: Number of the store's era.
        """
        self._earlier = []
        holder = stored.current.holder if stored is not None else None
        if self._first_read is None or self._first_read[0] != era:
            self._first_read = (era, holder)
        is_own = holder == self._holder.incarnation
        has_own = self._written is not None and self._written.era == era
        if not is_own and (has_own or holder != self._first_read[1]):
            self._is_replaced = True
        if stored is None or self._is_replaced:
            return
        earlier = stored.lost if is_own else [*stored.lost, stored.current]
        self._earlier = [run for run in earlier if run.era == era]
