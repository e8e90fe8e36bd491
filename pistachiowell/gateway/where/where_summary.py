"""Outcome of a ``PlacementReport``, and what it leaves open, as sentences."""

from pistachiowell.gateway.selection import engine_request


def outcome_of(request, refusals, odds):
    """Returns the outcome and the reason for it; see ``PlacementReport``.

    Args:
        request: The ``GatewayRequest``.
        refusals: Each ``RefusalReport``, in the order of the checks.
        odds: Probability of each server that the request may be sent to, by id.
    """
    certain = [r for r in refusals if r.probability >= 1.0]
    if certain or not odds:
        return "refused", (certain or refusals)[0].reason
    outcome = "either" if refusals else "sent"
    is_by_cost = engine_request(request) is not None
    if len(odds) == 1:
        reason = (
            "It has the least expected cost." if is_by_cost else "No other is left."
        )
    elif is_by_cost:
        reason = "They have the same least cost; one is drawn at random."
    else:
        reason = (
            "Of a few drawn at random among the nearest, the least loaded is chosen."
        )
    return outcome, reason


def open_points(request, question, account, services):
    """Returns sentences on what a ``PlacementReport`` leaves open.

    Args:
        request: The ``GatewayRequest``.
        question: The ``WhereQuestion``.
        account: The ``AccountReport``, or None.
        services: Each ``ServiceReport``.
    """
    notes = []
    if account is not None and account.needed_tokens and account.owners:
        notes.append(
            f"Only agent {account.owners[0]} knows whether the tokens of {account.name}"
            " suffice."
        )
    likely = [s for service in services for s in service.servers if s.probability]
    if any(server.admitted_by is not None for server in likely):
        notes.append(
            "A server that is cold or names a rate has to admit the request; otherwise"
            " another one is chosen."
        )
    costs_s = [server.cost_s for server in likely if server.cost_s is not None]
    if costs_s and request.received_at + min(costs_s) > request.deadline:
        notes.append("The expected cost exceeds the time that is left.")
    if question.account and request.route.is_public:
        notes.append("The route is public, so the account does not matter.")
    if not request.route.is_idempotent:
        notes.append("The request runs at most once, whatever its method and key.")
    if not question.fingerprint:
        notes.append(
            "Whether this very request is quarantined depends on its body; give the"
            " fingerprint from the log."
        )
    if request.route.has_prompts and request.prompt is None:
        notes.append("Without prompt tokens a server is chosen by load alone.")
    return notes
