"""What a refusal may say about a request that may run at most once."""

from pistachiowell.core.errors import MAY_HAVE_RUN, NOT_RUN

_DECIDED_CODES = frozenset({"invalid_request"})


def ran_under_key(code, ran, repeatable):
    """Tells what a refusal says of all requests that were sent with the key.

    An attempt that did not run proves nothing of an earlier request with the same
    key, through another router or to another agent. Only the refusal of a request
    that can never run does.

    Args:
        code: Code of the error.
        ran: What the attempts of this request say, ``"no"`` or ``"unknown"``.
        repeatable: Whether the request may be repeated.

    Returns:
        ``"no"`` or ``"unknown"``.

    Examples:
        >>> ran_under_key("overloaded", "no", repeatable=True)
        'no'
        >>> ran_under_key("overloaded", "no", repeatable=False)
        'unknown'
        >>> ran_under_key("invalid_request", "no", repeatable=False)
        'no'
    """
    if ran == NOT_RUN and not repeatable and code not in _DECIDED_CODES:
        return MAY_HAVE_RUN
    return ran
