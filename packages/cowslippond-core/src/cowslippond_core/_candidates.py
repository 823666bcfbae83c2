"""Selects the upstreams of a service that may receive a call now."""

from collections.abc import Callable, Container
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._ejection import is_available
from cowslippond_core._upstreams import Upstream, UpstreamSet


class Candidates(NamedTuple):
    """The upstreams that may receive a call.

    ``next_free_at`` is set if every eligible upstream has reported that it has
    no free slot: the clock time in milliseconds at which the first of them is
    expected to have one again.
    """

    free: list[Upstream]
    next_free_at: Millis | None


def find_candidates(
    upstreams: UpstreamSet,
    excluded: Container[str],
    is_leaving: Callable[[str], bool],
    now: Millis,
) -> Candidates:
    """Return the upstreams that may receive a call.

    :param excluded: addresses to exclude.
    :param is_leaving: returns whether an address must get no new calls.
    :param now: current clock time in milliseconds.
    """
    eligible = [
        upstream
        for upstream in upstreams.by_address.values()
        if upstream.address not in excluded
        and not is_leaving(upstream.address)
        and upstream.connections.has_room()
        and is_available(upstream, now)
    ]
    free = [one for one in eligible if one.backoff.retry_at <= now]
    if free or not eligible:
        return Candidates(free, None)
    return Candidates([], min(one.backoff.retry_at for one in eligible))
