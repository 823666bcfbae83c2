"""Quantiles of recent latencies."""

from collections import deque

from cowslippond_core._clock import Millis

_WINDOW_SIZE = 512
_REFRESH_INTERVAL = 64
_MIN_SAMPLES = 16
_P50 = 0.5
_P95 = 0.95
_P99 = 0.99


class LatencyWindow:
    """Quantiles over the last few hundred latencies, in milliseconds.

    Each quantile is ``initial`` until enough latencies have been recorded.
    They are recomputed periodically, not with every latency.

    :param initial: in milliseconds.
    """

    def __init__(self, initial: Millis) -> None:
        self.fastest: Millis = 0
        self.p50: Millis = initial
        self.p95: Millis = initial
        self.p99: Millis = initial
        self.recent: deque[Millis] = deque(maxlen=_WINDOW_SIZE)
        self.until_refresh = _MIN_SAMPLES

    def record(self, latency: Millis) -> None:
        """Add one latency, and refresh the quantiles when they are due."""
        self.recent.append(latency)
        self.until_refresh -= 1
        if self.until_refresh > 0:
            return
        self.until_refresh = _REFRESH_INTERVAL
        ordered = sorted(self.recent)
        self.fastest = ordered[0]
        self.p50 = _quantile(ordered, _P50)
        self.p95 = _quantile(ordered, _P95)
        self.p99 = _quantile(ordered, _P99)


def _quantile(ordered: list[Millis], fraction: float) -> Millis:
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
