"""Rules between the fields of a service document."""

import itertools
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeAlias

from cowslippond_core._field_check import format_value
from cowslippond_core._field_report import FieldReport
from cowslippond_core._route_overlap import can_cover

_Fields: TypeAlias = Mapping[str, Any]


class _OrderingRule(NamedTuple):
    """Two fields of which the lower must not exceed the upper.

    ``is_strict`` rejects equal numbers too.
    """

    lower: str
    upper: str
    is_strict: bool
    reason: str


_ORDERING_RULES = (
    _OrderingRule(
        'deadline.default_ms',
        'deadline.ceiling_ms',
        is_strict=False,
        reason='no caller may wait longer than the ceiling',
    ),
    _OrderingRule(
        'hedging.delay_ms',
        'deadline.ceiling_ms',
        is_strict=True,
        reason='a copy would be sent after every deadline',
    ),
    _OrderingRule(
        'upstreams.mean_service_ms',
        'deadline.ceiling_ms',
        is_strict=True,
        reason='an average call would miss every deadline',
    ),
    _OrderingRule(
        'deadline.ceiling_ms',
        'retirement.drain_ms',
        is_strict=False,
        reason='a drain would cut off calls that may still be running',
    ),
    _OrderingRule(
        'upstreams.slots',
        'upstreams.max_connections',
        is_strict=False,
        reason='every running call needs a connection',
    ),
)


def report_conflicts(fields: _Fields, report: FieldReport) -> None:
    """Report conflicts between fields that are valid by themselves.

    :param fields: the checked document; invalid values are ``None``.
    """
    for rule in _ORDERING_RULES:
        _check_ordering(rule, fields, report)
    for check in _CHECKS:
        check(fields, report)


def _check_ordering(
    rule: _OrderingRule, fields: _Fields, report: FieldReport
) -> None:
    lower_number = _number_at(fields, rule.lower)
    upper_number = _number_at(fields, rule.upper)
    if lower_number is None or upper_number is None:
        return
    if lower_number < upper_number or (
        lower_number == upper_number and not rule.is_strict
    ):
        return
    if report.has_field(rule.lower):
        relation = 'must be below' if rule.is_strict else 'must not exceed'
        bound = f'{rule.upper} ({format_value(upper_number)})'
        report.add(rule.lower, f'{relation} {bound}: {rule.reason}')
        return
    relation = 'must be above' if rule.is_strict else 'must be at least'
    bound = f'{rule.lower} ({format_value(lower_number)})'
    report.add(rule.upper, f'{relation} {bound}: {rule.reason}')


def _number_at(fields: _Fields, path: str) -> float | None:
    section, _, name = path.partition('.')
    number: float | None = (fields.get(section) or {}).get(name)
    return number


def _check_hedging(fields: _Fields, report: FieldReport) -> None:
    share = _number_at(fields, 'hedging.share_of_calls')
    if share == 0 and report.has_field('hedging.delay_ms'):
        message = 'has no effect because hedging.share_of_calls is 0'
        report.add('hedging.delay_ms', message)


def _check_matches(fields: _Fields, report: FieldReport) -> None:
    seen: dict[tuple[str, str], int] = {}
    for index, match in enumerate(fields.get('match') or ()):
        if match is None or None in match.values():
            continue
        route = (match['host'].lower(), match['path_prefix'])
        earlier = seen.get(route)
        if earlier is not None:
            message = f'matches the same calls as match[{earlier}]'
            report.add(f'match[{index}]', message)
            continue
        seen[route] = index


def _check_never_repeat_paths(fields: _Fields, report: FieldReport) -> None:
    matches = fields.get('match') or ()
    if not all(matches) or not report.is_valid('match'):
        return
    prefixes = [match['path_prefix'] for match in matches]
    for index, rule in enumerate(fields.get('never_repeat') or ()):
        if rule is None or rule['path'] is None:
            continue
        if not any(can_cover(rule['path'], prefix) for prefix in prefixes):
            message = f'{format_value(rule["path"])} is outside every match'
            report.add(f'never_repeat[{index}].path', message)


def _check_never_repeat_duplicates(
    fields: _Fields, report: FieldReport
) -> None:
    rules = fields.get('never_repeat') or ()
    for (first, rule), (second, other) in itertools.combinations(
        enumerate(rules), 2
    ):
        if rule is None or other is None or rule['path'] != other['path']:
            continue
        shared = set(rule['methods'] or ()) & set(other['methods'] or ())
        shared.discard(None)
        if shared:
            names = ', '.join(sorted(shared))
            message = f'duplicates {names} of never_repeat[{first}]'
            report.add(f'never_repeat[{second}]', message)


def _check_never_repeat_headers(fields: _Fields, report: FieldReport) -> None:
    for index, rule in enumerate(fields.get('never_repeat') or ()):
        if rule is None or rule['caller_header'] is None:
            continue
        if rule['key_header'] == rule['caller_header']:
            message = 'is the same header as key_header'
            report.add(f'never_repeat[{index}].caller_header', message)


_CHECKS: tuple[Callable[[_Fields, FieldReport], None], ...] = (
    _check_hedging,
    _check_matches,
    _check_never_repeat_paths,
    _check_never_repeat_duplicates,
    _check_never_repeat_headers,
)
