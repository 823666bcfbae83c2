"""The configuration of routes, services and caller limits."""

import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._document import RouteMatch
from cowslippond_core.workspaces import Workspace

# Number of points at which a process may start to distribute calls. It is a
# multiple of the length of the sequence if weights are percentages.
_START_POINTS = 100


class WeightedService(NamedTuple):
    """A service that gets a part of a route's calls, and its weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """The handling of calls under a host and path prefix.

    ``timeout`` is the maximum time that a caller waits, infinite if only the
    caller's deadline limits it. ``objective`` is the target latency: an answer
    within it is worth most. Both are in milliseconds. ``max_sends`` is the maximum
    number of upstreams that may run one call. ``priority`` 0 is the most urgent.
    ``is_public`` routes need no key of a workspace. Calls of ``is_upload`` routes
    have large bodies.
    """

    name: str
    match: RouteMatch
    is_idempotent: bool
    timeout: Millis
    objective: Millis
    max_sends: int
    priority: int
    parts: tuple[WeightedService, ...]
    is_public: bool = False
    is_upload: bool = False


class ServiceEntry(NamedTuple):
    """The entry of a service in the configuration.

    ``max_connections`` is the maximum number of connections that one upstream
    accepts from all daemons together. A cold upstream stays so for
    ``warm_up_time`` milliseconds after its start, and tolerates
    ``warm_up_rate`` calls per second from all daemons; 0 means no limit.
    """

    name: str
    health_path: str
    max_connections: int
    warm_up_time: Millis = 0
    warm_up_rate: float = 0


class CallerLimits(NamedTuple):
    """The limits on caller requests, in bytes and milliseconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: Millis
    idle_timeout: Millis


class Configuration(NamedTuple):
    """One version of the configuration.

    ``workspaces`` maps names to workspaces; it is ``None`` where callers need no
    keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceEntry]
    limits: CallerLimits
    workspaces: Mapping[str, Workspace] | None = None

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


class _SplitState:
    """The credits of the services that share the calls of a route."""

    def __init__(self, parts: tuple[WeightedService, ...]) -> None:
        self.parts = parts
        self.total = sum(part.weight for part in parts)
        self.credits: list[float] = [0 for _ in parts]

    def advance(self) -> str:
        """Return the service of the next call."""
        for index, part in enumerate(self.parts):
            self.credits[index] += part.weight
        chosen = self.credits.index(max(self.credits))
        self.credits[chosen] -= self.total
        return self.parts[chosen].service


class WeightedRoundRobin:
    """Distributes the calls of routes among their services by weight.

    This is smooth weighted round robin: with every call, the credit of each
    service grows by its weight, and the service with the most credit gets the
    call. Over any sequence of calls, the distribution is off by less than one
    call. With independent random draws, the error would grow with the square
    root of the number of calls.

    Each process starts at a random point of the sequence, also after a change
    of the weights. Otherwise many processes with few calls each would all send
    them to the service with the greatest weight.

    :param rng: draws the starting points.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.states: dict[str, _SplitState] = {}

    def next_service(self, route: Route) -> str:
        """Return the service that gets the next call of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        state = self.states.get(route.name)
        if state is None or state.parts != route.parts:
            state = self._start(route.parts)
            self.states[route.name] = state
        return state.advance()

    def retain(self, routes: Iterable[Route]) -> None:
        """Drop the state of routes that are not in a new configuration."""
        names = {route.name for route in routes}
        for name in self.states.keys() - names:
            self.states.pop(name)

    def _start(self, parts: tuple[WeightedService, ...]) -> _SplitState:
        state = _SplitState(parts)
        for _ in range(self.rng.randrange(_START_POINTS)):
            state.advance()
        return state
