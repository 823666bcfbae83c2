"""The ``fields`` command: list the fields of the configuration files."""

from types import MappingProxyType
from typing import Literal, TypeAlias

from cowslippond_core import (
    DOCUMENT_SPEC,
    PLATFORM_SPEC,
    SETTINGS_SPEC,
    list_fields,
    markdown_rows,
)

from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._outcome import CommandOutcome
from cowslippond_ctl._views import grid

#: The kinds of configuration files whose fields can be listed.
FieldSubject: TypeAlias = Literal['document', 'settings', 'platform']

_SPECS = MappingProxyType(
    {
        'document': DOCUMENT_SPEC,
        'settings': SETTINGS_SPEC,
        'platform': PLATFORM_SPEC,
    }
)


def show_fields(subject: FieldSubject, *, is_markdown: bool) -> CommandOutcome:
    """List the fields of one kind of file.

    :param is_markdown: print the Markdown table used in the documentation.
    """
    spec = _SPECS[subject]
    rows = list(list_fields(spec))
    record = {'fields': [row._asdict() for row in rows]}
    if is_markdown:
        return CommandOutcome(ExitCode.DONE, record, markdown_rows(spec))
    view = grid(('field', 'form', 'default', 'meaning'), rows)
    return CommandOutcome(ExitCode.DONE, record, [view])
