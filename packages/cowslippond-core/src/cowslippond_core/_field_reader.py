"""Read JSON with comments and validate it against field specifications."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypeAlias

from expression import Error, Ok, Result

from cowslippond_core._field_check import check_value
from cowslippond_core._field_report import FieldReport
from cowslippond_core._field_specs import ObjectSpec
from cowslippond_core._findings import Finding
from cowslippond_core._jsonc import parse_valid
from cowslippond_core._jsonc_located import parse_with_locations
from cowslippond_core._jsonc_tree import JsonMember, JsonNode, JsonObject

FieldRules: TypeAlias = Callable[[dict[str, Any], FieldReport], None]


class FieldSource(NamedTuple):
    """A text to read, and overrides of its fields.

    ``overrides`` maps names of fields of the outermost object to strings that
    take precedence over the text.
    """

    text: str
    file: str
    overrides: Mapping[str, str] = MappingProxyType({})


def read_fields(
    spec: ObjectSpec, rules: FieldRules, source: FieldSource
) -> Result[dict[str, Any], tuple[Finding, ...]]:
    """Return the plain fields of a text, or all findings about it.

    The text is first parsed without locations, which is fast. Locations need a
    second, slower parse, which runs only if there are findings.

    :param spec: the fields that the text may contain.
    :param rules: reports conflicts between fields.
    """
    root = parse_valid(source.text)
    if root is not None:
        report = FieldReport(source.file)
        fields = _check_root(
            spec, rules, _apply_overrides(root, source), report
        )
        if not report.findings:
            return Ok(fields)
    return _read_with_locations(spec, rules, source)


def _read_with_locations(
    spec: ObjectSpec, rules: FieldRules, source: FieldSource
) -> Result[dict[str, Any], tuple[Finding, ...]]:
    parsed = parse_with_locations(source.text, source.file)
    report = FieldReport(source.file)
    report.findings.extend(parsed.findings)
    fields = {}
    if parsed.root is not None:
        root = _apply_overrides(parsed.root, source)
        fields = _check_root(spec, rules, root, report)
    if not report.findings:
        return Ok(fields)
    ordered = sorted(report.findings, key=_text_position)
    return Error(tuple(ordered))


def _apply_overrides(root: JsonNode, source: FieldSource) -> JsonNode:
    """Return the object with the overrides in place of its own fields.

    Findings about overrides point to the start of the object.
    """
    if not source.overrides or not isinstance(root.body, JsonObject):
        return root
    line, column = root.line, root.column
    members = [
        member
        for member in root.body.members
        if member.name not in source.overrides
    ]
    for name, text in source.overrides.items():
        node = JsonNode(text, line, column)
        members.append(JsonMember(name, line, column, node))
    return root._replace(body=JsonObject(tuple(members)))


def _check_root(
    spec: ObjectSpec, rules: FieldRules, root: JsonNode, report: FieldReport
) -> dict[str, Any]:
    report.record_location('', root)
    fields = check_value(spec, root, '', report)
    if fields is None:
        return {}
    rules(fields, report)
    return dict(fields)


def _text_position(finding: Finding) -> tuple[int, int]:
    return (finding.location.line, finding.location.column)
