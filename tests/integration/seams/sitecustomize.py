"""Switches one mechanism of a daemon off, to see a proof fail without it.

A daemon started by the tests imports this module when its environment names a
seam. Nothing that is shipped reads the variable.
"""

import os
from types import MappingProxyType
from typing import Any

SEAM_VARIABLE = 'COWSLIPPOND_TEST_SEAM'


def _serve_stale_versions() -> None:
    from cowslippond_core import _catalogue

    _catalogue.Catalogue.is_fresh = lambda *_: True


def _send_without_claim() -> None:
    from cowslippond_core import _claim_flow

    async def run(flow: Any, request: Any, identity: Any, send: Any) -> Any:
        return await send()

    _claim_flow.ClaimFlow.run = run


def _repeat_orders() -> None:
    from cowslippond_daemon import _call_rules, _calls

    _call_rules.is_idempotent = lambda *_: True
    _calls.is_idempotent = _call_rules.is_idempotent


def _ignore_leaving() -> None:
    from cowslippond_core import _leaving

    _leaving.Leaving.is_leaving = lambda *_: False


def _stop_at_once() -> None:
    from cowslippond_daemon import _retirement

    async def retire(plan: Any, edge: Any, server: Any, owes: Any) -> None:
        server.force_exit = True
        server.should_exit = True

    _retirement.RetirementPlan.retire = retire


def _admit_crashing_requests() -> None:
    from cowslippond_core import _quarantine

    _quarantine.Quarantine.check = lambda *_: None
    _quarantine.Quarantine.is_suspect = lambda *_: False


def _trust_silent_connections() -> None:
    from cowslippond_core import _connections

    _connections.Connections.suspect_silent = lambda *_: None
    _connections.Connections.note_silence = lambda *_: None


def _end_truncated_answers() -> None:
    from cowslippond_core import _attempt

    next_chunk = _attempt.AnswerChunks.__anext__

    async def end_cleanly(chunks: Any) -> bytes:
        try:
            return await next_chunk(chunks)
        except _attempt.TruncatedAnswerError:
            raise StopAsyncIteration from None

    _attempt.AnswerChunks.__anext__ = end_cleanly


def _measure_without_allowance() -> None:
    from cowslippond_core import _measuring

    _measuring.MeasuringAllowance.try_spend = lambda *_: True


def _spend_without_budget() -> None:
    from cowslippond_core import _budgets

    _budgets.ShareBudget.take = lambda *_: True


SEAMS = MappingProxyType(
    {
        'freshness': _serve_stale_versions,
        'claims': _send_without_claim,
        'idempotence': _repeat_orders,
        'leaving': _ignore_leaving,
        'retirement': _stop_at_once,
        'quarantine': _admit_crashing_requests,
        'silence': _trust_silent_connections,
        'truncation': _end_truncated_answers,
        'allowance': _measure_without_allowance,
        'budgets': _spend_without_budget,
    }
)

chosen = os.environ.get(SEAM_VARIABLE)
if chosen:
    SEAMS[chosen]()
