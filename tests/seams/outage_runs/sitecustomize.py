"""Run calls although the table grants no claim."""

from cowslippond_core._claim_outcomes import ClaimGranted, ClaimUnavailable
from cowslippond_core._claims import Claims

_claim = Claims.claim


async def _claim_or_run(claims, claim):
    outcome = await _claim(claims, claim)
    if isinstance(outcome, ClaimUnavailable):
        return ClaimGranted(claim)
    return outcome


Claims.claim = _claim_or_run
