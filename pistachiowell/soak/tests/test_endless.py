"""Whole answers that a stand-in without end writes, which the soak takes for wrong."""

from types import SimpleNamespace

import anyio
import httpcore
import pytest

from pistachiowell.platform.standins import head
from pistachiowell.soak import endless
from pistachiowell.soak.endless import BLOCK_BYTES, EndlessStream

pytestmark = pytest.mark.anyio

REQUEST = SimpleNamespace(headers={"pistachiowell-attempt-id": "book-79-at-gate-2"})
BODY = "book-79-at-gate-2"


class _Connection:
    """Records what is sent until its first block, and is cut off then."""

    def __init__(self):
        self.parts = []

    async def send(self, data):
        """Records a part."""
        self.parts += [data] if data else []
        if len(data) > BLOCK_BYTES / 2:
            raise anyio.BrokenResourceError

    async def has_whole_answer(self):
        """Returns whether a client as that of the gateways reads a whole answer."""
        backend = httpcore.AsyncMockBackend(self.parts)
        async with httpcore.AsyncConnectionPool(network_backend=backend) as pool:
            try:
                await pool.request("GET", "http://server/")
            except (httpcore.RemoteProtocolError, httpcore.ReadError):
                return False
        return True


@pytest.mark.parametrize("number", range(len(endless.UNITS)))
@pytest.mark.parametrize("more", [{}, {"Server_Leaving": "1"}])
async def test_answer_without_end_is_whole(number, more):
    # The soak then reported "a wrong answer looked whole".
    text = head(REQUEST, Content_Length=str(len(BODY)), **more)
    data, whole = f"{text}\r\n{BODY}".encode(), []
    for cut in range(len(text)):
        rng = SimpleNamespace(
            random=lambda: 1.0,
            choice=lambda units: units[number],
            randint=lambda first, last, cut=cut: min(cut, last),
        )
        connection = _Connection()
        with pytest.raises(anyio.BrokenResourceError):
            await EndlessStream(connection, rng).send(data)
        if await connection.has_whole_answer():
            whole.append(data[:cut])
    assert whole == []
