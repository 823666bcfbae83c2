"""Reloads the settings on a signal and when the file changes."""

import logging
import signal
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import Clock, Millis, run_contained, run_restarting
from expression import Result

from cowslippond_daemon._node_settings import NodeSettings

_logger = logging.getLogger(__name__)

# The file may change without a signal. Reading it costs less than a call.
_CHECK_INTERVAL: Millis = 5000


class SettingsReloader:
    """Reloads the settings and applies them if they have changed.

    If the settings cannot be read, the current ones remain in force.

    :param settings: the current settings.
    :param read: reads the settings, or returns an error message.
    :param apply: applies changed settings.
    :param clock: used to wait between checks.
    """

    def __init__(
        self,
        settings: NodeSettings,
        read: Callable[[], Result[NodeSettings, str]],
        apply: Callable[[NodeSettings], None],
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.read = read
        self.apply = apply
        self.clock = clock

    def start(self, tasks: TaskGroup) -> None:
        """Start to listen for ``SIGHUP`` and to check the file periodically."""
        tasks.start_soon(self._reload_on_signal)
        tasks.start_soon(run_restarting, self.clock, self._reload_periodically)

    def reload(self, cause: str) -> None:
        """Read the settings and apply them if they have changed."""
        loaded = self.read()
        if loaded.is_error():
            _logger.error(
                'settings cannot be read; keeping the current ones',
                extra={'cause': cause, 'detail': loaded.error},
            )
            return
        is_changed = loaded.ok != self.settings
        if is_changed or cause == 'signal':
            _logger.info(
                'settings reloaded',
                extra={'cause': cause, 'is_changed': is_changed},
            )
        if is_changed:
            self.settings = loaded.ok
            self.apply(loaded.ok)

    async def _reload_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                # The receiver stays open: without it, a signal would end the
                # process.
                await run_contained(self._reload_for, 'signal')

    async def _reload_for(self, cause: str) -> None:
        self.reload(cause)

    async def _reload_periodically(self) -> None:
        while True:
            await self.clock.sleep(_CHECK_INTERVAL)
            self.reload('check')
