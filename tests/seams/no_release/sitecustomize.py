"""Keep the claims of calls that are proved not to have run."""

from cowslippond_core._claims import Claims
from expression import Ok


async def _keep(_, claim):
    return Ok(None)


Claims.release = _keep
Claims.fence = _keep
