"""Contradictions between the fields of a service document."""

import itertools
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeAlias

from cowslippond_core._field_check import show
from cowslippond_core._field_report import FieldReport
from cowslippond_core._route_overlap import can_cover

_Fields: TypeAlias = Mapping[str, Any]


class _OrderRule(NamedTuple):
    """Two numbers of which the lower one must not exceed the upper one.

    ``is_strict`` refuses equal numbers too.
    """

    lower: str
    upper: str
    is_strict: bool
    reason: str


_ORDER_RULES = (
    _OrderRule(
        'deadline.default_ms',
        'deadline.ceiling_ms',
        is_strict=False,
        reason='no caller may wait longer than the ceiling',
    ),
    _OrderRule(
        'hedging.delay_ms',
        'deadline.ceiling_ms',
        is_strict=True,
        reason='a copy would come after every deadline',
    ),
    _OrderRule(
        'upstreams.mean_service_ms',
        'deadline.ceiling_ms',
        is_strict=True,
        reason='the mean call would miss every deadline',
    ),
    _OrderRule(
        'deadline.ceiling_ms',
        'retirement.drain_ms',
        is_strict=False,
        reason='a drain would cut calls that may still run',
    ),
    _OrderRule(
        'upstreams.slots',
        'upstreams.max_connections',
        is_strict=False,
        reason='a call takes a connection',
    ),
)


def report_contradictions(fields: _Fields, report: FieldReport) -> None:
    """Report what is wrong between fields that are valid each by itself.

    :param fields: the checked document; invalid values are ``None``.
    """
    for rule in _ORDER_RULES:
        _apply_order_rule(rule, fields, report)
    for check in _CHECKS:
        check(fields, report)


def _apply_order_rule(
    rule: _OrderRule, fields: _Fields, report: FieldReport
) -> None:
    low = _number_at(fields, rule.lower)
    high = _number_at(fields, rule.upper)
    if low is None or high is None:
        return
    if low < high or (low == high and not rule.is_strict):
        return
    if report.has_field(rule.lower):
        relation = 'must be below' if rule.is_strict else 'must not exceed'
        bound = f'{rule.upper} ({show(high)})'
        report.add(rule.lower, f'{relation} {bound}: {rule.reason}')
        return
    relation = 'must be above' if rule.is_strict else 'must be at least'
    bound = f'{rule.lower} ({show(low)})'
    report.add(rule.upper, f'{relation} {bound}: {rule.reason}')


def _number_at(fields: _Fields, path: str) -> float | None:
    section, _, name = path.partition('.')
    found: float | None = (fields.get(section) or {}).get(name)
    return found


def _check_hedging(fields: _Fields, report: FieldReport) -> None:
    share = _number_at(fields, 'hedging.share_of_calls')
    if share == 0 and report.has_field('hedging.delay_ms'):
        message = 'has no effect, as hedging.share_of_calls is 0'
        report.add('hedging.delay_ms', message)


def _check_matches(fields: _Fields, report: FieldReport) -> None:
    seen: dict[tuple[str, str], int] = {}
    for index, match in enumerate(fields.get('match') or ()):
        if match is None or None in match.values():
            continue
        place = (match['host'].lower(), match['path_prefix'])
        earlier = seen.get(place)
        if earlier is not None:
            message = f'matches the same calls as match[{earlier}]'
            report.add(f'match[{index}]', message)
            continue
        seen[place] = index


def _check_never_repeat_paths(fields: _Fields, report: FieldReport) -> None:
    matches = fields.get('match') or ()
    if not all(matches) or not report.is_valid('match'):
        return
    prefixes = [match['path_prefix'] for match in matches]
    for index, rule in enumerate(fields.get('never_repeat') or ()):
        if rule is None or rule['path'] is None:
            continue
        if not any(can_cover(rule['path'], prefix) for prefix in prefixes):
            message = f'{show(rule["path"])} lies outside every match'
            report.add(f'never_repeat[{index}].path', message)


def _check_never_repeat_twins(fields: _Fields, report: FieldReport) -> None:
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
            message = f'covers {names} of never_repeat[{first}] again'
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
    _check_never_repeat_twins,
    _check_never_repeat_headers,
)
