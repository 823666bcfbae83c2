"""The headers of calls that one daemon sends through another."""

from cowslippond_core._dialect import (
    AnswerMetadata,
    NotRunReason,
    SendMetadata,
    encode_remaining,
)
from cowslippond_core._headers import DEADLINE, OUTCOME, RELAYED, REQUEST_ID
from cowslippond_core._messages import HeaderList, Outcome

_DEADLINE = DEADLINE.encode()
_RELAYED = RELAYED.encode()
_OUTCOME = OUTCOME.encode()
_REQUEST_ID = REQUEST_ID.encode()
_NOT_RUN = Outcome.NOT_RUN.encode()
_NO_HEADERS: frozenset[bytes] = frozenset()


class RelayDialect:
    """Encodes calls to a peer's caller address and decodes its answers.

    The peer has checked that an answer is the upstream's own. It gets the
    caller's key, since it authenticates the call itself.

    :param vouching_headers: those of the upstreams, which the peer passes on.
    """

    reserved_headers = frozenset((_DEADLINE, _RELAYED))
    workspace_headers: frozenset[bytes] = frozenset()
    allows_close_delimited = False
    echoes_request_id = True

    def __init__(
        self, vouching_headers: frozenset[bytes] = _NO_HEADERS
    ) -> None:
        self.vouching_headers = vouching_headers

    def request_headers(self, metadata: SendMetadata) -> HeaderList:
        """Return the remaining time, and a mark that prevents a second relay."""
        return (
            *encode_remaining(_DEADLINE, metadata.remaining),
            (_RELAYED, b'1'),
        )

    def read_answer(self, status: int, headers: HeaderList) -> AnswerMetadata:
        """Return the ID of the call, and the peer's promise not to run it."""
        by_name = dict(headers)
        is_refused = by_name.get(_OUTCOME) == _NOT_RUN
        return AnswerMetadata(
            request_id=by_name.get(_REQUEST_ID),
            not_run=NotRunReason.SHED if is_refused else None,
        )
