"""What the sending path tells the rest of the process, and asks it."""

from collections.abc import Callable
from typing import NamedTuple

from cowslippond_core._quarantine import Quarantine
from cowslippond_core._reasons import RetryReason


class SendingHooks(NamedTuple):
    """Callables that the sending path is given.

    ``is_leaving`` tells whether the upstream at an address is leaving.
    ``mark_leaving`` gets the address and the source when an upstream's own
    answer says that it is leaving. ``count_retry`` is called once for each
    repeated send. ``quarantine`` is asked before each send, and told of
    broken connections and of answers.
    """

    is_leaving: Callable[[str], bool]
    mark_leaving: Callable[[str, str], None]
    count_retry: Callable[[RetryReason], None]
    quarantine: Quarantine
