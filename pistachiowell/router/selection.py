"""Selects the agent for each attempt."""

from pistachiowell.claims import bucket_of, key_digest, preferred_agents
from pistachiowell.core.errors import NoServer
from pistachiowell.routing import (
    PICKERS,
    Candidate,
    HealthTable,
    LoadTable,
    place_crash_candidate,
)

PREFIX_BYTES = 320
HEALTH_FAULTS = frozenset(
    {"server_failed", "answer_broken", "link_lost", "link_timeout", "deadline_exceeded"}
)


class Selection:
    """Selects agents by load, health, data centre and prompt prefix.

    Args:
        runtime: The process's ``Runtime``.
        fleet: The ``Fleet``.
        rows: The ``Rows`` with the current table.
        settings: ``RoutingSettings``.
        rng: A ``Random``.
    """

    __slots__ = (
        "_fleet",
        "_health",
        "_loads",
        "_picker",
        "_rows",
        "_runtime",
        "_split",
    )

    def __init__(self, runtime, fleet, rows, settings, rng):
        self._runtime = runtime
        self._fleet = fleet
        self._rows = rows
        self._loads = LoadTable(settings)
        self._health = HealthTable(settings)
        self._picker = PICKERS.find(settings.picker)(settings, self._loads, rng)

    def record_load(self, report):
        """Records a ``LoadReport``."""
        self._loads.record_load(
            report.server,
            report.running,
            report.waiting,
            report.slots,
            self._runtime.now(),
        )

    def pick_agent(self, request, tried, crashed_servers):
        """Selects the agent for an attempt.

        Args:
            request: The ``RunRequest``.
            tried: Names of the servers of earlier attempts; avoided if others are
                available.
            crashed_servers: Servers that crashed while the request ran.

        Returns:
            A ``Peer``.

        Raises:
            NoServer: No server of the version is reachable.
        """
        peers = self._peers(request.version)
        if not peers:
            message = f"No backend server of version {request.version} is reachable."
            raise NoServer(message)
        candidates = [self._candidate(peer) for peer in peers.values()]
        preferred = [c for c in candidates if c.server not in tried] or candidates
        return peers[self._choose(request, preferred, crashed_servers).server]

    def has_other(self, version, tried):
        """Returns whether the version has an available server that was not tried."""
        return any(server not in tried for server in self._peers(version))

    def record_start(self, server):
        """Records the start of an attempt at a server."""
        self._loads.record_sent(server)
        self._health.record_start(server, self._runtime.now())

    def record_end(self, server, error, latency_s):
        """Records the end of an attempt.

        Args:
            server: Name of the server.
            error: The ``PistachiowellError``, or None.
            latency_s: Seconds to the first message of the answer; None without one.
        """
        now = self._runtime.now()
        self._loads.record_end(server)
        if error is None and latency_s is not None:
            self._health.record_success(server, latency_s, now)
        elif error is None:
            self._health.record_inconclusive(server)
        elif str(error.code) == "overloaded":
            self._loads.record_refusal(server, now)
            self._health.record_inconclusive(server)
        elif str(error.code) in HEALTH_FAULTS:
            self._health.record_failure(server, now)
        else:
            self._health.record_inconclusive(server)

    def _peers(self, version):
        servers = {row.name for row in self._rows.table.servers_of(version)}
        return {
            peer.record.server: peer
            for peer in self._fleet.agents.values()
            if peer.usable and peer.record.server in servers
        }

    def _candidate(self, peer):
        record = peer.record
        is_near = record.data_centre == self._runtime.settings.data_centre
        return Candidate(record.server, record.data_centre, 0 if is_near else 1)

    def _choose(self, request, candidates, crashed_servers):
        if crashed_servers:
            return place_crash_candidate(
                candidates, request.fingerprint, crashed_servers
            )
        if not request.repeatable:
            return self._choose_claim_agent(request, candidates)
        names = [c.server for c in candidates]
        usable = set(self._health.usable(names, self._runtime.now()))
        healthy = [c for c in candidates if c.server in usable]
        prefix = self._prefix(request)
        return self._picker.pick(healthy or candidates, prefix, self._runtime.now())

    def _choose_claim_agent(self, request, candidates):
        """Returns the candidate that is preferred for the idempotency key.

        All routers choose alike, so that one agent writes the claims of a bucket and
        keeps its answers. The claims, not this choice, prevent that a request which
        is not idempotent runs twice.
        """
        digest = key_digest(request.account, request.route, request.idempotency_key)
        bucket = bucket_of(digest, self._runtime.settings.claim_buckets)
        order = preferred_agents(bucket, [c.server for c in candidates])
        return next(c for c in candidates if c.server == order[0])

    @staticmethod
    def _prefix(request):
        if not request.token_limit:
            return ""
        return f"{request.route}:{request.body[:PREFIX_BYTES].hex()}"
