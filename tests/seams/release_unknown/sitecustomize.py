"""Give back the claims of calls whose outcome is unknown."""

from cowslippond_core import _claim_flow
from cowslippond_core._claim_backlog import ReleaseClaim
from cowslippond_core._messages import CallRefusal

_send = _claim_flow.ClaimFlow._send


async def _send_and_release(flow, claim, send):
    end = await _send(flow, claim, send)
    if isinstance(end, CallRefusal):
        flow.backlog.add(ReleaseClaim(claim))
    return end


_claim_flow.ClaimFlow._send = _send_and_release
