"""Tests for the routes of a configuration and their weighted services."""

import random

from cowslippond_core import (
    Route,
    RouteMatch,
    RouteTable,
    WeightedRoundRobin,
    WeightedService,
)


def route_of(host: str, prefix: str, *parts: WeightedService) -> Route:
    return Route(
        name=f'{host}{prefix}',
        match=RouteMatch(host, prefix),
        is_idempotent=True,
        timeout=1000,
        objective=100,
        max_sends=2,
        priority=1,
        parts=parts or (WeightedService('s', 1),),
    )


class TestRouteTable:
    def test_the_longest_prefix_wins(self) -> None:
        outer, inner = (
            route_of('a.example', '/x/'),
            route_of('a.example', '/x/y/'),
        )
        table = RouteTable((outer, inner))
        assert table.find('a.example', '/x/y/z') is inner
        assert table.find('a.example', '/x/yy') is outer

    def test_a_prefix_ends_at_a_slash(self) -> None:
        table = RouteTable((route_of('a.example', '/x/'),))
        assert table.find('a.example', '/xy') is None
        assert table.find('a.example', '/x') is None

    def test_the_root_matches_every_path(self) -> None:
        root = route_of('a.example', '/')
        assert RouteTable((root,)).find('a.example', '/any/path') is root

    def test_a_host_is_compared_without_port_and_case(self) -> None:
        route = route_of('a.example', '/x/')
        table = RouteTable((route,))
        assert table.find('A.Example:8080', '/x/1') is route
        assert table.find('b.example', '/x/1') is None


class TestWeightedRoundRobin:
    def test_each_service_gets_its_share_of_any_sequence(self) -> None:
        route = route_of(
            'a.example',
            '/',
            WeightedService('many', 90),
            WeightedService('few', 10),
        )
        round_robin = WeightedRoundRobin()
        for _ in range(20):
            span = [round_robin.next_service(route) for _ in range(10)]
            assert span.count('few') == 1

    def test_shares_hold_over_many_daemons_with_few_calls(
        self,
    ) -> None:
        route = route_of(
            'a.example', '/', WeightedService('a', 50), WeightedService('b', 50)
        )
        rng = random.Random(3)
        fleet = [WeightedRoundRobin() for _ in range(18)]
        chosen = [rng.choice(fleet).next_service(route) for _ in range(300)]
        assert abs(chosen.count('a') - chosen.count('b')) < len(chosen) // 5
