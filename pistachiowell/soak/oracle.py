"""Checks what callers and backend servers observed against the fleet's promises.

The promises are: an answer that looks complete is the one that its server wrote first;
a refusal with a status of ``RETRY_STATUSES`` means that the request has not run; a
non-idempotent request runs at most once; no more tokens are spent than were prepaid; in
no window more requests are repeated than is allowed; no request meets an unexpected
exception; beside planned work no answer is lost.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from pistachiowell.soak.losses import LossOracle

RETRY_STATUSES = (429, 503)
# The servers of a soak never answer with it.
EXCEPTION_STATUS = 500
# Answers with which a gateway passes on what a server has written.
SERVER_STATUSES = (200, 409, 507)


class RepeatOracle:
    """Counts the arrivals of each service beyond the first of each request.

    Attributes:
        ratio: Repeats that are allowed for each request.
        fixed: Repeats that are allowed in each window in addition.
        window_s: Length of the window in seconds.
    """

    __slots__ = ("_arrivals", "_seen", "_sent_at", "fixed", "ratio", "window_s")

    def __init__(self, ratio=0.2, fixed=50.0, window_s=10.0):
        self.ratio = ratio
        self.fixed = fixed
        self.window_s = window_s
        self._arrivals = defaultdict(list)
        self._seen = set()
        self._sent_at = defaultdict(list)

    def record_request(self, service, now):
        """Records that a caller sends a request for a service."""
        self._sent_at[service].append(now)

    def record_arrival(self, service, request_id, now):
        """Records that a request has reached a server."""
        if request_id in self._seen:
            self._arrivals[service].append(now)
        self._seen.add(request_id)

    def violations(self):
        """Returns a sentence for each service with a window of too many repeats."""
        found = []
        for service, repeats in self._arrivals.items():
            begin = max(repeats, key=lambda at: self._excess(service, at))
            if self._excess(service, begin) > 0:
                found.append(
                    f"{service}: {_count(repeats, begin, self.window_s)} repeats in"
                    f" {self.window_s} s"
                )
        return found

    def _excess(self, service, begin):
        requests = max(
            _count(self._sent_at[service], begin - share * self.window_s, self.window_s)
            for share in (0.0, 0.5, 1.0)
        )
        repeats = _count(self._arrivals[service], begin, self.window_s)
        return repeats - self.ratio * requests - self.fixed


def _count(times, begin, length_s):
    return sum(begin <= at < begin + length_s for at in times)


@dataclass(slots=True)
class Oracle:
    """Records the runs and answers of a soak and lists the promises that were broken.

    Attributes:
        prepaid_tokens: Tokens that the tenant has prepaid.
        run_counts: Number of runs by request id.
        spent_tokens: Tokens by request id: output that its caller has received, and the
            prompt once if it has received any.
        prompt_tokens_of: Prompt tokens by request id, of requests that have run.
        violations: One sentence per broken promise.
        status_counts: Number of answers by status; 0 for a lost connection.
        sent_at: Time at which its caller sent it, in seconds, by request id.
        first_statuses: Statuses of the first answer to each of its attempts, by request
            id; without those of servers that answer once.
        repeats: The ``RepeatOracle``.
        checked: How much of evacuations, cold servers and relaying was checked.
        losses: The ``LossOracle``.
    """

    prepaid_tokens: int
    run_counts: Counter = field(default_factory=Counter)
    spent_tokens: Counter = field(default_factory=Counter)
    prompt_tokens_of: dict = field(default_factory=dict)
    violations: list = field(default_factory=list)
    status_counts: Counter = field(default_factory=Counter)
    sent_at: dict = field(default_factory=dict)
    first_statuses: dict = field(default_factory=lambda: defaultdict(set))
    repeats: RepeatOracle = field(default_factory=RepeatOracle)
    checked: str = ""
    losses: LossOracle = field(default_factory=LossOracle)

    def record_run(self, request_id, prompt_tokens):
        """Records that a server has started to run a request."""
        self.run_counts[request_id] += 1
        self.prompt_tokens_of[request_id] = prompt_tokens

    def record_delivered_tokens(self, request_id, tokens):
        """Records output tokens that a caller has received."""
        if not self.spent_tokens[request_id]:
            self.spent_tokens[request_id] = self.prompt_tokens_of[request_id]
        self.spent_tokens[request_id] += tokens

    def record_first_answer(self, request_id, status):
        """Records the first answer of a server to an attempt of a request."""
        self.first_statuses[request_id].add(status)

    def check_answer(self, request_id, kind, status, body, expected):
        """Records an answer as its caller received it and checks it.

        A complete body of status 200 must be the expected one: an answer that was lost
        or a stream that was resumed wrongly must not look complete. A non-idempotent
        request that was refused with a status of ``RETRY_STATUSES`` must not have
        run, since its caller may safely send it again.

        Args:
            request_id: The request.
            kind: Route of the request: ``read`` (idempotent), ``book`` (non-idempotent)
                or ``chat`` (streaming).
            status: HTTP status; 0 for a lost connection.
            body: The body; None if it is incomplete.
            expected: The complete body of a successful answer.
        """
        self.status_counts[status] += 1
        if status == 200 and body is not None and body != expected:
            self.violations.append(f"{kind} {request_id}: a wrong answer looked whole")
        first = self.first_statuses.get(request_id, {200})
        if status in SERVER_STATUSES and body is not None and status not in first:
            self.violations.append(
                f"{kind} {request_id}: got {status}, its servers wrote {first} first"
            )
        if status == EXCEPTION_STATUS:
            self.violations.append(f"{kind} {request_id}: an unexpected exception")
        if kind == "book" and status in RETRY_STATUSES and self.run_counts[request_id]:
            self.violations.append(
                f"{kind} {request_id}: refused as not run, and had run"
            )

    def check_totals(self):
        """Checks the promises that concern the whole soak.

        Reports non-idempotent requests that ran more than once, spending above the
        prepaid tokens, and a soak in which no request succeeded, since that would
        prove nothing.

        Returns:
            The list of broken promises, with those of ``check_answer``.
        """
        for request_id, runs in self.run_counts.items():
            if request_id.startswith("book") and runs > 1:
                self.violations.append(f"{request_id}: ran {runs} times")
        spent = sum(self.spent_tokens.values())
        if spent > self.prepaid_tokens:
            self.violations.append(f"{spent} tokens spent of {self.prepaid_tokens}")
        self.violations += self.repeats.violations()
        if not self.status_counts[200]:
            self.violations.append("nothing was served")
        return self.violations
