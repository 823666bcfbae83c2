"""An event loop with a simulated clock.

Time advances only while no task is ready to run.
"""

import asyncio
import selectors
from typing import Any

from cowslippond_core import Clock, Millis

_MILLIS_PER_SECOND = 1000


class _VirtualSelector(selectors.SelectSelector):
    """Advances the simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed: float = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the time by the timeout and poll without waiting."""
        if timeout is None:
            raise RuntimeError('deadlock: no task is ready and no timer is set')
        self.elapsed += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time that starts at 0."""

    def __init__(self) -> None:
        self.virtual_selector = _VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.virtual_selector.elapsed


class VirtualClock(Clock):
    """A clock that reads the simulated time of the running event loop."""

    def now(self) -> Millis:
        """Return the simulated time in milliseconds."""
        return asyncio.get_running_loop().time() * _MILLIS_PER_SECOND

    def wall(self) -> int:
        """Return the simulated time as if it had started at the Unix epoch."""
        return int(self.now())


def backend_options() -> dict[str, Any]:
    """Return the options with which ``anyio.run`` uses simulated time."""
    return {'loop_factory': VirtualLoop}
