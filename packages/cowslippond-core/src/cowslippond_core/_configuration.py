"""The configuration of routes, services and caller limits."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._document import RouteMatch


class WeightedService(NamedTuple):
    """A service that gets a part of a route's calls, and its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """The handling of calls under a host and path prefix.

    ``timeout`` is the maximum time that a caller waits. ``objective`` is the
    target latency: an answer within it is worth most. Both are in milliseconds.
    ``max_sends`` is the maximum number of upstreams that may run one call.
    ``priority`` 0 is the most urgent.
    """

    name: str
    match: RouteMatch
    is_idempotent: bool
    timeout: Millis
    objective: Millis
    max_sends: int
    priority: int
    parts: tuple[WeightedService, ...]


class ServiceEntry(NamedTuple):
    """The entry of a service in the configuration.

    ``max_connections`` is the maximum number of connections that one upstream
    accepts from all daemons together.
    """

    name: str
    health_path: str
    max_connections: int


class CallerLimits(NamedTuple):
    """The limits on caller requests, in bytes and milliseconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: Millis
    idle_timeout: Millis


class Configuration(NamedTuple):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceEntry]
    limits: CallerLimits

    @property
    def matches(self) -> tuple[RouteMatch, ...]:
        """The matches of all routes."""
        return tuple(route.match for route in self.routes)


class RouteTable:
    """Finds the route of a call by its host and the longest path prefix.

    :param routes: the routes of one configuration.
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            host = self.by_host.setdefault(route.match.host.lower(), {})
            host[route.match.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a call, or ``None``.

        :param host: the host, with or without a port.
        :param path: the path without the query.
        """
        prefixes = self.by_host.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None


class WeightedRoundRobin:
    """Distributes the calls of routes among their services by weight.

    This is smooth weighted round robin: with every call, the credit of each
    service grows by its weight, and the service with the most credit gets the
    call. Over any sequence of calls, the distribution is off by less than one
    call. With independent random draws, the error would grow with the square
    root of the number of calls.
    """

    def __init__(self) -> None:
        self.credits: dict[str, dict[str, float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service that gets the next call of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        previous = self.credits.get(route.name, {})
        raised = {
            part.service: previous.get(part.service, 0) + part.weight
            for part in route.parts
        }
        chosen = max(raised, key=raised.__getitem__)
        raised[chosen] -= sum(part.weight for part in route.parts)
        self.credits[route.name] = raised
        return chosen
