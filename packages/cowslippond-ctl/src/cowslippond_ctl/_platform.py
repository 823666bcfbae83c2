"""Where the platform is: the settings of the operator tool."""

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


class PlatformSettings(NamedTuple):
    """The services of the platform that the operator tool uses.

    ``timeout_ms`` bounds the wait for an answer, in milliseconds.
    """

    table_url: str
    table_name: str
    vm_list_url: str
    timeout_ms: Millis


def read_platform_settings(
    path: pathlib.Path | None,
) -> Result[PlatformSettings, tuple[Finding, ...]]:
    """Read the file that names the platform's services.

    :param path: the file; ``None`` takes the one that the environment names.
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


def _settings_of(fields: dict[str, Any]) -> PlatformSettings:
    return PlatformSettings(**fields)


def _finding(file: str, message: str) -> Finding:
    return Finding(Location(file, 1, 1, ''), message)
