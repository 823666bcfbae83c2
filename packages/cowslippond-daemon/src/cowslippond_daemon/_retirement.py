"""The planned stop of a daemon: nothing that runs is cut."""

import enum
import logging
import signal
from collections.abc import Callable

import anyio
from cowslippond_core import Clock, Millis

from cowslippond_daemon._edge import Edge
from cowslippond_daemon._servers import DaemonServer

_log = logging.getLogger(__name__)

_POLL_MS = 20
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class DaemonState(enum.StrEnum):
    """What a daemon is doing, as its status says."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'


class RetirementPlan:
    """Stops a daemon without cutting a call.

    The daemon first fails its health check and goes on serving while the
    balancer's view lags. Every answer then closes its connection, and idle
    connections reach their keep-alive limit, so none is cut. What still runs
    may finish until the limit.

    :param clock: the clock of the waits.
    :param lag_ms: how long the balancer may go on sending, in milliseconds.
    :param limit_ms: the longest the whole stop may take, in milliseconds.
    :param closes_idle: whether connections that are idle after the lag are
        closed, and further calls refused, so that no call begins so late that
        the process has to end under it. Callers then have to send a call again
        whose connection closes before the call was read.
    """

    def __init__(
        self,
        clock: Clock,
        lag_ms: Millis,
        limit_ms: Millis,
        *,
        closes_idle: bool = False,
    ) -> None:
        self.clock = clock
        self.closes_idle = closes_idle
        self.lag_ms = lag_ms
        self.limit_ms = limit_ms
        self.started_at: Millis | None = None

    async def retire(
        self,
        edge: Edge,
        server: DaemonServer,
        has_pending_work: Callable[[], bool],
    ) -> None:
        """Drain the edge and end its server.

        :param owes_work: whether work for callers that got their answer is
            still to be done, such as recording an answer.
        """
        self.started_at = self.clock.now()
        edge.is_leaving = True
        _log.info('leaving', extra={'lag_ms': self.lag_ms})
        await self.clock.sleep(min(self.lag_ms, self._time_left()))
        if self.closes_idle:
            edge.refuses_calls = True
            server.close_idle()
        connections = server.server_state.connections
        while connections and self._time_left() > 0:
            await self.clock.sleep(_POLL_MS)
        while has_pending_work() and self._time_left() > 0:
            await self.clock.sleep(_POLL_MS)
        if edge.active_calls:
            _log.error(
                'stopped while calls ran', extra={'calls': edge.active_calls}
            )
        server.should_exit = True

    def _time_left(self) -> Millis:
        started_at = self.started_at or self.clock.now()
        return started_at + self.limit_ms - self.clock.now()


async def wait_for_stop(on_stop: Callable[[], None]) -> None:
    """Wait for a signal that asks for a planned stop.

    :param tell: called at the first signal.
    """
    with anyio.open_signal_receiver(*_STOP_SIGNALS) as signals:
        async for _ in signals:
            on_stop()
            return
