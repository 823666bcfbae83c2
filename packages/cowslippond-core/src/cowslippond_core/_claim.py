"""The claim of a call and the answer that is recorded for it."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._messages import HeaderList
from cowslippond_core._table import ItemKey


class Claim(NamedTuple):
    """The right of one task to run a call once.

    ``deadline`` is on the clock, in milliseconds; ``until`` is the same
    moment since the Unix epoch.
    """

    row_key: ItemKey
    token: str
    request_digest: str
    deadline: Millis
    deadline_unix_ms: int

    def may_send(self, now: Millis) -> bool:
        """Tell whether the call may still be sent.

        A claimant that was paused past its deadline finds out here, since
        the clock goes on during a pause.

        :param now: the time on the clock, in milliseconds.
        """
        return now < self.deadline


class RecordedAnswer(NamedTuple):
    """An answer held whole; ``body`` of ``None`` was too large to keep.

    ``rest_digest`` is that of the part of the request's body that was passed
    on without being held, empty if there was none or not all was passed on.
    """

    status: int
    headers: HeaderList
    body: bytes | None
    rest_digest: str = ''
