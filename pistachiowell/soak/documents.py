"""The configuration of a soak in the platform's spelling."""

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
