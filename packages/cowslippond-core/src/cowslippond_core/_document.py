"""The service document: what one team states about its service."""

import enum
from typing import NamedTuple

from cowslippond_core._clock import Millis


class Priority(enum.StrEnum):
    """Which service yields when a daemon runs short of capacity."""

    INTERACTIVE = 'interactive'
    BATCH = 'batch'


class RouteMatch(NamedTuple):
    """The calls that belong to a service.

    ``host`` is compared without its port and without case; ``*`` matches any.
    """

    host: str
    path_prefix: str


class NeverRepeat(NamedTuple):
    """Calls that may run at most once.

    ``path`` is a shell-style pattern. ``key_header`` carries the caller's
    idempotency key and ``caller_header`` the caller's identity, which scopes
    the key.
    """

    methods: tuple[str, ...]
    path: str
    key_header: str
    caller_header: str


class UpstreamCapacity(NamedTuple):
    """What one upstream can carry.

    ``mean_service_ms`` is the mean time a call holds a slot.
    """

    slots: int
    max_connections: int
    mean_service_ms: Millis


class DeadlinePolicy(NamedTuple):
    """How long callers may wait, in milliseconds."""

    default_ms: Millis
    ceiling_ms: Millis


class MeasuringBudget(NamedTuple):
    """How much load measuring may cause, over all daemons together.

    ``share_of_capacity`` is a fraction of the calls an upstream can carry.
    """

    share_of_capacity: float


class RetryBudget(NamedTuple):
    """How many calls may be sent again, as a fraction of first sends."""

    share_of_calls: float


class HedgePolicy(NamedTuple):
    """How many idempotent calls may be copied, and after what wait.

    ``delay_ms`` is the least wait before a copy is sent, in milliseconds.
    """

    share_of_calls: float
    delay_ms: Millis


class LimitPolicy(NamedTuple):
    """How many calls one daemon holds for a service."""

    concurrency: int
    queue: int


class RetirementPolicy(NamedTuple):
    """How a leaving upstream is retired.

    ``drain_ms`` bounds how long its running calls may still take.
    """

    drain_ms: Millis


class ServiceDocument(NamedTuple):
    """Everything a team states about its service."""

    service: str
    matches: tuple[RouteMatch, ...]
    never_repeat: tuple[NeverRepeat, ...]
    upstreams: UpstreamCapacity
    deadline: DeadlinePolicy
    measuring: MeasuringBudget
    retries: RetryBudget
    hedging: HedgePolicy
    limits: LimitPolicy
    priority: Priority
    retirement: RetirementPolicy


class AcceptedDocument(NamedTuple):
    """A version of a service document that the platform's table accepted.

    ``version`` counts the changes of this service, ``revision`` the changes
    of all services; both start at 1. ``text`` is the document as its author
    wrote it. ``accepted_at`` is in milliseconds since the Unix epoch.
    """

    service: str
    version: int
    revision: int
    text: str
    author: str
    accepted_at: int
