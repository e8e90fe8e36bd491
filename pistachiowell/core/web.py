"""HTTP servers inside a program."""

from contextlib import nullcontext

import uvicorn


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves the signals to the program."""

    def capture_signals(self):
        """Returns a context that captures nothing."""
        return nullcontext()
