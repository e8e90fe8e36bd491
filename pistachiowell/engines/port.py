"""Interface between an agent and its backend server.

Adapters implement ``Backend``. Every failure is a ``ServerFailed``. Its ``ran`` is
``"no"`` only if the request certainly never reached the server: the router may then
send it again, and a request that did run would run twice.
"""

from dataclasses import dataclass
from typing import Protocol

from pistachiowell.core.errors import ServerFailed


class ServerRefused(ServerFailed):
    """Nothing listens at the address of the server."""


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server reports; it lags behind the present load.

    Attributes:
        running: Number of requests in its batch.
        waiting: Number of requests in its queue.
        slots: Number of requests that it can run at once; 0 if not reported.
    """

    running: int
    waiting: int
    slots: int


class BackendResponse(Protocol):
    """Answer of a backend server.

    Attributes:
        status: HTTP status.
        content_type: Value of the header ``Content-Type``.
    """

    status: int
    content_type: str

    def chunks(self):
        """Returns an async iterator over the parts of the body.

        Raises:
            ServerFailed: The connection was lost before the end of the answer.
        """


class Backend(Protocol):
    """Operations of a backend server that its agent uses."""

    def request(self, method, path, headers, body):
        """Returns an async context manager that yields a ``BackendResponse``.

        An exit from the context before the end of the answer cancels the request at
        the server.

        Args:
            method: HTTP method.
            path: Path below the server's base URL.
            headers: Mapping of header names to values.
            body: Body as bytes.

        Raises:
            ServerFailed: The server could not be reached, or the connection was lost.
        """

    async def load(self):
        """Returns the ``ServerLoad``, or None if the server does not report it.

        Raises:
            ServerFailed: The server could not be reached.
        """

    async def order(self, action, version, fence):
        """Sends an order to a model engine.

        Args:
            action: ``load``, ``unload`` or ``set_role``.
            version: Model, adapter or version; the role for ``set_role``.
            fence: Fencing number of the order.

        Returns:
            Whether the engine accepted the order.

        Raises:
            ServerFailed: The engine could not be reached or did not process the order.
        """
