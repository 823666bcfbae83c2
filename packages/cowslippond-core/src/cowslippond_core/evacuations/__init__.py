"""Failure domains to whose upstreams operators want no calls to be sent."""

from cowslippond_core.evacuations._evacuation_log import (
    EVACUATION_LOG as EVACUATION_LOG,
)
from cowslippond_core.evacuations._evacuation_log import (
    EVACUATION_PREFIX as EVACUATION_PREFIX,
)
from cowslippond_core.evacuations._evacuation_log import (
    EvacuationLog as EvacuationLog,
)
from cowslippond_core.evacuations._operator_rows import (
    OperatorRows as OperatorRows,
)
