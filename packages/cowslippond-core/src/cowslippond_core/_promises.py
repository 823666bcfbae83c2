"""Statuses that promise a caller that its call has not run and never will."""

import http
from typing import NamedTuple

from cowslippond_core._messages import HeaderList

#: A caller that gets one of these may repeat a call that must not run twice.
NOT_RUN_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class AnswerHead(NamedTuple):
    """The status of an answer and its headers, with names in lower case."""

    status: int
    headers: HeaderList


def without_promise(
    head: AnswerHead, vouching_headers: frozenset[bytes]
) -> AnswerHead:
    """Return the head with which an answer to a call that may have run is sent.

    A status that promises that the call has not run is replaced.

    :param vouching_headers: the headers by which an upstream vouches for its
        status; they are dropped with it.
    """
    if head.status not in NOT_RUN_STATUSES:
        return head
    kept = tuple(
        header for header in head.headers if header[0] not in vouching_headers
    )
    return AnswerHead(http.HTTPStatus.BAD_GATEWAY.value, kept)
