"""Reads the settings anew when they may have changed."""

import logging
import signal
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import Clock, Millis
from expression import Result

from cowslippond_daemon._node_settings import NodeSettings

_logger = logging.getLogger(__name__)

# The file may change without a signal. Reading it costs less than a call does.
_CHECK_INTERVAL: Millis = 5000


class SettingsReloader:
    """Applies settings that have changed.

    Settings that cannot be read change nothing.

    :param settings: in force.
    :param read: reads the settings; an error says what is wrong.
    :param apply: puts changed settings in force.
    :param clock: the clock of the waits.
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
        """Watch for the signal and look at the file from time to time."""
        tasks.start_soon(self._reload_on_signal)
        tasks.start_soon(self._reload_periodically)

    def reload(self, cause: str) -> None:
        """Read the settings and apply them if they have changed."""
        found = self.read()
        if found.is_error():
            _logger.error(
                'settings cannot be read; those in force stay',
                extra={'cause': cause, 'detail': found.error},
            )
            return
        is_changed = found.ok != self.settings
        if is_changed or cause == 'signal':
            _logger.info(
                'settings reloaded',
                extra={'cause': cause, 'is_changed': is_changed},
            )
        if is_changed:
            self.settings = found.ok
            self.apply(found.ok)

    async def _reload_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                self.reload('signal')

    async def _reload_periodically(self) -> None:
        while True:
            await self.clock.sleep(_CHECK_INTERVAL)
            self.reload('check')
