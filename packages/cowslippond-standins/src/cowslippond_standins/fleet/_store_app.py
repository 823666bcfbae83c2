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
    not answered.
    """

    def __init__(self) -> None:
        self.mode = 'well'
        self.delay: Millis = 0
        self.lost_answers = 0


class StoreApp:
    """Serves the rows of the store to daemons."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rows = Rows()
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}
        self.hang_feeds_before: Millis = -math.inf

    def hang_open_feeds(self) -> None:
        """Leave the feed requests that are open now unanswered."""
        self.hang_feeds_before = self.clock.now()

    def write(self, table: str, key: str, payload: object) -> None:
        """Write a row on behalf of an operator or a back end.

        :param payload: stored as JSON; ``None`` removes the row.
        """
        value = None if payload is None else orjson.dumps(payload)
        self.rows.transact([Row(table, '', key, value, 0)], [])

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
        answer = await self._answer(path, query, body)
        if path == '/rows-feed' and received_at < self.hang_feeds_before:
            await _asgi.wait_for_disconnect(receive)
            return
        if path == '/rows-tx' and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await _asgi.wait_for_disconnect(receive)
            return
        await _asgi.send_answer(send, answer)

    async def _answer(
        self, path: str, query: Mapping[str, str], body: bytes
    ) -> _asgi.Answer:
        if path == '/rows-get':
            return self._get(query)
        if path == '/rows-feed':
            return await self._feed(query)
        if path == '/rows-tx':
            return self._transact(orjson.loads(body))
        return _asgi.Answer(_asgi.HTTP_NOT_FOUND)

    def _get(self, query: Mapping[str, str]) -> _asgi.Answer:
        rows, has_more = self.rows.read(
            query['table'], query.get('part', ''), query.get('from', '')
        )
        return self._rows_answer(rows, has_more=has_more)

    async def _feed(self, query: Mapping[str, str]) -> _asgi.Answer:
        after = int(query['after'])
        wait = min(float(query.get('wait_ms', 0)), _MAX_WAIT)
        with anyio.move_on_after(seconds_of(wait)):
            while not self.rows.changes_since(query['table'], after):
                if after < self.rows.truncated_at:
                    break
                await self.rows.changed.wait()
        rows = self.rows.changes_since(query['table'], after)
        if rows is None:
            return _asgi.Answer(_HTTP_GONE)
        return self._rows_answer(rows)

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
        differing = self.rows.transact(writes, expect)
        if differing is None:
            return self._rows_answer([])
        return self._rows_answer(differing, status=_HTTP_CONFLICT)

    def _rows_answer(
        self,
        rows: list[Row],
        *,
        has_more: bool = False,
        status: int = _asgi.HTTP_OK,
    ) -> _asgi.Answer:
        return _asgi.json_answer(
            {
                'rows': [row.encode() for row in rows],
                'row_version': self.rows.version,
                'now_ms': int(self.clock.now()),
                'has_more': has_more,
            },
            status,
        )


def _row_of(entry: Mapping[str, Any], version: int) -> Row:
    value = base64.b64decode(entry.get('value', ''))
    part = entry.get('part', '')
    return Row(entry['table'], part, entry['key'], value, version)
