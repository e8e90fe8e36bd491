"""Which data centres a request, or a probe, may be sent to now."""


class Places:
    """Leaves out evacuated data centres and those outside the home regions.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
    """

    __slots__ = ("_runtime", "_state")

    def __init__(self, runtime, state):
        self._runtime = runtime
        self._state = state

    def is_evacuated(self, server):
        """Returns whether nothing may be sent to the data centre of a server.

        Args:
            server: The ``BackendServer``.
        """
        evacuations = self._state.evacuations
        now = self._runtime.now()
        is_evacuated = evacuations.is_evacuated(server.data_centre, now)
        return is_evacuated or not evacuations.is_known

    def may_probe(self, server_id):
        """Returns whether a server may get a health check.

        The data centre of a server that is not registered is not known, so it gets none
        where data centres are evacuated.

        Args:
            server_id: Id of the server.
        """
        if not self._state.evacuations.is_used:
            return True
        server = self._state.servers.known.get(server_id)
        return server is not None and not self.is_evacuated(server)
