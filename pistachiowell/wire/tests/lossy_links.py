"""Links of tests that keep what is sent, so that a test can lose it."""

from types import SimpleNamespace


class LossyLink:
    """One end of a link.

    Args:
        peer: Incarnation of the process at the other end.

    Attributes:
        hello: Stands for the ``Hello`` of that process.
        sent: The messages that are queued.
    """

    def __init__(self, peer):
        self.hello = SimpleNamespace(role="router", id=peer, incarnation=peer)
        self.closed = False
        self.sent = []
        self._listeners = []

    def add_close_listener(self, function):
        """Registers a function to call when the link is lost."""
        self._listeners.append(function)

    def send(self, message):
        """Queues a message."""
        self.sent.append(message)

    def lose(self):
        """Loses the link with all that it has queued."""
        self.closed = True
        for listener in self._listeners:
            listener()
