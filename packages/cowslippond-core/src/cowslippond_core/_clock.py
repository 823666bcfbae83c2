"""The clock that all other modules use, in milliseconds."""

import time
from typing import TypeAlias

import anyio

Millis: TypeAlias = float

#: A wait may end this much before its time.
TIMER_RESOLUTION: Millis = 1

_NANOS_PER_MILLI = 1_000_000
_MILLIS_PER_SECOND = 1000


class Clock:
    """A monotonic clock, in milliseconds.

    It uses ``CLOCK_BOOTTIME``, which keeps running while a VM is suspended, so
    a resumed process sees how much time has passed.
    """

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary starting point."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOS_PER_MILLI

    def wall(self) -> int:
        """Return the milliseconds since the Unix epoch.

        This is for timestamps and logs; unlike :meth:`now`, it may jump when
        the system clock is set.
        """
        return time.time_ns() // _NANOS_PER_MILLI

    async def sleep(self, delay: Millis) -> None:
        """Sleep for a time.

        :param delay: in milliseconds; zero or less only yields to other tasks.
        """
        await anyio.sleep(max(delay, 0) / _MILLIS_PER_SECOND)


def seconds_of(span: Millis) -> float:
    """Convert a time span to seconds.

    :param span: in milliseconds.
    """
    return span / _MILLIS_PER_SECOND
