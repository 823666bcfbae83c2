"""Routing of calls by the service documents in force."""

import logging
from functools import partial

from cowslippond_core import (
    CallAnswer,
    CallRefusal,
    CallRequest,
    HeaderList,
    InForce,
    Outcome,
    RefusalReason,
    fingerprint_request,
)
from cowslippond_core import _headers as header_names

from cowslippond_daemon._call_rules import (
    call_timeout,
    identify_call,
    is_idempotent,
    parse_attempt,
)
from cowslippond_daemon._components import DaemonComponents
from cowslippond_daemon._edge import IncomingCall

_logger = logging.getLogger(__name__)

_RETRY_AFTER_MS = 1000
_REQUEST_ID = header_names.REQUEST_ID.encode()
_DEADLINE = header_names.DEADLINE.encode()
_ATTEMPT = header_names.ATTEMPT.encode()


class CallRouter:
    """Admits a call, claims it if it must not run twice, and forwards it.

    :param components: the components of the daemon.
    """

    def __init__(self, components: DaemonComponents) -> None:
        self.components = components

    async def check_head(self, _: IncomingCall) -> CallRefusal | None:
        """Refuse no call: a claim needs the whole call."""
        refusal: CallRefusal | None = None
        return refusal

    async def serve_call(self, call: IncomingCall) -> CallAnswer | CallRefusal:
        """Return the response of an upstream, or a refusal."""
        host = (call.get_header(b'host') or b'').decode('latin-1')
        in_force = self.components.catalogue.find(host, call.path)
        service = in_force.document.service if in_force else ''
        reply = await self._route_call(call, in_force)
        if isinstance(reply, CallRefusal):
            self._record(call, reply, service)
        return reply

    def record_refusal(self, call: IncomingCall, refusal: CallRefusal) -> None:
        """Count and log a refusal that :meth:`serve_call` did not return."""
        self._record(call, refusal, '')

    def _record(
        self, call: IncomingCall, refusal: CallRefusal, service: str
    ) -> None:
        self.components.metrics.count_refusal(refusal.reason)
        _logger.info(
            'call refused',
            extra={
                'request_id': call.request_id,
                'service': service,
                'reason': refusal.reason,
                'outcome': refusal.outcome,
            },
        )

    async def _route_call(
        self, call: IncomingCall, in_force: InForce | None
    ) -> CallAnswer | CallRefusal:
        if not self.components.catalogue.is_fresh(self.components.clock.now()):
            return _refuse(RefusalReason.STALE_CONFIGURATION)
        if in_force is None:
            return _refuse(RefusalReason.NO_SERVICE)
        request = self._make_request(call, in_force)
        if request.deadline <= self.components.clock.now():
            return _refuse(RefusalReason.DEADLINE)
        return await self._forward_call(call, in_force, request)

    async def _forward_call(
        self, call: IncomingCall, in_force: InForce, request: CallRequest
    ) -> CallAnswer | CallRefusal:
        state = self.components.services.get_state(in_force)
        identity = identify_call(in_force.document, call)
        if identity is None:
            return await self.components.sender.send(state, request)
        if not identity.caller:
            return _refuse(RefusalReason.NO_CALLER)
        return await self.components.claims.run(
            request,
            identity,
            partial(self.components.sender.send, state),
        )

    def _make_request(
        self, call: IncomingCall, in_force: InForce
    ) -> CallRequest:
        document = in_force.document
        timeout = call_timeout(document, call.get_header(_DEADLINE))
        identity = identify_call(document, call)
        method = call.method.encode()
        return CallRequest(
            request_id=call.request_id,
            method=method,
            target=call.target,
            headers=_with_request_id(call),
            body=call.body,
            rest=call.rest,
            is_idempotent=is_idempotent(document, call.method, call.path),
            deadline=self.components.clock.now() + timeout,
            attempt=parse_attempt(call.get_header(_ATTEMPT)),
            fingerprint=fingerprint_request(
                method, call.target, identity.key if identity else '', call.body
            ),
        )


def _with_request_id(call: IncomingCall) -> HeaderList:
    if call.get_header(_REQUEST_ID) is not None:
        return call.headers
    return (*call.headers, (_REQUEST_ID, call.request_id.encode()))


def _refuse(reason: RefusalReason) -> CallRefusal:
    return CallRefusal(Outcome.NOT_RUN, reason, _RETRY_AFTER_MS)
