"""An event loop whose time passes only while nothing else is to be done."""

import asyncio
import selectors
from typing import Any

from cowslippond_core import Clock, Millis

_MILLIS_PER_SECOND = 1000


class _VirtualSelector(selectors.SelectSelector):
    """Moves the time of its loop in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed: float = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return at once; the time moves by the timeout."""
        if timeout is None:
            raise RuntimeError('every task waits for another one')
        self.elapsed += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time, which starts at 0."""

    def __init__(self) -> None:
        self.virtual_selector = _VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.virtual_selector.elapsed


class VirtualClock(Clock):
    """Tells the time of the running loop."""

    def now(self) -> Millis:
        """Return the simulated time in milliseconds."""
        return asyncio.get_running_loop().time() * _MILLIS_PER_SECOND

    def wall(self) -> int:
        """Return the simulated time, as if it began with the epoch."""
        return int(self.now())


def backend_options() -> dict[str, Any]:
    """Return the options under which ``anyio.run`` simulates time."""
    return {'loop_factory': VirtualLoop}
