"""Another writer leaves an odd entry beside those that the programs follow.

Guards against programs that end, or stop following a kind of object, because of one
entry that cannot be decoded, and against entries that name no usable server.
"""

import anyio
import msgspec
import pytest

from pistachiowell.core.errors import RowInvalid, StoreUnavailable
from pistachiowell.platform.configuration import decode_catalog
from pistachiowell.platform.json_parts import elements, members
from pistachiowell.platform.moves import decode_order
from pistachiowell.platform.objects import ObjectStore, _decode, _read_page
from pistachiowell.platform.servers import decode_server
from pistachiowell.platform.standins import answer_whole, serve_app, stream_events

pytestmark = pytest.mark.anyio

NESTED = b"[" * 100_000 + b"]" * 100_000
NOT_UNICODE = b'"\xff\xfe"'
ODD_SPECS = {
    "nested": NESTED,
    "nested in a field": b'{"Service": "desk", "Address": ' + NESTED + b"}",
    "not Unicode": b'{"Service": ' + NOT_UNICODE + b"}",
    "no object": b"7",
}


def server_document(**fields):
    """Returns the registration of a server as bytes."""
    document = {
        "Service": "desk",
        "Address": "10.0.0.1:80",
        "Zone": "east",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        **fields,
    }
    return msgspec.json.encode(document)


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
def test_odd_entry_ends_the_program_that_decodes_it(spec):
    assert decode_server("one", spec) is None
    assert decode_order(spec, b"null", 7) is None
    assert decode_order(b"{}", spec, 7) is None
    with pytest.raises(RowInvalid):
        decode_catalog(spec)


@pytest.mark.parametrize(
    "address",
    [
        "a b/:80",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:-1",
        ":80",
        "10.0.0.1",
        "::1",
    ],
)
def test_entry_with_an_odd_address_names_a_server(address):
    assert decode_server("one", server_document(Address=address)) is None


def test_entry_with_a_number_too_large_names_a_server():
    huge = b"1" + b"0" * 400
    for field in ("Slots", "ColdLeftMs", "born"):
        spec = server_document().replace(b"}", b',"%s":%s}' % (field.encode(), huge))
        assert decode_server("one", spec) is None
    order = b'{"Service": "desk", "Target": "v2", "DurationS": %s}'
    assert decode_order(order % huge, b"null", 7) is None
    assert decode_order(order % b"-1", b"null", 7) is None
    assert decode_order(order % b"15", b"null", 7) is not None


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
def test_list_with_an_odd_entry_is_not_read(spec):
    item = b'{"Metadata": {"Name": "%s", "Revision": 3}, "Spec": %s, "Status": null}'
    items = b", ".join([item % (b"good", server_document()), item % (b"odd", spec)])
    page = b'{"Items": [%s], "More": true, "CurrentRev": 9}' % items
    decoded = _decode(page, type(_read_page(page)), _read_page)
    assert [entry.metadata.name for entry in decoded.items] == ["good", "odd"]
    assert decoded.more
    assert decoded.current_rev == 9
    assert decode_server("good", bytes(decoded.items[0].spec)) is not None


@pytest.mark.parametrize("body", [b"", b"[", b"{}", b'{"Items": [', NESTED, b"\xff"])
def test_answer_that_is_no_list_is_an_outage(body):
    with pytest.raises(StoreUnavailable):
        _decode(body, type(_read_page(b'{"Items":[],"CurrentRev":1}')), _read_page)


def test_commas_and_brackets_in_strings_split_a_document():
    assert elements(rb'[ "a,]\"}" , {"b": [1, "]"]} ]') == [
        rb'"a,]\"}"',
        b'{"b": [1, "]"]}',
    ]
    assert members(rb'{"a\"b": ",", "c": []}') == {rb"a\"b": b'","', b"c": b"[]"}


class OddStore:
    """A store whose lists and watches contain an odd entry besides good ones."""

    def __init__(self, spec):
        self.spec = spec
        self.watches = 0

    async def __call__(self, scope, receive, send):
        """Answers a list or a watch."""
        item = b'{"Metadata": {"Name": "%s", "Revision": %d}, "Spec": %s}'
        good = item % (b"good", 3, server_document())
        if b"Watch" not in scope["query_string"]:
            body = b'{"Items": [%s], "CurrentRev": 9}' % good
        elif self.watches == 0:
            self.watches = 1
            events = [item % (b"odd", 10, self.spec), item % (b"late", 11, b"{}")]
            events = b", ".join(b'{"Object": %s}' % event for event in events)
            body = b'{"events": [%s], "CurrentRev": 11}' % events
        else:
            await anyio.sleep_forever()
        start = {"type": "http.response.start", "status": 200, "headers": []}
        await send(start)
        await send({"type": "http.response.body", "body": body})


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
async def test_watch_with_an_odd_entry_ends(spec):
    async with anyio.create_task_group() as group:
        port = await group.start(serve_app, OddStore(spec))
        store = ObjectStore(f"127.0.0.1:{port}")
        entries, version = await store.list("servers")
        names = [entry.name for entry in entries]
        with anyio.fail_after(2.0):
            async for change in store.watch("servers", version):
                if change is None:
                    break
                names.append(change.name)
        await store.aclose()
        group.cancel_scope.cancel()
    assert names == ["good", "odd", "late"]


async def test_programs_end_as_another_writer_leaves_odd_entries(start_rig):
    async with start_rig() as rig:
        await rig.add_server("desk-1", "desk")
        await rig.add_agent("agent-1")
        gateway = await rig.add_gateway()
        for kind in ("servers", "rollouts", "agents", "routers"):
            rig.store.put(kind, "odd", [[[[{"Service": 7}]]]])
        await rig.add_server("desk-2", "desk")
        await rig.until(lambda: "desk-2" in gateway.state.servers.known)
        await rig.add_agent("agent-2")
        await rig.until(lambda: "agent-2" in gateway.fleet.agents)
        status, _, _ = await rig.send("/read/a")
    assert status == 200


@pytest.mark.parametrize("server_id", ["\u4f60", "a\r\nX: y", " a", "a\x01", "\xe9"])
@pytest.mark.parametrize("path", ["/read/a", "/book/a", "/chat/a"])
async def test_request_goes_to_a_server_whose_id_no_header_can_have(
    start_rig, server_id, path
):
    service, script = "desk", answer_whole
    if path.startswith("/chat"):
        service, script = "pool", stream_events(1, 2)
    async with start_rig() as rig:
        await rig.add_server(server_id, service, script)
        await rig.add_server("sound", service, script)
        await rig.add_agent("agent-1")
        await rig.add_gateway()
        statuses = []
        for _ in range(8):
            is_chat = service == "pool"
            answer = await (rig.send_chat() if is_chat else rig.send(path, "POST"))
            statuses.append(answer[0])
        received = len(rig.servers[server_id].requests)
    assert (statuses, received) == ([200] * 8, 0)
