"""Versions of the configuration with workspaces, without a network."""

import orjson
import pytest
from cowslippond_core import (
    AcceptedDocument,
    ConfigurationLog,
)
from cowslippond_core._platform_store import StoreRow, StoreRows
from cowslippond_core.workspaces import (
    digest_key,
)
from cowslippond_daemon.platform import (
    decode_configuration,
    replace_keys,
)
from fakes import FakeClock


def text_of(version: int, *keys: str) -> str:
    return orjson.dumps(
        {
            'version': format(version, '08x'),
            'routes': {},
            'services': {},
            'tenants': {'w': {'api_keys': keys, 'priority': 1}},
        }
    ).decode()


def document(version: int, *keys: str) -> AcceptedDocument:
    return AcceptedDocument(
        'configuration', version, version, text_of(version, *keys), '', 0
    )


class TestConfigurationLog:
    def make_log(self, clock: FakeClock) -> ConfigurationLog:
        return ConfigurationLog(clock, decode_configuration, replace_keys)

    def store_row(
        self, log: ConfigurationLog, version: int, *keys: str
    ) -> None:
        row = StoreRow('configuration', version, text_of(version, *keys))
        log.apply_rows(StoreRows((row,), version), False, None, log.clock.now())

    @pytest.mark.parametrize('is_from_peer', [True, False])
    def test_older_version_never_replaces_a_newer_one(
        self, is_from_peer: bool
    ) -> None:
        log = self.make_log(FakeClock(0))
        self.store_row(log, 7, 'new')
        if is_from_peer:
            log.offer_all([document(6, 'old')])
            log.advance(6)
        else:
            self.store_row(log, 6, 'old')
        assert log.revision == 7
        assert log.keys.is_valid(digest_key(b'new'), 'w')
        assert not log.keys.is_valid(digest_key(b'old'), 'w')

    @pytest.mark.parametrize('is_from_peer', [True, False])
    def test_kept_text_contains_no_key(self, is_from_peer: bool) -> None:
        """Peers of an earlier release pass on keys."""
        log = self.make_log(FakeClock(0))
        if is_from_peer:
            log.offer_all([document(7, 'secret-1')])
        else:
            self.store_row(log, 7, 'secret-1')
        assert log.keys.is_valid(digest_key(b'secret-1'), 'w')
        assert 'secret-1' not in str((log.newer_than(0), log.last_decoded))

    def test_invalid_version_keeps_the_keys_in_force(self) -> None:
        log = self.make_log(FakeClock(0))
        self.store_row(log, 7, 'valid')
        self.store_row(log, 8, 'other', '')
        assert log.revision == 7
        assert log.keys.is_valid(digest_key(b'valid'), 'w')
        assert not log.keys.is_valid(digest_key(b'other'), 'w')

    def test_started_daemon_waits_for_a_newer_version_than_a_peer_has(
        self,
    ) -> None:
        """A lagging peer may offer keys that are revoked by now."""
        clock = FakeClock(0)
        log = self.make_log(clock)
        log.offer_all([document(6, 'old')])
        log.advance(6)
        log.confirm(-9000, 6)
        assert not log.may_serve()
        self.store_row(log, 7, 'new')
        assert log.may_serve()

    def test_started_daemon_serves_if_nobody_has_a_newer_version(self) -> None:
        clock = FakeClock(0)
        log = self.make_log(clock)
        log.offer_all([document(6, 'old')])
        assert not log.may_serve()
        clock.advance(2000)
        assert log.may_serve()
        # It goes on serving, whatever happens to the store.
        clock.advance(60_000)
        assert log.may_serve()

    def test_configuration_without_workspaces_is_served_at_once(self) -> None:
        log = self.make_log(FakeClock(0))
        text = '{"version": "01", "routes": {}, "services": {}}'
        log.offer_all([AcceptedDocument('configuration', 1, 1, text, '', 0)])
        assert log.may_serve()
