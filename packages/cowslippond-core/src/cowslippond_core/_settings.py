"""The settings of one daemon."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from expression import Result

from cowslippond_core._clock import Millis
from cowslippond_core._field_reader import FieldSource, read_fields
from cowslippond_core._findings import Finding
from cowslippond_core._settings_fields import (
    SETTINGS_SPEC,
    report_setting_conflicts,
)


class PlatformSettings(NamedTuple):
    """Where the platform's services are.

    ``timeout_ms`` bounds the wait for any answer, in milliseconds.
    """

    table_url: str
    table_name: str
    objects_url: str
    objects_bucket: str
    vm_list_url: str
    timeout_ms: Millis


class LogSettings(NamedTuple):
    """How the daemon logs: ``format`` is ``json`` or ``text``."""

    format: str
    level: str


class RetireSettings(NamedTuple):
    """How the daemon stops, in milliseconds.

    ``lag_ms`` is how long the balancer still sends calls after the daemon said
    that it leaves; ``limit_ms`` bounds the whole stop.
    """

    lag_ms: Millis
    limit_ms: Millis


class Settings(NamedTuple):
    """Everything a daemon learns from its settings file.

    Addresses are ``host:port``. ``peers`` are peer addresses known at the
    start. ``max_daemons`` divides the budgets that hold for all daemons
    together. ``keep_alive_ms`` is how long an idle connection of a caller
    stays open.
    """

    vm: str
    failure_domain: str
    caller_address: str
    admin_address: str
    peer_address: str
    platform: PlatformSettings
    peers: tuple[str, ...]
    max_daemons: int
    statsd_address: str | None
    log: LogSettings
    retire: RetireSettings
    keep_alive_ms: Millis


def read_settings(
    text: str, file: str, overrides: Mapping[str, str] | None = None
) -> Result[Settings, tuple[Finding, ...]]:
    """Return the settings that a text holds, or all findings about it.

    :param text: JSON with comments and trailing commas.
    :param file: the name of the file, for findings.
    :param given: settings of the command line, by name, that go before those
        of the text; they are checked alike.
    """
    source = FieldSource(text, file, overrides or {})
    fields = read_fields(SETTINGS_SPEC, report_setting_conflicts, source)
    return fields.map(_settings_of)


def _settings_of(fields: dict[str, Any]) -> Settings:
    sections = {
        'platform': PlatformSettings(**fields['platform']),
        'log': LogSettings(**fields['log']),
        'retire': RetireSettings(**fields['retire']),
    }
    return Settings(**{**fields, **sections})
