"""Errors as callers of the HTTP API receive them."""

import json


def error_body(error):
    """Returns the OpenAI error object of an error.

    Args:
        error: A ``PistachiowellError``.

    Examples:
        >>> from pistachiowell.core.errors import Overloaded
        >>> error_body(Overloaded("Full."))["ran"]
        'no'
    """
    error_type = "invalid_request_error" if error.http_status < 500 else "server_error"
    return {
        "message": f"{error.message} {error.remedy}".strip(),
        "type": error_type,
        "param": None,
        "code": str(error.code),
        "ran": error.ran,
        "remedy": error.remedy,
        "retry_after_s": error.retry_after_s,
    }


def error_document(error):
    """Returns the JSON body of an error's HTTP answer as bytes."""
    return json.dumps({"error": error_body(error)}).encode()
