"""The configuration changes while requests are in progress, and a server is silent.

Guards against requests that get neither an answer nor a refusal.
"""

import copy
import re

import anyio
import pytest

from pistachiowell.platform.standins import chunk, event, head
from pistachiowell.platform.tests.conftest import HOST, KEY, configuration

pytestmark = pytest.mark.anyio

SILENCE_S = 1.1
CALLS_S = 1.2
WAIT_LIMIT_S = 1.9
# The time limit of the routes with shorter times.
SHORT_LIMIT_S = 0.1
LAST = 12
# A connection that is closed sooner after a request may have crossed it.
LOSS_SLACK_S = 0.2
# Requests of the last two are answered at once.
POINTS = ("before the head", "in the head", "in the body", "", "")
KINDS = ("read", "book", "chat", "long")
# Seconds after which the body of a request ends.
BODY_DELAYS_S = (0.0, 0.0, 0.0, 0.15, 0.35, 0.35, 0.0, 0.0, 0.0, 0.1)


def point_of(request):
    """Returns the point of its answer at which the servers of a request are silent."""
    return POINTS[int(request.headers["pistachiowell-attempt-id"][-1]) % len(POINTS)]


async def answer_with_silence(request, stream):
    """Answers as the path wants it, and is silent at one point of the answer."""
    if point_of(request) == "before the head":
        await anyio.sleep(SILENCE_S)
    is_stream = request.target.split("/")[1] in ("chat", "long")
    fields = {"Content_Length": "8"}
    parts = [b"word", b"word"]
    if is_stream:
        fields = {
            "Content_Type": "text/event-stream",
            "Transfer_Encoding": "chunked",
        }
        first = int(request.headers.get("last-event-id", 0)) + 1
        parts = [chunk(event(number)) for number in range(first, LAST + 1)]
        parts.append(b"0\r\n\r\n")
    data = (head(request, **fields) + "\r\n").encode()
    await stream.send(data[:20])
    if point_of(request) == "in the head":
        await anyio.sleep(SILENCE_S)
    await stream.send(data[20:])
    for number, part in enumerate(parts):
        await stream.send(part)
        is_silent = number == len(parts) // 2 - 1 and point_of(request) == "in the body"
        await anyio.sleep(SILENCE_S if is_silent else 0.01)
    return True


def other_routes(document):
    """Gives each route another host."""
    for route in document["Routes"]:
        route["Host"] = "other.example"


def no_routes(document):
    """Removes the routes."""
    document["Routes"] = []


def other_services(document):
    """Sends each route to another service."""
    swapped = {"desk": "spare", "pool": "desk"}
    for route in document["Routes"]:
        route["Service"] = swapped.get(route["Service"], "pool")


def no_services(document):
    """Removes the services."""
    document["Services"] = []


def other_kinds(document):
    """Turns the kinds of the routes round."""
    kinds = {"idempotent": "non_idempotent"}
    for route in document["Routes"]:
        route |= {"RouteKind": kinds.get(route["RouteKind"], "idempotent")}
        route |= {"MaxAttempts": 1, "Resumable": False, "Sticky": False, "Priority": 3}


def short_timeouts(document):
    """Shortens all times."""
    for route in document["Routes"]:
        route["TimeoutMs"] = 1000 * SHORT_LIMIT_S
    document["Limits"] |= {"HeaderTimeoutMs": 50, "IdleTimeoutMs": 50}


def other_limits(document):
    """Changes the limits of the services."""
    for service in document["Services"]:
        service |= {"MaxConns": 1, "HealthPath": "/x", "ColdS": 5, "ColdPerS": 1}
        service.pop("Engine", None)


def no_accounts(document):
    """Removes the accounts."""
    document["Tenants"] = []


def other_prepaid(document):
    """Takes back the tokens of the account."""
    document["Tenants"][0]["Prepaid"] = 1


def many_routes(document):
    """Adds hundreds of routes."""
    for number in range(500):
        more = {"Name": f"r{number}", "PathPrefix": f"/r{number}/"}
        document["Routes"].append(document["Routes"][0] | more)


CHANGES = [
    other_routes,
    no_routes,
    other_services,
    no_services,
    other_kinds,
    short_timeouts,
    other_limits,
    no_accounts,
    other_prepaid,
    many_routes,
]


async def put_series(rig, change, versions):
    """Writes the changed configuration and the first one in turn, ten a second."""
    for version in versions:
        document = copy.deepcopy(configuration(version))
        if version % 2 == 0:
            change(document)
        rig.store.put("config", "main", document)
        await anyio.sleep(0.1)


async def register_again(rig, versions):
    """Lets the registrations lapse and return, of the same run and of a new one."""
    for version in versions:
        for number in (1, 2):
            for service in ("desk", "pool"):
                name = f"{service}-{number}"
                if version % 2 == 0 and number == 1:
                    rig.store.delete("servers", name)
                elif name not in rig.store.names("servers") or number == 2:
                    rig.register(name, service, born=version)
        await anyio.sleep(0.1)


def is_whole(answer):
    """Returns whether bytes are one whole answer in the protocol."""
    text, _, body = answer.partition(b"\r\n\r\n")
    if not text.startswith(b"HTTP/1.1 "):
        return False
    if b"chunked" in text.lower():
        return body.endswith(b"0\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", text.lower())
    return length is not None and len(body) == int(length[1])


async def exchange(stream, kind, request_id, body_delay_s):
    """Sends one request, whose body ends later.

    Returns:
        Its answer as far as it came, and whether the connection was open for longer
        than the slack after its last byte was sent.
    """
    text = (
        f"POST /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        f"Pistachiowell-Attempt-Id: {request_id}\r\n"
        f"Pistachiowell-Deadline-Ms: {1000 * WAIT_LIMIT_S:.0f}\r\n"
        "Content-Length: 6\r\n"
    )
    if kind == "chat":
        text += "Pistachiowell-Model: m\r\nPistachiowell-Token-Usage: 100,100\r\n"
    received, sent_at = b"", None
    try:
        await stream.send(f"{text}\r\nbod".encode())
        await anyio.sleep(body_delay_s)
        await stream.send(b"y-1")
        sent_at = anyio.current_time()
        while not is_whole(received):
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass
    is_late = sent_at is not None and anyio.current_time() - sent_at > LOSS_SLACK_S
    return received, is_late


def id_of(kind, number, count):
    """Returns the id of a request, whose end draws the point of silence."""
    return f"{kind}-{number}.{count}-{count + number}"


async def call(rig, kind, number, body_delay_s, change, answers):
    """Sends requests one after the other for some time, on connections that are kept.

    A connection that is closed as its next request comes is opened anew.
    """
    host, _, port = rig.address.partition(":")
    end = anyio.current_time() + CALLS_S
    count = 0
    while not count or anyio.current_time() < end:
        async with await anyio.connect_tcp(host, int(port)) as stream:
            answer = b"HTTP"
            while answer and (not count or anyio.current_time() < end):
                count += 1
                request_id = id_of(kind, number, count)
                begun_at = anyio.current_time()
                outcome = await exchange(stream, kind, request_id, body_delay_s)
                took_s = anyio.current_time() - begun_at
                answer, is_late = outcome
                limit_s = WAIT_LIMIT_S
                if change is short_timeouts and count > 1:
                    limit_s = time_limit_s_of(rig, request_id)
                if answer or is_late or waits_of(rig, request_id):
                    # What its own time limit ends is not lost.
                    answers[request_id] = is_whole(answer) or took_s >= limit_s
                if b"connection: close" in answer.lower():
                    answer = b""
                await anyio.sleep(0.02)


def waits_of(rig, request_id):
    """Returns the times in seconds that servers were given for a request."""
    return [
        int(request.headers["pistachiowell-deadline-ms"]) / 1000
        for server in rig.servers.values()
        for request in server.requests
        if request.headers["pistachiowell-attempt-id"] == request_id
    ]


def time_limit_s_of(rig, request_id):
    """Returns the time limit of a request that may have begun with shorter times."""
    longest_wait_s = max(waits_of(rig, request_id), default=WAIT_LIMIT_S)
    return SHORT_LIMIT_S if longest_wait_s <= SHORT_LIMIT_S else WAIT_LIMIT_S


async def until_first_requests_are_passed_on(rig):
    """Waits until servers have the first requests whose bodies came at once."""
    first = [
        id_of(kind, number, 1)
        for kind in KINDS
        for number, delay_s in enumerate(BODY_DELAYS_S)
        if not delay_s
    ]
    await rig.until(lambda: all(waits_of(rig, request_id) for request_id in first))


@pytest.mark.parametrize("change", [*CHANGES, None], ids=lambda c: c and c.__name__)
async def test_request_gets_no_answer_beside_a_change(start_rig, change):
    answers = {}
    async with start_rig() as rig:
        for number in (1, 2):
            for service in ("desk", "pool"):
                name = f"{service}-{number}"
                await rig.add_server(name, service, answer_with_silence)
        await rig.add_agent("agent-1")
        await rig.add_gateway()
        async with anyio.create_task_group() as group:
            for kind in KINDS:
                for number, delay_s in enumerate(BODY_DELAYS_S):
                    group.start_soon(call, rig, kind, number, delay_s, change, answers)
            await anyio.sleep(0.08)
            if change is short_timeouts:
                await until_first_requests_are_passed_on(rig)
            if change is None:
                await register_again(rig, range(6, 14))
            else:
                await put_series(rig, change, range(2, 10))
    assert len(answers) >= len(KINDS) * len(BODY_DELAYS_S)
    assert [name for name, is_ended in answers.items() if not is_ended] == []
