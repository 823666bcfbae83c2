"""Find calls that two services both claim."""

import re
from collections.abc import Iterator
from typing import NamedTuple

from cowslippond_core._document import RouteMatch, ServiceDocument

_WILDCARD = re.compile(r'[*?\[]')


class Overlap(NamedTuple):
    """Calls that two services claim, and why that is refused."""

    match: RouteMatch
    service: str
    reason: str


def find_overlaps(
    document: ServiceDocument, other: ServiceDocument
) -> tuple[Overlap, ...]:
    """Return what a document claims although another service has it.

    The longest prefix wins, so a match inside another one is allowed, unless
    calls that may never be repeated would leave the service that says so.
    """
    return tuple(_overlaps(document, other))


def can_cover(pattern: str, prefix: str) -> bool:
    """Say whether a shell-style pattern can match a path under a prefix."""
    literal = _WILDCARD.split(pattern, maxsplit=1)[0]
    if literal.startswith(prefix):
        return True
    return literal != pattern and prefix.startswith(literal)


def _overlaps(
    document: ServiceDocument, other: ServiceDocument
) -> Iterator[Overlap]:
    for match in document.matches:
        for claimed in other.matches:
            if match.host.lower() != claimed.host.lower():
                continue
            reason = _clash(match, claimed, document, other)
            if reason:
                yield Overlap(match, other.service, reason)


def _clash(
    match: RouteMatch,
    claimed: RouteMatch,
    document: ServiceDocument,
    other: ServiceDocument,
) -> str:
    inner, outer = match.path_prefix, claimed.path_prefix
    if inner == outer:
        return 'both match the same calls'
    if inner.startswith(outer) and _is_guarded(other, inner):
        return f'{other.service} never repeats calls under {inner}'
    if outer.startswith(inner) and _is_guarded(document, outer):
        return f'never_repeat covers {outer}, which {other.service} matches'
    return ''


def _is_guarded(document: ServiceDocument, prefix: str) -> bool:
    return any(can_cover(rule.path, prefix) for rule in document.never_repeat)
