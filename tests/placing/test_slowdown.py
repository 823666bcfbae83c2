"""The slowdown that is expected of an upstream."""

from typing import Any, cast

import pytest
from anyio.abc import TaskGroup
from cowslippond_core import Connections, Upstream, Vm, VmState
from cowslippond_core._upstreams import LoadReading
from cowslippond_core._warm_up import WarmUp, WarmUpPolicy
from cowslippond_core.placing import expected_slowdown
from fakes import FakeClock


def upstream_of(clock: FakeClock, **changes: Any) -> Upstream:
    vm = Vm('v', '1', 'a', VmState.LIVE, 's', '127.0.0.1:1', warm_up=0)
    connections = Connections(vm.address, cast(TaskGroup, None), clock, 4)
    upstream = Upstream(vm, connections)
    upstream.load_state.reading = LoadReading(
        probed_at=clock.now(),
        received_at=clock.now(),
        running=0,
        waiting=0,
        slots=2,
        slowness=1,
        is_healthy=True,
    )._replace(**changes)
    return upstream


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock(1_000_000)


class TestExpectedSlowdown:
    def test_is_one_for_a_free_upstream_of_usual_speed(
        self, clock: FakeClock
    ) -> None:
        assert expected_slowdown(upstream_of(clock), clock.now()) == 1

    def test_a_full_upstream_has_none(self, clock: FakeClock) -> None:
        assert (
            expected_slowdown(upstream_of(clock, running=2), clock.now())
            is None
        )
        waiting = upstream_of(clock, running=1, waiting=1)
        assert expected_slowdown(waiting, clock.now()) is None

    def test_the_last_slot_makes_an_upstream_slower(
        self, clock: FakeClock
    ) -> None:
        crowded = expected_slowdown(upstream_of(clock, running=1), clock.now())
        assert crowded is not None and crowded * 2 > 3

    def test_an_outdated_load_reading_is_ignored(
        self, clock: FakeClock
    ) -> None:
        upstream = upstream_of(clock)
        clock.advance(100)
        assert expected_slowdown(upstream, clock.now()) is None

    def test_a_call_in_transit_counts_as_running(
        self, clock: FakeClock
    ) -> None:
        upstream = upstream_of(clock)
        upstream.load_state.grant_times.extend((clock.now(), clock.now()))
        assert expected_slowdown(upstream, clock.now()) is None

    def test_failures_slow_down_an_idle_upstream(
        self, clock: FakeClock
    ) -> None:
        upstream = upstream_of(clock)
        for _ in range(3):
            upstream.failures.record(clock.now(), is_failure=True)
        failing = expected_slowdown(upstream, clock.now())
        assert failing is not None and failing > 5

    def test_failures_are_forgotten_after_some_time(
        self, clock: FakeClock
    ) -> None:
        upstream = upstream_of(clock)
        for _ in range(3):
            upstream.failures.record(clock.now(), is_failure=True)
        clock.advance(20_000)
        assert upstream.failures.current_rate(clock.now()) * 100 < 1


class TestColdUpstream:
    def test_is_slower_than_its_warm_peers(self, clock: FakeClock) -> None:
        upstream = upstream_of(clock)
        upstream.warmed_up_at = clock.now() + 1000
        slowdown = expected_slowdown(upstream, clock.now())
        assert slowdown == pytest.approx(1.8)

    def test_is_not_avoided_if_all_upstreams_are_cold(
        self, clock: FakeClock
    ) -> None:
        """Late calls waited for a warm upstream until they were refused."""
        upstream = upstream_of(clock)
        upstream.warmed_up_at = clock.now() + 1000
        upstream.load_state.warm_up = WarmUp(WarmUpPolicy(3.9, 3000))
        upstream.load_state.warm_up.has_warm_peers = False
        slowdown = expected_slowdown(upstream, clock.now())
        assert slowdown == pytest.approx(1)
