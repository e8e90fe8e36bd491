"""Sends reports to all peers until they have acknowledged them."""

from dataclasses import replace

from pistachiowell.core.errors import LinkLost
from pistachiowell.core.logs import part_logger
from pistachiowell.schema.generated.messages_requests import ReportsTaken, Role
from pistachiowell.wire.outbox import Inbox, Outbox

_log = part_logger("wire")


class AcknowledgedReports:
    """Tells all peers what each of them has to learn once, also over lost links.

    A report is a message with a ``number``. It is sent over the open links at once, and
    again over each new link of a peer that has not acknowledged it. The receiver
    applies it once, and acknowledges together what has arrived together. Peers of an
    earlier version ignore the number and acknowledge nothing; they get the reports of
    the last ``KEPT_S`` again with each link.

    Args:
        runtime: The process's ``Runtime``.
        peers: The ``LinkSet`` or ``Fleet`` with the links to the peers.
        handlers: Handlers of the links; this registers its own.
    """

    __slots__ = (
        "_dropped",
        "_handlers",
        "_inbox",
        "_links",
        "_outbox",
        "_peers",
        "_runtime",
        "_unacknowledged",
    )

    def __init__(self, runtime, peers, handlers):
        self._runtime = runtime
        self._peers = peers
        self._handlers = handlers
        self._inbox = Inbox()
        self._outbox = Outbox()
        self._dropped = 0
        self._links = {}
        self._unacknowledged = set()
        runtime.metrics.watch("reports.kept", lambda: len(self._outbox))
        runtime.metrics.watch("reports.dropped", lambda: self._outbox.dropped)
        peers.add_link_listener(self._add_link)
        handlers.on(ReportsTaken, quick=True)(self._handle_taken)
        handlers.add_part_listener(self._acknowledge)

    def broadcast(self, message, key=None, renew=None, links=None):
        """Sends a report to all peers.

        Args:
            message: The report, a message with a ``number``.
            key: What it tells about; it replaces a kept report with the same key.
            renew: Function of the report and its age in seconds that returns the report
                as it is to be sent then, or None if it no longer matters.
            links: Links of the peers that are to get it; None for all peers.
        """
        recipients = None if links is None else map(self._peers.incarnation_of, links)
        now = self._runtime.now()
        number = self._outbox.add((message, renew), now, key, recipients)
        self._log_dropped()
        message = replace(message, number=number)
        for link in list(self._links.values()) if links is None else links:
            self._send(link, [message])

    def on(self, message_class):
        """Returns a decorator that registers the handler of a class of reports.

        Args:
            message_class: Class of the report. The handler must not wait; it gets the
                report without its number, so it may pass it on.
        """

        def decorate(function):
            async def handle(link, message):
                sender = link.hello.incarnation if link.hello is not None else ""
                if self._inbox.take(sender, message.number):
                    await function(link, replace(message, number=0))
                if message.number:
                    self._unacknowledged.add(link)

            self._handlers.on(message_class, quick=True)(handle)
            return function

        return decorate

    def _acknowledge(self, link):
        if link in self._unacknowledged:
            self._unacknowledged.discard(link)
            number = self._inbox.last(link.hello.incarnation)
            self._send(link, [ReportsTaken(number)])

    def _add_link(self, link):
        if link.hello is not None and link.hello.role == Role.ctl:
            return
        peer = self._peers.incarnation_of(link)
        self._links[peer] = link
        link.add_close_listener(lambda: self._remove_link(peer, link))
        self._outbox.connect(peer)
        now = self._runtime.now()
        self._send(link, [_renewed(kept, now) for kept in self._outbox.pending(peer)])

    def _remove_link(self, peer, link):
        if self._links.get(peer) is link:
            del self._links[peer]
            self._outbox.disconnect(peer, self._runtime.now())
            self._log_dropped()

    async def _handle_taken(self, link, message):
        self._outbox.acknowledge(self._peers.incarnation_of(link), message.number)

    def _send(self, link, messages):
        try:
            for message in messages:
                if message is not None:
                    link.send(message)
        except LinkLost as error:
            _log.debug("A report waits for the next link of its peer: {}", error)

    def _log_dropped(self):
        count = self._outbox.dropped - self._dropped
        if count:
            self._dropped = self._outbox.dropped
            _log.warning(
                "Reports were dropped before all peers had them.", reports=count
            )


def _renewed(kept, now):
    """Returns the message of a ``KeptReport`` as it is to be sent now, or None."""
    message, renew = kept.report
    if renew is not None:
        message = renew(message, now - kept.at)
    return replace(message, number=kept.number) if message is not None else None
