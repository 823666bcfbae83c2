"""Sends the beacons of a daemon while it reads the store."""

import logging

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._peer_datagrams import PeerDatagrams
from cowslippond_core._reader_beacons import ReaderBeacons
from cowslippond_core._reader_role import ReaderRole

# Time between two checks whether a beacon is due.
_CHECK_INTERVAL: Millis = 40

# A reader pauses between two calls that return changes. It sends no beacon if
# it may have missed changes for longer than that.
_MAX_AGE: Millis = 500

_RETRY_INTERVAL: Millis = 2000

_logger = logging.getLogger(__name__)


class BeaconSender:
    """Sends the beacons of this daemon.

    :param role: decides whether this daemon reads, and knows when it waits for
        changes.
    :param beacons: encodes beacons and chooses who gets them.
    :param clock: used for all waits.
    """

    def __init__(
        self, role: ReaderRole, beacons: ReaderBeacons, clock: Clock
    ) -> None:
        self.role = role
        self.beacons = beacons
        self.clock = clock

    async def open_port(self, port: PeerDatagrams) -> None:
        """Open the port on which beacons are sent and received.

        Without it, the daemon goes by other signs of readers.
        """
        address = self.role.membership.own.address
        while True:
            try:
                await port.open(address)
            except OSError as error:
                _logger.warning(
                    'cannot open the port for datagrams of peers',
                    extra={'address': address, 'why': repr(error)},
                )
                await self.clock.sleep(_RETRY_INTERVAL)
                continue
            return

    async def run(self) -> None:
        """Send beacons while this daemon reads, until cancelled."""
        waits = self.role.waits
        while True:
            await waits.has_begun.wait()
            age = waits.age()
            if age <= _MAX_AGE:
                self._send(age)
            await self.clock.sleep(_CHECK_INTERVAL)
            waits.note_end(_MAX_AGE)

    def _send(self, age: Millis) -> None:
        self.beacons.record_own_read(age)
        if not self.beacons.is_due():
            return
        is_designated = self.role.is_designated()
        if is_designated or self.role.is_substitute:
            self.beacons.send_own(age, is_substitute=not is_designated)
