"""Routing of calls by one configuration for all services."""

import logging
import math
from typing import NamedTuple

from cowslippond_core import (
    Call,
    CallAnswer,
    CallRefusal,
    CallRequest,
    Configuration,
    ConfigurationLog,
    Dispatch,
    DispatchContext,
    Metric,
    Metrics,
    Millis,
    Outcome,
    RefusalReason,
    Route,
    Services,
    WeightedRoundRobin,
    fingerprint_request,
)
from cowslippond_core import _headers as header_names
from cowslippond_core.dispatch import UploadDispatch
from cowslippond_core.quotas import QuotaGate
from cowslippond_core.workspaces import CallAccess, KeyFault

from cowslippond_daemon._call_keys import CallKeys
from cowslippond_daemon._edge import IncomingCall

_logger = logging.getLogger(__name__)

_DEADLINE = header_names.DEADLINE.encode()

# A daemon that has just started has its routes within this range. The delay is
# random so that callers do not retry at the same time.
_MIN_RETRY_AFTER: Millis = 200
_MAX_RETRY_AFTER: Millis = 800

# The maximum time that a caller waits that states no deadline, on a route with a
# timeout.
_DEFAULT_DEADLINE: Millis = 30_000


class _Admission(NamedTuple):
    """The route of a call, and the access that its key gives, if it needs one."""

    configuration: Configuration
    route: Route
    access: CallAccess | None

    @property
    def workspace(self) -> str | None:
        return None if self.access is None else self.access.workspace.name


class FleetRouter:
    """Finds the route of a call and dispatches it.

    :param log: provides the configuration in force.
    :param services: the state of each service.
    :param ctx: the context that all calls share.
    :param metrics: counts calls and refusals and records call times.
    :param keys: authenticates the callers of workspaces.
    :param quotas: lets calls pass that are within their workspace's quota.
    """

    def __init__(
        self,
        log: ConfigurationLog,
        services: Services,
        ctx: DispatchContext,
        metrics: Metrics,
        keys: CallKeys,
        quotas: QuotaGate,
    ) -> None:
        self.log = log
        self.services = services
        self.ctx = ctx
        self.metrics = metrics
        self.keys = keys
        self.quotas = quotas
        self.round_robin = WeightedRoundRobin(ctx.rng)
        log.listeners.append(self._retain_splits)

    async def check_head(self, call: IncomingCall) -> CallRefusal | None:
        """Return why a call is refused before its body is read, if it is."""
        admission = self._admit(call)
        return admission if isinstance(admission, CallRefusal) else None

    async def serve_call(self, call: IncomingCall) -> CallAnswer | CallRefusal:
        """Return the response of an upstream, or a refusal."""
        # The key may have been revoked while the body was read.
        admission = self._admit(call)
        if isinstance(admission, CallRefusal):
            self.record_refusal(call, admission)
            return admission
        reply = await self._dispatch(call, admission)
        self._record(call, reply, admission.workspace)
        return reply

    def record_refusal(self, call: IncomingCall, refusal: CallRefusal) -> None:
        """Count and log a refusal of a call that was not dispatched."""
        self._record(call, refusal, None)

    def _record(
        self,
        call: IncomingCall,
        reply: CallAnswer | CallRefusal,
        workspace: str | None,
    ) -> None:
        if isinstance(reply, CallRefusal):
            self.metrics.count_refusal(reply.reason)
        elapsed = self.ctx.clock.now() - call.arrived_at
        self.metrics.count(Metric.CALLS)
        self.metrics.timing(Metric.CALL_MS, elapsed)
        version = self.log.current.version if self.log.current else 0
        _logger.info(
            'call answered',
            extra={
                'request_id': call.request_id,
                'configuration': version,
                'took_ms': round(elapsed, 1),
                **({} if workspace is None else {'workspace': workspace}),
                **_outcome_fields(reply),
            },
        )

    def _admit(self, call: IncomingCall) -> _Admission | CallRefusal:
        configuration = self.log.current
        if configuration is None or not self.log.may_serve():
            return self._refuse(RefusalReason.NOT_READY)
        host = (call.get_header(b'host') or b'').decode('latin-1')
        route = self.log.routes.find(host, call.target.decode('latin-1'))
        if route is None:
            return self._refuse(RefusalReason.NO_SERVICE)
        access = self.keys.authenticate(call, route)
        if isinstance(access, KeyFault):
            return self._refuse(RefusalReason.UNAUTHENTICATED)
        return _Admission(configuration, route, access)

    async def _dispatch(
        self, call: IncomingCall, admission: _Admission
    ) -> CallAnswer | CallRefusal:
        configuration, route, access = admission
        entry = configuration.services[self.round_robin.next_service(route)]
        service = self.services.get(entry, route.objective)
        request = _make_request(
            call._replace(headers=self.keys.forwarded_headers(call, access)),
            admission,
        )
        # The time that the body took has not been spent waiting for a slot.
        buffered_at = self.ctx.clock.now()
        if request.deadline <= buffered_at:
            return self._refuse(RefusalReason.DEADLINE)
        routed = Call(request, route, buffered_at)
        if call.rest is None:
            return await self.quotas.run(Dispatch(self.ctx, service, routed))
        return await self.quotas.run(
            UploadDispatch(self.ctx, service, routed, call.rest)
        )

    def _retain_splits(self) -> None:
        if self.log.current is not None:
            self.round_robin.retain(self.log.current.routes)

    def _refuse(self, reason: RefusalReason) -> CallRefusal:
        delay = self.ctx.rng.uniform(_MIN_RETRY_AFTER, _MAX_RETRY_AFTER)
        return CallRefusal(Outcome.NOT_RUN, reason, delay)


def _make_request(call: IncomingCall, admission: _Admission) -> CallRequest:
    route = admission.route
    method = call.method.encode()
    return CallRequest(
        request_id=call.request_id,
        method=method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        rest=call.rest,
        is_idempotent=route.is_idempotent,
        deadline=call.arrived_at + _time_left(call, route.timeout),
        attempt=0,
        fingerprint=fingerprint_request(method, call.target, '', call.body),
        workspace=admission.workspace,
        access=admission.access,
    )


def _time_left(call: IncomingCall, timeout: Millis) -> Millis:
    """Return how long the caller waits; ignore an invalid deadline header."""
    default = timeout
    if math.isfinite(timeout):
        default = min(timeout, _DEFAULT_DEADLINE)
    header_value = call.get_header(_DEADLINE)
    try:
        time_left = float(header_value) if header_value else default
    except ValueError:
        return default
    return time_left if math.isfinite(time_left) else default


def _outcome_fields(reply: CallAnswer | CallRefusal) -> dict[str, str | float]:
    if isinstance(reply, CallAnswer):
        return {'outcome': 'answered', 'status': reply.status}
    return {
        'outcome': reply.outcome.value,
        'reason': reply.reason.value,
        'retry_after_ms': round(reply.retry_after_ms),
    }
