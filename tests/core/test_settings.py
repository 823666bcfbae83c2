"""Tests of reading the daemon's settings."""

import pathlib

import pytest
from cowslippond_core import Settings, read_settings

EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'daemon.jsonc'


def findings_of(text: str) -> dict[str, str]:
    read = read_settings(text, 'f')
    if read.is_ok():
        return {}
    return {each.location.path: each.message for each in read.error}


class TestReadSettings:
    def test_example_is_valid(self) -> None:
        settings: Settings = read_settings(EXAMPLE.read_text(), 'f').ok
        assert settings.platform.table_name == 'cowslippond'
        assert settings.retire.lag_ms == 3000

    def test_defaults_are_filled_in(self) -> None:
        lines = EXAMPLE.read_text().splitlines()
        optional_prefixes = (
            '"max_daemons"',
            '"statsd',
            '"log"',
            '"retire"',
            '"keep_alive',
        )
        text = '\n'.join(
            line
            for line in lines
            if not line.strip().startswith(optional_prefixes)
        )
        settings: Settings = read_settings(text, 'f').ok
        assert settings.max_daemons == 24
        assert settings.statsd_address is None
        assert settings.log.format == 'json'
        assert settings.retire.limit_ms == 30_000
        assert settings.keep_alive_ms == 5000

    @pytest.mark.parametrize(
        ('old', 'new', 'path', 'words'),
        [
            ('"vm": "entry-01",', '', 'vm', 'is missing'),
            ('10.0.1.1:8080', 'host:8080', 'caller_address', 'IP address'),
            ('10.0.1.1:8080', '10.0.1.1', 'caller_address', 'IP address'),
            ('10.0.1.1:8080', '10.0.1.1:0', 'caller_address', 'IP address'),
            ('10.0.1.1:8080', '10.0.1.1:65536', 'caller_address', 'port'),
            ('10.0.1.1:8080', '::1:80', 'caller_address', 'IP address'),
            ('10.0.1.1:8081', '10.0.1.1:8080', 'admin_address', 'same'),
            (
                '"table_url": "http',
                '"table_url": "ftp',
                'platform.table_url',
                '',
            ),
            ('"lag_ms": 3000', '"lag_ms": 23001', 'retire.limit_ms', '30001'),
            (
                '"keep_alive_ms": 5000',
                '"keep_alive_ms": 25001',
                'retire.limit_ms',
                'at least 30001',
            ),
            ('"lag_ms": 3000', '"lag_s": 3', 'retire.lag_s', '"lag_ms"'),
            ('"10.0.1.2:8082"', '7', 'peers[0]', 'not 7'),
            ('"json"', '"xml"', 'log.format', '"json" or "text"'),
        ],
    )
    def test_fault_is_reported_with_its_path(
        self, old: str, new: str, path: str, words: str
    ) -> None:
        text = EXAMPLE.read_text()
        assert old in text
        assert words in findings_of(text.replace(old, new, 1))[path]

    def test_shortest_allowed_stop_limit_is_valid(self) -> None:
        text = EXAMPLE.read_text()
        changed = text.replace('"lag_ms": 3000', '"lag_ms": 23000')
        assert changed != text
        assert not findings_of(changed)

    def test_ipv6_address_in_brackets_is_valid(self) -> None:
        text = EXAMPLE.read_text().replace('10.0.1.1:8080', '[fd00::1]:8080')
        assert not findings_of(text)


class TestOverrides:
    def test_override_takes_precedence_over_the_file(self) -> None:
        overrides = {'vm': 'entry-9', 'caller_address': '10.0.1.9:80'}
        settings = read_settings(EXAMPLE.read_text(), 'f', overrides).ok
        assert settings.vm == 'entry-9'
        assert settings.caller_address == '10.0.1.9:80'
        assert settings.admin_address == '10.0.1.1:8081'

    def test_overridden_setting_may_be_missing_from_the_file(self) -> None:
        text = EXAMPLE.read_text().replace('"vm": "entry-01",', '')
        assert read_settings(text, 'f', {'vm': 'entry-9'}).ok.vm == 'entry-9'

    @pytest.mark.parametrize('address', ['nowhere', '10.0.1.1:8081'])
    def test_override_is_validated(self, address: str) -> None:
        """Guards against command-line settings that bypass validation."""
        overrides = {'caller_address': address}
        read = read_settings(EXAMPLE.read_text(), 'f', overrides)
        paths = {finding.location.path for finding in read.error}
        assert paths & {'caller_address', 'admin_address'}
        assert all(finding.location.line for finding in read.error)
