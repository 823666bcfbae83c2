"""Check a JSON tree against descriptions of its fields.

Every check returns the plain value: objects as dictionaries with the defaults
filled in, lists as tuples. A value that is not valid comes back as ``None``,
and the report holds why.
"""

import difflib
import ipaddress
import math
import re
from functools import singledispatch
from typing import Any

from cowslippond_core import _field_specs as specs
from cowslippond_core._field_report import FieldReport
from cowslippond_core._field_specs import MILLIS_UNIT, SHARE_UNIT
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
    """Return the plain value of a node, or ``None`` if it is not valid.

    :param path: the path of the value in the document.
    """
    raise TypeError(kind)


@check_value.register
def _check_number(
    kind: specs.NumberSpec, node: JsonNode, path: str, report: FieldReport
) -> float | None:
    found = node.body
    if not isinstance(found, int | float) or isinstance(found, bool):
        hint = _duration_hint(kind, found)
        message = f'must be a number ({kind.unit}), not {show(found)}{hint}'
        report.add(path, message)
        return None
    if kind.least <= found <= kind.most:
        return _whole(kind, found, path, report)
    bounds = f'{show(kind.least)} to {show(kind.most)} ({kind.unit})'
    hint = _percent_hint(kind, found)
    report.add(path, f'must be {bounds}, not {show(found)}{hint}')
    return None


@check_value.register
def _check_text(
    kind: specs.TextSpec, node: JsonNode, path: str, report: FieldReport
) -> str | None:
    found = node.body
    if isinstance(found, str) and kind.pattern.fullmatch(found):
        return found
    report.add(path, f'must be {kind.form}, not {show(found)}')
    return None


@check_value.register
def _check_choice(
    kind: specs.ChoiceSpec, node: JsonNode, path: str, report: FieldReport
) -> str | None:
    found = node.body
    if isinstance(found, str) and found in kind.choices:
        return found
    wanted = ' or '.join(show(choice) for choice in kind.choices)
    report.add(path, f'must be {wanted}, not {show(found)}')
    return None


@check_value.register
def _check_address(
    kind: specs.AddressSpec, node: JsonNode, path: str, report: FieldReport
) -> str | None:
    found = node.body
    if isinstance(found, str) and _is_address(found):
        return found
    form = 'an IP number and a port, such as "10.0.0.5:8080"'
    report.add(path, f'must be {form}, not {show(found)}')
    return None


@check_value.register
def _check_list(
    kind: specs.ListSpec, node: JsonNode, path: str, report: FieldReport
) -> tuple[Any, ...] | None:
    found = node.body
    if not isinstance(found, JsonArray):
        report.add(path, f'must be a list, not {show(found)}')
        return None
    if not kind.least <= len(found.nodes) <= kind.most:
        bounds = f'{kind.least} to {kind.most}'
        count = len(found.nodes)
        report.add(path, f'must have {bounds} members, not {count}')
    members = []
    for index, member in enumerate(found.nodes):
        at_path = f'{path}[{index}]'
        report.record(at_path, member)
        members.append(check_value(kind.member, member, at_path, report))
    return tuple(members)


@check_value.register
def _check_object(
    kind: specs.ObjectSpec, node: JsonNode, path: str, report: FieldReport
) -> dict[str, Any] | None:
    found = node.body
    if not isinstance(found, JsonObject):
        report.add(path, f'must be an object, not {show(found)}')
        return None
    by_name = {field.name: field for field in kind.fields}
    plain = {}
    for member in found.members:
        at_path = join_path(path, member.name)
        field = by_name.pop(member.name, None)
        if field is None:
            message = _unknown_message(member.name, kind)
            report.add_at(at_path, member.line, member.column, message)
            continue
        report.record(at_path, member.node)
        plain[member.name] = check_value(
            field.kind, member.node, at_path, report
        )
    for name, field in by_name.items():
        plain[name] = _default_of(field, join_path(path, name), report)
    return plain


def join_path(path: str, name: str) -> str:
    """Return the path of a member of an object."""
    return f'{path}.{name}' if path else name


def show(found: object) -> str:
    """Return a value as a reader of the document would write it."""
    if isinstance(found, JsonObject):
        return 'an object'
    if isinstance(found, JsonArray):
        return 'a list'
    if found is None:
        return 'null'
    if isinstance(found, bool):
        return str(found).lower()
    if isinstance(found, str):
        shown = found[:_MAX_SHOWN_CHARS]
        rest = '...' if len(found) > _MAX_SHOWN_CHARS else ''
        return f'"{shown}{rest}"'
    return format(found, 'g') if isinstance(found, float) else str(found)


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


def _whole(
    kind: specs.NumberSpec, found: float, path: str, report: FieldReport
) -> float | None:
    if not kind.is_whole:
        return found
    if math.floor(found) == found:
        return int(found)
    report.add(path, f'must be a whole number, not {show(found)}')
    return None


def _duration_hint(kind: specs.NumberSpec, found: object) -> str:
    if kind.unit != MILLIS_UNIT or not isinstance(found, str):
        return ''
    duration = _DURATION.fullmatch(found)
    if duration is None:
        return ''
    amount, unit = duration.groups()
    millis = float(amount) * dict(_MILLIS_PER_UNIT)[unit]
    return f'; write {show(millis)}'


def _percent_hint(kind: specs.NumberSpec, found: float) -> str:
    if kind.unit != SHARE_UNIT or not 1 < found <= 100:
        return ''
    return f'; write {show(found / 100)} for {show(found)} %'


def _unknown_message(name: str, kind: specs.ObjectSpec) -> str:
    known = [field.name for field in kind.fields]
    stem = _UNIT_SUFFIX.sub('', name)
    in_millis = f'{stem}_ms'
    if in_millis in known:
        return f'unknown field; times are in milliseconds: "{in_millis}"'
    nearest = difflib.get_close_matches(name, known, n=1)
    if nearest:
        return f'unknown field; did you mean "{nearest[0]}"?'
    names = ', '.join(f'"{candidate}"' for candidate in known)
    return f'unknown field; the fields here are {names}'


def _is_address(found: str) -> bool:
    host, _, port = found.rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    if not port.isascii() or not port.isdecimal():
        return False
    is_bracketed = host.startswith('[') and host.endswith(']')
    return is_bracketed == (':' in host) and 0 < int(port) <= _MAX_PORT
