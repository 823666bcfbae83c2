"""Disables one mechanism of a daemon, to check that its tests then fail.

With ``--without``, the tests start daemons with this directory on their
``PYTHONPATH`` and the name of a seam in ``COWSLIPPOND_TEST_SEAM``. Shipped
code does not read the variable.
"""

import os
from types import MappingProxyType
from typing import Any

SEAM_VARIABLE = 'COWSLIPPOND_TEST_SEAM'


def _serve_stale_versions() -> None:
    from cowslippond_core import _catalogue

    _catalogue.Catalogue.is_fresh = lambda *_: True


def _send_unclaimed_orders() -> None:
    from cowslippond_core import _claim_flow

    async def run(flow: Any, request: Any, identity: Any, send: Any) -> Any:
        return await send(request)

    _claim_flow.ClaimFlow.run = run


def _treat_orders_as_idempotent() -> None:
    from cowslippond_daemon import _call_rules, _calls

    _call_rules.is_idempotent = lambda *_: True
    _calls.is_idempotent = _call_rules.is_idempotent


def _ignore_leaving() -> None:
    from cowslippond_core import _leaving, _upstreams

    update = _upstreams.UpstreamSet.update

    def update_as_live(upstreams: Any, vms: Any) -> None:
        live = _upstreams.VmState.LIVE
        update(upstreams, [vm._replace(state=live) for vm in vms])

    _leaving.LeavingMarks.is_leaving = lambda *_: False
    _upstreams.UpstreamSet.update = update_as_live


def _stop_without_draining() -> None:
    from cowslippond_daemon import _retirement

    async def retire(
        plan: Any, edge: Any, server: Any, has_pending_work: Any
    ) -> None:
        server.force_exit = True
        server.should_exit = True

    _retirement.RetirementPlan.retire = retire


def _admit_crashing_requests() -> None:
    from cowslippond_core import _quarantine

    _quarantine.Quarantine.check = lambda *_: None
    _quarantine.Quarantine.is_suspect = lambda *_: False


def _trust_silent_connections() -> None:
    from cowslippond_core import _connections

    _connections.Connections.suspect_silent_since = lambda *_: None
    _connections.Connections.record_silent_call = lambda *_: None


def _end_truncated_answers_cleanly() -> None:
    from cowslippond_core import _attempt

    next_chunk = _attempt.AnswerChunks.__anext__

    async def end_cleanly(chunks: Any) -> bytes:
        try:
            return await next_chunk(chunks)
        except _attempt.TruncatedAnswerError:
            raise StopAsyncIteration from None

    _attempt.AnswerChunks.__anext__ = end_cleanly


def _probe_without_budget() -> None:
    from cowslippond_core import _measuring

    _measuring.ProbeBudget.try_spend = lambda *_: True


def _retry_without_budget() -> None:
    from cowslippond_core import _budgets

    _budgets.RatioBudget.can_spend = lambda *_: True


def _take_over_expired_claims() -> None:
    import time

    from cowslippond_core import _claim_rows, _claims

    blocks_claim = _claims._blocks_claim

    def blocks_unless_expired(claim: Any, row: Any) -> bool:
        is_expired = row.deadline_unix_ms < time.time() * 1000
        if row.state is _claim_rows.ClaimState.CLAIMED and is_expired:
            return False
        return blocks_claim(claim, row)

    _claims._blocks_claim = blocks_unless_expired


def _skip_read_back() -> None:
    from cowslippond_core import _claims

    claim_row = _claims.Claims.claim

    async def claim(claims: Any, claim: Any) -> Any:
        read = claims._read_row

        async def read_nothing(item: Any) -> Any:
            read_result = await read(item)
            return read_result.map(lambda row: None)

        claims._read_row = read_nothing
        return await claim_row(claims, claim)

    _claims.Claims.claim = claim


def _run_unclaimed_during_outage() -> None:
    from cowslippond_core import _claim_outcomes, _claims

    claim_row = _claims.Claims.claim

    async def claim_or_run(claims: Any, claim: Any) -> Any:
        outcome = await claim_row(claims, claim)
        if isinstance(outcome, _claim_outcomes.ClaimUnavailable):
            return _claim_outcomes.ClaimGranted(claim)
        return outcome

    _claims.Claims.claim = claim_or_run


def _skip_release() -> None:
    from cowslippond_core import _claims
    from expression import Ok

    async def skip(claims: Any, claim: Any) -> Any:
        return Ok(None)

    _claims.Claims.release = skip
    _claims.Claims.fence = skip


def _skip_recording() -> None:
    from cowslippond_core import _claims
    from expression import Ok

    async def skip(claims: Any, claim: Any, answer: Any) -> Any:
        return Ok(None)

    _claims.Claims.record = skip


def _ignore_not_run_promises() -> None:
    from cowslippond_core import _dialect

    metadata = _dialect.AnswerMetadata()
    _dialect.DefaultDialect.read_answer = lambda *_: metadata


def _release_unknown_outcomes() -> None:
    from cowslippond_core import _claim_backlog, _claim_flow, _messages

    send_claimed = _claim_flow.ClaimFlow._send

    async def send_and_release(flow: Any, run: Any, send: Any) -> Any:
        end = await send_claimed(flow, run, send)
        if isinstance(end, _messages.CallRefusal):
            flow.backlog.add(_claim_backlog.ReleaseClaim(run.claim))
        return end

    _claim_flow.ClaimFlow._send = send_and_release


def _cancel_claimed_calls() -> None:
    from types import SimpleNamespace

    import anyio
    from cowslippond_core import _claim_flow

    def scope(**options: Any) -> Any:
        return anyio.CancelScope()

    _claim_flow.anyio = SimpleNamespace(
        CancelScope=scope, move_on_after=anyio.move_on_after
    )


def _send_after_deadline() -> None:
    from cowslippond_core import _claim, _clock

    original_now = _clock.Clock.now
    _claim.Claim.may_send = lambda *_: True
    skipped_ms = [float(0)]
    last_ms = [float(0)]

    def now(clock: Any) -> float:
        # Leaving out gaps of over 500 ms hides from the process that it was
        # paused.
        current = original_now(clock)
        if last_ms[0] and current - last_ms[0] > 500:
            skipped_ms[0] += current - last_ms[0]
        last_ms[0] = current
        return current - skipped_ms[0]

    _clock.Clock.now = now


SEAMS = MappingProxyType(
    {
        'freshness': _serve_stale_versions,
        'claims': _send_unclaimed_orders,
        'no_takeover': _take_over_expired_claims,
        'read_back': _skip_read_back,
        'claim_outage': _run_unclaimed_during_outage,
        'release': _skip_release,
        'unknown_outcomes': _release_unknown_outcomes,
        'record': _skip_recording,
        'promises': _ignore_not_run_promises,
        'shield': _cancel_claimed_calls,
        'late_send': _send_after_deadline,
        'idempotence': _treat_orders_as_idempotent,
        'leaving': _ignore_leaving,
        'retirement': _stop_without_draining,
        'quarantine': _admit_crashing_requests,
        'silence': _trust_silent_connections,
        'truncation': _end_truncated_answers_cleanly,
        'allowance': _probe_without_budget,
        'budgets': _retry_without_budget,
    }
)

seam = os.environ.get(SEAM_VARIABLE)
if seam:
    SEAMS[seam]()
