"""Client of the platform's store."""

import base64
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import urlencode

import orjson
from anyio.abc import TaskGroup
from cowslippond_core import (
    Clock,
    Connections,
    HttpCalls,
    Millis,
    StoreError,
    StoreFault,
    StoreRow,
    StoreRows,
)
from expression import Error, Ok, Result

_logger = logging.getLogger(__name__)

_OK = 200
_GONE = 410
_PAGE_ROWS = 500

# A healthy store answers within 4 ms. A call that takes longer than this is
# considered lost and is sent again.
_TIMEOUT: Millis = 1000

# Even a store that is 60 times slower than usual answers a call for changes
# within this time after the requested wait. Later than that, the connection has
# stalled, and a change may have been lost with it.
_WAIT_SLACK: Millis = 400

_MAX_CALLS = 4


class Store:
    """Sends calls to the store; concurrent calls use separate connections.

    :param address: ``ip:port``.
    :param tasks: runs the tasks that read from connections.
    :param clock: measures how long connections are idle.
    """

    def __init__(self, address: str, tasks: TaskGroup, clock: Clock) -> None:
        self.calls = HttpCalls(Connections(address, tasks, clock, _MAX_CALLS))

    async def call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str | int],
        body: bytes | None = None,
        wait: Millis = 0,
    ) -> Result[dict[str, Any], StoreError]:
        """Send a call and return the JSON object of its response.

        :param wait: how long the store may delay its response to wait for
            changes, in milliseconds.
        """
        target = f'{path}?{urlencode(query)}'
        headers = {'content-type': 'application/json'}
        outcome = await self.calls.call(
            method,
            target,
            headers,
            body or b'',
            wait + _WAIT_SLACK if wait else _TIMEOUT,
        )
        if outcome.is_error():
            return _fail(StoreFault.UNREACHABLE, outcome.error)
        response = outcome.ok
        if response.status == _GONE:
            return _fail(StoreFault.HISTORY_LOST, path)
        if response.status != _OK:
            return _fail(
                StoreFault.REFUSED, f'{path}: status {response.status}'
            )
        try:
            answer = orjson.loads(response.body)
        except ValueError as error:
            return _fail(StoreFault.UNREADABLE, repr(error))
        if not isinstance(answer, dict):
            return _fail(
                StoreFault.UNREADABLE, f'{path}: response is not a JSON object'
            )
        return Ok(answer)


class TableReader:
    """Reads the rows of a table.

    :param store: the store of the table.
    :param table: the name of the table.
    :param translate_key: returns the key under which to return a row, or
        ``None`` to ignore it. A value that cannot be decoded is then returned as
        an empty text, so that it does not hide the other rows.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        translate_key: Callable[[str], str | None] | None = None,
    ) -> None:
        self.store = store
        self.table = table
        self.translate_key = translate_key

    async def read(self) -> Result[StoreRows, StoreError]:
        """Return all rows, with the revision of the first page."""
        rows: list[StoreRow] = []
        revision: int | None = None
        query: dict[str, str | int] = {
            'table': self.table,
            'part': '',
            'limit': _PAGE_ROWS,
        }
        while True:
            page = await self.store.call('GET', '/rows-get', query)
            if page.is_error():
                return Error(page.error)
            decoded = self._decode(page.ok)
            if decoded.is_error():
                return decoded
            rows.extend(decoded.ok.rows)
            if revision is None:
                revision = decoded.ok.revision
            if not page.ok.get('has_more'):
                return Ok(StoreRows(tuple(rows), revision))
            # ``from`` is inclusive, so start just after the last key read.
            last_key = page.ok['rows'][-1]['key']
            query['from'] = f'{last_key}\0'

    async def wait(
        self, after: int, wait: Millis
    ) -> Result[StoreRows, StoreError]:
        """Wait for changes after a revision and return them."""
        query: dict[str, str | int] = {
            'table': self.table,
            'after': after,
            'wait_ms': int(wait),
        }
        answer = await self.store.call('GET', '/rows-feed', query, wait=wait)
        if answer.is_error():
            return Error(answer.error)
        return self._decode(answer.ok)

    def _decode(self, answer: dict[str, Any]) -> Result[StoreRows, StoreError]:
        try:
            rows = tuple(self._decode_rows(answer['rows']))
            return Ok(StoreRows(rows, int(answer['row_version'])))
        except (KeyError, TypeError, ValueError) as error:
            return _fail(StoreFault.UNREADABLE, repr(error))

    def _decode_rows(self, rows: Iterable[dict[str, Any]]) -> list[StoreRow]:
        if self.translate_key is None:
            return [
                StoreRow(row['key'], int(row['row_version']), _decode_text(row))
                for row in rows
            ]
        decoded = []
        for row in rows:
            key = self.translate_key(row['key'])
            if key is None:
                continue
            version = int(row['row_version'])
            decoded.append(StoreRow(key, version, _decode_or_empty(row)))
        return decoded


def _decode_text(row: dict[str, Any]) -> str | None:
    if row.get('deleted'):
        return None
    return base64.b64decode(row['value']).decode('utf-8', 'replace')


def _decode_or_empty(row: dict[str, Any]) -> str | None:
    try:
        return _decode_text(row)
    except (KeyError, TypeError, ValueError) as error:
        _logger.warning(
            'cannot decode the value of a row',
            extra={'key': row['key'], 'detail': repr(error)},
        )
        return ''


def _fail(fault: StoreFault, detail: str) -> Result[Any, StoreError]:
    return Error(StoreError(fault, detail))
