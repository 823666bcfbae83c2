"""Graceful shutdown of a daemon, without interrupting running calls."""

import enum
import logging
import signal
from collections.abc import Callable

import anyio
from cowslippond_core import Clock, Millis, StopLimit

from cowslippond_daemon._edge import Edge
from cowslippond_daemon._servers import DaemonServer

_logger = logging.getLogger(__name__)

_POLL_MS = 20
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class DaemonState(enum.StrEnum):
    """The state of a daemon, as its status reports it."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'


class RetirementPlan:
    """Shuts a daemon down without interrupting a call.

    The daemon fails its health check first and keeps serving until the front
    balancer has noticed. Meanwhile, every response closes its connection, and
    idle connections reach their keep-alive limit, so no connection is cut.
    Calls that are still running may finish within the limit.

    :param clock: used to wait and to measure the time left.
    :param lag_ms: how long the front balancer may keep sending new calls.
    :param limit_ms: the time limit of the whole shutdown.
    :param closes_idle: whether to close connections that are idle after the
        lag, and to refuse further calls, so that no call starts too late to
        finish before the process exits. Callers then have to resend a call if
        its connection closes before the call was read.
    :param stop: tells the calls that wait to be sent when the stop ends.
    """

    def __init__(
        self,
        clock: Clock,
        lag_ms: Millis,
        limit_ms: Millis,
        *,
        closes_idle: bool = False,
        stop: StopLimit | None = None,
    ) -> None:
        self.clock = clock
        self.stop = stop or StopLimit()
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
        """Drain the edge and stop its server.

        :param has_pending_work: tells whether work remains for calls that were
            already answered, such as recording a response.
        """
        self.started_at = self.clock.now()
        edge.is_leaving = True
        self.stop.ends_at = self.started_at + self.limit_ms
        _logger.info('leaving', extra={'lag_ms': self.lag_ms})
        await self.clock.sleep(min(self.lag_ms, self._time_left()))
        if self.closes_idle:
            edge.refuses_calls = True
            self.stop.refuses_all = True
            server.close_idle()
        connections = server.server_state.connections
        while connections and self._time_left() > 0:
            await self.clock.sleep(_POLL_MS)
        while has_pending_work() and self._time_left() > 0:
            await self.clock.sleep(_POLL_MS)
        if edge.active_calls:
            _logger.error(
                'stopped with calls still running',
                extra={'calls': edge.active_calls},
            )
        server.should_exit = True

    def _time_left(self) -> Millis:
        started_at = self.started_at or self.clock.now()
        return started_at + self.limit_ms - self.clock.now()


async def wait_for_stop(on_stop: Callable[[], None]) -> None:
    """Wait for a signal that requests a graceful shutdown.

    :param on_stop: called on the first signal.
    """
    with anyio.open_signal_receiver(*_STOP_SIGNALS) as signals:
        async for _ in signals:
            on_stop()
            return
