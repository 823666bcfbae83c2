"""Findings about an input: collected with their place, reported together."""

from typing import NamedTuple


class Place(NamedTuple):
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

    place: Place
    message: str


def format_finding(finding: Finding) -> str:
    """Return a finding as one line, ``file:line:column: path: message``."""
    place = finding.place
    at_path = f'{place.path}: ' if place.path else ''
    return (
        f'{place.file}:{place.line}:{place.column}: {at_path}{finding.message}'
    )
