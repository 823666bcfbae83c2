"""Claims of calls and the answers recorded for them."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._messages import HeaderList
from cowslippond_core._table import ItemKey


class Claim(NamedTuple):
    """The exclusive right of one task to run a call once.

    ``deadline`` is a time on the clock, in milliseconds; ``deadline_unix_ms``
    is the same time since the Unix epoch.
    """

    row_key: ItemKey
    token: str
    request_digest: str
    deadline: Millis
    deadline_unix_ms: int

    def may_send(self, now: Millis) -> bool:
        """Return whether the call may still be sent.

        The clock keeps running while the process is paused, so a process
        that was paused past the deadline does not send the call.

        :param now: the time on the clock, in milliseconds.
        """
        return now < self.deadline


class RecordedAnswer(NamedTuple):
    """A complete answer, whose body may have been too large to record.

    ``body`` is ``None`` if it was too large. ``rest_digest`` is the digest of
    the part of the request's body that was streamed without buffering. It is
    empty if there was no such part or if it was not streamed to its end.
    """

    status: int
    headers: HeaderList
    body: bytes | None
    rest_digest: str = ''
