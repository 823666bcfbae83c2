"""Which calls are no longer sent while the daemon stops."""

import math

from cowslippond_core._clock import Millis


class StopLimit:
    """The end of a planned stop, at which calls that still run are cut.

    ``ends_at`` is a clock time in milliseconds, infinite while no stop is
    planned. ``refuses_all`` is set once no call is sent any more.
    """

    def __init__(self) -> None:
        self.ends_at: Millis = math.inf
        self.refuses_all = False

    def refuses(self, deadline: Millis, *, is_repeatable: bool) -> bool:
        """Return whether a call is refused that has not been sent.

        A call that may not be repeated is only sent if its deadline comes
        before the end, since its caller could not send it again if it were cut.

        :param deadline: clock time in milliseconds.
        :param is_repeatable: whether the call may run more than once.
        """
        if self.refuses_all:
            return True
        return not is_repeatable and deadline > self.ends_at
