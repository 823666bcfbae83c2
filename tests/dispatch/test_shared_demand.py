"""Exchange of the demand of workspaces between daemons."""

from types import SimpleNamespace
from typing import Any

import pytest
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core.dispatch import DEMAND_TABLE, SharedDemand
from cowslippond_core.placing import (
    CallQueue,
    PendingCall,
    ServiceTimeEstimator,
)
from cowslippond_core.placing._demand_shares import DemandShares
from cowslippond_core.workspaces import Workspace
from fakes import FakeClock

WORK = 60
ROW_LIFE = 3000
NAMES = ('heavy', *(f'other {number}' for number in range(9)))


def call_of(workspace: str | None, **changes: Any) -> PendingCall:
    call = PendingCall('r', 0, 200, 1200, 2, frozenset(), workspace=workspace)
    return call._replace(**changes)


class StandInDaemon:
    """A daemon with one service, whose upstreams are fully loaded."""

    def __init__(self, name: str, clock: FakeClock, daemons: int) -> None:
        self.queue = CallQueue(ServiceTimeEstimator(WORK))
        self.demand = self.queue.demand
        self.clock = clock
        self.workspaces: dict[str, Workspace] | None = {
            one: Workspace(one, 1) for one in NAMES
        }
        placer = SimpleNamespace(
            queue=self.queue, selector=SimpleNamespace(free_ratio=0.1)
        )
        self.service = SimpleNamespace(
            entry=SimpleNamespace(name='s'),
            placer=placer,
            estimator=self.queue.estimator,
        )
        self.table = GossipTable(DEMAND_TABLE, clock)
        self.shared = SharedDemand(
            self.table,
            name,
            lambda: (self.service,),  # type: ignore[arg-type, return-value]
            lambda: self.workspaces,
            lambda: daemons,
            clock,
        )

    def request(self, workspace: str, count: int) -> list[PendingCall]:
        now = self.clock.now()
        return [
            self.queue.classify(call_of(workspace), now) for _ in range(count)
        ]


def make_fleet(count: int, clock: FakeClock) -> list[StandInDaemon]:
    return [StandInDaemon(f'd{one}', clock, count) for one in range(count)]


def exchange(fleet: list[StandInDaemon]) -> None:
    """Let all daemons publish, learn each other's rows and decide."""
    for daemon in fleet:
        daemon.shared.update()
    rows = [row for daemon in fleet for row in daemon.table.rows()]
    for daemon in fleet:
        for row in rows:
            daemon.table.merge(row)
    for daemon in fleet:
        daemon.shared.update()


def flood_from_some(fleet: list[StandInDaemon], heavy: int) -> None:
    """Let the first daemons have only calls of the heavy workspace."""
    for daemon in fleet[:heavy]:
        daemon.request('heavy', 20)
    for number, daemon in enumerate(fleet[heavy:]):
        daemon.request(NAMES[1 + number % 9], 10)


class TestFleet:
    def test_a_daemon_with_only_heavy_calls_learns_of_the_others(self) -> None:
        """It took the slots that other daemons' calls waited for."""
        fleet = make_fleet(18, FakeClock(1000))
        flood_from_some(fleet, 9)
        exchange(fleet)
        assert set(fleet[0].demand.fractions) == {'heavy'}
        calls = fleet[0].request('heavy', 80)
        assert 10 <= sum(not call.is_excess for call in calls) <= 20

    def test_a_small_workspace_at_one_daemon_keeps_its_share(self) -> None:
        """All that its daemon sees is this workspace, as in a flood."""
        fleet = make_fleet(18, FakeClock(1000))
        for number, daemon in enumerate(fleet):
            daemon.request(NAMES[number % 9], 10)
        fleet[0].demand.by_workspace.clear()
        fleet[0].request(NAMES[9], 10)
        exchange(fleet)
        assert not fleet[0].demand.fractions

    def test_rows_do_not_grow_with_the_number_of_daemons(self) -> None:
        """Each daemon states its demand with a probability."""
        fleet = make_fleet(400, FakeClock(1000))
        for daemon in fleet:
            daemon.request('heavy', 20)
            daemon.request('other 1', 4)
        for daemon in fleet:
            daemon.shared.update()
        rows = sum(len(daemon.table.rows()) for daemon in fleet)
        assert 24 <= rows <= 140


class TestFailures:
    def test_each_daemon_decides_alone_once_rows_have_expired(self) -> None:
        """Gossip is lost: nobody is held back by old figures."""
        clock = FakeClock(1000)
        fleet = make_fleet(18, clock)
        flood_from_some(fleet, 9)
        exchange(fleet)
        assert fleet[0].demand.fractions
        clock.current += ROW_LIFE + 1
        fleet[0].request('heavy', 20)
        fleet[0].shared.update()
        assert not fleet[0].demand.fractions

    def test_a_daemon_that_restarted_holds_nobody_back(self) -> None:
        clock = FakeClock(1000)
        restarted = StandInDaemon('d0', clock, 18)
        assert not any(
            call.is_excess for call in restarted.request('heavy', 20)
        )

    def test_a_removed_workspace_is_forgotten(self) -> None:
        fleet = make_fleet(18, FakeClock(1000))
        flood_from_some(fleet, 9)
        exchange(fleet)
        assert fleet[0].workspaces is not None
        fleet[0].workspaces.pop('heavy')
        fleet[0].shared.update()
        assert not fleet[0].demand.fractions
        assert not fleet[0].demand.credits

    @pytest.mark.parametrize('text', ['', 'x', 'nan', 'inf', '-1', '1 2'])
    def test_unreadable_rows_are_ignored(self, text: str) -> None:
        fleet = make_fleet(18, FakeClock(1000))
        daemon = fleet[0]
        daemon.request('heavy', 20)
        for number in range(8):
            for key in (f's\nheavy\n{number}', f's\n\n{number}', f'{number}'):
                daemon.table.merge(GossipRow(key, text, 1000, ROW_LIFE))
        daemon.shared.update()
        assert not daemon.demand.fractions

    def test_thousands_of_workspaces_are_not_all_remembered(self) -> None:
        demand = DemandShares()
        for number in range(3000):
            demand.classify(call_of(f'workspace {number}'), WORK, number)
        assert len(demand.by_workspace) <= 512


class TestInactive:
    def test_without_tenants_nothing_is_recorded_or_published(self) -> None:
        daemon = StandInDaemon('d0', FakeClock(1000), 18)
        daemon.workspaces = None
        call = call_of(None)
        assert daemon.queue.classify(call, 0) is call
        daemon.shared.update()
        assert not daemon.table.rows()
        assert daemon.demand.total.calls == 0

    def test_calls_of_public_routes_count_as_demand(self) -> None:
        demand = DemandShares()
        demand.classify(call_of('one'), WORK, 0)
        demand.classify(call_of(None), WORK, 0)
        assert demand.total.calls == 2

    def test_a_free_service_holds_no_call_back(self) -> None:
        """Slots that nobody waits for are for all."""
        queue = CallQueue(ServiceTimeEstimator(WORK))
        excess = call_of('heavy', is_excess=True)
        assert queue.is_held_back(excess)
        queue.estimator.is_fully_loaded = False
        assert not queue.is_held_back(excess)
        assert queue.accepts(excess, 2, 0)
