"""The links that a process has accepted."""

import contextlib

from pistachiowell.core.errors import LinkLost


class LinkSet:
    """The open links from the peers of a process.

    See Also:
        ``pistachiowell.router.fleet.Fleet`` for the links that a process opens itself.
    """

    __slots__ = ("_links", "_listeners")

    def __init__(self):
        self._links = {}
        self._listeners = []

    def __len__(self):
        return len(self._links)

    @property
    def links(self):
        """The open links, the oldest first."""
        return list(self._links)

    @staticmethod
    def incarnation_of(link):
        """Returns the incarnation of the peer at the other end of a link."""
        return link.hello.incarnation

    def add_link_listener(self, function):
        """Registers a function to call with each new link."""
        self._listeners.append(function)

    def add(self, link):
        """Adds a new link until it is closed."""
        self._links[link] = None
        link.add_close_listener(lambda: self._links.pop(link, None))
        for listener in self._listeners:
            listener(link)

    def send_to_some(self, message, count):
        """Sends a message over the open links that were added first.

        Args:
            message: The message.
            count: Number of links at most.
        """
        for link in list(self._links)[:count]:
            with contextlib.suppress(LinkLost):
                link.send(message)

    def broadcast(self, message):
        """Sends a message over all open links."""
        for link in list(self._links):
            with contextlib.suppress(LinkLost):
                link.send(message)
