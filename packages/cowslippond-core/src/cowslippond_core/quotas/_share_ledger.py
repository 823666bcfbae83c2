"""The shares of quotas that this daemon owns, and the tokens it grants."""

import logging
from collections.abc import Callable

from cowslippond_core._clock import Millis, seconds_of
from cowslippond_core.quotas._bounds import QuotaBounds
from cowslippond_core.quotas._messages import (
    MAX_WAIT,
    QuotaAnswer,
    round_wait,
)
from cowslippond_core.quotas._owners import Ownership
from cowslippond_core.quotas._token_bucket import TokenBucket
from cowslippond_core.workspaces import Workspace

_logger = logging.getLogger(__name__)

# Tokens are granted ahead of need only while the bucket is at least this full.
_PLENTY = 0.5

# A bucket is dropped this long after its last use, but not before it is full.
_IDLE_TIME: Millis = 10_000


class _Share:
    """The bucket of an owned share."""

    def __init__(self, bucket: TokenBucket, now: Millis) -> None:
        self.bucket = bucket
        self.used_at = now
        # Refused requests whose daemons will ask again, as far as not answered
        # by tokens since.
        self.backlog: float = 0
        self.backlog_at = now

    def is_idle(self, now: Millis) -> bool:
        self.bucket.refill(now)
        is_full = self.bucket.tokens >= self.bucket.capacity
        return is_full and self.is_unused(now)

    def is_unused(self, now: Millis) -> bool:
        return now - self.used_at > _IDLE_TIME

    def grant(self, ahead: int, now: Millis) -> int:
        """Take a token and some ahead of need; return how many."""
        self.used_at = now
        self.bucket.refill(now)
        plenty = self.bucket.capacity * _PLENTY
        spare = max(int(self.bucket.tokens - plenty), 0)
        return self.bucket.take(1 + min(ahead, spare))

    def queue_up(self, now: Millis) -> Millis:
        """Return when a refused daemon should ask again.

        Refused daemons get successive times, so that all of them together ask
        about as often as tokens become available.
        """
        served = seconds_of(now - self.backlog_at) * self.bucket.rate
        self.backlog = max(self.backlog - served, 0)
        self.backlog_at = now
        wait = self.bucket.wait(self.backlog)
        if wait < MAX_WAIT:
            self.backlog += 1
        return wait


class ShareLedger:
    """Grants tokens of the workspaces that this daemon owns shares of.

    :param ownership: which shares this daemon owns.
    :param find_workspace: returns the workspace of the configuration in force.
    :param bounds: by how much a quota may be exceeded.
    :param epoch: identifies this run of the process; not 0.
    """

    def __init__(
        self,
        ownership: Ownership,
        find_workspace: Callable[[str], Workspace | None],
        bounds: QuotaBounds,
        epoch: int,
    ) -> None:
        self.ownership = ownership
        self.find_workspace = find_workspace
        self.bounds = bounds
        self.epoch = epoch
        self.shares: dict[str, _Share] = {}
        self.may_grant = True

    def answer(
        self, number: int, name: str, ahead: int, now: Millis
    ) -> QuotaAnswer:
        """Answer a request for a token and some ahead of need."""
        share = self._find_share(name, now)
        if share is None:
            return QuotaAnswer(number, 0, 0, 0)
        granted = share.grant(ahead, now)
        wait = 0 if granted else round_wait(share.queue_up(now))
        return QuotaAnswer(number, granted, wait, self.epoch)

    def put_back(self, name: str, count: int, epoch: int) -> None:
        """Take back tokens; those of an earlier run are ignored."""
        share = self.shares.get(name)
        if share is not None and epoch == self.epoch:
            share.bucket.put_back(count)

    def sweep(self, now: Millis) -> None:
        """Drop the buckets of shares that are idle or no longer owned."""
        for name, share in tuple(self.shares.items()):
            workspace = self.find_workspace(name)
            if workspace is None or not workspace.rate:
                # A workspace that returns soon would start with a full bucket.
                if share.is_unused(now):
                    self._drop(name, 'removed')
                continue
            since = self.ownership.granting_since(name, workspace.rate)
            if since is None:
                self._drop(name, 'owner changed')
            elif share.is_idle(now):
                self.shares.pop(name)

    def _find_share(self, name: str, now: Millis) -> _Share | None:
        workspace = self.find_workspace(name)
        if workspace is None or not workspace.rate or not self.may_grant:
            return None
        since = self.ownership.granting_since(name, workspace.rate)
        if since is None or since > now:
            return None
        rate, capacity = self._size_of(workspace)
        share = self.shares.get(name)
        if share is not None:
            share.bucket.update(rate, capacity, now)
            return share
        tokens = seconds_of(now - since) * rate
        share = _Share(TokenBucket(rate, capacity, tokens, now), now)
        self.shares[name] = share
        self._log('owner of a share of a quota', name, 'in use')
        return share

    def _size_of(self, workspace: Workspace) -> tuple[float, float]:
        """Return the rate and the capacity of a share."""
        part = self.ownership.share(
            workspace.name,
            workspace.rate,
            self.bounds.share_excess(workspace),
        )
        rate = workspace.rate * (1 + self.bounds.reserve(workspace)) * part
        burst = workspace.burst + self.bounds.extra_burst(workspace)
        return rate, max(burst * part, 1)

    def _drop(self, name: str, cause: str) -> None:
        self.shares.pop(name)
        self._log('no longer owner of a share of a quota', name, cause)

    def _log(self, message: str, name: str, cause: str) -> None:
        _logger.info(
            message,
            extra={
                'workspace': name,
                'cause': cause,
                'daemons': len(self.ownership.daemons.domains),
                'fleet_size': self.ownership.supposed_size(),
            },
        )
