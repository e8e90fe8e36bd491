"""A gateway is stopped, and its settings file changes while it ends its requests."""

import itertools
import os
import signal
import sys
from pathlib import Path

import anyio
import common

from pistachiowell.platform.standins import chunk, event, head

GRACE_S = 8.0
TIMEOUT_MS = 12_000
EVENTS, EVENT_INTERVAL_S = 25, 0.1
BOOK_WORK_S = 1.5
STREAMS, BOOKINGS = 8, 4
TERM_AFTER_S, HUP_AFTER_S = 0.5, 0.5
STOPPED = "edge-1"
AGENTS = ("side-1", "side-2", "side-3")
GATEWAYS = ("edge-1", "edge-2", "edge-3")


async def play(record):
    """Plays the case and returns the exit code."""
    arrived = {}

    async def stream_events(request, stream):
        request_id = request.headers["pistachiowell-attempt-id"]
        arrived[request_id] = "its server began to run it"
        text = head(
            request, Content_Type="text/event-stream", Transfer_Encoding="chunked"
        )
        await stream.send((text + "\r\n").encode())
        for number in range(1, EVENTS + 1):
            await anyio.sleep(EVENT_INTERVAL_S)
            await stream.send(chunk(event(number)))
        await stream.send(b"0\r\n\r\n")
        arrived[request_id] = "its server ran it to its end"
        return True

    async def book(request, stream):
        request_id = request.headers["pistachiowell-attempt-id"]
        arrived[request_id] = "its server began to run it"
        await anyio.sleep(BOOK_WORK_S)
        arrived[request_id] = "its server ran it to its end"
        text = head(request, Content_Length=str(len(request_id)))
        await stream.send(f"{text}\r\n{request_id}".encode())
        return True

    answers = {}
    async with anyio.create_task_group() as group:
        fleet = common.Fleet(group, record)
        try:
            await fleet.start_store(common.soak_configuration(1_000_000, TIMEOUT_MS))
            for number in (1, 2, 3):
                await fleet.add_server(f"pool-{number}", "pool", stream_events)
                await fleet.add_server(f"desk-{number}", "desk", book)
            for name in AGENTS:
                fleet.start_agent(name)
            for name in GATEWAYS:
                fleet.start_gateway(name)
            await fleet.wait_until_registered()
            # In an era that is new to their holders grants don't grow for two seconds.
            await send_one(fleet, record, {}, "long", "first")
            await anyio.sleep(2.5)
            async with anyio.create_task_group() as load:
                for kind in itertools.chain(["long"] * STREAMS, ["book"] * BOOKINGS):
                    request_id = f"{kind}-{len(answers) + 1}"
                    answers[request_id] = None
                    load.start_soon(send_one, fleet, record, answers, kind, request_id)
                await play_day(fleet, record)
            await anyio.sleep(0.5)
            record.add(f"exit code of {STOPPED}: {fleet.exit_code(STOPPED)}")
        finally:
            fleet.stop()
            group.cancel_scope.cancel()
    return judge(answers, arrived, record)


def judge(answers, arrived, record):
    """Returns the exit code by the rule LOST."""
    lost = 0
    for request_id, answer in answers.items():
        state = arrived.get(request_id, "it reached no server")
        is_lost = request_id in arrived and not answer.is_complete
        lost += is_lost
        record.add(
            f"{request_id}: {state}; status {answer.status},"
            f" {'complete' if answer.is_complete else 'broken off'}"
            f" after {answer.after_s:.2f} s{' - LOST' if is_lost else ''}"
        )
    text = (
        f"{lost} of {len(answers)} requests that {STOPPED} had read and passed on ended"
        " without a complete answer"
    )
    record.add(text)
    print(text)
    if not arrived:
        return common.COULD_NOT_RUN
    return common.BROKEN if lost else common.HELD


async def send_one(fleet, record, answers, kind, request_id):
    """Sends one request to the gateway that will be stopped."""
    headers = common.caller_headers(request_id, TIMEOUT_MS / 1000, 100, 200)
    if kind == "book":
        headers = [p for p in headers if p[0] != b"Pistachiowell-Token-Usage"]
    record.add(f"{request_id} is sent to {STOPPED}")
    path = f"/{kind}/{request_id}"
    wait_s = TIMEOUT_MS / 1000
    address = fleet.addresses[STOPPED]
    answers[request_id] = await common.send(address, path, headers, wait_s=wait_s)


async def play_day(fleet, record):
    """Stops a gateway and tells it that its settings file has changed.

    ``PARTS`` may name a part of the trouble: ``stop`` and ``settings``.
    """
    parts = os.environ.get("PARTS", "stop,settings").split(",")
    if not common.has_trouble():
        parts = []
    await anyio.sleep(TERM_AFTER_S)
    if "stop" in parts:
        fleet.send_signal(STOPPED, signal.SIGTERM)
    await anyio.sleep(HUP_AFTER_S)
    if "settings" in parts:
        fleet.send_signal(STOPPED, signal.SIGHUP)


def main():
    """Runs the case."""
    record = common.Record(Path(__file__).parent)
    try:
        return anyio.run(play, record)
    except Exception as error:
        record.add(f"could not run: {error!r}")
        raise SystemExit(common.COULD_NOT_RUN) from error


if __name__ == "__main__":
    sys.exit(main())
