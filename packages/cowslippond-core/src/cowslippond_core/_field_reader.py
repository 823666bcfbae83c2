"""Read a JSON text with comments against a description of its fields."""

from collections.abc import Callable
from typing import Any, TypeAlias

from expression import Error, Ok, Result

from cowslippond_core._field_check import check_value
from cowslippond_core._field_report import FieldReport
from cowslippond_core._field_specs import ObjectSpec
from cowslippond_core._findings import Finding
from cowslippond_core._jsonc import parse_valid
from cowslippond_core._jsonc_placed import parse_placed
from cowslippond_core._jsonc_tree import JsonNode

FieldRules: TypeAlias = Callable[[dict[str, Any], FieldReport], None]


def read_fields(
    spec: ObjectSpec, rules: FieldRules, text: str, file: str
) -> Result[dict[str, Any], tuple[Finding, ...]]:
    """Return the plain fields of a text, or every finding about it.

    The text is read without places first, which is fast; places cost a second
    reading, and only a text with findings needs them.

    :param spec: the fields that the text may hold.
    :param rules: reports the contradictions between fields.
    :param file: the name of the file, for findings.
    """
    root = parse_valid(text)
    if root is not None:
        report = FieldReport(file)
        fields = _check_root(spec, rules, root, report)
        if not report.findings:
            return Ok(fields)
    return _read_with_places(spec, rules, text, file)


def _read_with_places(
    spec: ObjectSpec, rules: FieldRules, text: str, file: str
) -> Result[dict[str, Any], tuple[Finding, ...]]:
    parsed = parse_placed(text, file)
    report = FieldReport(file)
    report.findings.extend(parsed.findings)
    fields = {}
    if parsed.root is not None:
        fields = _check_root(spec, rules, parsed.root, report)
    if not report.findings:
        return Ok(fields)
    ordered = sorted(report.findings, key=_place_order)
    return Error(tuple(ordered))


def _check_root(
    spec: ObjectSpec, rules: FieldRules, root: JsonNode, report: FieldReport
) -> dict[str, Any]:
    report.record('', root)
    fields = check_value(spec, root, '', report)
    if fields is None:
        return {}
    rules(fields, report)
    return dict(fields)


def _place_order(finding: Finding) -> tuple[int, int]:
    return (finding.place.line, finding.place.column)
