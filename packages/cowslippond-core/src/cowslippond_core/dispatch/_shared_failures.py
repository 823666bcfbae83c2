"""Exchanges evidence of failing upstreams between daemons.

In a large fleet, each daemon sends an upstream only one call every few seconds.
By itself, it would detect a failure about when the failure ends.
"""

import logging
from collections.abc import Callable, Iterable

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._failures import OutcomeCounts
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._upstreams import Upstream

_logger = logging.getLogger(__name__)

#: The gossip table with the results of calls to failing upstreams.
FAILURE_TABLE = 'failures'

# How often new evidence is published: once per gossip round.
_PUBLISH_INTERVAL: Millis = 300

# How long a row is passed on; it reaches all daemons of a large fleet within
# half of this time.
_ROW_LIFE: Millis = 3000

# Evidence is published if there are at least this many decayed failures on this
# daemon (one failure within the half-life), or if the failure ratio by all
# evidence is at least this high. A lower ratio less than doubles the expected
# time of a call.
_MIN_FAILED = 0.5
_MIN_FAILURE_RATIO = 0.1

# The maximum rows published at a time, as many as the upstreams that a daemon
# probes for two services; the remaining ones follow in the next interval.
_MAX_ROWS = 24

_FIELD_COUNT = 2


class SharedFailures:
    """Publishes this daemon's failure evidence and receives that of others.

    :param table: the gossip table that distributes the rows.
    :param sender: identifies the rows of this daemon.
    :param list_upstreams: returns the upstreams in use.
    :param clock: dates the evidence.
    """

    def __init__(
        self,
        table: GossipTable,
        sender: str,
        list_upstreams: Callable[[], Iterable[Upstream]],
        clock: Clock,
    ) -> None:
        self.table = table
        self.sender = sender
        self.list_upstreams = list_upstreams
        self.clock = clock
        self.by_address: dict[str, Upstream] = {}
        table.listeners.append(self.receive)

    async def run(self) -> None:
        """Publish new evidence periodically until cancelled."""
        while True:
            await self.clock.sleep(_PUBLISH_INTERVAL)
            self.publish()

    def publish(self) -> None:
        """Publish the results of recent calls to failing upstreams."""
        now = self.clock.now()
        self.by_address = {one.address: one for one in self.list_upstreams()}
        published = 0
        for upstream in self.by_address.values():
            failures = upstream.failures
            if not failures.has_unreported or published >= _MAX_ROWS:
                continue
            failures.has_unreported = False
            failed, good = failures.local_counts(now)
            is_failing = failures.current_rate(now) >= _MIN_FAILURE_RATIO
            if failed < _MIN_FAILED and not is_failing:
                continue
            published += 1
            self.table.put(
                f'{upstream.address} {self.sender}',
                f'{failed:.2f} {good:.2f}',
                _ROW_LIFE,
            )

    def receive(self, row: GossipRow) -> None:
        """Apply the evidence in a row that another daemon published."""
        address, _, sender = row.key.partition(' ')
        upstream = self.by_address.get(address)
        if upstream is None or sender == self.sender:
            return
        evidence = _parse_evidence(row.text)
        if evidence is None:
            _logger.warning(
                'cannot parse failure evidence of peer',
                extra={'peer': sender, 'upstream': address},
            )
            return
        now = self.clock.now()
        upstream.failures.receive_report(sender, evidence, now)


def _parse_evidence(text: str) -> OutcomeCounts | None:
    fields = text.split(' ')
    if len(fields) != _FIELD_COUNT:
        return None
    try:
        return OutcomeCounts(*map(float, fields))
    except ValueError:
        return None
