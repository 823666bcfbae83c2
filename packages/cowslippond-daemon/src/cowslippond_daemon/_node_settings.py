"""The settings of a daemon that serves a configuration of all services."""

from typing import NamedTuple

from cowslippond_core import Millis


class NodeSettings(NamedTuple):
    """The settings of one process; addresses are ``ip:port``.

    ``metrics_address`` may be empty. ``is_first_start`` is set when the whole
    fleet starts for the first time.

    ``stop_timeout`` limits the time of a graceful shutdown. ``retry_ratio`` and
    ``min_retries`` bound the retries of a service within ``retry_window``, over
    all daemons: a fraction of the calls, plus a fixed allowance. ``probe_rate``
    is the maximum number of load probes of one upstream per second, over all
    daemons. Times are in milliseconds.
    """

    vm: str
    failure_domain: str
    caller_address: str
    ready_address: str
    peer_address: str
    seeds: tuple[str, ...]
    store_address: str
    metrics_address: str
    is_first_start: bool
    stop_timeout: Millis
    retry_ratio: float
    min_retries: float
    retry_window: Millis
    probe_rate: float
