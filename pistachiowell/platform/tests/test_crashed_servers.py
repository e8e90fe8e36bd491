"""A quarter of the servers refuse connections while their registrations stay.

Guards against requests that are refused with 503 ``no_server`` after three attempts,
each at a crashed server, which looks idle next to the servers that work.
"""

import anyio
import pytest

from pistachiowell.platform.standins import answer_whole, chunk, event, head

pytestmark = pytest.mark.anyio

RUNNING, CRASHED = 12, 4


def streams_until(ended):
    """Returns a script whose streams last until an event is set."""

    async def script(request, stream):
        text = head(
            request, Content_Type="text/event-stream", Transfer_Encoding="chunked"
        )
        await stream.send(f"{text}\r\n".encode() + chunk(event(1)))
        await ended.wait()
        await stream.send(b"0\r\n\r\n")
        return True

    return script


async def add_servers(rig, free_port, service, script):
    for number in range(RUNNING):
        await rig.add_server(f"{service}-{number}", service, script)
    for number in range(RUNNING, RUNNING + CRASHED):
        name = f"{service}-{number}"
        rig.servers[name] = rig.servers[f"{service}-0"]
        rig.register(name, service, Address=f"127.0.0.1:{free_port()}")
    await rig.add_agent("agent-1")
    await rig.add_gateway()


async def test_idle_crashed_engines_get_each_attempt_of_a_request(start_rig, free_port):
    statuses, ended = [], anyio.Event()

    async def send(number):
        prompt = {"Pistachiowell_Prefix_Hash": f"{number:02x}:100"}
        status, _, _ = await rig.send_chat("/long/x", **prompt)
        statuses.append(status)

    async with start_rig() as rig:
        await add_servers(rig, free_port, "pool", streams_until(ended))
        async with anyio.create_task_group() as group:
            for number in range(2 * RUNNING):
                group.start_soon(send, number)
                await anyio.sleep(0.005)
            ended.set()
        assert statuses == [200] * 2 * RUNNING
        assert rig.gateways[0].metrics.values["servers.avoided"] == CRASHED


async def test_requests_that_may_run_once_are_served_by_the_other_servers(
    start_rig, free_port
):
    async with start_rig() as rig:
        await add_servers(rig, free_port, "desk", answer_whole)
        answers = [await rig.send("/book/a", "POST", b"x") for _ in range(30)]
    assert [status for status, _, _ in answers] == [200] * 30
