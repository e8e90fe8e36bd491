"""Claims of requests that may run at most once."""

from dataclasses import dataclass

from pistachiowell.core.errors import KeyInProgress


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request is claimed by this agent and shall run."""


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The answer of an earlier run under the same key.

    Attributes:
        status: HTTP status.
        content_type: Content type of the body.
        body: The body as bytes.
    """

    status: int
    content_type: str
    body: bytes


class Claiming:
    """Claims keys in the memory of this process.

    Args:
        runtime: The process's ``Runtime``.
    """

    __slots__ = ("_answers", "_runtime")

    def __init__(self, runtime):
        self._runtime = runtime
        self._answers = {}

    async def claim(self, request):
        """Claims a request's key.

        Args:
            request: The ``RunRequest``.

        Returns:
            ``Claimed`` or ``KeptAnswer``.

        Raises:
            KeyInProgress: An earlier request with the key still runs.
        """
        key = (request.account, request.route, request.idempotency_key)
        if key not in self._answers:
            self._answers[key] = None
            return Claimed()
        if self._answers[key] is None:
            raise KeyInProgress("A request with this key is running.")
        return self._answers[key]

    def finish(self, request, answer):
        """Keeps the answer of a claimed request.

        Args:
            request: The ``RunRequest``.
            answer: A ``KeptAnswer``.
        """
        key = (request.account, request.route, request.idempotency_key)
        self._answers[key] = answer
