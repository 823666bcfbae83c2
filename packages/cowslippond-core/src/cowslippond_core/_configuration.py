"""The configuration of all services: routes, services and callers' limits."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._document import RouteMatch


class WeightedService(NamedTuple):
    """The service that gets a part of a route's calls, by its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """How the calls under a host and path prefix are treated.

    ``timeout`` is the longest that a caller is kept waiting and ``objective``
    the time within which an answer is worth most, both in milliseconds.
    ``max_sends`` is the most upstreams that may run one call. ``priority`` 0
    is the most urgent.
    """

    name: str
    match: RouteMatch
    is_idempotent: bool
    timeout: Millis
    objective: Millis
    max_sends: int
    priority: int
    parts: tuple[WeightedService, ...]


class ServiceFacts(NamedTuple):
    """What the configuration says of a service.

    ``max_connections`` is what one upstream takes from all daemons together.
    """

    name: str
    health_path: str
    max_connections: int


class CallerLimits(NamedTuple):
    """What callers may send, in bytes and milliseconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: Millis
    idle_timeout: Millis


class Configuration(NamedTuple):
    """One version of the configuration, as it is in force."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceFacts]
    limits: CallerLimits

    @property
    def matches(self) -> tuple[RouteMatch, ...]:
        """The calls that have a route."""
        return tuple(route.match for route in self.routes)


class RouteTable:
    """Finds the route of a call: the longest prefix of its host wins.

    :param routes: of one configuration.
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            host = self.by_host.setdefault(route.match.host.lower(), {})
            host[route.match.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a call, or ``None``.

        :param host: with or without its port.
        :param path: without its query.
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
    """Divides the calls of routes among their parts by weight.

    Smooth weighted round robin: each part's credit grows by its weight with
    every call, and the part with the most credit gets the call. Over any span
    the shares are off by less than one call, where independent draws would
    stray by the square root of the calls.
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
