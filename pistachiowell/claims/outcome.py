"""Statement of a refusal on whether a request that may run at most once has run."""

from pistachiowell.core.errors import MAY_HAVE_RUN, NOT_RUN

_NEVER_RUN_CODES = frozenset({"invalid_request"})


def ran_under_key(code, ran, is_idempotent):
    """Returns whether any request with the same key may have run.

    That the attempts of this request did not run proves nothing about an earlier
    request with the same key, sent through another router or to another agent. A caller
    told ``"no"`` could send the request under a new key and run it twice. For a request
    that is not idempotent only codes of requests that can never run keep ``"no"``.

    Args:
        code: Code of the error.
        ran: Whether the attempts of this request ran, ``"no"`` or ``"unknown"``.
        is_idempotent: Whether the request may run more than once.

    Returns:
        ``"no"`` or ``"unknown"``.

    Examples:
        >>> ran_under_key("overloaded", "no", is_idempotent=True)
        'no'
        >>> ran_under_key("overloaded", "no", is_idempotent=False)
        'unknown'
        >>> ran_under_key("invalid_request", "no", is_idempotent=False)
        'no'
    """
    if ran == NOT_RUN and not is_idempotent and code not in _NEVER_RUN_CODES:
        return MAY_HAVE_RUN
    return ran
