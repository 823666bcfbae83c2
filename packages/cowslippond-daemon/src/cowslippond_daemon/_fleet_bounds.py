"""The bounds of the settings that apply to all daemons together."""

from cowslippond_core import FleetBounds, WarmUpBounds, WarmUps

from cowslippond_daemon._node_settings import NodeSettings


def make_bounds(settings: NodeSettings) -> FleetBounds:
    """Return the bounds of retries and probes."""
    return FleetBounds(
        settings.retry_ratio,
        settings.min_retries,
        settings.retry_window,
        settings.probe_rate,
    )


def apply_warm_up_settings(warm_ups: WarmUps, settings: NodeSettings) -> None:
    """Apply the bounds of calls to cold upstreams."""
    warm_ups.seeds = settings.seeds
    warm_ups.bounds = WarmUpBounds(
        settings.warm_up_overshoot, settings.warm_up_slack
    )
