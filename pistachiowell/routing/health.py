"""Outlier ejection from the results of the requests themselves.

A server that fails or answers far slower than its peers would keep its share of the
requests, or even attract more by failing fast. Ejection takes it out of the selection
for a while, without health checks beside the traffic.
"""

from dataclasses import dataclass, replace
from statistics import median

LATENCY_EWMA_GAIN = 0.2
MIN_LATENCY_SAMPLES = 10
MIN_MEDIAN_LATENCY_S = 0.05  # no ejection for small absolute differences


@dataclass(slots=True)
class _ServerHealth:
    failures: int = 0
    latency_s: float = 0.0
    samples: int = 0
    ejected_until: float = float("-inf")
    ejections: int = 0
    probing: bool = False


class HealthTable:
    """Ejects servers that fail or answer far slower than their peers.

    When an ejection is over, one request probes the server. It is used again if the
    probe succeeds; a failed probe ejects it for twice as long. At most the allowed
    share of a set of servers is left out and further ejected servers stay in use, so
    that a failure of many servers does not send all requests to the few that are left.

    Args:
        settings: ``RoutingSettings``.

    Examples:
        >>> from pistachiowell.routing.settings import RoutingSettings
        >>> table = HealthTable(RoutingSettings(eject_failures=2))
        >>> for _ in range(2):
        ...     table.record_failure("s1", 0.0)
        >>> table.usable(["s1", "s2", "s3"], 1.0)
        ['s2', 's3']
    """

    __slots__ = ("_servers", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._servers = {}

    def record_start(self, server, now):
        """Records the start of an attempt, which may be the probe of a server."""
        health = self._servers.setdefault(server, _ServerHealth())
        if health.ejections and now >= health.ejected_until:
            health.probing = True

    def record_success(self, server, latency_s, now):
        """Records an attempt that succeeded.

        Args:
            server: Name of the server.
            latency_s: Seconds to the first byte, without time spent on the caller.
            now: Present time in seconds.
        """
        health = self._servers.setdefault(server, _ServerHealth())
        health.failures = 0
        if health.probing:
            health.probing = False
            health.ejections = 0
            health.samples = 0
        health.samples += 1
        gain = max(LATENCY_EWMA_GAIN, 1.0 / health.samples)
        health.latency_s += gain * (latency_s - health.latency_s)

    def record_inconclusive(self, server):
        """Records an attempt whose end says nothing about the server's health.

        It ends a probe without a result, so that the next request may probe.
        """
        health = self._servers.get(server)
        if health is not None:
            health.probing = False

    def record_failure(self, server, now):
        """Records an attempt that failed at the server."""
        health = self._servers.setdefault(server, _ServerHealth())
        health.failures += 1
        if health.probing or health.failures >= self._settings.eject_failures:
            self._eject(health, now)

    def failures(self, server):
        """Returns the failures of a server since its last success or ejection."""
        health = self._servers.get(server)
        return health.failures if health else 0

    def usable(self, servers, now):
        """Returns the servers that may get a request.

        Args:
            servers: Names of one set of servers.
            now: Present time in seconds.

        Returns:
            Names in the same order. At most ``eject_max_share`` of them are left out,
            those ejected most often first.
        """
        self._eject_slow(servers, now)
        unusable = [server for server in servers if not self.is_usable(server, now)]
        unusable.sort(key=self._ejections, reverse=True)
        max_ejected = int(len(servers) * self._settings.eject_max_share)
        ejected = set(unusable[:max_ejected])
        return [server for server in servers if server not in ejected]

    def copy(self, servers):
        """Returns a table of some servers that changes apart from this one.

        Its ``usable`` tells what that of this table would, and ejects nothing here.

        Args:
            servers: Names of the servers.
        """
        table = HealthTable(self._settings)
        known = ((name, self._servers.get(name)) for name in servers)
        table._servers = {name: replace(h) for name, h in known if h is not None}
        return table

    def is_usable(self, server, now):
        """Returns whether a server is neither ejected nor being probed."""
        health = self._servers.get(server)
        if health is None:
            return True
        return now >= health.ejected_until and not health.probing

    def _ejections(self, server):
        return self._servers[server].ejections

    def _eject_slow(self, servers, now):
        known = [
            health
            for server in servers
            if (health := self._servers.get(server))
            and health.samples >= MIN_LATENCY_SAMPLES
        ]
        if len(known) < 3:
            return
        median_s = max(
            median(health.latency_s for health in known), MIN_MEDIAN_LATENCY_S
        )
        for health in known:
            if health.latency_s > self._settings.eject_slow_factor * median_s:
                self._eject(health, now)

    def _eject(self, health, now):
        settings = self._settings
        health.probing = False
        if now < health.ejected_until:
            return
        ejection_s = min(settings.eject_max_s, settings.eject_s * 2**health.ejections)
        health.ejected_until = now + ejection_s
        health.ejections = min(health.ejections + 1, 16)
        health.failures = 0
        health.samples = 0
