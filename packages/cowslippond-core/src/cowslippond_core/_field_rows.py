"""List the fields of documents and settings for operators."""

from collections.abc import Iterator
from functools import singledispatch
from typing import NamedTuple

from cowslippond_core import _field_specs as specs
from cowslippond_core._field_check import format_value, join_path


class FieldRow(NamedTuple):
    """The description of one field.

    ``form`` is the type with its bounds and unit. ``default`` is ``required``
    for a field without a default.
    """

    path: str
    form: str
    default: str
    summary: str


def list_fields(spec: specs.ObjectSpec, path: str = '') -> Iterator[FieldRow]:
    """Yield all fields of an object, parents before children.

    :param path: the path of the object in the document.
    """
    for field in spec.fields:
        at_path = join_path(path, field.name)
        yield FieldRow(
            at_path,
            describe_kind(field.kind),
            _default_of(field),
            field.summary,
        )
        yield from _list_inner(field.kind, at_path)


def markdown_rows(spec: specs.ObjectSpec) -> list[str]:
    """Return the lines of a Markdown table of all fields."""
    lines = [
        '| Field | Form | Default | Meaning |',
        '|---|---|---|---|',
    ]
    for row in list_fields(spec):
        form = row.form.replace('|', r'\|')
        lines.append(
            f'| `{row.path}` | {form} | {row.default} | {row.summary} |'
        )
    return lines


@singledispatch
def describe_kind(kind: specs.FieldKind) -> str:
    """Describe a kind of value, with its bounds and unit."""
    raise TypeError(kind)


@describe_kind.register
def _form_of_number(kind: specs.NumberSpec) -> str:
    number = 'whole number' if kind.is_whole else 'number'
    return f'{number}, {kind.minimum} to {kind.maximum}, {kind.unit}'


@describe_kind.register
def _form_of_text(kind: specs.TextSpec) -> str:
    return kind.description


@describe_kind.register
def _form_of_choice(kind: specs.ChoiceSpec) -> str:
    return ' or '.join(format_value(choice) for choice in kind.choices)


@describe_kind.register
def _form_of_address(kind: specs.AddressSpec) -> str:
    return '`host:port` with an IP address'


@describe_kind.register
def _form_of_list(kind: specs.ListSpec) -> str:
    member = describe_kind(kind.member)
    return f'list of {kind.min_length} to {kind.max_length}: {member}'


@describe_kind.register
def _form_of_object(kind: specs.ObjectSpec) -> str:
    return 'object'


def _list_inner(kind: specs.FieldKind, path: str) -> Iterator[FieldRow]:
    if isinstance(kind, specs.ObjectSpec):
        yield from list_fields(kind, path)
    if isinstance(kind, specs.ListSpec):
        yield from _list_inner(kind.member, f'{path}[]')


def _default_of(field: specs.FieldSpec) -> str:
    if field.is_required:
        return 'required'
    if isinstance(field.kind, specs.ObjectSpec):
        return 'its defaults'
    if isinstance(field.kind, specs.ListSpec):
        return 'empty'
    if field.default is None:
        return 'none'
    return format_value(field.default)
