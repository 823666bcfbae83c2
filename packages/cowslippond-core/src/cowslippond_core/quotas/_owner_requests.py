"""Requests for tokens to the daemons that own shares of a quota."""

import random
from collections.abc import Callable, Mapping

import anyio

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core.quotas._bounds import LEASE_TIME
from cowslippond_core.quotas._messages import (
    QuotaAnswer,
    QuotaMessage,
    QuotaRequest,
)
from cowslippond_core.quotas._owner_contacts import OwnerContacts
from cowslippond_core.quotas._workspace_use import Token, WorkspaceUse

#: How long a call waits for the answer of one owner. Answers take less than a
#: millisecond, and some milliseconds while the owner is busy.
ASK_TIMEOUT: Millis = 30

# Requests without an answer are forgotten after this time.
_PENDING_TIME: Millis = 2000


class PendingRequest:
    """A request without an answer yet.

    ``token`` is what the answer brought for the call that waits for it.
    """

    def __init__(
        self, use: WorkspaceUse, owner: str, now: Millis, *, has_waiter: bool
    ) -> None:
        self.use = use
        self.owner = owner
        self.sent_at = now
        self.has_waiter = has_waiter
        self.is_answered = anyio.Event()
        self.token: Token | None = None


class OwnerRequests:
    """Asks the owners of shares for tokens.

    :param send: sends a datagram to a daemon.
    :param clock: the clock of all times.
    :param rng: chooses owners.
    :param metrics: counts requests.
    :param first_number: where the numbers of requests start. It differs between
        runs, as an owner that was paused may answer requests of an earlier run
        of this daemon, which were for other workspaces.
    """

    def __init__(
        self,
        send: Callable[[str, QuotaMessage], None],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        first_number: int,
    ) -> None:
        self.send = send
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.contacts = OwnerContacts()
        self.pending: dict[int, PendingRequest] = {}
        self.last_number = first_number

    def candidates(
        self, use: WorkspaceUse, owners: Mapping[str, str], domain: str
    ) -> list[str]:
        """Return the owners to ask, those in this failure domain first.

        Silent owners are asked again from time to time; no call waits for
        their answers.

        :param owners: the failure domains of the other owners, by address.
        :param domain: the failure domain of this daemon.
        """
        now = self.clock.now()
        candidates = []
        for owner in owners:
            if self.contacts.should_probe(owner, now):
                self.request(use, owner, 0)
            if self.contacts.is_silent(owner) or use.is_empty(owner, now):
                continue
            candidates.append(owner)
        self.rng.shuffle(candidates)
        candidates.sort(key=lambda one: owners[one] != domain)
        return candidates

    async def ask(self, use: WorkspaceUse, owner: str) -> PendingRequest:
        """Ask an owner for a token and wait for the answer."""
        pending = self.request(use, owner, use.ahead(), has_waiter=True)
        try:
            with anyio.move_on_after(seconds_of(ASK_TIMEOUT)):
                await pending.is_answered.wait()
        except BaseException:
            # The caller is gone: another call may use the token.
            if pending.token is not None:
                use.tokens.append(pending.token)
            raise
        finally:
            pending.has_waiter = False
        if not pending.is_answered.is_set():
            self.metrics.count(Metric.QUOTA_TIMEOUTS)
            self.contacts.record_silence(owner, self.clock.now())
        return pending

    def request(
        self,
        use: WorkspaceUse,
        owner: str,
        ahead: int,
        *,
        has_waiter: bool = False,
    ) -> PendingRequest:
        """Ask an owner for a token and some ahead, without waiting."""
        pending = PendingRequest(
            use, owner, self.clock.now(), has_waiter=has_waiter
        )
        self.last_number += 1
        self.pending[self.last_number] = pending
        self.metrics.count(Metric.QUOTA_REQUESTS)
        self.send(owner, QuotaRequest(self.last_number, use.name, ahead))
        return pending

    def receive(self, sender: str, answer: QuotaAnswer) -> None:
        """Apply the answer of an owner, even if it is late."""
        pending = self.pending.get(answer.number)
        if pending is None or pending.owner != sender:
            return
        self._forget(answer.number)
        self.contacts.record_answer(sender)
        now = self.clock.now()
        if answer.granted:
            pending.use.unsettled.discard(sender)
            self._add_tokens(pending, answer, now)
        else:
            pending.use.record_empty(sender, answer, now)
        pending.is_answered.set()

    def sweep(self) -> None:
        """Forget requests that have had no answer for long."""
        now = self.clock.now()
        for number, pending in tuple(self.pending.items()):
            if now - pending.sent_at > _PENDING_TIME:
                self._forget(number)

    def _add_tokens(
        self, pending: PendingRequest, answer: QuotaAnswer, now: Millis
    ) -> None:
        """Keep the tokens of an answer, the first one for the call that waits.

        Their validity counts from the request: the answer may have been on its
        way while this daemon was paused.
        """
        token = Token(
            pending.use.name,
            pending.owner,
            answer.epoch,
            pending.sent_at + LEASE_TIME,
        )
        spare = answer.granted
        if pending.has_waiter and token.expires_at > now:
            pending.token = token
            spare -= 1
        pending.use.tokens.extend(token for _ in range(spare))

    def _forget(self, number: int) -> None:
        pending = self.pending.pop(number)
        if not pending.has_waiter:
            pending.use.is_refreshing = False
