"""Sends calls to upstreams, with retries and hedging, and returns answers."""

from cowslippond_core.dispatch._call import Call as Call
from cowslippond_core.dispatch._context import (
    DispatchContext as DispatchContext,
)
from cowslippond_core.dispatch._dispatch import Dispatch as Dispatch
from cowslippond_core.dispatch._load_prober import LoadProber as LoadProber
from cowslippond_core.dispatch._relay_peers import RelayPeers as RelayPeers
from cowslippond_core.dispatch._service import FleetBounds as FleetBounds
from cowslippond_core.dispatch._service import Service as Service
from cowslippond_core.dispatch._services import Services as Services
from cowslippond_core.dispatch._shared_failures import (
    FAILURE_TABLE as FAILURE_TABLE,
)
from cowslippond_core.dispatch._shared_failures import (
    SharedFailures as SharedFailures,
)
from cowslippond_core.dispatch._shared_rate_limits import (
    RATE_LIMIT_TABLE as RATE_LIMIT_TABLE,
)
from cowslippond_core.dispatch._shared_rate_limits import (
    SharedRateLimits as SharedRateLimits,
)
from cowslippond_core.dispatch._uploads import UploadDispatch as UploadDispatch
from cowslippond_core.dispatch._warm_ups import WarmUpBounds as WarmUpBounds
from cowslippond_core.dispatch._warm_ups import WarmUps as WarmUps
