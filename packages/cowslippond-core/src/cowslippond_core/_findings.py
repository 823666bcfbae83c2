"""Findings: faults of an input, with their locations."""

from typing import NamedTuple


class Location(NamedTuple):
    """The location of a finding in an input.

    ``line`` and ``column`` count from 1. ``path`` is the path of the field in
    the document, such as ``deadline.ceiling_ms``.
    """

    file: str
    line: int
    column: int
    path: str


class Finding(NamedTuple):
    """One fault of an input."""

    location: Location
    message: str


def format_finding(finding: Finding) -> str:
    """Format a finding as a line ``file:line:column: path: message``."""
    location = finding.location
    at_path = f'{location.path}: ' if location.path else ''
    return (
        f'{location.file}:{location.line}:{location.column}: '
        f'{at_path}{finding.message}'
    )
