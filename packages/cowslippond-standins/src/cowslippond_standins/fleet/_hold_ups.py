"""Records when the stand-ins could not work, because their process stood still."""

from collections.abc import Iterable
from typing import NamedTuple

from cowslippond_core import Clock, Millis

from cowslippond_standins.fleet._caller import CallResult

_TICK: Millis = 20

# A tick that takes longer than this is a hold-up. Calls have an objective of
# 200 ms, and a pause of 75 ms has filled the queue of a back end.
_MAX_TICK: Millis = 75

# After a hold-up, daemons probe the back ends again. They back off for at most
# as long as the hold-up lasted, and then need some time for what waits.
_RECOVERY: Millis = 500


class HoldUp(NamedTuple):
    """A time in which the event loop of the stand-ins stood still."""

    started_at: Millis
    ended_at: Millis

    def affects(self, call: CallResult) -> bool:
        """Return whether a call was in progress then or shortly afterwards."""
        span = self.ended_at - self.started_at
        recovered_at = self.ended_at + span + _RECOVERY
        if call.sent_at >= recovered_at:
            return False
        return call.sent_at + call.duration >= self.started_at


class HoldUps:
    """Tells which calls say nothing about the daemons.

    Back ends, store and callers run in one process. While it is held up on a
    busy machine, no daemon can get an answer or a configuration.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.spans: list[HoldUp] = []

    async def watch(self) -> None:
        """Record hold-ups until cancelled."""
        while True:
            started_at = self.clock.now()
            await self.clock.sleep(_TICK)
            ended_at = self.clock.now()
            if ended_at - started_at > _MAX_TICK:
                self.spans.append(HoldUp(started_at, ended_at))

    def unaffected(self, calls: Iterable[CallResult]) -> list[CallResult]:
        """Return the calls that no hold-up affected."""
        return [
            call
            for call in calls
            if not any(span.affects(call) for span in self.spans)
        ]
