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
    daemons.

    Within any ``quota_window``, a workspace's calls may exceed its rate and burst
    by the fraction ``quota_overshoot`` plus ``quota_slack`` calls. In any second,
    a cold upstream gets at most ``warm_up_overshoot`` times its rate plus
    ``warm_up_slack`` calls. ``evacuation_time`` is how soon an evacuated failure
    domain must get no more calls. Times are in milliseconds.
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
    quota_window: Millis
    quota_overshoot: float
    quota_slack: float
    warm_up_overshoot: float
    warm_up_slack: float
    evacuation_time: Millis
