"""Tests of the HTTP adapter against simulated servers in this process."""

import functools
from contextlib import asynccontextmanager

import anyio
import msgspec
import pytest

from pistachiowell.core.errors import ServerFailed
from pistachiowell.engines import HttpBackend, ServerLoad
from pistachiowell.standins import asgi, engine, plain, relay

JSON = {"content-type": "application/json"}


@asynccontextmanager
async def serving(app, port, *tasks):
    async with anyio.create_task_group() as group:
        for task in tasks:
            group.start_soon(task)
        group.start_soon(asgi.serve_app, app, port)
        await wait_until_listening(port)
        yield HttpBackend(f"http://127.0.0.1:{port}")
        group.cancel_scope.cancel()


async def wait_until_listening(port):
    while True:
        try:
            stream = await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            await anyio.sleep(0.01)
        else:
            return await stream.aclose()


def engine_flags(port, *more):
    settings = engine.define_flags()
    settings(["engine", f"--port={port}", "--model=m", *more])
    return settings


def create_engine(port, *more):
    state = engine.Engine(engine_flags(port, *more))
    return state, serving(engine.EngineApp(state), port, state.batch.run)


def chat_body(prompt, **fields):
    message = {"role": "user", "content": prompt}
    return msgspec.json.encode({"model": "m", "messages": [message], **fields})


async def exchange(backend, path, body, method="POST", headers=JSON):
    async with backend.request(method, path, headers, body) as response:
        data = b"".join([part async for part in response.chunks()])
    return response.status, data


@pytest.mark.anyio
async def test_refused_connection_means_not_run(free_port):
    backend = HttpBackend(f"http://127.0.0.1:{free_port()}")
    with pytest.raises(ServerFailed) as caught:
        await exchange(backend, "/any", b"")
    assert caught.value.ran == "no"


@pytest.mark.anyio
async def test_broken_answers_mean_unknown_and_the_run_counts(free_port):
    port = free_port()
    settings = plain.define_flags()
    settings(["plain", f"--port={port}"])
    async with serving(plain.PlainApp(settings), port) as backend:
        keyed = {"idempotency-key": "k"}
        status, body = await exchange(backend, "/stock/reserve", b"", headers=keyed)
        assert (status, msgspec.json.decode(body)["run"]) == (200, 1)
        await exchange(backend, "/control", b'{"lose_answer": true}')
        with pytest.raises(ServerFailed) as caught:
            await exchange(backend, "/stock/reserve", b"", headers=keyed)
        assert caught.value.ran == "unknown"
        _, runs = await exchange(backend, "/control/runs", b"", "GET")
        assert msgspec.json.decode(runs) == {"runs": {"k": 2}}


@pytest.mark.anyio
async def test_engine_streams_whole_answer_with_usage(free_port):
    _, running = create_engine(free_port())
    async with running as backend:
        body = chat_body(
            "a b words=3", stream=True, stream_options={"include_usage": True}
        )
        status, data = await exchange(backend, "/v1/chat/completions", body)
        events = [line[6:] for line in data.decode().split("\n\n") if line]
        assert (status, events[-1]) == (200, "[DONE]")
        usage = msgspec.json.decode(events[-2])["usage"]
        assert (usage["prompt_tokens"], usage["completion_tokens"]) == (3, 3)
        _, data = await exchange(
            backend, "/v1/chat/completions", chat_body("a b words=3")
        )
        text = msgspec.json.decode(data)["choices"][0]["message"]["content"]
        deltas = [msgspec.json.decode(event)["choices"] for event in events[:-2]]
        streamed = [part[0]["delta"].get("content", "") for part in deltas]
        assert "".join(streamed) == text


@pytest.mark.anyio
async def test_engine_cancels_when_the_client_leaves(free_port):
    state, running = create_engine(free_port(), "--load_lag_s=0")
    async with running as backend:
        body = chat_body("words=100000", stream=True)
        path = "/v1/chat/completions"
        async with backend.request("POST", path, JSON, body) as response:
            async for _ in response.chunks():
                break
            assert await backend.load() == ServerLoad(1, 0, 8)
        while state.counts["cancelled"] == 0:
            await anyio.sleep(0.01)
        assert await backend.load() == ServerLoad(0, 0, 8)


@pytest.mark.anyio
async def test_engine_collapses_beyond_its_capacity(free_port):
    state, running = create_engine(free_port(), "--capacity=3", "--slots=2")
    async with running as backend:
        statuses = []

        async def send_chat():
            body = chat_body("words=1000")
            status, _ = await exchange(backend, "/v1/chat/completions", body)
            statuses.append(status)

        async with anyio.create_task_group() as group:
            for _ in range(4):
                group.start_soon(send_chat)
        assert statuses == [500] * 4
        assert state.is_recovering
        await send_chat()
        assert statuses[-1] == 503


@pytest.mark.anyio
@pytest.mark.parametrize("fencing", ["--fencing", "--nofencing"])
async def test_engine_checks_fencing_numbers_when_told_to(free_port, fencing):
    _, running = create_engine(free_port(), fencing)
    async with running as backend:
        assert await backend.order("load", "m-2", 5)
        assert await backend.order("load", "m-3", 4) == (fencing == "--nofencing")


@pytest.mark.anyio
async def test_engine_starts_to_fail_later_on_one_path(free_port):
    _, running = create_engine(free_port())
    async with running as backend:
        fault = {"fail_share": 1.0, "after_requests": 1, "only_path": "/v1/completions"}
        await exchange(backend, "/control", msgspec.json.encode(fault))
        text = msgspec.json.encode({"model": "m", "prompt": "a"})
        statuses = [
            (await exchange(backend, path, body))[0]
            for path, body in [
                ("/v1/completions", text),
                ("/v1/completions", text),
                ("/v1/chat/completions", chat_body("a")),
                ("/v1/chat/completions", chat_body("a", model="other")),
            ]
        ]
        assert statuses == [200, 500, 200, 404]


@pytest.mark.anyio
async def test_relay_holds_one_direction_and_cuts(free_port):
    port, listen, control = free_port(), free_port(), free_port()
    state = engine.Engine(engine_flags(port))
    link = relay.Relay("127.0.0.1", port)
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=listen
    )
    faults = HttpBackend(f"http://127.0.0.1:{control}")
    relayed = HttpBackend(f"http://127.0.0.1:{listen}")
    app = engine.EngineApp(state)
    control_app = relay.RelayControl({"main": link})
    serve_relay = functools.partial(listener.serve, link.forward_connection)
    async with listener, serving(app, port), serving(control_app, control, serve_relay):
        await exchange(faults, "/control", b'{"drop_down": true}')
        with anyio.move_on_after(0.2) as scope:
            await relayed.load()
        assert scope.cancelled_caught
        await exchange(faults, "/control", b"{}")
        assert await relayed.load() == ServerLoad(0, 0, 8)
        await exchange(faults, "/control", b'{"cut": true}')
        with pytest.raises(ServerFailed):
            await relayed.load()
