"""Tells the other daemons which upstreams fail, and hears it from them.

The load in mind is a fleet in which each daemon sends an upstream a call every
few seconds: alone it would need as long as the failure lasts to notice it.
"""

import logging
from collections.abc import Callable, Iterable

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._failures import Evidence
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._upstreams import Upstream

_logger = logging.getLogger(__name__)

#: The table in which daemons tell how calls on failing upstreams ended.
FAILURE_TABLE = 'failures'

# The time between two looks for news, in milliseconds: one round of gossip.
_TELL_INTERVAL: Millis = 300

# How long a row is passed on, in milliseconds; it reaches a large fleet within
# half of that.
_ROW_LIFE: Millis = 3000

# The least failures seen here, or the share known, that is worth telling: one
# failure less than a half-life old; a share below this doubles no expected time.
_LEAST_FAILED = 0.5
_LEAST_SHARE = 0.1

# The most upstreams told of at a time, as many as a daemon reads of two services;
# the others follow.
_MOST_ROWS = 24

_TEXT_PARTS = 2


class SharedFailures:
    """The failures of upstreams as all daemons see them.

    :param table: passes rows on between daemons.
    :param teller: tells this daemon's rows from those of others.
    :param list_upstreams: returns the upstreams that calls go to.
    :param clock: the clock of all ages.
    """

    def __init__(
        self,
        table: GossipTable,
        teller: str,
        list_upstreams: Callable[[], Iterable[Upstream]],
        clock: Clock,
    ) -> None:
        self.table = table
        self.teller = teller
        self.list_upstreams = list_upstreams
        self.clock = clock
        self.by_address: dict[str, Upstream] = {}
        table.listeners.append(self.receive)

    async def run(self) -> None:
        """Tell news until cancelled."""
        while True:
            await self.clock.sleep(_TELL_INTERVAL)
            self.publish()

    def publish(self) -> None:
        """Tell the others how calls on failing upstreams have ended here."""
        now = self.clock.now()
        self.by_address = {one.address: one for one in self.list_upstreams()}
        told = 0
        for upstream in self.by_address.values():
            failures = upstream.failures
            if not failures.is_news or told >= _MOST_ROWS:
                continue
            failures.is_news = False
            failed, good = failures.own(now)
            is_known = failures.share(now) >= _LEAST_SHARE
            if failed < _LEAST_FAILED and not is_known:
                continue
            told += 1
            self.table.put(
                f'{upstream.address} {self.teller}',
                f'{failed:.2f} {good:.2f}',
                _ROW_LIFE,
            )

    def receive(self, row: GossipRow) -> None:
        """Take over what another daemon tells."""
        address, _, teller = row.key.partition(' ')
        upstream = self.by_address.get(address)
        if upstream is None or teller == self.teller:
            return
        evidence = _evidence_of(row.text)
        if evidence is None:
            _logger.warning(
                'unreadable news of failures',
                extra={'peer': teller, 'upstream': address},
            )
            return
        now = self.clock.now()
        upstream.failures.hear(teller, evidence, now)


def _evidence_of(text: str) -> Evidence | None:
    parts = text.split(' ')
    if len(parts) != _TEXT_PARTS:
        return None
    try:
        return Evidence(*map(float, parts))
    except ValueError:
        return None
