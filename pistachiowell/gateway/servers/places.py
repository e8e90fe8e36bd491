"""Which data centres a request or a health check may be sent to at present."""

from pistachiowell.core.logs import part_logger

MAX_UNKNOWN = 1_024

_log = part_logger("places")


class Places:
    """Leaves out evacuated data centres and those outside the home regions.

    Args:
        runtime: The process's ``Runtime``.
        state: The ``GatewayState``.
    """

    __slots__ = ("_runtime", "_state", "_unknown")

    def __init__(self, runtime, state):
        self._runtime = runtime
        self._state = state
        self._unknown = set()

    def is_evacuated(self, server):
        """Returns whether nothing may be sent to the data centre of a server.

        Args:
            server: The ``BackendServer``.
        """
        evacuations = self._state.evacuations
        now = self._runtime.now()
        is_evacuated = evacuations.is_evacuated(server.data_centre, now)
        return is_evacuated or not evacuations.is_known

    def home_regions(self, request):
        """Returns the names of the regions that a request must not leave; None for all.

        Those of its route and those of its account both apply.

        Args:
            request: The ``GatewayRequest``.
        """
        limits = self._home_limits(request)
        return frozenset.intersection(*limits) if limits else None

    def _home_limits(self, request):
        limits = [request.route.home_regions]
        if request.account is not None:
            limits.append(request.account.home_regions)
        has_regions = bool(self._runtime.settings.regions)
        return [homes for homes in limits if homes and has_regions]

    def is_in(self, server, homes):
        """Returns whether a server is in one of some regions.

        Args:
            server: The ``BackendServer``.
            homes: What ``home_regions`` has returned.
        """
        regions = self._runtime.settings.regions
        return homes is None or regions.get(server.data_centre) in homes

    def at_home(self, servers, request):
        """Returns the servers in the home regions of a request.

        Args:
            servers: Each ``BackendServer``.
            request: The ``GatewayRequest``.
        """
        limits = self._home_limits(request)
        if not limits:
            return servers
        regions = self._runtime.settings.regions
        homes = frozenset.intersection(*limits)
        self._log_unknown(frozenset.union(*limits) - set(regions.values()))
        return [s for s in servers if regions.get(s.data_centre) in homes]

    def _log_unknown(self, names):
        for name in sorted(names - self._unknown):
            if len(self._unknown) < MAX_UNKNOWN:
                self._unknown.add(name)
                _log.warning("A home region is not known.", region=name)

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
