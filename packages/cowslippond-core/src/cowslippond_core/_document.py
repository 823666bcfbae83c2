"""The service document, with which a team configures its service."""

import enum
from typing import NamedTuple

from cowslippond_core._clock import Millis


class Priority(enum.StrEnum):
    """Priority of a service when a daemon runs short of capacity.

    ``batch`` yields to ``interactive``.
    """

    INTERACTIVE = 'interactive'
    BATCH = 'batch'


class RouteMatch(NamedTuple):
    """A host and path prefix whose calls belong to a service.

    ``host`` is compared without its port and ignoring case; ``*`` matches any
    host.
    """

    host: str
    path_prefix: str


class NeverRepeat(NamedTuple):
    """Calls that may run at most once.

    ``path`` is a shell-style pattern. ``key_header`` names the header with the
    caller's idempotency key. ``caller_header`` names the header with the
    caller's identity, which scopes the key.
    """

    methods: tuple[str, ...]
    path: str
    key_header: str
    caller_header: str


class UpstreamCapacity(NamedTuple):
    """Capacity of one upstream.

    ``mean_service_ms`` is the mean time that a call occupies a slot.
    """

    slots: int
    max_connections: int
    mean_service_ms: Millis


class DeadlinePolicy(NamedTuple):
    """Default and maximum of the deadlines of calls."""

    default_ms: Millis
    ceiling_ms: Millis


class MeasuringBudget(NamedTuple):
    """Limit on load probes, summed over all daemons.

    ``share_of_capacity`` is a fraction of the calls that an upstream can serve.
    """

    share_of_capacity: float


class RetryBudget(NamedTuple):
    """Limit on retries, as a fraction of first attempts."""

    share_of_calls: float


class HedgePolicy(NamedTuple):
    """Limit on hedges of idempotent calls, and their delay.

    ``share_of_calls`` is a fraction of first attempts. ``delay_ms`` is the
    minimum wait before a hedge is sent.
    """

    share_of_calls: float
    delay_ms: Millis


class LimitPolicy(NamedTuple):
    """Limits on running and queued calls of a service in one daemon."""

    concurrency: int
    queue: int


class RetirementPolicy(NamedTuple):
    """How a leaving upstream is retired.

    ``drain_ms`` limits how long its running calls may still take.
    """

    drain_ms: Millis


class ServiceDocument(NamedTuple):
    """The complete configuration of a service."""

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

    ``version`` numbers the changes of this service and ``revision`` those of
    all services; both start at 1. ``text`` is the document as its author wrote
    it. ``accepted_at`` is in milliseconds since the Unix epoch.
    """

    service: str
    version: int
    revision: int
    text: str
    author: str
    accepted_at: int
