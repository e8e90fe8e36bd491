"""State of one request while it is dispatched."""

from pistachiowell.gateway.requests.events import EventReader
from pistachiowell.routing import RETRIES


class Usage:
    """Records what a request has used of the tokens reserved for it.

    Attributes:
        may_have_run: Whether any server may have started to run it.
        events: Number of events received, including an incomplete one.
        has_unstreamed_answer: Whether an answer was received that is no event stream.
        service: Name of the service of the latest attempt; None before its end.
    """

    __slots__ = ("events", "has_unstreamed_answer", "may_have_run", "service")

    def __init__(self):
        self.may_have_run = False
        self.events = 0
        self.has_unstreamed_answer = False
        self.service = None

    def used_tokens(self, request):
        """Returns an upper bound of the tokens that the request has used.

        A request costs nothing if no part of an answer was received, even if a server
        has read its prompt. Without a count of events the whole bound is charged.
        """
        prompt = request.prompt
        if prompt is None or not (self.events or self.has_unstreamed_answer):
            return 0
        engine = request.service.engine
        if engine is None or self.has_unstreamed_answer:
            return prompt.bound_tokens
        output = self.events * engine.tokens_per_event
        return prompt.tokens + min(output, prompt.max_output_tokens)


class Run:
    """One request while it is dispatched.

    Attributes:
        request: The ``GatewayRequest``.
        writer: The ``AnswerWriter``.
        usage: The ``Usage``.
        stop: The ``PlannedStop``.
        events: Reader of the stream, which attempts at several servers may continue.
        retries: Decides whether the request is sent again.
        running: Number of attempts in progress.
        tried: Ids of the servers of earlier attempts.
        avoided: Ids of the servers that the next attempt avoids if there are others.
        latest: Id of the server of the latest attempt; None before.
        service: Name of the service that the next attempt goes to.
    """

    __slots__ = (
        "avoided",
        "events",
        "latest",
        "request",
        "retries",
        "running",
        "service",
        "stop",
        "tried",
        "usage",
        "writer",
    )

    def __init__(self, request, writer, usage, stop):
        self.request = request
        self.writer = writer
        self.usage = usage
        self.stop = stop
        prompt = request.prompt
        self.events = EventReader(prompt.max_output_tokens if prompt else None)
        self.retries = RETRIES.find("by_route")(request.route, request.deadline)
        self.running = 0
        self.tried = set()
        self.avoided = set()
        self.latest = None
        self.service = None

    @property
    def rank(self):
        """Rank of the next attempt; 0 is the most urgent.

        The rest of a stream that the caller has begun to read goes before all else.
        """
        return 0 if self.writer.has_started else self.request.rank

    def check_stop(self, now):
        """Checks, just before the request is sent, that it can end in a planned stop.

        Args:
            now: Present time in seconds.

        Raises:
            StopRefusal: It cannot, and no server has it yet.
        """
        has_begun = self.writer.has_started or self.usage.may_have_run
        if has_begun or self.running > 1:
            return
        request = self.request
        self.stop.check_time(request.route, request.prompt, request.deadline, now)

    def record_start(self, server_id):
        """Records that an attempt goes to a server."""
        self.tried.add(server_id)
        self.avoided.add(server_id)
        self.latest = server_id

    def record_usage(self, exchange):
        """Records what an exchange has used, whatever its end."""
        head, usage, events = exchange.head, self.usage, self.events
        may_have_run = head is None or head.ran
        usage.service = self.service
        usage.may_have_run |= exchange.may_have_arrived and may_have_run
        usage.events = max(usage.events, events.count)
        if events.pending_bytes:
            usage.events = max(usage.events, events.count + 1)
