"""Admission, queueing and upstream selection for the calls of a service."""

from cowslippond_core.placing._limit_division import (
    LimitDivision as LimitDivision,
)
from cowslippond_core.placing._pending_call import Grant as Grant
from cowslippond_core.placing._pending_call import PendingCall as PendingCall
from cowslippond_core.placing._placer import Placer as Placer
from cowslippond_core.placing._probe_limiter import ProbeLimiter as ProbeLimiter
from cowslippond_core.placing._queue import CallQueue as CallQueue
from cowslippond_core.placing._selector import FleetView as FleetView
from cowslippond_core.placing._service_time import (
    ServiceTimeEstimator as ServiceTimeEstimator,
)
from cowslippond_core.placing._slowdown import (
    expected_slowdown as expected_slowdown,
)
from cowslippond_core.placing._upload_gate import UploadGate as UploadGate
from cowslippond_core.placing._upload_gate import (
    UploadProgress as UploadProgress,
)
