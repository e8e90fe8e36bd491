"""What the choice of a server, its records and its forecast share."""

from dataclasses import dataclass, fields

from pistachiowell.gateway.selection.late_prompts import LatePrompts
from pistachiowell.routing import (
    PICKERS,
    PLACERS,
    EngineRates,
    EngineRequest,
    EngineTable,
    HealthTable,
    LoadTable,
    PlacementSettings,
    RateSettings,
    RoutingSettings,
    UnreachableServers,
    UnreachableSettings,
)

# Part of the upper bound of an answer's tokens that it is expected to have.
EXPECTED_OUTPUT_SHARE = 0.4


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectionSources:
    """What other parts of the gateway know about the servers.

    Attributes:
        servers: The ``ServerRegistry``.
        moves: The ``GatewayMoves``; restricts the versions that an attempt may go to.
        silence: The ``SilenceMonitor``; leaves out servers that do not answer.
        limits: The ``ServerLimits``; leaves out servers whose limit is reached.
        places: The ``Places``; tells in errors which regions a request must not leave.
        states: The ``ServerStates``; tells in errors why servers are closed.
    """

    servers: object
    moves: object
    silence: object
    limits: object
    places: object
    states: object


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectionParts(SelectionSources):
    """The ``SelectionSources``, and the state and policies of the choice itself.

    Attributes:
        settings: ``GatewaySettings``.
        health: The ``HealthTable``.
        loads: The ``LoadTable``.
        unreachable: The ``UnreachableServers``.
        engines: The ``EngineTable``.
        picker: The ``Picker``.
        placer: The ``Placer``.
        cold_cost_s: Expected wait in seconds at a cold server without an engine.
        late: The ``LatePrompts``.
    """

    settings: object
    health: object
    loads: object
    unreachable: object
    engines: object
    picker: object
    placer: object
    cold_cost_s: float
    late: object


def make_parts(sources, settings, rng, now):
    """Returns the ``SelectionParts`` of a gateway.

    Args:
        sources: The ``SelectionSources``.
        settings: ``GatewaySettings``.
        rng: A ``Random``.
        now: Function that returns the monotonic time in seconds.
    """
    routing = RoutingSettings()
    placement, rates = PlacementSettings(), None
    if settings.uneven_servers:
        routing = RoutingSettings(picker="six_choices")
        placement = PlacementSettings(placer="learned_cost")
        rates = EngineRates(RateSettings())
    loads, engines = LoadTable(routing), EngineTable(placement, rates)
    known = {field.name: getattr(sources, field.name) for field in fields(sources)}
    return SelectionParts(
        **known,
        settings=settings,
        health=HealthTable(routing),
        loads=loads,
        unreachable=UnreachableServers(UnreachableSettings()),
        engines=engines,
        picker=PICKERS.find(routing.picker)(routing, loads, rng),
        placer=PLACERS.find(placement.placer)(placement, engines, rng),
        cold_cost_s=placement.cold_cost_s,
        late=LatePrompts(settings, engines, rng, now),
    )


def engine_request(request):
    """Returns the ``EngineRequest`` of a ``GatewayRequest``.

    None if its server is chosen by load: the service has no engines, or the request
    announces no prompt.
    """
    prompt = request.prompt
    if request.service.engine is None or prompt is None:
        return None
    output_tokens = int(EXPECTED_OUTPUT_SHARE * prompt.max_output_tokens)
    return EngineRequest(prompt.tokens, output_tokens, prompt.parts)
