"""Take a claim whose answer is lost for a claim that was not made."""

from cowslippond_core._claim_outcomes import ClaimUnavailable
from cowslippond_core._claims import Claims, _Ending
from cowslippond_core._claim_rows import ClaimState

_ABSENT = Claims.claim.__globals__['_ABSENT']


async def _claim_once(claims, claim):
    written = await claims._put(claim, _Ending(ClaimState.CLAIMED), _ABSENT)
    if written.is_ok():
        return Claims.claim.__globals__['ClaimGranted'](claim)
    return ClaimUnavailable(1000, is_doubtful=False)


Claims.claim = _claim_once
