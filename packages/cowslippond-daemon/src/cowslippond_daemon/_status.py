"""The status of a daemon, for operators and ``cowslippondctl``."""

from collections.abc import Mapping
from typing import Any

from cowslippond_daemon._components import DaemonComponents


def build_status(components: DaemonComponents) -> Mapping[str, Any]:
    """Return the state of the components as a JSON-serializable mapping."""
    spread = components.spread.status()
    return {
        **spread._asdict(),
        'daemons': [daemon._asdict() for daemon in spread.daemons],
        'counters': {
            str(name): count
            for name, count in components.metrics.totals.items()
        },
        'upstreams': {
            service: sorted(state.upstreams.by_address)
            for service, state in components.services.states.items()
        },
        'unsettled_claims': components.backlog.unsettled,
    }
