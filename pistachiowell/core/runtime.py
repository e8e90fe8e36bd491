"""State that all parts of one running process share."""

import dataclasses
import time

from pistachiowell.core.clients import Clients, client_limits
from pistachiowell.core.clock import HybridClock
from pistachiowell.core.events import EventKind, EventRing
from pistachiowell.core.ids import new_id
from pistachiowell.core.metrics import Metrics
from pistachiowell.schema.generated.messages_requests import Hello
from pistachiowell.store.observed import ObservedStore


class Runtime:
    """Identity, clock, events and metrics of one run of a process.

    Args:
        role: ``router`` or ``agent``.
        settings: The program's settings.
        store: The platform's store; see ``pistachiowell.store.Store``.
        clients: The ``Clients`` of the process; None to count them here.

    Attributes:
        tls: The ``LinkTls`` of the links; None without TLS.
        leaving: Whether the process is shutting down and accepts no new work.
        table_revision: Function that returns the revision of the applied table.
    """

    __slots__ = (
        "_clients",
        "_events",
        "_hello",
        "_metrics",
        "_role",
        "_settings",
        "_store",
        "leaving",
        "table_revision",
        "tls",
    )

    def __init__(
        self, role, settings, store, clients=None, *, reads_load_changes=False
    ):
        self._role = role
        self._settings = settings
        clock = HybridClock(time.time_ns)
        self._events = EventRing(settings.id, clock, settings.event_ring_size)
        self._store = ObservedStore(store, self._events)
        store.era.add_listener(self._record_return)
        self._metrics = Metrics()
        self._clients = clients
        self._hello = Hello(
            role=role,
            id=settings.id,
            incarnation=new_id(role),
            data_centre=settings.data_centre,
            reads_load_changes=reads_load_changes,
        )
        self.tls = None
        self.leaving = False
        self.table_revision = lambda: 0
        self._events.add(EventKind.process_started, text=self.incarnation)

    @property
    def role(self):
        """The program's role."""
        return self._role

    @property
    def settings(self):
        """The program's settings."""
        return self._settings

    @property
    def store(self):
        """The platform's store."""
        return self._store

    @property
    def events(self):
        """The ring of the latest events."""
        return self._events

    @property
    def clock(self):
        """The hybrid logical clock."""
        return self._events.clock

    @property
    def metrics(self):
        """The metrics of this process."""
        return self._metrics

    @property
    def clients(self):
        """The connections of clients and strangers."""
        if self._clients is None:
            limits = client_limits(self._settings)
            self._clients = Clients(limits, self._metrics)
        return self._clients

    @property
    def hello(self):
        """The first message on every link."""
        return self._hello

    @property
    def incarnation(self):
        """Unique id of this run."""
        return self._hello.incarnation

    def renew_incarnation(self):
        """Switches to a new incarnation after the old one was fenced.

        The registration of the old one is removed, and agents refuse it for ever.
        """
        self._hello = dataclasses.replace(self._hello, incarnation=new_id(self._role))
        self._events.add(EventKind.process_started, text=self.incarnation)

    def _record_return(self, era):
        self._metrics.count("store.returns")
        self._events.add(EventKind.store_returned, text=str(era))

    @staticmethod
    def now():
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def start_leaving(self):
        """Marks the process as leaving; further calls have no effect."""
        if not self.leaving:
            self.leaving = True
            self._events.add(EventKind.process_leaving)
