"""What the sending path tells the rest of the process, and asks it."""

from collections.abc import Callable
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._reasons import RetryReason
from cowslippond_core._upstreams import Upstream


class SendingHooks(NamedTuple):
    """Callables that the sending path is given.

    ``is_leaving`` tells whether the upstream at an address is leaving.
    ``mark_leaving`` gets the address and the source when an upstream's own
    answer says that it is leaving. ``count_retry`` is called once for each
    repeated send. ``on_break`` gets the upstream, the call's fingerprint and
    the time when a connection breaks before the answer.
    """

    is_leaving: Callable[[str], bool]
    mark_leaving: Callable[[str, str], None]
    count_retry: Callable[[RetryReason], None]
    on_break: Callable[[Upstream, str, Millis], None]
