"""What speaks for and against each server, in the words of an operator."""

from pistachiowell.gateway.data import ServerReport
from pistachiowell.gateway.selection import engine_request
from pistachiowell.gateway.servers import registration_of
from pistachiowell.routing import Candidate, rendezvous

# A server whose slots are all in use counts as full.
FULL_LOAD_PER_SLOT = 1.0


class ServerReports:
    """Describes the servers of an ``ExpectedChoice``; changes nothing.

    Args:
        parts: The ``SelectionParts``.
        now: Function that returns the monotonic time in seconds.
    """

    __slots__ = ("_now", "_parts")

    def __init__(self, parts, now):
        self._parts = parts
        self._now = now

    def describe(self, request, expected, rank, limit):
        """Returns a ``ServerReport`` of each server, the likeliest first.

        Args:
            request: The ``GatewayRequest``.
            expected: The ``ExpectedChoice``.
            rank: Rank of the request; 0 is the most urgent.
            limit: Largest number of servers; the least likely ones are left out.
        """
        now, work = self._now(), engine_request(request)
        owner = _prefix_owner(expected, work)
        names = sorted(expected.servers, key=lambda name: _order(expected, name))
        servers = [expected.servers[name] for name in names[:limit]]
        return [
            self._report(server, request, expected, work, owner, rank, now)
            for server in servers
        ]

    def _report(self, server, request, expected, work, owner, rank, now):
        parts, name = self._parts, server.id
        load, slots = parts.loads.load(name, now), server.slots
        queued_tokens, kept_tokens = None, 0
        if work is not None:
            here, slots = parts.engines.load(name, now), request.service.engine.slots
            load, queued_tokens = here.running, here.reading_tokens
            uncached = parts.engines.uncached_tokens(name, work, now)
            kept_tokens = work.prompt_tokens - uncached
        against = self._against(server, request, rank, now)
        against += self._fullness(server, request, work, load, now)
        distance = self._distance(server)
        is_cheapest = name in expected.odds and bool(expected.costs_s)
        texts = {
            f"has {kept_tokens} tokens of the prompt cached": kept_tokens > 0,
            "owns the prefix": name == owner,
            "same data centre": distance == 0,
            "idle": load == 0,
            "least expected cost": is_cheapest,
        }
        return ServerReport(
            id=name,
            address=server.address,
            data_centre=server.data_centre,
            distance=distance,
            version=server.version,
            probability=round(expected.odds.get(name, 0.0), 4),
            left_out=expected.left_out.get(name, ""),
            against=against,
            in_favour=[text for text, holds in texts.items() if holds],
            load=load,
            slots=slots,
            cost_s=_rounded(expected.costs_s.get(name)),
            queued_tokens=queued_tokens,
            kept_tokens=kept_tokens,
            cold_left_s=round(parts.limits.cold_left_s(server), 3),
            admitted_by=parts.limits.admitter(server),
        )

    def _against(self, server, request, rank, now):
        parts, texts = self._parts, []
        if server.is_leaving:
            texts.append("registered as leaving")
        state = parts.states.of(server, rank)
        if state.closed_by is not None:
            texts.append(str(state))
        if not parts.places.is_in(server, parts.places.home_regions(request)):
            texts.append("outside the home regions")
        version_state = parts.moves.version_state(server.service, server.version)
        if version_state:
            texts.append(f"version {version_state}")
        if parts.unreachable.is_avoided(registration_of(server), now):
            texts.append("refuses connections")
        if parts.silence.is_doubted(server.id):
            texts.append("in doubt")
        if not parts.health.is_usable(server.id, now):
            texts.append("ejected, as it failed or was slow")
        cold_left_s = parts.limits.cold_left_s(server)
        if cold_left_s:
            texts.append(f"cold for {cold_left_s:.1f} s")
        limit_per_s = parts.limits.limit_per_s(server)
        if limit_per_s is not None:
            texts.append(f"takes {limit_per_s:g} requests/s of all gateways")
        distance = self._distance(server)
        if distance:
            texts.append("other data centre" if distance == 1 else "other region")
        return texts

    def _fullness(self, server, request, work, load, now):
        if work is None:
            if load >= FULL_LOAD_PER_SLOT * server.slots:
                return [f"full: {load} requests, {server.slots} slots"]
            return []
        engine, here = request.service.engine, self._parts.engines.load(server.id, now)
        texts = []
        needed = work.prompt_tokens + work.output_tokens
        if here.running >= engine.slots:
            texts.append(f"full: {here.running} requests, {engine.slots} slots")
        if here.kv_tokens + needed > engine.kv_tokens:
            texts.append(f"full: {here.kv_tokens} of {engine.kv_tokens} tokens in use")
        if here.reading_tokens:
            texts.append(f"{here.reading_tokens} prompt tokens wait there")
        return texts

    def _distance(self, server):
        settings = self._parts.settings
        if server.data_centre == settings.data_centre:
            return 0
        region = settings.regions.get(server.data_centre)
        own = settings.regions.get(settings.data_centre, settings.region)
        return 1 if region in (None, own) else 2


def _prefix_owner(expected, work):
    """Returns the id of the server on which all gateways agree for a prefix."""
    if work is None or not work.shared_prefixes or not expected.costs_s:
        return None
    candidates = [Candidate(name) for name in expected.costs_s]
    return rendezvous(candidates, work.shared_prefixes[-1][0]).server


def _rounded(seconds):
    return None if seconds is None else round(seconds, 4)


def _order(expected, name):
    is_left_out = name in expected.left_out
    cost_s = expected.costs_s.get(name, 0.0)
    return (-expected.odds.get(name, 0.0), is_left_out, cost_s, name)
