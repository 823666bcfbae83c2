"""Dispatches calls whose bodies are too large to buffer."""

import contextlib
import logging
from collections.abc import AsyncIterator
from functools import partial

from cowslippond_core._messages import (
    CallAnswer,
    CallRefusal,
    Outcome,
    close_parts,
)
from cowslippond_core._metrics import Metric
from cowslippond_core._reasons import RefusalReason
from cowslippond_core.dispatch._call import Call
from cowslippond_core.dispatch._context import DispatchContext
from cowslippond_core.dispatch._dispatch import (
    Dispatch,
    FirstSendCheck,
    find_end,
)
from cowslippond_core.dispatch._service import Service
from cowslippond_core.placing import UploadGate, UploadProgress

_logger = logging.getLogger(__name__)


class _AdmittedBody:
    """The rest of a body, whose upload lasts until it and the call have ended.

    An upstream that has answered early may read on after the call has ended, and
    the end of a body may be on its way to an upstream for seconds.
    """

    def __init__(
        self,
        rest: AsyncIterator[bytes],
        gate: UploadGate,
        progress: UploadProgress,
    ) -> None:
        self.rest = rest
        self.gate = gate
        self.progress = progress
        self.is_started = False
        self.is_closed = False
        self.is_call_ended = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        self.is_started = True
        part = await anext(self.rest)
        self.progress.passed_bytes += len(part)
        return part

    async def aclose(self) -> None:
        self.is_closed = True
        self._end_if_over()
        await close_parts(self.rest)

    def end_call(self) -> None:
        self.is_call_ended = True
        self._end_if_over()

    def _end_if_over(self) -> None:
        if self.is_call_ended and (self.is_closed or not self.is_started):
            self.gate.leave(self.progress)


class UploadDispatch:
    """Processes one call whose body is streamed.

    It stands in for :class:`Dispatch`, which it creates once the upload is
    admitted.

    :param ctx: dependencies that all dispatches share.
    :param service: the service that the call is for.
    :param call: the call.
    :param rest: the rest of the call's body.
    """

    def __init__(
        self,
        ctx: DispatchContext,
        service: Service,
        call: Call,
        rest: AsyncIterator[bytes],
    ) -> None:
        self.ctx = ctx
        self.service = service
        self.call = call
        self.rest = rest
        self.check_first_send: FirstSendCheck | None = None
        self.admitted: Dispatch | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a send may have run at an upstream."""
        return self.admitted is not None and self.admitted.may_have_run

    async def run(self) -> CallAnswer | CallRefusal:
        """Return the answer of an upstream, or a refusal.

        The caller of this method must read the answer's body to its end or
        close it.
        """
        call = self.call
        progress = await self.service.uploads.enter(
            call.effective_deadline, partial(find_end, self.ctx, call)
        )
        if isinstance(progress, RefusalReason):
            refused = Dispatch(self.ctx, self.service, call)
            return refused.refuse(Outcome.NOT_RUN, progress)
        body = _AdmittedBody(self.rest, self.service.uploads, progress)
        with contextlib.ExitStack() as at_end:
            at_end.callback(body.end_call)
            self.admitted = self._admit(body)
            return await self.admitted.run()

    def _admit(self, body: _AdmittedBody) -> Dispatch:
        call = self.call
        now = self.ctx.clock.now()
        waited = now - call.arrived_at
        self.ctx.record_duration(Metric.UPLOAD_WAIT_MS, waited)
        _logger.info(
            'upload admitted',
            extra={
                'request_id': call.request.request_id,
                'waited_ms': round(waited, 1),
                'running': len(self.service.uploads.running),
                'waiting': len(self.service.uploads.waiting),
            },
        )
        request = call.request._replace(
            rest=body, deadline=call.effective_deadline
        )
        # The time until here has not been spent waiting for a slot.
        admitted = call._replace(request=request, arrived_at=now)
        dispatch = Dispatch(self.ctx, self.service, admitted)
        dispatch.check_first_send = self.check_first_send
        return dispatch
