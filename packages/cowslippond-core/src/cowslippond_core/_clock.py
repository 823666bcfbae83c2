"""Time in milliseconds: the one clock type that every other module uses."""

import time
from typing import TypeAlias

import anyio

Millis: TypeAlias = float

_NANOS_PER_MILLI = 1_000_000
_MILLIS_PER_SECOND = 1000


class Clock:
    """Read and wait on a monotonic clock, in milliseconds.

    ``CLOCK_BOOTTIME`` goes on while a VM is suspended, so a process that was
    paused sees on waking how much time went by.
    """

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary start."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOS_PER_MILLI

    def wall(self) -> int:
        """Return the milliseconds since the Unix epoch, for people and logs."""
        return time.time_ns() // _NANOS_PER_MILLI

    async def sleep(self, delay: Millis) -> None:
        """Wait for a time.

        :param delay: in milliseconds; zero or less only yields.
        """
        await anyio.sleep(max(delay, 0) / _MILLIS_PER_SECOND)


def seconds_of(span: Millis) -> float:
    """Convert a time span for libraries that count in seconds.

    :param span: in milliseconds.
    """
    return span / _MILLIS_PER_SECOND
