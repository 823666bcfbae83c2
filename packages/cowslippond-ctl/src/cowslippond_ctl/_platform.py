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


class PlatformLink(NamedTuple):
    """The services of the platform that the operator tool uses.

    ``timeout_ms`` bounds the wait for an answer, in milliseconds.
    """

    table_url: str
    table_name: str
    vm_list_url: str
    timeout_ms: Millis


def read_platform(
    path: pathlib.Path | None,
) -> Result[PlatformLink, tuple[Finding, ...]]:
    """Read the file that names the platform's services.

    :param path: the file; ``None`` takes the one that the environment names.
    """
    named = path or os.environ.get(PLATFORM_VARIABLE)
    if not named:
        message = f'name the platform: --platform FILE or {PLATFORM_VARIABLE}'
        return Error((_finding('command line', message),))
    read = read_text_file(pathlib.Path(named))
    if read.is_error():
        return Error((read.error,))
    source = FieldSource(read.ok, str(named))
    fields = read_fields(PLATFORM_SPEC, report_no_conflicts, source)
    return fields.map(_link_of)


def _link_of(fields: dict[str, Any]) -> PlatformLink:
    return PlatformLink(**fields)


def _finding(file: str, message: str) -> Finding:
    return Finding(Location(file, 1, 1, ''), message)
