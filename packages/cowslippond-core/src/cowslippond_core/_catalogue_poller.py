"""Poll the catalogue in the platform's table."""

import logging
import random

from cowslippond_core._catalogue import FRESHNESS_BOUND, Catalogue
from cowslippond_core._catalogue_reader import (
    read_changes,
    read_documents,
    read_head,
)
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._membership import Membership
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core._table import Table, TableError

#: Head reads per second of all daemons together.
FLEET_READS_PER_SECOND = 20

#: Minimum time between two reads of one daemon.
MIN_INTERVAL: Millis = 1000

# Number of missing changes above which the newest documents are read instead.
_MAX_CHANGES = 100

# Age of the last confirmation above which a daemon polls ahead of its interval.
_STALE_AGE: Millis = FRESHNESS_BOUND / 2

_MILLIS_PER_SECOND = 1000
_CHECK_INTERVAL: Millis = 100
_MAX_BACKOFF_EXPONENT = 6

_logger = logging.getLogger(__name__)


class CataloguePoller:
    """Keeps the catalogue up to date with the table.

    The interval between two reads of a daemon grows with the number of
    daemons, and peers pass on what one of them has read. A daemon whose
    catalogue peers do not confirm reads sooner, with exponential back-off
    after failures.

    :param table: the platform's table.
    :param catalogue: receives the documents that were read.
    :param membership: gives the number of daemons.
    :param clock: measures waits and confirmations.
    :param rng: spreads the reads of daemons that started together.
    :param metrics: counts reads and failed reads.
    """

    def __init__(
        self,
        table: Table,
        catalogue: Catalogue,
        membership: Membership,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.catalogue = catalogue
        self.membership = membership
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.polled_at: Millis | None = None
        self.consecutive_errors = 0
        self.last_error: TableError | None = None

    async def run(self) -> None:
        """Poll whenever a read is due until cancelled."""
        while True:
            if self.is_due():
                await self.poll()
            await self.clock.sleep(
                _CHECK_INTERVAL * (self.rng.random() + 1 / 2)
            )

    def interval(self) -> Millis:
        """Return the time between two regular reads, in milliseconds."""
        scaled = (
            self.membership.count()
            * _MILLIS_PER_SECOND
            / FLEET_READS_PER_SECOND
        )
        return max(MIN_INTERVAL, scaled)

    def is_due(self) -> bool:
        """Return whether the head has to be read now."""
        if self.polled_at is None:
            return True
        waited = self.clock.now() - self.polled_at
        if waited >= self.interval():
            return True
        backoff = MIN_INTERVAL * 2 ** min(
            self.consecutive_errors, _MAX_BACKOFF_EXPONENT
        )
        return waited >= backoff and self._is_unconfirmed()

    async def poll(self) -> None:
        """Read the head, and the changes if it is above the catalogue."""
        requested_at = self.clock.now()
        self.polled_at = requested_at
        self.metrics.count(Metric.STORE_READS)
        answer = await read_head(self.table)
        if answer.is_error():
            self._record_error(answer.error)
            return
        self.consecutive_errors = 0
        self.last_error = None
        head = answer.ok
        self.catalogue.observe_revision(head)
        if head > self.catalogue.revision:
            await self._catch_up(head)
        # A head below the catalogue's revision is a stale read.
        if head == self.catalogue.revision:
            self.catalogue.confirm(requested_at, head)

    async def _catch_up(self, head: int) -> None:
        if head - self.catalogue.revision <= _MAX_CHANGES:
            await self._read_changes()
        if self.catalogue.revision < head:
            await self._read_documents(head)

    async def _read_changes(self) -> None:
        self.metrics.count(Metric.STORE_READS)
        answer = await read_changes(
            self.table, self.catalogue.revision, _MAX_CHANGES
        )
        if answer.is_error():
            self._record_error(answer.error)
            return
        for accepted in answer.ok:
            self.catalogue.offer(accepted)

    async def _read_documents(self, head: int) -> None:
        self.metrics.count(Metric.STORE_READS)
        answer = await read_documents(self.table)
        if answer.is_error():
            self._record_error(answer.error)
            return
        newest = 0
        for accepted in answer.ok:
            self.catalogue.offer(accepted)
            newest = max(newest, accepted.revision)
        # Pages without the head's own change are a stale read.
        if newest >= head:
            self.catalogue.advance(head)

    def _is_unconfirmed(self) -> bool:
        confirmed_at = self.catalogue.confirmed_at
        if confirmed_at is None:
            return True
        return self.clock.now() - confirmed_at > _STALE_AGE

    def _record_error(self, error: TableError) -> None:
        self.consecutive_errors += 1
        self.metrics.count(Metric.STORE_ERRORS)
        if self.last_error is None:
            _logger.warning(
                'platform table cannot be read; catalogue may become stale',
                extra={'why': error.detail},
            )
        self.last_error = error
