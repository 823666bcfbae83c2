"""Which upstreams of a service may get a call now."""

from collections.abc import Callable, Container
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._ejection import is_available
from cowslippond_core._upstreams import Upstream, UpstreamSet


class Candidates(NamedTuple):
    """The upstreams that may get a call.

    ``open_at`` is when the first upstream is expected to have a free slot
    again, in milliseconds, if all said that they have none.
    """

    free: list[Upstream]
    next_free_at: Millis | None


def find_candidates(
    upstreams: UpstreamSet,
    tried: Container[str],
    is_leaving: Callable[[str], bool],
    now: Millis,
) -> Candidates:
    """Return the upstreams that may get a call.

    :param tried: addresses that are left out.
    :param is_leaving: tells which addresses get no new work.
    :param now: on the clock, in milliseconds.
    """
    eligible = [
        upstream
        for upstream in upstreams.by_address.values()
        if upstream.address not in tried
        and not is_leaving(upstream.address)
        and upstream.connections.has_room()
        and is_available(upstream, now)
    ]
    free = [one for one in eligible if one.backoff.retry_at <= now]
    if free or not eligible:
        return Candidates(free, None)
    return Candidates([], min(one.backoff.retry_at for one in eligible))
