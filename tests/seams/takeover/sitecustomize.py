"""Let a claim that is unfinished past its deadline be taken over."""

import time

from cowslippond_core import _claims
from cowslippond_core._claim_rows import ClaimState

_is_decided = _claims._is_decided


def _is_decided_or_lapsed(claim, row):
    if row.state is ClaimState.CLAIMED and row.until < time.time() * 1000:
        return False
    return _is_decided(claim, row)


_claims._is_decided = _is_decided_or_lapsed
