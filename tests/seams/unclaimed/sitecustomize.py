"""Switch claims off: every keyed call is sent."""

from cowslippond_core._claim_outcomes import ClaimGranted
from cowslippond_core._claims import Claims


async def _grant(_, claim):
    return ClaimGranted(claim)


Claims.claim = _grant
