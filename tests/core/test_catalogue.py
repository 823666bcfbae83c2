"""Tests of documents in force: increasing versions and freshness."""

import random

import pytest
from cowslippond_core import FRESHNESS_BOUND
from fakes import FakeClock
from hypothesis import given, settings
from hypothesis import strategies as st
from spread_fakes import (
    UNREADABLE,
    document_text,
    make_accepted,
    make_catalogue,
)


class TestOffer:
    def test_an_older_or_equal_version_is_ignored(self):
        catalogue = make_catalogue()
        assert catalogue.offer(make_accepted('till', 2, 2))

        assert not catalogue.offer(make_accepted('till', 1, 1))
        assert not catalogue.offer(make_accepted('till', 2, 2))
        assert catalogue.versions == {'till': 2}

    def test_an_unreadable_version_is_stored_but_not_put_in_force(self):
        catalogue = make_catalogue()
        catalogue.offer(make_accepted('till', 1, 1))

        assert not catalogue.offer(make_accepted('till', 2, 2, UNREADABLE))

        assert catalogue.versions == {'till': 1}
        assert catalogue.latest['till'].version == 2
        assert catalogue.unreadable == 1
        assert catalogue.revision == 2

    def test_a_gap_does_not_raise_the_revision(self):
        catalogue = make_catalogue()
        catalogue.offer(make_accepted('till', 1, 1))

        catalogue.offer(make_accepted('till', 3, 3))
        assert catalogue.revision == 1

        catalogue.offer(make_accepted('parts', 1, 2))
        assert catalogue.revision == 2

    @settings(deadline=None, max_examples=60)
    @given(
        order=st.lists(
            st.tuples(st.sampled_from('abc'), st.integers(1, 6)), max_size=20
        ),
        confirmed=st.integers(0, 9),
    )
    def test_versions_never_decrease_in_any_order_of_offers(
        self, order, confirmed
    ):
        catalogue = make_catalogue()
        highest: dict[str, int] = {}
        for revision, (service, version) in enumerate(order, start=1):
            before = catalogue.revision
            catalogue.offer(make_accepted(service, version, revision))
            catalogue.advance(confirmed)
            highest[service] = max(version, highest.get(service, 0))

            assert catalogue.versions == highest
            assert catalogue.revision >= before


class TestFind:
    @pytest.mark.parametrize(
        ('host', 'path', 'service'),
        [
            ('shop.is', '/', 'front'),
            ('SHOP.is:8080', '/pay/card?x=1', 'pay'),
            ('shop.is', '/pay', 'pay'),
            ('shop.is', '/payments', 'front'),
            ('other.is', '/pay/card', 'anywhere'),
            ('shop.is', '/pay/far/away', 'far'),
            ('[::1]:80', '/', 'anywhere'),
        ],
    )
    def test_the_longest_prefix_that_ends_at_a_segment_wins(
        self, host, path, service
    ):
        catalogue = make_catalogue()
        matches = [
            ('front', '/', 'shop.is'),
            ('pay', '/pay', 'shop.is'),
            ('far', '/pay/far', '*'),
            ('anywhere', '/', '*'),
        ]
        random.Random(1).shuffle(matches)
        for revision, (name, prefix, at_host) in enumerate(matches, start=1):
            text = document_text(name, prefix, at_host)
            catalogue.offer(make_accepted(name, 1, revision, text))

        found = catalogue.find(host, path)

        assert found is not None
        assert found.document.service == service

    def test_a_call_that_matches_no_service_is_not_found(self):
        catalogue = make_catalogue()
        text = document_text('pay', '/pay', 'shop.is')
        catalogue.offer(make_accepted('pay', 1, 1, text))

        assert catalogue.find('shop.is', '/') is None
        assert catalogue.find('other.is', '/pay') is None

    def test_a_changed_match_removes_the_previous_route(self):
        catalogue = make_catalogue()
        first = document_text('pay', '/old')
        second = document_text('pay', '/new')
        catalogue.offer(make_accepted('pay', 1, 1, first))
        catalogue.offer(make_accepted('pay', 2, 2, second))

        assert catalogue.find('x', '/old') is None
        assert catalogue.find('x', '/new') is not None


class TestFreshness:
    def test_a_daemon_suspended_past_the_bound_is_stale(self):
        clock = FakeClock(1000)
        catalogue = make_catalogue(clock)
        catalogue.offer(make_accepted('till', 1, 1))
        catalogue.confirm(clock.now(), 1)
        assert catalogue.is_fresh(clock.now())

        clock.current += FRESHNESS_BOUND + 1

        assert not catalogue.is_fresh(clock.now())

    def test_a_confirmation_of_another_revision_is_ignored(self):
        catalogue = make_catalogue(FakeClock())
        catalogue.offer(make_accepted('till', 1, 1))
        catalogue.confirm(0, 0)
        catalogue.confirm(0, 2)

        assert not catalogue.is_fresh(0)

    def test_an_older_confirmation_does_not_replace_a_newer(self):
        catalogue = make_catalogue(FakeClock())
        catalogue.confirm(5000, 0)
        catalogue.confirm(10, 0)

        assert catalogue.confirmed_at == 5000

    def test_stale_versions_are_served_only_if_no_newer_one_is_observed(self):
        catalogue = make_catalogue(FakeClock())
        catalogue.may_serve_stale = bool
        now = FRESHNESS_BOUND * 10

        assert not catalogue.is_fresh(now), 'never confirmed'
        catalogue.confirm(0, 0)
        assert catalogue.is_fresh(now)
        catalogue.observe_revision(1)
        assert not catalogue.is_fresh(now)
