"""Read a service document and report all its faults together."""

from typing import Any

from expression import Result

from cowslippond_core import _document as sections
from cowslippond_core._document import Priority, ServiceDocument
from cowslippond_core._document_fields import DOCUMENT_SPEC
from cowslippond_core._document_rules import report_conflicts
from cowslippond_core._field_reader import FieldSource, read_fields
from cowslippond_core._findings import Finding


def read_document(
    text: str, file: str
) -> Result[ServiceDocument, tuple[Finding, ...]]:
    """Parse and validate a service document; return it or all findings.

    :param text: JSON with comments and trailing commas.
    :param file: the name of the file, for findings.
    """
    source = FieldSource(text, file)
    fields = read_fields(DOCUMENT_SPEC, report_conflicts, source)
    return fields.map(_document_of)


def _document_of(fields: dict[str, Any]) -> ServiceDocument:
    return ServiceDocument(
        service=fields['service'],
        matches=tuple(
            sections.RouteMatch(**match) for match in fields['match']
        ),
        never_repeat=tuple(
            sections.NeverRepeat(**rule) for rule in fields['never_repeat']
        ),
        upstreams=sections.UpstreamCapacity(**fields['upstreams']),
        deadline=sections.DeadlinePolicy(**fields['deadline']),
        measuring=sections.MeasuringBudget(**fields['measuring']),
        retries=sections.RetryBudget(**fields['retries']),
        hedging=sections.HedgePolicy(**fields['hedging']),
        limits=sections.LimitPolicy(**fields['limits']),
        priority=Priority(fields['priority']),
        retirement=sections.RetirementPolicy(**fields['retirement']),
    )
