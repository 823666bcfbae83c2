"""Detection of calls that are matched by two services."""

import re
from collections.abc import Iterator
from typing import NamedTuple

from cowslippond_core._document import RouteMatch, ServiceDocument

_ANY_HOST = '*'
_WILDCARD = re.compile(r'[*?\[]')


class Overlap(NamedTuple):
    """A match that conflicts with another service, and the reason."""

    match: RouteMatch
    service: str
    reason: str


def find_overlaps(
    document: ServiceDocument, other: ServiceDocument
) -> tuple[Overlap, ...]:
    """Return the matches of a document that conflict with another service.

    The longest prefix wins, so a match may be nested in a match of another
    service. This is refused only if it would take calls away from a service
    whose ``never_repeat`` rules cover them.
    """
    return tuple(_overlaps(document, other))


def can_cover(pattern: str, prefix: str) -> bool:
    """Return whether a shell-style pattern can match a path under a prefix."""
    literal = _WILDCARD.split(pattern, maxsplit=1)[0]
    if _is_under(literal, prefix):
        return True
    return literal != pattern and prefix.startswith(literal)


def _is_under(path: str, prefix: str) -> bool:
    """Return whether a path starts with all segments of a prefix."""
    if not path.startswith(prefix):
        return False
    if prefix.endswith('/') or len(path) == len(prefix):
        return True
    return path[len(prefix)] == '/'


def _overlaps(
    document: ServiceDocument, other: ServiceDocument
) -> Iterator[Overlap]:
    for match in document.matches:
        for claimed in other.matches:
            reason = _conflict_reason(match, claimed, document, other)
            if reason:
                yield Overlap(match, other.service, reason)


def _conflict_reason(
    match: RouteMatch,
    claimed: RouteMatch,
    document: ServiceDocument,
    other: ServiceDocument,
) -> str:
    if _match_key(match) == _match_key(claimed):
        return 'both match the same calls'
    path = match.path_prefix
    if _shadows(match, claimed) and _has_never_repeat(other, path):
        return f'{other.service} never repeats calls under {path}'
    path = claimed.path_prefix
    if _shadows(claimed, match) and _has_never_repeat(document, path):
        return f'never_repeat covers {path}, which {other.service} matches'
    return ''


def _match_key(match: RouteMatch) -> tuple[str, str]:
    return (match.host.lower(), match.path_prefix)


def _shadows(inner: RouteMatch, outer: RouteMatch) -> bool:
    """Return whether the inner match takes calls from the outer one."""
    hosts = {inner.host.lower(), outer.host.lower()}
    if len(hosts) > 1 and _ANY_HOST not in hosts:
        return False
    if inner.path_prefix == outer.path_prefix:
        return outer.host == _ANY_HOST
    return _is_under(inner.path_prefix, outer.path_prefix)


def _has_never_repeat(document: ServiceDocument, prefix: str) -> bool:
    return any(can_cover(rule.path, prefix) for rule in document.never_repeat)
