"""Settings of the operator tool: how to reach the platform."""

import os
import pathlib
from typing import Any, NamedTuple

from cowslippond_core import (
    PLATFORM_SPEC,
    FieldSource,
    Finding,
    Location,
    Millis,
    read_fields,
    read_text_file,
    report_no_conflicts,
)
from expression import Error, Result

PLATFORM_VARIABLE = 'COWSLIPPOND_PLATFORM'


class CtlPlatformSettings(NamedTuple):
    """The platform services that the operator tool uses.

    ``timeout_ms`` limits the wait for each answer.
    """

    table_url: str
    table_name: str
    vm_list_url: str
    timeout_ms: Millis


def read_platform_settings(
    path: pathlib.Path | None,
) -> Result[CtlPlatformSettings, tuple[Finding, ...]]:
    """Read the platform settings file.

    :param path: the file; ``None`` uses the path in the environment variable
        ``COWSLIPPOND_PLATFORM``.
    """
    settings_path = path or os.environ.get(PLATFORM_VARIABLE)
    if not settings_path:
        message = f'name the platform: --platform FILE or {PLATFORM_VARIABLE}'
        return Error((_finding('command line', message),))
    loaded = read_text_file(pathlib.Path(settings_path))
    if loaded.is_error():
        return Error((loaded.error,))
    source = FieldSource(loaded.ok, str(settings_path))
    fields = read_fields(PLATFORM_SPEC, report_no_conflicts, source)
    return fields.map(_settings_of)


def _settings_of(fields: dict[str, Any]) -> CtlPlatformSettings:
    return CtlPlatformSettings(**fields)


def _finding(file: str, message: str) -> Finding:
    return Finding(Location(file, 1, 1, ''), message)
