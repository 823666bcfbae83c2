"""The store as an ASGI application, with faults that a test can inject."""

import base64
import math
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qsl

import anyio
import orjson
from cowslippond_core import Clock, Millis, seconds_of

from cowslippond_standins import _asgi
from cowslippond_standins.fleet._rows import Row, Rows

_HTTP_CONFLICT = 412
_HTTP_GONE = 410
_HTTP_FORBIDDEN = 403
_READ_ONLY_TABLES = frozenset(('op', 'servers'))
_MAX_WAIT: Millis = 30_000


class StoreFaults:
    """Faults of the store.

    ``mode`` is ``well`` (no fault), ``refusing`` (answers with status 503) or
    ``silent`` (never answers). ``delay`` is added before each call.
    ``lost_answers`` is the number of coming transactions that are executed but
    not answered. ``era_header`` replaces the number of the era in responses;
    an empty text leaves the header out.
    """

    def __init__(self) -> None:
        self.mode = 'well'
        self.delay: Millis = 0
        self.lost_answers = 0
        self.era_header: str | None = None


class StoreApp:
    """Serves the rows of the store to daemons."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rows = Rows()
        self.previous = self.rows
        # Ports on which daemons still see the rows before the last restore.
        self.lagging_ports: set[int] = set()
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}
        self.hang_feeds_before: Millis = -math.inf

    def hang_open_feeds(self) -> None:
        """Leave the feed requests that are open now unanswered."""
        self.hang_feeds_before = self.clock.now()

    def restore_copy(self, age: Millis) -> None:
        """Restore the rows from a copy, which starts a new era.

        :param age: how old the copy is.
        """
        self.previous = self.rows
        self.rows = self.previous.restored(self.clock.now() - age)
        self.previous.wake()

    def write(self, table: str, key: str, payload: object) -> None:
        """Write a row on behalf of an operator or a back end.

        :param payload: stored as JSON; ``None`` removes the row.
        """
        value = None if payload is None else orjson.dumps(payload)
        row = Row(table, '', key, value, 0)
        self.rows.transact([row], [], self.clock.now())

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Answer one request."""
        if not _asgi.is_http(scope):
            return
        body = await _asgi.read_body(receive)
        path = scope['path']
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.faults.mode == 'silent':
            await _asgi.wait_for_disconnect(receive)
            return
        await self.clock.sleep(self.faults.delay)
        if self.faults.mode == 'refusing':
            await _asgi.send_answer(send, _asgi.Answer(_asgi.HTTP_UNAVAILABLE))
            return
        query = dict(parse_qsl(scope['query_string'].decode()))
        received_at = self.clock.now()
        port = scope['server'][1]
        answer = await self._answer(path, query, body, port)
        if path == '/rows-feed' and received_at < self.hang_feeds_before:
            await _asgi.wait_for_disconnect(receive)
            return
        if path == '/rows-tx' and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await _asgi.wait_for_disconnect(receive)
            return
        await _asgi.send_answer(send, answer)

    async def _answer(
        self, path: str, query: Mapping[str, str], body: bytes, port: int
    ) -> _asgi.Answer:
        if path == '/rows-get':
            return self._get(query, self._rows_at(port))
        if path == '/rows-feed':
            return await self._feed(query, port)
        if path == '/rows-tx':
            return self._transact(orjson.loads(body))
        return _asgi.Answer(_asgi.HTTP_NOT_FOUND)

    def _get(self, query: Mapping[str, str], rows: Rows) -> _asgi.Answer:
        found, has_more = rows.read(
            query['table'], query.get('part', ''), query.get('from', '')
        )
        return self._rows_answer(rows, found, has_more=has_more)

    def _rows_at(self, port: int) -> Rows:
        return self.previous if port in self.lagging_ports else self.rows

    async def _feed(self, query: Mapping[str, str], port: int) -> _asgi.Answer:
        rows = self._rows_at(port)
        after = int(query['after'])
        wait = min(float(query.get('wait_ms', 0)), _MAX_WAIT)
        with anyio.move_on_after(seconds_of(wait)):
            while _has_no_change(rows, query['table'], after):
                await rows.changed.wait()
                rows = self._rows_at(port)
        rows = self._rows_at(port)
        found = rows.changes_since(query['table'], after)
        if found is None:
            return _asgi.Answer(_HTTP_GONE, headers=self._era_of(rows))
        return self._rows_answer(rows, found)

    def _era_of(self, rows: Rows) -> _asgi.Headers:
        text = self.faults.era_header
        if text is None:
            text = str(rows.era)
        return ((b'store-era', text.encode()),) if text else ()

    def _transact(self, transaction: Mapping[str, Any]) -> _asgi.Answer:
        puts = [_row_of(entry, 0) for entry in transaction.get('puts', ())]
        removals = [
            _row_of(entry, 0) for entry in transaction.get('remove', ())
        ]
        writes = [*puts, *[row._replace(value=None) for row in removals]]
        if any(row.table in _READ_ONLY_TABLES for row in writes):
            return _asgi.Answer(_HTTP_FORBIDDEN)
        expect = [
            _row_of(entry, int(entry['row_version']))
            for entry in transaction.get('expect', ())
        ]
        differing = self.rows.transact(writes, expect, self.clock.now())
        if differing is None:
            return self._rows_answer(self.rows, [])
        return self._rows_answer(self.rows, differing, status=_HTTP_CONFLICT)

    def _rows_answer(
        self,
        rows: Rows,
        found: list[Row],
        *,
        has_more: bool = False,
        status: int = _asgi.HTTP_OK,
    ) -> _asgi.Answer:
        answer = _asgi.json_answer(
            {
                'rows': [row.encode() for row in found],
                'row_version': rows.version,
                'now_ms': int(self.clock.now()),
                'has_more': has_more,
            },
            status,
        )
        headers = (*answer.headers, *self._era_of(rows))
        return answer._replace(headers=headers)


def _has_no_change(rows: Rows, table: str, after: int) -> bool:
    changes = rows.changes_since(table, after)
    return changes is not None and not changes


def _row_of(entry: Mapping[str, Any], version: int) -> Row:
    value = base64.b64decode(entry.get('value', ''))
    part = entry.get('part', '')
    return Row(entry['table'], part, entry['key'], value, version)
