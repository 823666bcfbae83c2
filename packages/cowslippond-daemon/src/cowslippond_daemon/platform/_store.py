"""Client of the platform's store."""

import base64
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple
from urllib.parse import urlencode

import orjson
from anyio.abc import TaskGroup
from cowslippond_core import (
    MAX_ERA,
    Clock,
    Connections,
    HeaderList,
    HttpCalls,
    Millis,
    StoreError,
    StoreFault,
    StoreRow,
    StoreRows,
    combine_era,
    era_of,
    plain_revision,
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

_ERA_HEADER = b'store-era'

# An invalid value is logged up to this number of characters.
_MAX_LOGGED = 64


class StoreResponse(NamedTuple):
    """The JSON object of a response, and the era of the store.

    ``era`` is one more than the store's number, and 0 if the response has no
    valid one, since the store may count from 0.
    """

    fields: dict[str, Any]
    era: int


class Store:
    """Sends calls to the store; concurrent calls use separate connections.

    :param address: ``ip:port``.
    :param tasks: runs the tasks that read from connections.
    :param clock: measures how long connections are idle.
    """

    def __init__(self, address: str, tasks: TaskGroup, clock: Clock) -> None:
        self.calls = HttpCalls(Connections(address, tasks, clock, _MAX_CALLS))
        self.is_era_invalid = False

    async def call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str | int],
        body: bytes | None = None,
        wait: Millis = 0,
    ) -> Result[StoreResponse, StoreError]:
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
        era = self._decode_era(response.headers)
        if response.status == _GONE:
            return _fail(StoreFault.HISTORY_LOST, path, era)
        if response.status != _OK:
            return _fail(
                StoreFault.REFUSED, f'{path}: status {response.status}', era
            )
        try:
            answer = orjson.loads(response.body)
        except ValueError as error:
            return _fail(StoreFault.UNREADABLE, repr(error))
        if not isinstance(answer, dict):
            return _fail(
                StoreFault.UNREADABLE, f'{path}: response is not a JSON object'
            )
        return Ok(StoreResponse(answer, era))

    def _decode_era(self, headers: HeaderList) -> int:
        """Return the era of a response; log the first of invalid ones."""
        texts = [text for name, text in headers if name == _ERA_HEADER]
        era = _parse_era(texts) if texts else 0
        is_invalid = bool(texts) and not era
        if is_invalid and not self.is_era_invalid:
            _logger.warning(
                'store sent an era that is not a number',
                extra={'detail': repr(texts)[:_MAX_LOGGED]},
            )
        self.is_era_invalid = is_invalid
        return era


def _parse_era(texts: list[bytes]) -> int:
    if len(set(texts)) != 1 or not texts[0].strip().isdigit():
        return 0
    era = int(texts[0][:_MAX_LOGGED]) + 1
    return era if era <= MAX_ERA else 0


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
        era = 0
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
            elif era_of(revision) != page.ok.era:
                return _fail(
                    StoreFault.HISTORY_LOST, 'restored while reading', era
                )
            era = page.ok.era
            if not page.ok.fields.get('has_more'):
                return Ok(StoreRows(tuple(rows), revision))
            # ``from`` is inclusive, so start just after the last key read.
            last_key = page.ok.fields['rows'][-1]['key']
            query['from'] = f'{last_key}\0'

    async def wait(
        self, after: int, wait: Millis
    ) -> Result[StoreRows, StoreError]:
        """Wait for changes after a revision and return them."""
        query: dict[str, str | int] = {
            'table': self.table,
            'after': plain_revision(after),
            'wait_ms': int(wait),
        }
        answer = await self.store.call('GET', '/rows-feed', query, wait=wait)
        if answer.is_error():
            return Error(answer.error)
        return self._decode(answer.ok)

    def _decode(self, response: StoreResponse) -> Result[StoreRows, StoreError]:
        answer = response.fields
        try:
            rows = tuple(self._decode_rows(answer['rows'], response.era))
            revision = _decode_revision(answer, response.era)
            return Ok(StoreRows(rows, revision))
        except (KeyError, TypeError, ValueError) as error:
            return _fail(StoreFault.UNREADABLE, repr(error))

    def _decode_rows(
        self, rows: Iterable[dict[str, Any]], era: int
    ) -> list[StoreRow]:
        decoded = []
        for row in rows:
            revision = _decode_revision(row, era)
            if self.translate_key is None:
                text = _decode_text(row)
                decoded.append(StoreRow(row['key'], revision, text))
                continue
            key = self.translate_key(row['key'])
            if key is not None:
                text = _decode_or_empty(row)
                decoded.append(StoreRow(key, revision, text))
        return decoded


def _decode_revision(fields: Mapping[str, Any], era: int) -> int:
    """Return the revision of a row or response, combined with the era.

    One that does not fit would be taken for another, possibly for the highest
    of the era, after which no change would be applied.
    """
    revision = int(fields['row_version'])
    if plain_revision(revision) != revision:
        raise ValueError(f'row_version out of range: {revision}')
    return combine_era(era, revision)


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


def _fail(
    fault: StoreFault, detail: str, era: int = 0
) -> Result[Any, StoreError]:
    return Error(StoreError(fault, detail, era))
