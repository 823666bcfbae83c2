"""The table over the DynamoDB JSON 1.0 protocol."""

from collections.abc import Mapping
from typing import Any

import orjson
from cowslippond_core import Clock
from expression import Error, Ok, Result

from cowslippond_standins._asgi import HTTP_BAD_REQUEST, HTTP_OK, Answer
from cowslippond_standins.platform._faults import Faults
from cowslippond_standins.platform._table import (
    TableFailure,
    TableStore,
    parse_write,
)

WRITES = frozenset(('PutItem', 'TransactWriteItems'))
_ERROR_PREFIX = 'com.amazonaws.dynamodb.v20120810#'
_CONTENT_TYPE = ((b'payload-type', b'application/x-amz-json-1.0'),)


class TableApi:
    """Answers the supported DynamoDB calls."""

    def __init__(self, clock: Clock, faults: Faults) -> None:
        self.store = TableStore(clock)
        self.faults = faults

    def answer(self, action: str, payload: bytes) -> Answer:
        """Execute a call and return its answer.

        :param action: DynamoDB operation, such as ``GetItem``.
        """
        self.faults.counters[action] += 1
        kind = 'writes' if action in WRITES else 'reads'
        if self.faults.throttle(kind):
            return _failure_answer(
                TableFailure(
                    'ProvisionedThroughputExceededException',
                    'Rate of requests exceeds the allowed throughput',
                )
            )
        outcome = self._execute(action, orjson.loads(payload))
        if outcome.is_error():
            self.faults.counters['conflicts'] += 1
            return _failure_answer(outcome.error)
        return Answer(HTTP_OK, orjson.dumps(outcome.ok), _CONTENT_TYPE)

    def _execute(
        self, action: str, body: Mapping[str, Any]
    ) -> Result[Mapping[str, Any], TableFailure]:
        if action == 'GetItem':
            return Ok(self._get(body))
        if action == 'Query':
            matching = self.store.query(body, self.faults.snapshot_time())
            return matching.map(_items_answer)
        if action == 'PutItem':
            return self.store.put(parse_write(body)).map(_empty)
        if action == 'TransactWriteItems':
            puts = [entry['Put'] for entry in body['TransactItems']]
            writes = [parse_write(put) for put in puts]
            return self.store.transact(writes).map(_empty)
        return Error(TableFailure('UnknownOperationException', action))

    def _get(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        item = self.store.get(body['Key'], self.faults.snapshot_time())
        return {} if item is None else {'Item': item}


def _items_answer(matching: list[Any]) -> Mapping[str, Any]:
    return {'Items': matching, 'Count': len(matching)}


def _empty(_: object) -> Mapping[str, Any]:
    return {}


def _failure_answer(failure: TableFailure) -> Answer:
    body = {'__type': _ERROR_PREFIX + failure.kind, 'message': failure.message}
    return Answer(HTTP_BAD_REQUEST, orjson.dumps(body), _CONTENT_TYPE)
