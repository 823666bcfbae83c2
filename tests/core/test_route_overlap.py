"""Tests for the detection of calls that are matched by two services."""

import pytest
from cowslippond_core import RouteMatch, ServiceDocument, read_document
from cowslippond_core._route_overlap import can_cover, find_overlaps


def document(
    service: str, host: str, prefix: str, guard: str = ''
) -> ServiceDocument:
    never_repeat = ''
    if guard:
        never_repeat = (
            f', "never_repeat": [{{"methods": ["POST"], "path": "{guard}",'
            ' "caller_header": "x-till"}]'
        )
    text = (
        f'{{"service": "{service}", "match": [{{"host": "{host}",'
        f' "path_prefix": "{prefix}"}}], "upstreams":'
        f' {{"slots": 2, "mean_service_ms": 1}}{never_repeat}}}'
    )
    return read_document(text, 'f').ok


class TestFindOverlaps:
    @pytest.mark.parametrize(
        ('host', 'prefix', 'is_refused'),
        [
            ('shop.example', '/pay', True),
            ('SHOP.example', '/pay', True),
            ('shop.example', '/pay/card', True),
            ('*', '/pay/card', True),
            ('*', '/pay', False),
            ('other.example', '/pay', False),
            ('shop.example', '/payments', False),
            ('shop.example', '/', False),
            ('shop.example', '/status', False),
        ],
    )
    def test_calls_never_repeated_stay_with_their_service(
        self, host: str, prefix: str, is_refused: bool
    ) -> None:
        guarded = document('pay', 'shop.example', '/pay', '/pay*')
        other = document('other', host, prefix)
        assert bool(find_overlaps(other, guarded)) is is_refused
        assert bool(find_overlaps(guarded, other)) is is_refused

    def test_named_host_takes_calls_from_any_host(self) -> None:
        """A named host takes precedence over "*" in the router."""
        guarded = document('pay', '*', '/pay', '/pay*')
        named = document('other', 'shop.example', '/pay')
        overlaps = find_overlaps(named, guarded)
        assert overlaps[0].match == RouteMatch('shop.example', '/pay')
        assert overlaps[0].service == 'pay'

    def test_nested_match_without_a_guard_is_allowed(self) -> None:
        outer = document('all', 'shop.example', '/')
        inner = document('pay', 'shop.example', '/pay')
        assert not find_overlaps(inner, outer)
        assert not find_overlaps(outer, inner)


@pytest.mark.parametrize(
    ('pattern', 'prefix', 'is_covered'),
    [
        ('/pay', '/pay', True),
        ('/pay/x', '/pay', True),
        ('/payments', '/pay', False),
        ('/pay*', '/pay', True),
        ('/*', '/pay', True),
        ('/p?y', '/pay', True),
        ('/', '/pay', False),
        ('/other*', '/pay', False),
        ('/pay/x', '/pay/', True),
    ],
)
def test_pattern_covers_a_prefix(
    pattern: str, prefix: str, is_covered: bool
) -> None:
    assert can_cover(pattern, prefix) is is_covered
