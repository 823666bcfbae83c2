"""Send calls however late it is."""

from cowslippond_core._claim import Claim
from cowslippond_core._attempt import Attempt
from cowslippond_core._limits import Limiter


def _may_send(_, now):
    return True


async def _admit(limiter, deadline, *_):
    limiter.running += 1
    return None


class _NeverLate(float):
    def __le__(self, _):
        return False


Claim.may_send = _may_send
