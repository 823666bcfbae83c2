"""Tests of the catalogue poller with a failing, lagging or stale table."""

import random

import pytest
from cowslippond_core import FRESHNESS_BOUND, Daemon, GossipTable, Metrics
from cowslippond_core._catalogue_poller import MIN_INTERVAL, CataloguePoller
from cowslippond_core._membership import Membership
from fakes import FakeClock, FakeTable
from spread_fakes import accept, make_accepted, make_catalogue

pytestmark = pytest.mark.anyio


def make_poller(table: FakeTable, fleet: int = 1) -> CataloguePoller:
    clock = FakeClock(1000)
    own = Daemon('10.0.0.1:1', '', 'north', '', is_leaving=False)
    seeds = [f'10.0.0.2:{port}' for port in range(1, fleet)]
    return CataloguePoller(
        table,
        make_catalogue(clock),
        Membership(clock, GossipTable('daemons', clock), own, seeds),
        clock,
        random.Random(0),
        Metrics(''),
    )


def copy_of(table: FakeTable) -> FakeTable:
    copy = FakeTable()
    copy.rows = dict(table.rows)
    return copy


class SuspendingTable(FakeTable):
    """A table whose reader is suspended between request and response."""

    clock: FakeClock

    async def get(self, key):
        self.clock.current += FRESHNESS_BOUND + 1
        return await super().get(key)


class TestPoll:
    async def test_an_empty_table_is_confirmed(self):
        poller = make_poller(FakeTable())
        await poller.poll()

        assert poller.catalogue.is_fresh(poller.clock.now())

    async def test_changes_are_read_in_order(self):
        table = FakeTable()
        poller = make_poller(table)
        for revision in range(1, 4):
            accept(table, make_accepted('till', revision, revision))
            await poller.poll()
            assert poller.catalogue.versions == {'till': revision}

        accept(table, make_accepted('parts', 1, 4))
        accept(table, make_accepted('till', 4, 5))
        await poller.poll()

        assert poller.catalogue.versions == {'till': 4, 'parts': 1}
        assert poller.catalogue.revision == 5

    async def test_a_daemon_that_lags_far_reads_the_documents(self):
        table = FakeTable()
        for revision in range(1, 301):
            accept(table, make_accepted('till', revision, revision))
        poller = make_poller(table)
        await poller.poll()

        assert poller.catalogue.revision == 300
        assert table.read_count <= 5


class TestStaleReads:
    async def test_a_stale_replica_reverts_no_version(self):
        table = FakeTable()
        accept(table, make_accepted('till', 1, 1))
        stale = copy_of(table)
        accept(table, make_accepted('till', 2, 2))
        poller = make_poller(table)
        await poller.poll()
        confirmed_at = poller.catalogue.confirmed_at

        poller.table = stale
        poller.clock.current += 2 * FRESHNESS_BOUND
        await poller.poll()

        assert poller.catalogue.versions == {'till': 2}
        assert poller.catalogue.confirmed_at == confirmed_at
        assert not poller.catalogue.is_fresh(poller.clock.now())

    async def test_a_new_head_with_stale_rows_is_no_confirmation(self):
        table = FakeTable()
        accept(table, make_accepted('till', 1, 1))
        mixed = copy_of(table)
        accept(table, make_accepted('till', 2, 2))
        for key, row in table.rows.items():
            if key.partition == 'catalogue':
                mixed.rows[key] = row
        poller = make_poller(mixed)
        await poller.poll()

        assert poller.catalogue.versions == {'till': 1}
        assert not poller.catalogue.is_fresh(poller.clock.now())

    async def test_versions_only_increase_with_any_replica(self):
        rng = random.Random(3)
        table = FakeTable()
        replicas = [copy_of(table)]
        versions = {'till': 0, 'parts': 0}
        for revision in range(1, 30):
            service = rng.choice(sorted(versions))
            versions[service] += 1
            accept(table, make_accepted(service, versions[service], revision))
            replicas.append(copy_of(table))
        poller = make_poller(table)
        seen = {}
        for _ in range(200):
            poller.table = rng.choice(replicas)
            await poller.poll()
            now = poller.catalogue.versions
            assert all(now[name] >= seen[name] for name in seen)
            seen = now

        assert seen == versions

    async def test_a_confirmation_is_dated_at_the_request(self):
        table = SuspendingTable()
        poller = make_poller(table)
        table.clock = poller.clock
        requested_at = poller.clock.now()
        await poller.poll()

        assert poller.catalogue.confirmed_at == requested_at
        assert not poller.catalogue.is_fresh(poller.clock.now())


class TestSchedule:
    async def test_a_failed_read_keeps_the_version_and_counts_an_error(self):
        table = FakeTable()
        accept(table, make_accepted('till', 1, 1))
        poller = make_poller(table)
        await poller.poll()
        table.is_down = True
        await poller.poll()

        assert poller.catalogue.versions == {'till': 1}
        assert poller.consecutive_errors == 1
        assert poller.metrics.totals['store.errors'] == 1

    @pytest.mark.parametrize(('fleet', 'reads'), [(19, 19), (600, 20)])
    async def test_the_read_rate_of_the_fleet_is_bounded(self, fleet, reads):
        poller = make_poller(FakeTable(), fleet)

        assert fleet * 1000 / poller.interval() == pytest.approx(reads)

    async def test_an_unconfirmed_daemon_reads_sooner(self):
        poller = make_poller(FakeTable(), 600)
        await poller.poll()
        poller.clock.current += MIN_INTERVAL
        assert not poller.is_due()

        poller.clock.current += FRESHNESS_BOUND / 2

        assert poller.is_due()

    async def test_reads_back_off_while_the_table_is_down(self):
        table = FakeTable()
        poller = make_poller(table, 600)
        table.is_down = True
        started_at = poller.clock.now()
        while poller.clock.now() < started_at + 600_000:
            if poller.is_due():
                await poller.poll()
            poller.clock.current += 100

        assert table.read_count <= 30
