"""What a daemon that serves a whole configuration is told at its start."""

from typing import NamedTuple

from cowslippond_core import Millis


class NodeSettings(NamedTuple):
    """The settings of one process; addresses are ``ip:port``.

    ``metrics_address`` may be empty. ``is_first_start`` tells that the whole
    fleet starts for the first time.

    ``stop_time`` is how long a planned stop may take. ``retry_share`` and
    ``retry_floor`` bound the repeated sends of a service within
    ``retry_window``, over all daemons. ``reading_rate`` is the most readings
    of one upstream a second, over all daemons. Times are in milliseconds.
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
