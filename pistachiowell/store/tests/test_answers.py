"""Fuzz tests of ``HttpStore`` against malformed responses.

Every response must give a result or a typed error; the client must not hang.
"""

from contextlib import suppress

import anyio
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from pistachiowell.core.errors import PistachiowellError, StoreAnswerLost
from pistachiowell.store import HttpStore

TOKENS = (
    "{|}|[|]|:|,|null|1|NaN|-1|1e999|"
    '"metadata"|"name"|"resourceVersion"|"spec"|"items"|"type"|"object"|"ERROR"|\n'
)
METADATA = '{"name":"a","resourceVersion":"1"}'
OBJECT = f'{{"metadata":{METADATA},"spec":1}}'
BODIES = st.one_of(
    st.binary(max_size=60),
    st.lists(st.sampled_from(TOKENS.split("|"))).map(lambda t: "".join(t).encode()),
    st.sampled_from([OBJECT.encode(), f'{{"items":[{OBJECT}]}}'.encode()]),
)
HEADS = st.sampled_from(
    [b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n", b"", b"HTTP/1.1", b"\x00\xff"]
)


class FixedResponseServer:
    """Sends the same bytes to each client, then closes the connection."""

    def __init__(self):
        self.answer = b""

    async def serve(self, port, *, task_status):
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        task_status.started()
        await listener.serve(self.reply)

    async def reply(self, stream):
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            async with stream:
                await stream.receive()
                await stream.send(self.answer)


async def call_all(store):
    results = []
    for call in (
        store.get("rows", "a"),
        store.list("rows"),
        store.vms(),
        store.put("rows", "a", b"1", 0),
        store.delete("rows", "a", 1),
        anext(store.watch("rows", 0)),
    ):
        try:
            results.append(await call)
        except PistachiowellError as error:
            results.append(error)
    return results


def collect_results(free_port, answers):
    """Returns, for each raw response, the results of all calls."""

    async def run():
        port = free_port()
        server = FixedResponseServer()
        store = HttpStore(f"http://127.0.0.1:{port}", call_timeout_s=5.0)
        results = []
        async with anyio.create_task_group() as group:
            await group.start(server.serve, port)
            for server.answer in answers:
                results.append(await call_all(store))
            group.cancel_scope.cancel()
        await store.aclose()
        return results

    return anyio.run(run)


@pytest.fixture(scope="module")
def find_port():
    import socket

    def find():
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()[1]

    return find


@settings(max_examples=40)
@given(
    head=HEADS,
    status=st.sampled_from([200, 201, 301, 400, 404, 409, 410, 429, 500, 503]),
    body=BODIES,
    missing=st.integers(0, 2),
)
@example(head=b"HTTP/1.1 %d x\r\n\r\n", status=200, body=b'{"type":"x"}', missing=0)
@example(
    head=b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n",
    status=200,
    body=b'{"metadata":{"name":"a","resourceVersion":"' + b"9" * 5000 + b'"},"spec":1}',
    missing=0,
)
def test_any_answer_gives_a_result_or_a_typed_error(
    find_port, head, status, body, missing
):
    if b"%d" in head:
        fields = (status, len(body) + missing)[: head.count(b"%d")]
        head = head % fields
    assert len(collect_results(find_port, [head + body])[0]) == 6


def test_unreadable_answer_to_a_write_may_have_taken_effect(find_port):
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
    results = collect_results(find_port, [answer, answer[:-1]])
    assert all(isinstance(result[3], StoreAnswerLost) for result in results)
    assert isinstance(results[1][4], StoreAnswerLost)
