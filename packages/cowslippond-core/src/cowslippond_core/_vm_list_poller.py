"""Reads of the platform's list of VMs."""

import logging
import random
from collections.abc import Callable

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core._vm import Vm
from cowslippond_core._vm_list import fetch_vms

#: The least time between two reads of a daemon, in milliseconds.
MIN_INTERVAL: Millis = 2000

#: How much the interval grows with each VM on the list, in milliseconds, so
#: that the bytes a second of a daemon stay bounded.
INTERVAL_PER_VM: Millis = 40

_TIMEOUT: Millis = 2000
_MIN_JITTER = 0.75

_logger = logging.getLogger(__name__)


class VmListPoller:
    """Keeps the newest list of VMs that could be read.

    :param url: the service discovery endpoint.
    :param clock: the clock of waits.
    :param draw: spreads the reads of daemons that started together.
    :param metrics: counts reads and errors.
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
        """Read the list once; a failed read leaves the earlier list."""
        self.metrics.count(Metric.VM_LIST_READS)
        answer = await fetch_vms(self.url, _TIMEOUT)
        if answer.is_error():
            self.metrics.count(Metric.VM_LIST_ERRORS)
            _logger.warning(
                'the list of VMs cannot be read', extra={'why': answer.error}
            )
            return
        self.vms = answer.ok
        self.read_at = self.clock.now()
        for listener in self.listeners:
            listener(self.vms)
