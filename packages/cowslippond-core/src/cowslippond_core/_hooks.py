"""Interface from the sending path to the other parts of the process."""

from collections.abc import Callable
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._quarantine import Quarantine
from cowslippond_core._reasons import RetryReason
from cowslippond_core._upstreams import Upstream


def ignore_rate_limit(upstream: Upstream, rate: float | None) -> None:
    """Ignore a rate limit, where upstreams announce none."""


def ignore_warm_up(
    upstream: Upstream, remaining: Millis | None, sent_at: Millis
) -> None:
    """Ignore a warm-up, where calls to cold upstreams are not limited."""


class SendingHooks(NamedTuple):
    """Callbacks and shared state used by the sending path.

    ``is_leaving`` returns whether the upstream at an address is leaving.
    ``mark_leaving`` is called with the address and the source of the report
    when an answer of an upstream says that it is leaving. ``count_retry`` is
    called with the reason for each retry or hedge. ``quarantine`` is consulted
    before each send, and notified of broken connections and answers.
    ``record_rate_limit`` is called with the rate limit that an answer announces,
    in calls per second, or with ``None`` if it announces none.
    ``record_warm_up`` is called with the milliseconds for which an upstream says
    that it stays cold, or ``None`` if it does not say, and the time at which the
    request was sent.
    """

    is_leaving: Callable[[str], bool]
    mark_leaving: Callable[[str, str], None]
    count_retry: Callable[[RetryReason], None]
    quarantine: Quarantine
    record_rate_limit: Callable[[Upstream, float | None], None] = (
        ignore_rate_limit
    )
    record_warm_up: Callable[[Upstream, Millis | None, Millis], None] = (
        ignore_warm_up
    )
