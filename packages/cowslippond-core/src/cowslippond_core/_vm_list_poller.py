"""Poll the platform's VM list."""

import logging
import random
from collections.abc import Callable

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core._vm import Vm
from cowslippond_core._vm_list import fetch_vms

#: Minimum mean time between two reads of one daemon.
MIN_INTERVAL: Millis = 2000

#: Increase of the interval with each VM on the list, which bounds the bytes per
#: second that a daemon reads.
INTERVAL_PER_VM: Millis = 40

_TIMEOUT: Millis = 2000
_MIN_JITTER = 0.75

_logger = logging.getLogger(__name__)


class VmListPoller:
    """Keeps the last VM list that was read successfully.

    :param url: the service discovery endpoint.
    :param clock: measures the waits between reads.
    :param rng: spreads the reads of daemons that started together.
    :param metrics: counts reads and failed reads.
    """

    def __init__(
        self, url: str, clock: Clock, rng: random.Random, metrics: Metrics
    ) -> None:
        self.url = url
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.vms: tuple[Vm, ...] = ()
        self.read_at: Millis | None = None
        self.listeners: list[Callable[[tuple[Vm, ...]], None]] = []

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            await self.poll()
            jitter = _MIN_JITTER + self.rng.random() / 2
            await self.clock.sleep(self.interval() * jitter)

    def interval(self) -> Millis:
        """Return the mean time between two reads, in milliseconds."""
        return max(MIN_INTERVAL, INTERVAL_PER_VM * len(self.vms))

    async def poll(self) -> None:
        """Read the list once; keep the previous list if the read fails."""
        self.metrics.count(Metric.VM_LIST_READS)
        answer = await fetch_vms(self.url, _TIMEOUT)
        if answer.is_error():
            self.metrics.count(Metric.VM_LIST_ERRORS)
            _logger.warning(
                'VM list cannot be read; keeping the previous list',
                extra={'why': answer.error},
            )
            return
        self.vms = answer.ok
        self.read_at = self.clock.now()
        for listener in self.listeners:
            listener(self.vms)
