"""Registry of the handlers of received messages."""


class Handlers:
    """Registry of the handlers of received messages.

    A handler is an async function ``handle(link, message)``. Its result, if not None,
    is the reply to a call. A ``PistachiowellError`` that it raises is sent to the
    caller as a ``Failure``.
    """

    __slots__ = ("_by_class", "_part_listeners", "_quick")

    def __init__(self):
        self._by_class = {}
        self._part_listeners = []
        self._quick = set()

    def on(self, message_class, *, quick=False):
        """Returns a decorator that registers the handler of a message class.

        Args:
            message_class: Class of the message.
            quick: Whether the handler never waits. Its calls are then handled by the
                loop that reads the link, without a task for each call.
        """

        def decorate(function):
            self._by_class[message_class] = function
            if quick:
                self._quick.add(message_class)
            return function

        return decorate

    def is_quick(self, message):
        """Returns whether the handler of a message is registered as quick."""
        return type(message) in self._quick

    def add_part_listener(self, function):
        """Registers a function of a link whose received messages are handled.

        It is called once for all messages that have arrived together.
        """
        self._part_listeners.append(function)

    def end_part(self, link):
        """Calls the listeners after the messages that have arrived together."""
        for listener in self._part_listeners:
            listener(link)

    def find(self, message):
        """Returns the handler of a message, or None."""
        return self._by_class.get(type(message))
