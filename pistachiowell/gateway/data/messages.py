"""Requests and answers inside the gateway, independent of the platform's headers."""

from dataclasses import dataclass

EVENT_STREAM = b"text/event-stream"


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size and parts of a request's prompt, as the request announces them.

    Attributes:
        tokens: Number of tokens of the whole prompt.
        max_output_tokens: Upper bound of the tokens of the answer.
        parts: Pairs of id and number of tokens. Parts with the same id have the same
            content if all parts before them are the same too.

    Examples:
        >>> Prompt(100, 20, ()).bound_tokens
        120
    """

    tokens: int
    max_output_tokens: int
    parts: tuple

    @property
    def bound_tokens(self):
        """Upper bound of the tokens that the request can cost."""
        return self.tokens + self.max_output_tokens


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a caller's request.

    Attributes:
        request_id: The caller's id of this request; empty if it has sent none.
        method: HTTP method.
        target: Path and query as sent.
        host: Value of the Host header.
        path: Path without the query.
        api_key: The caller's key; empty if it has sent none.
        wait_limit_s: Seconds that the caller waits; None if the request does not say.
        prompt: The ``Prompt``; None for a request without one.
        last_event_id: Id of the event after which the caller wants its stream to
            continue; empty to start with the first one.
        body_bytes: Announced size of the body; 0 if it is not announced.
        headers: Pairs of bytes that are forwarded unchanged to a backend server.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    api_key: str
    wait_limit_s: float | None
    prompt: Prompt | None
    last_event_id: str
    body_bytes: int
    headers: list


def request_rank(account, route):
    """Returns the rank of a request; 0 is the most urgent.

    Args:
        account: Its ``Account``, whose rank takes precedence; None on a public route.
        route: Its ``Route``.
    """
    if account is not None and account.rank is not None:
        return account.rank
    return route.rank


@dataclass(frozen=True, slots=True)
class GatewayRequest:
    """A validated request.

    Attributes:
        head: The ``RequestHead``.
        body: The complete body.
        route: Its ``Route``.
        service: The ``Service`` that answers.
        account: Its ``Account``; None on a public route.
        received_at: Time at which its head was read, in seconds.
        deadline: Time by which the answer must be complete, as the caller then leaves.
        fingerprint: Hash that is the same each time the caller sends this request.
        part_names: Names of the shared parts of its prompt; see ``part_names``.
        read_at: Time at which its body was complete, in seconds.
        bound_s: Seconds that it may last, by which it was begun in a planned stop; None
            before one.
    """

    head: RequestHead
    body: bytes
    route: object
    service: object
    account: object
    received_at: float
    deadline: float
    fingerprint: str
    part_names: tuple = ()
    read_at: float = 0.0
    bound_s: float | None = None

    @property
    def id(self):
        """The caller's id of the request."""
        return self.head.request_id

    @property
    def rank(self):
        """Rank of the request; 0 is the most urgent."""
        return request_rank(self.account, self.route)

    @property
    def prompt(self):
        """The ``Prompt``, or None."""
        return self.head.prompt


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a backend server's answer.

    Attributes:
        status: HTTP status.
        request_id: Id of the request that the server echoes; that of no request if it
            names more than one.
        is_signed: Whether the server has signed the answer.
        ran: Whether the request may have run; False only if the server reports that
            it has not, and nothing else.
        is_encoded: Whether the body was encoded on the way and is not as the server
            sent it.
        keep_alive_s: Seconds for which the server keeps the connection; 0 if it
            closes it, None if it does not announce a time.
        length: Announced length of the body; None if it is not announced.
        is_chunked: Whether the body is sent in chunks, the last of which ends it.
        headers: Pairs of bytes that are forwarded to the caller.
        limit_per_s: Requests a second that the server takes from all gateways together;
            None if it names no limit.
        has_unreadable_limit: Whether it names a limit that is no rate.
        is_leaving: Whether the server says that it leaves.
        pause_s: Seconds for which the server wants nothing from this gateway; None if
            it names none.
        has_unreadable_pause: Whether it names a pause that is no number of seconds.
        server_id: Id of the server that answers a health check; empty if it names none.
        cold_left_s: Seconds for which the server is slow; None if it names none.
        has_unreadable_cold_time: Whether it names such a time that is no number.
        is_contradictory: Whether it says more than once what is said once, or of a
            success that it has not run, as if two answers were in one another.
    """

    status: int
    request_id: str
    is_signed: bool
    ran: bool
    is_encoded: bool
    keep_alive_s: float | None
    length: int | None
    is_chunked: bool
    headers: list
    limit_per_s: float | None = None
    has_unreadable_limit: bool = False
    is_leaving: bool = False
    pause_s: float | None = None
    has_unreadable_pause: bool = False
    server_id: str = ""
    cold_left_s: float | None = None
    has_unreadable_cold_time: bool = False
    is_contradictory: bool = False

    @property
    def is_success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_event_stream(self):
        """Whether the body is a stream of events."""
        types = [v for n, v in self.headers if n.lower() == b"content-type"]
        return any(EVENT_STREAM in value.lower() for value in types)
