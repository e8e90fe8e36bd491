"""Outlier ejection by what the request path itself sees."""

from dataclasses import dataclass
from statistics import median

LATENCY_GAIN = 0.2
MIN_SAMPLES = 10
MIN_SLOW_S = 0.05


@dataclass(slots=True)
class _Health:
    failures: int = 0
    latency_s: float = 0.0
    samples: int = 0
    ejected_until: float = float("-inf")
    ejections: int = 0
    probing: bool = False


class HealthTable:
    """Ejects servers that fail or answer far slower than their peers.

    After an ejection one request probes the server; others follow if it succeeds.
    At most the allowed share of a set is ejected; the rest are used all the same.

    Args:
        settings: ``RoutingSettings``.

    Examples:
        >>> from pistachiowell.routing.settings import RoutingSettings
        >>> book = HealthTable(RoutingSettings(eject_failures=2))
        >>> for _ in range(2):
        ...     book.record_failure("s1", 0.0)
        >>> book.usable(["s1", "s2", "s3"], 1.0)
        ['s2', 's3']
    """

    __slots__ = ("_servers", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._servers = {}

    def record_start(self, server, now):
        """Counts an attempt sent to a server."""
        health = self._servers.setdefault(server, _Health())
        if health.ejections and now >= health.ejected_until:
            health.probing = True

    def record_success(self, server, latency_s, now):
        """Takes an attempt that went well.

        Args:
            server: Name of the server.
            latency_s: Seconds to the first byte, without the caller's part.
            now: Present time in seconds.
        """
        health = self._servers.setdefault(server, _Health())
        health.failures = 0
        if health.probing:
            health.probing = False
            health.ejections = 0
            health.samples = 0
        health.samples += 1
        gain = max(LATENCY_GAIN, 1.0 / health.samples)
        health.latency_s += gain * (latency_s - health.latency_s)

    def record_inconclusive(self, server):
        """Takes an attempt that ended without showing anything of the server."""
        health = self._servers.get(server)
        if health is not None:
            health.probing = False

    def record_failure(self, server, now):
        """Takes an attempt that the server failed."""
        health = self._servers.setdefault(server, _Health())
        health.failures += 1
        if health.probing or health.failures >= self._settings.eject_failures:
            self._eject(health, now)

    def usable(self, servers, now):
        """Returns the servers that may take a request.

        Args:
            servers: Names of one set of servers.
            now: Present time in seconds.

        Returns:
            Names in the same order; never fewer than the share that must stay.
        """
        self._eject_slow(servers, now)
        bad = [server for server in servers if not self._is_usable(server, now)]
        bad.sort(key=self._ejections, reverse=True)
        most = int(len(servers) * self._settings.eject_max_share)
        ejected = set(bad[:most])
        return [server for server in servers if server not in ejected]

    def _is_usable(self, server, now):
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
            if (health := self._servers.get(server)) and health.samples >= MIN_SAMPLES
        ]
        if len(known) < 3:
            return
        middle_s = max(median(health.latency_s for health in known), MIN_SLOW_S)
        for health in known:
            if health.latency_s > self._settings.eject_slow_factor * middle_s:
                self._eject(health, now)

    def _eject(self, health, now):
        settings = self._settings
        health.probing = False
        if now < health.ejected_until:
            return
        span_s = min(settings.eject_max_s, settings.eject_s * 2**health.ejections)
        health.ejected_until = now + span_s
        health.ejections = min(health.ejections + 1, 16)
        health.failures = 0
        health.samples = 0
