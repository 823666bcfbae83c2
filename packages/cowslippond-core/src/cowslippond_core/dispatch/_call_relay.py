"""Sends a call through a peer while this daemon cannot send it itself."""

import logging

from cowslippond_core._attempt import (
    Answered,
    AnswerLost,
    Attempt,
    AttemptResult,
    NotRun,
)
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._headers import OUTCOME, RELAYED
from cowslippond_core._messages import Outcome
from cowslippond_core._reasons import RefusalReason
from cowslippond_core._upstreams import Upstream
from cowslippond_core.dispatch._call import Call
from cowslippond_core.dispatch._context import DispatchContext
from cowslippond_core.dispatch._relay_dialect import RelayDialect
from cowslippond_core.dispatch._service import Service

_logger = logging.getLogger(__name__)

_RELAYED = RELAYED.encode()
_UNKNOWN_OUTCOME = (OUTCOME.encode(), Outcome.UNKNOWN.encode())

# A call that several peers have refused finds no free upstream anywhere.
_MAX_RELAYS = 2


class CallRelay:
    """Decides whether one call is sent through a peer, and sends it.

    A call that a peer has relayed to this daemon is not relayed again.
    ``refusal`` is the reason if no peer answers the call.

    :param ctx: dependencies that all dispatches share.
    :param service: the service that the call is for.
    :param call: the call.
    """

    def __init__(
        self, ctx: DispatchContext, service: Service, call: Call
    ) -> None:
        self.ctx = ctx
        self.service = service
        self.call = call
        self.tried: set[str] = set()
        self.has_failed_to_connect = False
        self.refusal = RefusalReason.OUT_OF_REACH

    async def run(self) -> AttemptResult | None:
        """Send the call through peers, until one does not refuse it.

        :return: the last result, or ``None`` if the call is to be sent directly.
        """
        result: AttemptResult | None = None
        while result is None or self._may_resend(result):
            peer = self._choose_peer()
            if peer is None:
                return result
            result = await self._send(peer)
        return result

    def _may_resend(self, result: AttemptResult) -> bool:
        return isinstance(result, NotRun) and self.call.may_resend_after(
            result.reason
        )

    def is_next_after(self, refusal: RefusalReason) -> bool:
        """Tell whether a call that got no upstream is now sent through a peer."""
        if not self._may_relay():
            return False
        if refusal is RefusalReason.RATE_LIMITED:
            return self._has_holder()
        return refusal is RefusalReason.OUT_OF_REACH

    def record_result(self, result: AttemptResult) -> None:
        """Record the result of a direct send."""
        if isinstance(result, NotRun):
            self.has_failed_to_connect |= (
                result.reason is NotRunReason.CONNECT_FAILED
            )

    def _has_holder(self) -> bool:
        """Tell whether a peer may send a call that this daemon may not."""
        relays = self.ctx.relays
        # A body that was partly read cannot be sent to a second peer.
        if relays is None or self.call.request.rest is not None:
            return False
        if not self.service.lacks_share(self.ctx.clock.now()):
            return False
        self.refusal = RefusalReason.RATE_LIMITED
        self.service.upstreams.reach.on_cut()
        return relays.choose(self.service.entry.name, self.tried) is not None

    def _choose_peer(self) -> Upstream | None:
        relays = self.ctx.relays
        if relays is None or not self._may_relay():
            return None
        if self.refusal is RefusalReason.RATE_LIMITED:
            return relays.choose(self.service.entry.name, self.tried)
        needs_connection = (
            not self.call.request.is_idempotent or self.has_failed_to_connect
        )
        reach = self.service.upstreams.reach
        if not reach.is_cut(needs_connection=needs_connection):
            return None
        return relays.choose(self.service.entry.name, self.tried)

    def _may_relay(self) -> bool:
        if len(self.tried) >= _MAX_RELAYS:
            return False
        return all(name != _RELAYED for name, _ in self.call.request.headers)

    async def _send(self, peer: Upstream) -> AttemptResult:
        self.tried.add(peer.address)
        attempt: Attempt = self.ctx.make_attempt(
            peer,
            self.call.request,
            0,
            self.ctx.clock,
            is_fresh=False,
            dialect=RelayDialect(self.ctx.dialect.vouching_headers),
        )
        sent_at = self.ctx.clock.now()
        try:
            result = await self._await_result(attempt)
        except BaseException:
            attempt.end()
            raise
        if self.ctx.relays is not None:
            self.ctx.relays.count_relayed()
            if attempt.exchange.fault is not None or _has_lost_peer(result):
                self.ctx.relays.discard(peer)
        _logger.info(
            'call relayed',
            extra={
                'request_id': self.call.request.request_id,
                'peer': peer.vm.name,
                'took_ms': round(self.ctx.clock.now() - sent_at, 1),
                'result': type(result).__name__,
            },
        )
        return result

    async def _await_result(self, attempt: Attempt) -> AttemptResult:
        result: AttemptResult | None = await attempt.start()
        if result is None:
            result = await attempt.wait_buffered(self.call.effective_deadline)
        if result is None:
            attempt.end()
            return AnswerLost(ExchangeFault.TIMEOUT)
        if isinstance(result, Answered) and _is_unknown(result):
            attempt.end()
            return AnswerLost(ExchangeFault.CLOSED)
        return result


def _is_unknown(answered: Answered) -> bool:
    """Tell whether the peer has lost the upstream's answer."""
    return _UNKNOWN_OUTCOME in answered.answer.headers


def _has_lost_peer(result: AttemptResult) -> bool:
    return (
        isinstance(result, NotRun)
        and result.reason is NotRunReason.CONNECT_FAILED
    )
