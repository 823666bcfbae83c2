"""Findings about an input: collected with their place, reported together."""

from typing import NamedTuple


class Location(NamedTuple):
    """Where in an input a finding lies.

    ``line`` and ``column`` count from 1; ``path`` is the path in the
    document, such as ``deadline.ceiling_ms``.
    """

    file: str
    line: int
    column: int
    path: str


class Finding(NamedTuple):
    """One fault of an input, with its place."""

    location: Location
    message: str


def format_finding(finding: Finding) -> str:
    """Return a finding as one line, ``file:line:column: path: message``."""
    location = finding.location
    at_path = f'{location.path}: ' if location.path else ''
    return f'{location.file}:{location.line}:{location.column}: {at_path}{finding.message}'
