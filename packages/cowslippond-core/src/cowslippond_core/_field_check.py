"""Validate a JSON tree against field specifications.

Every check returns the plain value: objects become dictionaries with defaults
filled in, and lists become tuples. An invalid value becomes ``None``, and the
report receives the finding.
"""

import difflib
import ipaddress
import math
import re
from functools import singledispatch
from typing import Any

from cowslippond_core import _field_specs as specs
from cowslippond_core._field_report import FieldReport
from cowslippond_core._field_specs import FRACTION_UNIT, MILLIS_UNIT
from cowslippond_core._jsonc_tree import JsonArray, JsonNode, JsonObject

_UNIT_SUFFIX = re.compile('_?(?:ms|millis|s|sec|seconds|m|min|minutes|us)$')
_DURATION = re.compile(r'\s*(\d+(?:\.\d+)?)\s*(ms|s|m|min)\s*')
_MILLIS_PER_UNIT = (('ms', 1), ('s', 1000), ('m', 60_000), ('min', 60_000))
_MAX_PORT = 65_535
_MAX_SHOWN_CHARS = 60


@singledispatch
def check_value(
    kind: specs.FieldKind, node: JsonNode, path: str, report: FieldReport
) -> Any:
    """Validate a node; return its plain value, or ``None`` if invalid.

    :param path: the path of the value in the document.
    """
    raise TypeError(kind)


@check_value.register
def _check_number(
    kind: specs.NumberSpec, node: JsonNode, path: str, report: FieldReport
) -> float | None:
    value = node.body
    if not isinstance(value, int | float) or isinstance(value, bool):
        hint = _milliseconds_hint(kind, value)
        message = (
            f'must be a number ({kind.unit}), not {format_value(value)}{hint}'
        )
        report.add(path, message)
        return None
    if kind.minimum <= value <= kind.maximum:
        return _as_whole_number(kind, value, path, report)
    bounds = (
        f'{format_value(kind.minimum)} to {format_value(kind.maximum)} '
        f'({kind.unit})'
    )
    hint = _fraction_hint(kind, value)
    report.add(path, f'must be {bounds}, not {format_value(value)}{hint}')
    return None


@check_value.register
def _check_text(
    kind: specs.TextSpec, node: JsonNode, path: str, report: FieldReport
) -> str | None:
    value = node.body
    if isinstance(value, str) and kind.pattern.fullmatch(value):
        return value
    report.add(path, f'must be {kind.description}, not {format_value(value)}')
    return None


@check_value.register
def _check_choice(
    kind: specs.ChoiceSpec, node: JsonNode, path: str, report: FieldReport
) -> str | None:
    value = node.body
    if isinstance(value, str) and value in kind.choices:
        return value
    alternatives = ' or '.join(format_value(choice) for choice in kind.choices)
    report.add(path, f'must be {alternatives}, not {format_value(value)}')
    return None


@check_value.register
def _check_address(
    kind: specs.AddressSpec, node: JsonNode, path: str, report: FieldReport
) -> str | None:
    value = node.body
    if isinstance(value, str) and _is_address(value):
        return value
    expected = 'an IP address and a port, such as "10.0.0.5:8080"'
    report.add(path, f'must be {expected}, not {format_value(value)}')
    return None


@check_value.register
def _check_list(
    kind: specs.ListSpec, node: JsonNode, path: str, report: FieldReport
) -> tuple[Any, ...] | None:
    value = node.body
    if not isinstance(value, JsonArray):
        report.add(path, f'must be a list, not {format_value(value)}')
        return None
    if not kind.min_length <= len(value.nodes) <= kind.max_length:
        bounds = f'{kind.min_length} to {kind.max_length}'
        count = len(value.nodes)
        report.add(path, f'must have {bounds} members, not {count}')
    members = []
    for index, member in enumerate(value.nodes):
        at_path = f'{path}[{index}]'
        report.record_location(at_path, member)
        members.append(check_value(kind.member, member, at_path, report))
    return tuple(members)


@check_value.register
def _check_object(
    kind: specs.ObjectSpec, node: JsonNode, path: str, report: FieldReport
) -> dict[str, Any] | None:
    value = node.body
    if not isinstance(value, JsonObject):
        report.add(path, f'must be an object, not {format_value(value)}')
        return None
    by_name = {field.name: field for field in kind.fields}
    plain = {}
    for member in value.members:
        at_path = join_path(path, member.name)
        field = by_name.pop(member.name, None)
        if field is None:
            message = _unknown_field_message(member.name, kind)
            report.add_at(at_path, member.line, member.column, message)
            continue
        report.record_location(at_path, member.node)
        plain[member.name] = check_value(
            field.kind, member.node, at_path, report
        )
    for name, field in by_name.items():
        plain[name] = _default_of(field, join_path(path, name), report)
    return plain


def join_path(path: str, name: str) -> str:
    """Return the path of a member of an object."""
    return f'{path}.{name}' if path else name


def format_value(value: object) -> str:
    """Format a value as it is written in a document."""
    if isinstance(value, JsonObject):
        return 'an object'
    if isinstance(value, JsonArray):
        return 'a list'
    if value is None:
        return 'null'
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        shown = value[:_MAX_SHOWN_CHARS]
        rest = '...' if len(value) > _MAX_SHOWN_CHARS else ''
        return f'"{shown}{rest}"'
    return format(value, 'g') if isinstance(value, float) else str(value)


def _default_of(field: specs.FieldSpec, path: str, report: FieldReport) -> Any:
    if field.is_required:
        report.add(path, 'is missing')
        return None
    if isinstance(field.kind, specs.ObjectSpec):
        empty = JsonNode(JsonObject(()), 0, 0)
        return check_value(field.kind, empty, path, report)
    if isinstance(field.kind, specs.ListSpec):
        return ()
    return field.default


def _as_whole_number(
    kind: specs.NumberSpec, value: float, path: str, report: FieldReport
) -> float | None:
    if not kind.is_whole:
        return value
    if math.floor(value) == value:
        return int(value)
    report.add(path, f'must be a whole number, not {format_value(value)}')
    return None


def _milliseconds_hint(kind: specs.NumberSpec, value: object) -> str:
    if kind.unit != MILLIS_UNIT or not isinstance(value, str):
        return ''
    duration = _DURATION.fullmatch(value)
    if duration is None:
        return ''
    amount, unit = duration.groups()
    millis = float(amount) * dict(_MILLIS_PER_UNIT)[unit]
    return f'; write {format_value(millis)}'


def _fraction_hint(kind: specs.NumberSpec, value: float) -> str:
    if kind.unit != FRACTION_UNIT or not 1 < value <= 100:
        return ''
    return f'; write {format_value(value / 100)} for {format_value(value)} %'


def _unknown_field_message(name: str, kind: specs.ObjectSpec) -> str:
    known_names = [field.name for field in kind.fields]
    stem = _UNIT_SUFFIX.sub('', name)
    in_millis = f'{stem}_ms'
    if in_millis in known_names:
        return f'unknown field; times are in milliseconds: "{in_millis}"'
    nearest = difflib.get_close_matches(name, known_names, n=1)
    if nearest:
        return f'unknown field; did you mean "{nearest[0]}"?'
    names = ', '.join(f'"{candidate}"' for candidate in known_names)
    return f'unknown field; allowed fields are {names}'


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    if not port.isascii() or not port.isdecimal():
        return False
    is_bracketed = host.startswith('[') and host.endswith(']')
    return is_bracketed == (':' in host) and 0 < int(port) <= _MAX_PORT
