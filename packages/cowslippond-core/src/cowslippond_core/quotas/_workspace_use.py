"""What a daemon knows about one workspace whose calls it gets."""

import math
from collections import deque
from typing import NamedTuple

from cowslippond_core._clock import Millis, seconds_of
from cowslippond_core.quotas._bounds import LEASE_TIME
from cowslippond_core.quotas._messages import QuotaAnswer

# Demand is averaged over this time.
_AVERAGING_TIME: Millis = 500
_MAX_AHEAD = 32

# A workspace without calls for this time takes no more memory.
_IDLE_TIME: Millis = 30_000

# An owner that does not know of its share yet is asked again after this time.
_UNSETTLED_PAUSE: Millis = 300

# The caller's wait if no owner tells when a token is expected.
_DEFAULT_WAIT: Millis = 500


class Token(NamedTuple):
    """The right to let one call of a workspace run.

    ``owner`` granted it in an ``epoch``; it is empty for a call that was
    admitted without contact. ``expires_at`` is until when another call may use
    the token if this one does not need it, in milliseconds.
    """

    workspace: str
    owner: str
    epoch: int
    expires_at: Millis


class UseFigures(NamedTuple):
    """The calls of a workspace at this daemon.

    ``demand`` is in calls per second, refused ones included.
    """

    demand: float
    admitted: int
    refused: int
    fallback: int


class WorkspaceUse:
    """The tokens, demand and counters of a workspace at this daemon.

    :param name: the name of the workspace.
    :param now: the clock time, in milliseconds.
    """

    def __init__(self, name: str, now: Millis) -> None:
        self.name = name
        self.tokens: deque[Token] = deque()
        self.empty_until: dict[str, Millis] = {}
        # Owners that do not grant their share yet.
        self.unsettled: set[str] = set()
        self.fallback_times: deque[Millis] = deque()
        self.is_refreshing = False
        self.demand: float = 0
        self.called_at = now
        self.admitted = 0
        self.refused = 0
        self.fallback = 0

    def record_call(self, now: Millis) -> None:
        """Count a call that asks to be admitted."""
        elapsed = max(now - self.called_at, 0)
        self.demand *= math.exp(-elapsed / _AVERAGING_TIME)
        self.demand += 1 / seconds_of(_AVERAGING_TIME)
        self.called_at = now

    def ahead(self) -> int:
        """Return how many further calls to expect while a token is valid.

        The first call alone does not count as a demand.
        """
        first = 1 / seconds_of(_AVERAGING_TIME)
        expected = max(self.demand - first, 0) * seconds_of(LEASE_TIME)
        return min(int(expected), _MAX_AHEAD)

    def pop_token(self, now: Millis) -> Token | None:
        """Return a valid token, if there is one."""
        valid = next(
            (token for token in self.tokens if token.expires_at > now), None
        )
        if valid is not None:
            self.tokens.remove(valid)
        return valid

    def pop_expired(self, now: Millis) -> list[Token]:
        """Return the tokens that no call may use any more."""
        expired = [token for token in self.tokens if token.expires_at <= now]
        if expired:
            self.tokens = deque(
                token for token in self.tokens if token.expires_at > now
            )
        return expired

    def is_empty(self, owner: str, now: Millis) -> bool:
        """Return whether an owner has said that it has no tokens now."""
        return self.empty_until.get(owner, -math.inf) > now

    def record_empty(
        self, owner: str, answer: QuotaAnswer, now: Millis
    ) -> None:
        """Record an answer of an owner that granted nothing."""
        if answer.epoch:
            self.unsettled.discard(owner)
            self.empty_until[owner] = now + answer.wait
            return
        self.unsettled.add(owner)
        self.empty_until[owner] = now + _UNSETTLED_PAUSE

    def expected_wait(self, now: Millis) -> Millis:
        """Return the time until a token is expected, in milliseconds."""
        waits = [
            until - now for until in self.empty_until.values() if until > now
        ]
        return min(waits, default=_DEFAULT_WAIT)

    def take_fallback(
        self, allowed: int, window: Millis, now: Millis
    ) -> Token | None:
        """Admit a call without contact, up to a number per window."""
        times = self.fallback_times
        while times and times[0] <= now - window:
            times.popleft()
        if len(times) >= allowed:
            return None
        times.append(now)
        self.fallback += 1
        return Token(self.name, '', 0, now)

    def undo_fallback(self, admitted_at: Millis) -> None:
        """Take back the admission of a call that did not run.

        It may be older than the window, and no longer counted.
        """
        if admitted_at in self.fallback_times:
            self.fallback_times.remove(admitted_at)

    def forget_owners(self, owners: tuple[str, ...]) -> None:
        """Drop what is known of daemons that are no longer owners."""
        for owner in self.empty_until.keys() - owners:
            self.empty_until.pop(owner)
        self.unsettled.intersection_update(owners)

    def is_idle(self, now: Millis) -> bool:
        """Return whether the workspace has had no calls for long."""
        return now - self.called_at > _IDLE_TIME and not self.tokens

    def figures(self, now: Millis) -> UseFigures:
        """Return the figures for operators."""
        elapsed = max(now - self.called_at, 0)
        demand = self.demand * math.exp(-elapsed / _AVERAGING_TIME)
        return UseFigures(
            round(demand, 1), self.admitted, self.refused, self.fallback
        )
