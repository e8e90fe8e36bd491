"""The port to a backend server.

Adapters implement ``Backend``. A failure is a ``ServerFailed`` whose ``ran`` is
``"no"`` only if the request certainly never reached the server.
"""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server reports of itself; it lags.

    Attributes:
        running: Requests in its batch.
        waiting: Requests in its queue.
        slots: Requests that it runs at once; 0 if it does not tell.
    """

    running: int
    waiting: int
    slots: int


class BackendResponse(Protocol):
    """The answer of a backend server.

    Attributes:
        status: HTTP status.
        content_type: Value of the header ``Content-Type``.
    """

    status: int
    content_type: str

    def chunks(self):
        """Returns an async iterator over the parts of the body.

        Raises:
            ServerFailed: The answer broke off.
        """


class Backend(Protocol):
    """What the agent uses of its backend server."""

    def request(self, method, path, headers, body):
        """Returns an async context manager that gives a ``BackendResponse``.

        Leaving the context early cancels the request at the server.

        Args:
            method: HTTP method.
            path: Path below the server's base URL.
            headers: Mapping of header names to values.
            body: Body as bytes.

        Raises:
            ServerFailed: The server could not be reached or broke off.
        """

    async def load(self):
        """Returns the ``ServerLoad``, or None if the server does not report it.

        Raises:
            ServerFailed: The server could not be reached.
        """

    async def order(self, action, version, fence):
        """Passes an order on to a model engine.

        Args:
            action: ``load``, ``unload`` or ``set_role``.
            version: Model, adapter or version; the role for ``set_role``.
            fence: Fencing number of the order.

        Returns:
            Whether the engine accepted the order.

        Raises:
            ServerFailed: The engine could not be reached or failed.
        """
