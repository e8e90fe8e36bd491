"""Changes of the table while the store does not answer at all."""

from types import SimpleNamespace

import anyio
import pytest

from pistachiowell.core.errors import StoreUnavailable
from pistachiowell.store.table_writer import TableWriter
from pistachiowell.tables import Change

pytestmark = pytest.mark.anyio


async def test_change_that_the_store_never_answers_raises_no_error_of_its_own():
    async def list_for_ever(collection):
        await anyio.sleep_forever()

    writer = TableWriter(SimpleNamespace(list=list_for_ever), 0.05)
    with pytest.raises(StoreUnavailable, match=r"0\.05 s"):
        await writer.commit(Change("change-1", "operator", "", []))
