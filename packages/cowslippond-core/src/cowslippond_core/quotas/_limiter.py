"""Decides at one daemon whether a call is within its workspace's quota."""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core.quotas._bounds import LEASE_TIME, QuotaBounds
from cowslippond_core.quotas._messages import (
    QuotaAnswer,
    QuotaMessage,
    QuotaRequest,
    QuotaReturn,
)
from cowslippond_core.quotas._owner_requests import OwnerRequests
from cowslippond_core.quotas._owners import Ownership, is_chosen
from cowslippond_core.quotas._share_ledger import ShareLedger
from cowslippond_core.quotas._workspace_use import Token, WorkspaceUse
from cowslippond_core.workspaces import Workspace

# How many owners a call asks, and for how many it waits in vain.
_MAX_ASKS = 4
_MAX_SILENT = 2

_EPOCH_BITS = 31


class QuotaRefusal(NamedTuple):
    """A call beyond the quota of its workspace.

    ``wait`` is the time until a token is expected, in milliseconds. The call
    asked ``asked`` owners; ``unreached`` ones do not answer or do not grant
    their shares yet.
    """

    wait: Millis
    asked: int
    unreached: int


class QuotaLimiter:
    """Admits calls by tokens, which the owners of shares grant.

    :param own_address: the address by which the other daemons know this one.
    :param failure_domain: the failure domain of this daemon.
    :param find_workspace: returns the workspace of the configuration in force.
    :param bounds: by how much a quota may be exceeded.
    :param send: sends a datagram to a daemon.
    :param clock: the clock of all times.
    :param rng: chooses owners.
    :param metrics: counts requests and admitted calls.
    """

    def __init__(
        self,
        own_address: str,
        failure_domain: str,
        find_workspace: Callable[[str], Workspace | None],
        bounds: QuotaBounds,
        send: Callable[[str, QuotaMessage], None],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.own_address = own_address
        self.failure_domain = failure_domain
        self.find_workspace = find_workspace
        self.clock = clock
        self.metrics = metrics
        self.ownership = Ownership(own_address, clock.now())
        epoch = rng.getrandbits(_EPOCH_BITS) + 1
        self.ledger = ShareLedger(
            self.ownership,
            find_workspace,
            bounds,
            epoch,
        )
        self.requests = OwnerRequests(send, clock, rng, metrics, epoch)
        self.uses: dict[str, WorkspaceUse] = {}

    def update(
        self,
        domains: Mapping[str, str],
        fleet_size: int,
        leaving: Iterable[str] = (),
    ) -> None:
        """Apply a new list of daemons, and drop what is no longer needed.

        :param domains: the failure domains of all daemons that take part, by
            address.
        :param fleet_size: how many daemons are known to run, of which the list
            may lack some.
        :param leaving: the addresses of daemons that announced that they leave.
        """
        now = self.clock.now()
        self.ownership.update(domains, fleet_size, leaving, now)
        self.requests.contacts.retain(set(domains))
        self.requests.sweep()
        self.ledger.sweep(now)
        for use in tuple(self.uses.values()):
            self._return_expired(use, now)
            use.forget_owners(self._owners(use.name))
            if use.is_idle(now):
                self.uses.pop(use.name)

    async def take(self, name: str) -> Token | QuotaRefusal | None:
        """Take a token for a call of a workspace.

        :return: ``None`` if the workspace has no limit.
        """
        workspace = self.find_workspace(name)
        if workspace is None or not workspace.rate:
            return None
        now = self.clock.now()
        use = self.uses.get(name)
        if use is None:
            use = WorkspaceUse(name, now)
            self.uses[name] = use
        use.record_call(now)
        token = self._take_local(use, now)
        if token is None:
            decision = await self._ask_owners(use, workspace)
        else:
            self._refresh(use)
            decision = token
        if isinstance(decision, QuotaRefusal):
            use.refused += 1
        else:
            use.admitted += 1
            self.metrics.count(Metric.QUOTA_ADMITTED)
        return decision

    def give_back(self, token: Token) -> None:
        """Return the token of a call that did not run."""
        self.metrics.count(Metric.QUOTA_RETURNED)
        use = self.uses.get(token.workspace)
        if use is not None:
            use.admitted -= 1
            if not token.owner:
                use.undo_fallback(token.expires_at)
            elif token.expires_at > self.clock.now():
                use.tokens.append(token)
                return
        self._return_to_owner(token)

    def receive(self, sender: str, message: QuotaMessage) -> None:
        """Handle a datagram from a daemon."""
        if isinstance(message, QuotaAnswer):
            self.requests.receive(sender, message)
        elif isinstance(message, QuotaReturn):
            self.ledger.put_back(
                message.workspace, message.tokens, message.epoch
            )
        else:
            self._answer(sender, message)

    def _answer(self, sender: str, request: QuotaRequest) -> None:
        answer = self.ledger.answer(
            request.number,
            request.workspace,
            request.ahead,
            self.clock.now(),
        )
        self.requests.send(sender, answer)

    def _take_local(self, use: WorkspaceUse, now: Millis) -> Token | None:
        """Take a token that is here: granted before, or of an own share."""
        token = use.pop_token(now)
        if token is not None:
            return token
        self._return_expired(use, now)
        own = self.own_address
        if own not in self._owners(use.name) or use.is_empty(own, now):
            return None
        answer = self.ledger.answer(0, use.name, 0, now)
        if not answer.granted:
            use.record_empty(own, answer, now)
            return None
        use.unsettled.discard(own)
        return Token(use.name, own, answer.epoch, now + LEASE_TIME)

    async def _ask_owners(
        self, use: WorkspaceUse, workspace: Workspace
    ) -> Token | QuotaRefusal:
        silent = 0
        candidates = self._candidates(use)[:_MAX_ASKS]
        for asked in candidates:
            pending = await self.requests.ask(use, asked)
            if pending.token is not None:
                return pending.token
            silent += not pending.is_answered.is_set()
            if silent >= _MAX_SILENT:
                break
        now = self.clock.now()
        owners = self._owners(use.name)
        unreached = sum(
            owner in use.unsettled or self.requests.contacts.is_silent(owner)
            for owner in owners
        )
        if unreached or not owners:
            token = self._take_fallback(use, workspace, now)
            if token is not None:
                return token
        return QuotaRefusal(use.expected_wait(now), len(candidates), unreached)

    def _refresh(self, use: WorkspaceUse) -> None:
        """Ask ahead of need if few tokens are left; no call waits for it."""
        ahead = use.ahead()
        if use.is_refreshing or len(use.tokens) * 2 >= ahead:
            return
        candidates = self._candidates(use)
        if candidates:
            use.is_refreshing = True
            self.requests.request(use, candidates[0], ahead - 1)

    def _take_fallback(
        self, use: WorkspaceUse, workspace: Workspace, now: Millis
    ) -> Token | None:
        """Admit a call without contact, within a part of the bound's slack."""
        bounds = self.ledger.bounds
        per_daemon = (
            bounds.fallback_calls(workspace) / self.ownership.supposed_size()
        )
        allowed = int(per_daemon)
        if is_chosen(use.name, self.own_address, per_daemon - allowed):
            allowed += 1
        token = use.take_fallback(allowed, bounds.window, now)
        if token is not None:
            self.metrics.count(Metric.QUOTA_FALLBACK)
        return token

    def _return_expired(self, use: WorkspaceUse, now: Millis) -> None:
        for token in use.pop_expired(now):
            self._return_to_owner(token)

    def _return_to_owner(self, token: Token) -> None:
        if token.owner == self.own_address:
            self.ledger.put_back(token.workspace, 1, token.epoch)
        elif token.owner:
            self.requests.send(
                token.owner, QuotaReturn(token.workspace, 1, token.epoch)
            )

    def _candidates(self, use: WorkspaceUse) -> list[str]:
        domains = self.ownership.daemons.domains
        others = {
            owner: domains[owner]
            for owner in self._owners(use.name)
            if owner != self.own_address
        }
        return self.requests.candidates(use, others, self.failure_domain)

    def _owners(self, name: str) -> tuple[str, ...]:
        workspace = self.find_workspace(name)
        if workspace is None:
            return ()
        return self.ownership.daemons.owners(name, workspace.rate)
