"""Checks what callers and backend servers observed against the fleet's promises.

The promises are: an answer that looks complete is correct; a refusal with a status of
``RETRY_STATUSES`` means that the request has not run; a non-idempotent request runs at
most once; no more tokens are spent than were prepaid; no request meets an unexpected
exception.
"""

from collections import Counter
from dataclasses import dataclass, field

RETRY_STATUSES = (429, 503)
# The servers of a soak never answer with it.
EXCEPTION_STATUS = 500


@dataclass(slots=True)
class Oracle:
    """Records the runs and answers of a soak and lists the promises that were broken.

    Attributes:
        prepaid_tokens: Tokens that the tenant has prepaid.
        run_counts: Number of runs by request id.
        spent_tokens: Tokens by request id. The prompt counts once, from the first
            event on, however often the request runs; generated tokens always count.
        prompt_tokens_of: Prompt tokens by request id, of requests that have run.
        violations: One sentence per broken promise.
        status_counts: Number of answers by status; 0 for a lost connection.
        sent_at: Time at which its caller sent it, in seconds, by request id.
    """

    prepaid_tokens: int
    run_counts: Counter = field(default_factory=Counter)
    spent_tokens: Counter = field(default_factory=Counter)
    prompt_tokens_of: dict = field(default_factory=dict)
    violations: list = field(default_factory=list)
    status_counts: Counter = field(default_factory=Counter)
    sent_at: dict = field(default_factory=dict)

    def record_run(self, request_id, prompt_tokens):
        """Records that a server has started to run a request."""
        self.run_counts[request_id] += 1
        self.prompt_tokens_of[request_id] = prompt_tokens

    def record_generated_tokens(self, request_id, tokens):
        """Records output tokens that a server has sent."""
        if not self.spent_tokens[request_id]:
            self.spent_tokens[request_id] = self.prompt_tokens_of[request_id]
        self.spent_tokens[request_id] += tokens

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
        if not self.status_counts[200]:
            self.violations.append("nothing was served")
        return self.violations
