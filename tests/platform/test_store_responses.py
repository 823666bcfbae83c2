"""Malformed responses of the store."""

from types import MappingProxyType
from typing import Any

import pytest
from cowslippond_core import StoreFault
from cowslippond_daemon.platform._store import StoreResponse, TableReader
from expression import Ok, Result

pytestmark = pytest.mark.anyio

ROW = MappingProxyType({'key': 'a', 'row_version': 3, 'value': ''})


class FakeStore:
    """Answers each call with the same fields."""

    def __init__(self, fields: dict[str, Any]) -> None:
        self.fields = fields

    async def call(self, *args: Any, **kwargs: Any) -> Result[Any, Any]:
        return Ok(StoreResponse(self.fields, 1))


class TestRevision:
    @pytest.mark.parametrize('revision', [-1, 1 << 40, (1 << 50) + 3])
    @pytest.mark.parametrize('is_of_row', [True, False])
    async def test_one_out_of_range_is_an_error(
        self, revision: int, is_of_row: bool
    ) -> None:
        """-1 became the highest of the era: later rows were ignored."""
        row = {**ROW, 'row_version': revision if is_of_row else 3}
        store: Any = FakeStore(
            {'rows': [row], 'row_version': 3 if is_of_row else revision}
        )
        for read in (
            await TableReader(store, 'servers').read(),
            await TableReader(store, 'servers').wait(2, 700),
        ):
            assert read.is_error()
            assert read.error.fault is StoreFault.UNREADABLE

    async def test_highest_one_is_read(self) -> None:
        store: Any = FakeStore({'rows': [ROW], 'row_version': (1 << 40) - 1})
        assert (await TableReader(store, 'servers').read()).is_ok()
