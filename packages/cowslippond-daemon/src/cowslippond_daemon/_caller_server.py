"""The server for callers, with the limits of the configuration in force."""

import math
from collections.abc import Callable
from functools import partial

from cowslippond_core import CallerLimits, Metric, Metrics, Millis

from cowslippond_daemon._caller_body import BodyLimits
from cowslippond_daemon._caller_protocol import CallerProtocol, HeadLimits
from cowslippond_daemon._edge import CallHandler, Edge
from cowslippond_daemon._servers import make_server

_MILLIS_PER_SECOND = 1000

# Caller connections stay open for longer than callers reuse them, so that none
# is closed while a request is in transit.
_IDLE_MARGIN_SECONDS = 15
_INITIAL_IDLE_SECONDS = 30


class CallerServer:
    """The edge and its server.

    :param router: serves the calls.
    :param address: the address for callers, ``host:port``.
    :param encode_retry_after: encodes the delay after which a caller may retry.
    :param metrics: counts refused headers and broken bodies.
    """

    def __init__(
        self,
        router: CallHandler,
        address: str,
        encode_retry_after: Callable[[Millis], bytes],
        metrics: Metrics,
    ) -> None:
        self.edge = Edge(
            router,
            _INITIAL_IDLE_SECONDS,
            encode_retry_after,
            partial(metrics.count, Metric.BODIES_BROKEN),
        )
        self.head_limits = HeadLimits(metrics.count_refusal)
        self.server = make_server(
            self.edge,
            address,
            _INITIAL_IDLE_SECONDS + _IDLE_MARGIN_SECONDS,
            partial(CallerProtocol, self.head_limits),
        )

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply the limits of a new configuration, also to open connections."""
        self.head_limits.size = limits.header_bytes
        self.head_limits.timeout = limits.header_timeout
        self.edge.body_limits = BodyLimits(
            limits.body_bytes, limits.idle_timeout
        )
        idle = limits.idle_timeout / _MILLIS_PER_SECOND
        self.edge.advertise_keep_alive(max(int(idle), 1))
        self.server.set_idle_timeout(math.ceil(idle) + _IDLE_MARGIN_SECONDS)
