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
    """Endpoints of the platform's services.

    ``timeout_ms`` limits the wait for each answer.
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
    """Durations of a graceful stop.

    ``lag_ms`` is how long the balancer may still send calls after the daemon
    announced that it leaves. ``limit_ms`` limits the whole stop.
    """

    lag_ms: Millis
    limit_ms: Millis


class Settings(NamedTuple):
    """The contents of a daemon's settings file.

    Addresses are ``host:port``. ``peers`` are the peer addresses known at
    start-up. Budgets for all daemons together are divided by ``max_daemons``.
    ``keep_alive_ms`` is how long an idle connection of a caller stays open.
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
    """Parse and validate settings; return them or all findings.

    :param text: JSON with comments and trailing commas.
    :param file: the name of the file, for findings.
    :param overrides: settings from the command line, by name. They take
        precedence over the text and are validated in the same way.
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
