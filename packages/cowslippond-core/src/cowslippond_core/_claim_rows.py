"""Encoding of claims as rows of the platform's table."""

import enum
from typing import NamedTuple

import orjson
from expression import Error, Ok, Result

from cowslippond_core._messages import HeaderList
from cowslippond_core._table import Attributes, Condition

_TOKEN_FIELD = 'token'
_STATE_FIELD = 'state'
_DIGEST_FIELD = 'request_digest'
_UNTIL_FIELD = 'until'
_EXPIRES_FIELD = 'expires_at'
_VM_FIELD = 'vm'
_ANSWER_FIELD = 'answer'
_BODY_FIELD = 'body'


class ClaimState(enum.StrEnum):
    """The recorded state of a claimed call."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    RELEASED = 'released'


class RecordedAnswerMetadata(NamedTuple):
    """The recorded properties of an answer, without its body.

    ``stored_at`` is the key of the object that contains the body; it is empty
    if the body is in the row itself. ``is_kept`` is false if the body was too
    large to record. ``length`` is the length of the body in bytes and
    ``digest`` its BLAKE2b digest.
    """

    status: int
    headers: HeaderList
    length: int
    digest: str
    stored_at: str
    is_kept: bool
    rest_digest: str


class ClaimRow(NamedTuple):
    """A row of the table that claims a call.

    ``deadline_unix_ms`` is the deadline of the claim's holder. It is only a
    hint to callers and never decides which daemon may run the call.
    ``expires_at`` is in seconds since the Unix epoch, the unit that the
    platform requires for the removal of expired rows.
    """

    token: str
    state: ClaimState
    request_digest: str
    vm: str
    deadline_unix_ms: int
    expires_at: int
    answer: RecordedAnswerMetadata | None = None
    body: bytes = b''


def row_conditions(token: str, state: ClaimState) -> tuple[Condition, ...]:
    """Return the conditions for overwriting a row that was read."""
    return (
        Condition(_TOKEN_FIELD, token),
        Condition(_STATE_FIELD, state.value),
    )


def encode_row(row: ClaimRow) -> Attributes:
    """Encode a row as the attributes of an item."""
    attributes: dict[str, str | int | bytes] = {
        _TOKEN_FIELD: row.token,
        _STATE_FIELD: row.state.value,
        _DIGEST_FIELD: row.request_digest,
        _VM_FIELD: row.vm,
        _UNTIL_FIELD: row.deadline_unix_ms,
        _EXPIRES_FIELD: row.expires_at,
    }
    if row.answer is None:
        return attributes
    attributes[_ANSWER_FIELD] = _encode_metadata(row.answer)
    attributes[_BODY_FIELD] = row.body
    return attributes


def decode_row(attributes: Attributes) -> Result[ClaimRow, str]:
    """Decode a row, or return a description of the error."""
    try:
        return Ok(_decode_row(attributes))
    except (KeyError, TypeError, ValueError) as malformed:
        return Error(repr(malformed))


def _decode_row(attributes: Attributes) -> ClaimRow:
    row = ClaimRow(
        token=str(attributes[_TOKEN_FIELD]),
        state=ClaimState(str(attributes[_STATE_FIELD])),
        request_digest=str(attributes[_DIGEST_FIELD]),
        vm=str(attributes[_VM_FIELD]),
        deadline_unix_ms=int(attributes[_UNTIL_FIELD]),
        expires_at=int(attributes[_EXPIRES_FIELD]),
    )
    if row.state is not ClaimState.ANSWERED:
        return row
    body = attributes[_BODY_FIELD]
    if not isinstance(body, bytes):
        raise TypeError('the body of a recorded answer is not binary')
    return row._replace(
        answer=_decode_metadata(str(attributes[_ANSWER_FIELD])), body=body
    )


def _encode_metadata(metadata: RecordedAnswerMetadata) -> str:
    headers = [
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in metadata.headers
    ]
    return orjson.dumps(
        metadata._replace(headers=())._asdict() | {'headers': headers}
    ).decode()


def _decode_metadata(text: str) -> RecordedAnswerMetadata:
    fields = orjson.loads(text)
    headers = tuple(
        (name.encode('latin-1'), header_value.encode('latin-1'))
        for name, header_value in fields.pop('headers')
    )
    return RecordedAnswerMetadata(headers=headers, **fields)
