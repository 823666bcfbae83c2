"""Dispatches calls whose bodies are too large to buffer."""

import contextlib
import logging
from collections.abc import AsyncIterator, Callable

from cowslippond_core._messages import (
    CallAnswer,
    CallRefusal,
    Outcome,
    close_parts,
)
from cowslippond_core._metrics import Metric
from cowslippond_core.dispatch._call import Call
from cowslippond_core.dispatch._context import DispatchContext
from cowslippond_core.dispatch._dispatch import Dispatch
from cowslippond_core.dispatch._service import Service

_logger = logging.getLogger(__name__)


class _AdmittedBody:
    """The rest of a body; the upload lasts until it is closed.

    An upstream that has answered early may read on after the call has ended.
    """

    def __init__(
        self, rest: AsyncIterator[bytes], on_end: Callable[[], None]
    ) -> None:
        self.rest = rest
        self.on_end = on_end
        self.is_started = False
        self.is_ended = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        self.is_started = True
        return await anext(self.rest)

    async def aclose(self) -> None:
        self._end()
        await close_parts(self.rest)

    def end_if_not_started(self) -> None:
        if not self.is_started:
            self._end()

    def _end(self) -> None:
        if not self.is_ended:
            self.is_ended = True
            self.on_end()


async def dispatch_upload(
    ctx: DispatchContext,
    service: Service,
    call: Call,
    rest: AsyncIterator[bytes],
) -> CallAnswer | CallRefusal:
    """Return the answer of an upstream, or a refusal.

    The caller of this function must read the answer's body to its end or close
    it.

    :param rest: the rest of the call's body.
    """
    refusal = await service.uploads.enter(call.effective_deadline)
    if refusal is not None:
        return Dispatch(ctx, service, call).refuse(Outcome.NOT_RUN, refusal)
    body = _AdmittedBody(rest, service.uploads.leave)
    with contextlib.ExitStack() as at_end:
        at_end.callback(body.end_if_not_started)
        now = ctx.clock.now()
        waited = now - call.arrived_at
        ctx.record_duration(Metric.UPLOAD_WAIT_MS, waited)
        _logger.info(
            'upload admitted',
            extra={
                'request_id': call.request.request_id,
                'waited_ms': round(waited, 1),
                'running': service.uploads.running,
                'waiting': len(service.uploads.waiting),
            },
        )
        request = call.request._replace(
            rest=body, deadline=call.effective_deadline
        )
        # The time until here has not been spent waiting for a slot.
        admitted = call._replace(request=request, arrived_at=now)
        return await Dispatch(ctx, service, admitted).run()
