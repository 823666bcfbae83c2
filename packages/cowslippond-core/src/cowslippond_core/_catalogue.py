"""Accepted documents that are in force, and their freshness."""

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeAlias

from expression import Result

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._document import AcceptedDocument, ServiceDocument
from cowslippond_core._document_reader import read_document
from cowslippond_core._findings import Finding, format_finding
from cowslippond_core._versions import Versions

#: The longest time for which a version is served after it was last confirmed
#: as the newest. It stays below the 9 s within which a change must be in force
#: on all daemons.
FRESHNESS_BOUND: Millis = 8000

_ANY_HOST = '*'

DocumentReader: TypeAlias = Callable[
    [str, str], Result[ServiceDocument, tuple[Finding, ...]]
]

_logger = logging.getLogger(__name__)


class InForce(NamedTuple):
    """A version in force: the accepted text and the parsed document."""

    accepted: AcceptedDocument
    document: ServiceDocument


class _Route(NamedTuple):
    prefix: str
    target: InForce


class Catalogue(Versions):
    """The newest known version of each service document.

    Versions of a service only increase. ``revision`` is the revision up to
    which no change of any service is missing; individual documents may be
    newer.

    :param clock: the clock that freshness is measured with.
    :param read: parses a text; its second argument names the text in findings.
    """

    def __init__(
        self, clock: Clock, read: DocumentReader = read_document
    ) -> None:
        super().__init__()
        self.clock = clock
        self.read = read
        self.unreadable = 0
        self.in_force: dict[str, InForce] = {}
        self.routes: dict[str, tuple[_Route, ...]] = {}
        self.may_serve_stale: Callable[[Millis], bool] = _never_serve_stale

    @property
    def versions(self) -> dict[str, int]:
        """The version in force of each service."""
        return {
            service: entry.accepted.version
            for service, entry in self.in_force.items()
        }

    def is_fresh(self, now: Millis) -> bool:
        """Return whether the versions in force may be served.

        They may if they were confirmed as the newest within
        :data:`FRESHNESS_BOUND`. After that, ``may_serve_stale`` decides, but
        only if they were confirmed at least once and no newer revision has
        been observed.

        :param now: the current time in milliseconds.
        """
        if self.confirmed_at is None:
            return False
        if now - self.confirmed_at <= FRESHNESS_BOUND:
            return True
        if self.observed_revision > self.revision:
            return False
        return self.may_serve_stale(now)

    def find(self, host: str, path: str) -> InForce | None:
        """Return the service that a call is routed to.

        The longest path prefix that ends at a segment boundary wins. At equal
        length, a named host takes precedence over ``*``.

        :param host: the host of the call, with or without its port.
        :param path: the path of the call, with or without its query.
        """
        path_without_query = path.partition('?')[0]
        named = self._match_longest_prefix(
            _normalize_host(host), path_without_query
        )
        wildcard = self._match_longest_prefix(_ANY_HOST, path_without_query)
        if named is None or wildcard is None:
            best = named or wildcard
        elif len(wildcard.prefix) > len(named.prefix):
            best = wildcard
        else:
            best = named
        return None if best is None else best.target

    def put_in_force(self, accepted: AcceptedDocument) -> bool:
        """Parse a version and put it in force.

        If it cannot be parsed, the previous version stays in force.

        :returns: whether the version is now in force.
        """
        place = f'{accepted.service}@{accepted.version}'
        match self.read(accepted.text, place):
            case Result(tag='ok', ok=document):
                self.in_force[accepted.service] = InForce(accepted, document)
                self.routes = _build_routes(self.in_force.values())
                return True
            case Result(error=findings):
                self.unreadable += 1
                _log_unreadable(accepted, findings)
        return False

    def _match_longest_prefix(self, host: str, path: str) -> _Route | None:
        for route in self.routes.get(host, ()):
            if _has_prefix(path, route.prefix):
                return route
        return None


def _never_serve_stale(_: Millis) -> bool:
    return False


def _log_unreadable(
    accepted: AcceptedDocument, findings: Iterable[Finding]
) -> None:
    _logger.error(
        'accepted document cannot be parsed; keeping the previous version',
        extra={
            'service': accepted.service,
            'version': accepted.version,
            'findings': [format_finding(finding) for finding in findings],
        },
    )


def _build_routes(
    entries: Iterable[InForce],
) -> dict[str, tuple[_Route, ...]]:
    by_host: dict[str, list[_Route]] = {}
    for entry in sorted(entries, key=lambda each: each.accepted.service):
        for match in entry.document.matches:
            route = _Route(match.path_prefix, entry)
            by_host.setdefault(match.host.lower(), []).append(route)
    return {
        host: tuple(sorted(routes, key=_prefix_length, reverse=True))
        for host, routes in by_host.items()
    }


def _prefix_length(route: _Route) -> int:
    return len(route.prefix)


def _normalize_host(host: str) -> str:
    lower = host.lower()
    if lower.startswith('['):
        return lower.partition(']')[0].lstrip('[')
    return lower.partition(':')[0]


def _has_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    if prefix.endswith('/') or len(path) == len(prefix):
        return True
    return path[len(prefix)] == '/'
