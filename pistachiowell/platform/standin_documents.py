"""What operators, backend servers and callers say in the platform's spelling.

The soak and its tests speak for them.
"""

HOST = "soak.example"
KEY = "k-soak"


def soak_configuration(prepaid, timeout_ms=3000):
    """Returns the configuration document.

    Args:
        prepaid: Tokens paid for.
        timeout_ms: Longest time that a request is kept waiting.
    """
    routes = [
        ("read", "idempotent", "desk", {"MaxAttempts": 2}),
        ("book", "non_idempotent", "desk", {}),
        ("chat", "streaming", "pool", {"MaxAttempts": 2, "Resumable": True}),
    ]
    engine = {"Slots": 32, "KvCapacityTokens": 100_000, "Stride": 5}
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": name,
                "Host": HOST,
                "PathPrefix": f"/{name}/",
                "RouteKind": kind,
                "TimeoutMs": timeout_ms,
                "GoalMs": 300,
                "Service": service,
                "Sticky": kind == "streaming",
                **more,
            }
            for name, kind, service, more in routes
        ],
        "Services": [
            {"Name": "desk", "MaxConns": 200},
            {"Name": "pool", "MaxConns": 200, "Engine": engine},
        ],
        "Tenants": [{"Name": "acme", "ApiKeys": [KEY], "Prepaid": prepaid}],
    }


def registration(service, address):
    """Returns the registration of a backend server.

    Args:
        service: Name of its service.
        address: IP address and port.
    """
    return {
        "Service": service,
        "Address": address,
        "Zone": "east",
        "State": "ready",
        "Slots": 32,
        "Version": "v1",
        "born": 1,
    }


def caller_headers(request_id, wait_limit_s, prompt_tokens, output_tokens):
    """Returns the headers of a request as pairs of bytes.

    Args:
        request_id: The caller's id of the request.
        wait_limit_s: Seconds that the caller waits.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Most tokens of the answer.
    """
    headers = {
        "Host": HOST,
        "Api-Key": KEY,
        "Pistachiowell-Attempt-Id": request_id,
        "Pistachiowell-Deadline-Ms": str(int(wait_limit_s * 1000)),
        "Pistachiowell-Token-Usage": f"{prompt_tokens},{output_tokens}",
    }
    return [(name.encode(), value.encode()) for name, value in headers.items()]
