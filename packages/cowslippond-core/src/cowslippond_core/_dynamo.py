"""Client of the platform's table for the DynamoDB JSON 1.0 protocol."""

import base64
from collections.abc import Mapping, Sequence
from typing import Any

import httpcore
import orjson
from expression import Error, Ok, Result

from cowslippond_core._clock import Millis
from cowslippond_core._http_client import HttpClient
from cowslippond_core._table import (
    Attributes,
    AttributeValue,
    ItemKey,
    Put,
    TableError,
    TableFault,
)

_TARGET_PREFIX = 'DynamoDB_20120810.'
_OK_STATUS = 200
_CLIENT_ERROR_STATUS = 400
_AMBIGUOUS_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)
_MAX_CONNECTIONS = 32
_PARTITION = 'pk'
_SORT = 'sk'
_CONFLICTS = ('ConditionalCheckFailedException', 'TransactionCanceledException')
_THROTTLES = ('ProvisionedThroughputExceededException', 'ThrottlingException')


def encode_value(plain: AttributeValue) -> dict[str, str]:
    """Encode an attribute value in the typed form of the protocol."""
    if isinstance(plain, bytes):
        return {'B': base64.b64encode(plain).decode()}
    if isinstance(plain, int):
        return {'N': str(plain)}
    return {'S': plain}


def decode_value(typed: Mapping[str, str]) -> AttributeValue:
    """Decode an attribute value from the typed form of the protocol."""
    kind, text = next(iter(typed.items()))
    if kind == 'B':
        return base64.b64decode(text)
    if kind == 'N':
        return int(text)
    return text


class DynamoTable:
    """A table of the platform, accessed over HTTP.

    :param url: the endpoint, such as ``http://10.0.0.1:8000``.
    :param name: the table's name.
    :param timeout: the maximum time to wait for an answer, in milliseconds.
    """

    def __init__(self, url: str, name: str, timeout: Millis) -> None:
        self.url = url
        self.name = name
        self.client = HttpClient(url, _MAX_CONNECTIONS, timeout)

    async def get(self, key: ItemKey) -> Result[Attributes | None, TableError]:
        """Return the latest state of an item, or ``None`` if it is absent."""
        body = {
            'TableName': self.name,
            'Key': _encode_key(key),
            'ConsistentRead': True,
        }
        answer = await self._call('GetItem', body)
        return answer.map(_decode_get_item)

    async def put(self, put: Put) -> Result[None, TableError]:
        """Write one item if its conditions hold."""
        answer = await self._call('PutItem', _encode_put(self.name, put))
        return answer.map(_discard_answer)

    async def transact(self, puts: Sequence[Put]) -> Result[None, TableError]:
        """Write all items if all conditions hold, and otherwise none."""
        writes = [{'Put': _encode_put(self.name, put)} for put in puts]
        answer = await self._call(
            'TransactWriteItems', {'TransactItems': writes}
        )
        return answer.map(_discard_answer)

    async def query(
        self, partition: str, after: str, limit: int
    ) -> Result[list[tuple[ItemKey, Attributes]], TableError]:
        """Return the items of a partition whose sort key is above ``after``.

        :param limit: the maximum number of items, in order of the sort key.
        """
        body = {
            'TableName': self.name,
            'ConsistentRead': True,
            'Limit': limit,
            'KeyConditionExpression': 'pk = :pk AND sk > :sk',
            'ExpressionAttributeValues': {
                ':pk': encode_value(partition),
                ':sk': encode_value(after),
            },
        }
        answer = await self._call('Query', body)
        return answer.map(_decode_query)

    async def close(self) -> None:
        """Close the connections to the table."""
        await self.client.aclose()

    async def _call(
        self, action: str, body: Mapping[str, Any]
    ) -> Result[dict[str, Any], TableError]:
        try:
            response = await self.client.request(
                'POST',
                '/',
                {
                    'Content-Type': 'application/x-amz-json-1.0',
                    'X-Amz-Target': _TARGET_PREFIX + action,
                },
                orjson.dumps(body),
            )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
        ) as connect_error:
            return Error(
                TableError(TableFault.UNAVAILABLE, repr(connect_error))
            )
        except _AMBIGUOUS_ERRORS as ambiguous_error:
            return Error(TableError(TableFault.UNKNOWN, repr(ambiguous_error)))
        return _read_answer(response)


def _read_answer(
    response: httpcore.Response,
) -> Result[dict[str, Any], TableError]:
    if response.status == _OK_STATUS:
        return Ok(orjson.loads(response.content or b'{}'))
    text = response.content.decode(errors='replace')
    detail = f'status {response.status} {text}'.strip()
    if response.status != _CLIENT_ERROR_STATUS:
        return Error(TableError(TableFault.UNKNOWN, detail))
    if any(name in detail for name in _CONFLICTS):
        return Error(TableError(TableFault.CONFLICT, detail))
    if any(name in detail for name in _THROTTLES):
        return Error(TableError(TableFault.UNAVAILABLE, detail))
    return Error(TableError(TableFault.UNKNOWN, detail))


def _encode_key(key: ItemKey) -> dict[str, dict[str, str]]:
    return {
        _PARTITION: encode_value(key.partition),
        _SORT: encode_value(key.sort),
    }


def _encode_put(table: str, put: Put) -> dict[str, Any]:
    item = _encode_key(put.key)
    for name, plain in put.attributes.items():
        item[name] = encode_value(plain)
    body: dict[str, Any] = {'TableName': table, 'Item': item}
    if not put.conditions:
        return body
    clauses = []
    names = {}
    expected = {}
    for index, condition in enumerate(put.conditions):
        if condition.expected is None:
            clauses.append('attribute_not_exists(pk)')
            continue
        clauses.append(f'#a{index} = :v{index}')
        names[f'#a{index}'] = condition.attribute
        expected[f':v{index}'] = encode_value(condition.expected)
    body['ConditionExpression'] = ' AND '.join(clauses)
    if names:
        body['ExpressionAttributeNames'] = names
        body['ExpressionAttributeValues'] = expected
    return body


def _decode_get_item(answer: dict[str, Any]) -> Attributes | None:
    item = answer.get('Item')
    if item is None:
        return None
    return _decode_attributes(item)


def _decode_query(
    answer: dict[str, Any],
) -> list[tuple[ItemKey, Attributes]]:
    rows = []
    for item in answer.get('Items', []):
        attributes = _decode_attributes(item)
        key = ItemKey(item[_PARTITION]['S'], item[_SORT]['S'])
        rows.append((key, attributes))
    return rows


def _decode_attributes(item: Mapping[str, Mapping[str, str]]) -> Attributes:
    return {
        name: decode_value(typed)
        for name, typed in item.items()
        if name not in {_PARTITION, _SORT}
    }


def _discard_answer(_: object) -> None:
    """Replace the answer to a write, which contains nothing of use."""
