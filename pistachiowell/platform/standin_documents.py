"""Documents and headers that operators, servers and callers send in the soak tests."""

HOST = "soak.example"
KEY = "k-soak"
USAGE_HEADER = b"Pistachiowell-Token-Usage"
# Of no effect where the settings have no bound for cold servers.
COLD_S, COLD_PER_S = 3.0, 12.0
MAX_MORE_ROUTES = 200


def soak_configuration(prepaid, timeout_ms=3000):
    """Returns the configuration document of the soak tests.

    Args:
        prepaid: Tokens paid for by the account.
        timeout_ms: Timeout of a request in milliseconds.
    """
    routes = [
        ("read", "idempotent", "desk", {"MaxAttempts": 2}),
        ("book", "non_idempotent", "desk", {}),
        ("chat", "streaming", "pool", {"MaxAttempts": 2, "Resumable": True}),
        ("long", "streaming", "pool", {}),
    ]
    engine = {"Slots": 32, "KvCapacityTokens": 100_000, "Stride": 5}
    cold = {"ColdS": COLD_S, "ColdPerS": COLD_PER_S}
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
            {"Name": "desk", "MaxConns": 200, **cold},
            {"Name": "pool", "MaxConns": 200, "Engine": engine, **cold},
        ],
        "Tenants": [{"Name": "acme", "ApiKeys": [KEY], "Prepaid": prepaid}],
    }


def changed_configuration(document):
    """Returns the next version of a configuration, with other times and more routes.

    Args:
        document: The configuration document before.
    """
    version = document["Version"] + 1
    routes = [r for r in document["Routes"] if not r["Name"].startswith("more-")]
    more = [
        {"Name": f"more-{number}", "PathPrefix": f"/more-{version}-{number}/"}
        for number in range(version % MAX_MORE_ROUTES)
    ]
    limits = {"IdleTimeoutMs": 1000 * (1 + version % 15)}
    return {
        **document,
        "Version": version,
        "Limits": limits | {"HeaderTimeoutMs": 500 * (1 + version % 6)},
        "Routes": [*routes, *(routes[0] | fields for fields in more)],
    }


def registration(service, address, data_centre="east"):
    """Returns the registration document of a backend server.

    Args:
        service: Name of its service.
        address: IP address and port.
        data_centre: Name of its data centre.
    """
    return {
        "Service": service,
        "Address": address,
        "Zone": data_centre,
        "State": "ready",
        "Slots": 32,
        "Version": "v1",
        "born": 1,
    }


def cold_registration(spec, born_ms, left_s):
    """Returns a registration as a new run of its server that is cold writes it."""
    return {**spec, "born": born_ms, "ColdLeftMs": max(0, int(left_s * 1000))}


def cold_headers(left_s):
    """Returns what a cold server adds to answers, by name with ``_`` for ``-``."""
    return {"Pistachiowell_Cold_Ms": str(int(left_s * 1000))}


def caller_headers(request_id, wait_limit_s, prompt_tokens, output_tokens, parts=()):
    """Returns the headers of a request as pairs of bytes.

    Args:
        request_id: Id that the caller gives to the request.
        wait_limit_s: Longest time in seconds that the caller waits.
        prompt_tokens: Number of tokens of the prompt.
        output_tokens: Maximum number of tokens of the answer.
        parts: Ids of the parts of the prompt; none to send no list of them.
    """
    headers = {
        "Host": HOST,
        "Api-Key": KEY,
        "Pistachiowell-Attempt-Id": request_id,
        "Pistachiowell-Deadline-Ms": str(int(wait_limit_s * 1000)),
        USAGE_HEADER.decode(): f"{prompt_tokens},{output_tokens}",
    }
    if parts:
        items = [f"{part}:{prompt_tokens // len(parts)}" for part in parts]
        headers["Pistachiowell-Prefix-Hash"] = ",".join(items)
    return [(name.encode(), value.encode()) for name, value in headers.items()]
