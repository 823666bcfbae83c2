"""Records when the store could not be read, and since when it can be again."""

import math

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._versions import Versions

# The store may have been down if nobody is known to have read it for this long.
# When readers are lost, others read again in less time.
_MIN_SILENCE: Millis = 2000


class StoreOutage:
    """An outage of the store that this daemon noticed by a read that failed.

    It ends with the next read of any daemon. The daemon that noticed it may not
    read again for long, as others do, so its own next read tells nothing of the
    time at which the store has returned.

    :param versions: the versions whose confirmations tell of the reads of all
        daemons.
    """

    def __init__(self, versions: Versions) -> None:
        self.is_noticed = False
        self.failed_at: Millis = -math.inf
        self.returned_at: Millis | None = None
        versions.confirmation_listeners.append(self.record_read)

    def record_failure(self, at: Millis) -> None:
        """Record that a read of this daemon has failed.

        :param at: until when the store had not answered, in milliseconds.
        """
        self.is_noticed = True
        self.failed_at = at
        self.returned_at = None

    def record_read(self, requested_at: Millis) -> None:
        """Record that the store has answered a read of any daemon.

        :param requested_at: when it was asked, in milliseconds.
        """
        is_over = self.returned_at is not None
        if is_over or not self.is_noticed or requested_at <= self.failed_at:
            return
        self.returned_at = requested_at

    def end(self, now: Millis) -> Millis | None:
        """End the outage, as this daemon has read the store.

        :param now: in milliseconds.
        :returns: when the store had returned, in milliseconds, or ``None`` if
            there was no outage.
        """
        if not self.is_noticed:
            return None
        self.is_noticed = False
        return now if self.returned_at is None else self.returned_at


class StoreSilence:
    """The last time in which no daemon was known to read the store.

    :param clock: measures it.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.read_seen_at: Millis = -math.inf
        self.ended_at: Millis = -math.inf

    def record_reading(self) -> None:
        """Record that this daemon or another one reads the store now."""
        now = self.clock.now()
        if now - self.read_seen_at >= _MIN_SILENCE:
            self.ended_at = now
        self.read_seen_at = now

    def is_recent(self, max_age: Millis) -> bool:
        """Return whether the store may be down, or was within a time span.

        :param max_age: the time span, in milliseconds.
        """
        now = self.clock.now()
        if now - self.read_seen_at >= _MIN_SILENCE:
            return True
        return now - self.ended_at < max_age
