"""Limits the calls to cold upstreams, over all daemons together."""

import logging
import math
from collections.abc import Iterable
from typing import NamedTuple

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._rate_limit import RateLimit
from cowslippond_core._upstreams import Upstream
from cowslippond_core._warm_up import WarmUp
from cowslippond_core.placing import LimitDivision

_logger = logging.getLogger(__name__)

# Rows of cold upstreams share the table of rate limits. Older releases ignore
# the keys, as they name no upstream.
_KEY_PREFIX = 'cold '
_COLD = 'cold'

# Calls per second of one daemon to a cold upstream. Below 1, it sends at most one
# in any second, so the bound of a second is a bound on the number of daemons.
_HOLDER_RATE = 0.95

# The part of the bound that is used while lists of daemons may differ: the two
# sides of a partition may each have their own holders.
_SAFE_PART = 0.5

# The part that is used otherwise. The rest is left to calls that arrive later
# than they were sent, so that two of one daemon fall into the same second, and
# to daemons that have just started.
_CERTAIN_PART = 0.65

# A list of daemons is certain if it holds the configured seeds and this share of
# the most daemons known within the memory time, which exceeds the time for which
# unreachable daemons stay listed in a large fleet.
_CERTAIN_SHARE = 0.95
_MEMORY_TIME: Millis = 600_000

# A daemon that starts knows nearly all others after this time.
_CERTAINTY_AGE: Millis = 15_000

# A daemon that starts learns meanwhile how many others there are.
_DISCOVERY_TIME: Millis = 2000

# After a warm-up, the number of daemons that send calls doubles in this time.
_RAMP_INTERVAL: Millis = 500

# A longer warm-up is taken for a mistake; the upstream then says so again.
_MAX_WARM_UP: Millis = 600_000

# An answer that says that an upstream is cold may have expired if it arrives
# after that time. Answers on slow links with a short rest of the warm-up are
# still believed, as the rate would jump at the end otherwise.
_MIN_EXPIRED_AGE: Millis = 500

# Peers hear again of a warm-up whose end has moved by more than this.
_MIN_CHANGE: Millis = 500
_END_ROW_LIFE: Millis = 5000


class WarmUpBounds(NamedTuple):
    """The bound of calls to a cold upstream from all daemons.

    In any second, it gets at most ``overshoot`` times the rate that it
    tolerates, plus ``slack`` calls.
    """

    overshoot: float = 1.5
    slack: float = 8


class WarmUps:
    """Divides the rates of cold upstreams among the daemons.

    :param table: the gossip table that tells the others of cold upstreams.
    :param division: chooses the daemons that hold a part of a rate.
    :param clock: the clock of all times.
    """

    def __init__(
        self, table: GossipTable, division: LimitDivision, clock: Clock
    ) -> None:
        self.table = table
        self.division = division
        self.clock = clock
        self.bounds = WarmUpBounds()
        # The addresses that every complete list of daemons contains.
        self.seeds: Iterable[str] = ()
        self.opens_at = clock.now() + _DISCOVERY_TIME
        self.certain_at = clock.now() + _CERTAINTY_AGE
        self.most_daemons = 0
        self.most_daemons_at: Millis = -math.inf
        self.is_certain = False

    def record_reading(
        self, upstream: Upstream, remaining: Millis | None, sent_at: Millis
    ) -> None:
        """Apply what an upstream says in an answer.

        A health answer that does not say ends a warm-up that was only presumed:
        warm upstreams may leave the header out.

        :param remaining: for how much longer it is cold, in milliseconds, or
            ``None`` if the answer does not say.
        :param sent_at: when the request was sent. A paused daemon receives the
            answer much later, so that it no longer holds.
        """
        state = upstream.load_state.warm_up
        if state is None or sent_at < state.told_at:
            return
        now = self.clock.now()
        if remaining is None and state.is_cold(now) and not state.is_presumed:
            return
        # The upstream may have turned cold since, and all peers would be told
        # that it is warm.
        if not remaining and sent_at < state.presumed_at:
            return
        state.told_at = sent_at
        if remaining and now - sent_at >= max(remaining, _MIN_EXPIRED_AGE):
            if not state.is_cold(now):
                self._begin(upstream, state, remaining, 'expired answer')
            return
        if remaining:
            self._begin(upstream, state, remaining, 'answer')
            state.is_presumed = False
            self._publish(upstream, state)
            return
        state.warm_at = sent_at
        if state.is_cold(now):
            self._record_warm(upstream, state)

    def receive(self, row: GossipRow, by_key: dict[str, Upstream]) -> bool:
        """Apply what another daemon has heard.

        :return: whether the row tells of a warm-up.
        """
        if not row.key.startswith(_KEY_PREFIX):
            return False
        upstream = by_key.get(row.key.removeprefix(_KEY_PREFIX))
        if upstream is None:
            return True
        state = upstream.load_state.warm_up
        if state is None:
            return True
        if row.text == _COLD:
            self._begin(upstream, state, row.remaining, 'peer')
        elif state.is_cold(self.clock.now()):
            self._end(upstream, state, 'peer')
        return True

    def presume(self, upstreams: Iterable[Upstream]) -> None:
        """Take upstreams for cold until they say otherwise."""
        for upstream in upstreams:
            state = upstream.load_state.warm_up
            if state is not None:
                state.warm_at = -math.inf
                self._begin(
                    upstream, state, state.policy.duration, 'evacuation'
                )

    def update(self, by_key: dict[str, Upstream]) -> None:
        """Apply changes of daemons and entries, and the progress of time."""
        self._update_certainty()
        for key, upstream in by_key.items():
            state = upstream.load_state.warm_up
            if state is None:
                continue
            self._apply_entry(key, upstream, state)
            if state.limit is not None:
                self._update_limit(key, upstream, state)

    def names(self, upstreams: Iterable[Upstream]) -> list[str]:
        """Return the names of the cold ones among upstreams, sorted."""
        now = self.clock.now()
        return sorted(
            upstream.vm.name
            for upstream in upstreams
            if upstream.load_state.warm_up is not None
            and upstream.load_state.warm_up.is_cold(now)
        )

    def _update_certainty(self) -> None:
        """Learn whether the other daemons have the same list of daemons."""
        now = self.clock.now()
        listed = len(self.division.ring)
        known = max(listed, self.division.daemon_count)
        is_outdated = now - self.most_daemons_at > _MEMORY_TIME
        if known >= self.most_daemons or is_outdated:
            self.most_daemons = known
            self.most_daemons_at = now
        self.is_certain = (
            now >= self.certain_at
            and listed >= _CERTAIN_SHARE * self.most_daemons
            and self.division.members.issuperset(self.seeds)
        )

    def _apply_entry(self, key: str, upstream: Upstream, state: WarmUp) -> None:
        """Apply a new entry of the upstream, and what peers told before it."""
        vm = upstream.vm
        if state.listed_at == vm.listed_at:
            return
        state.listed_at = vm.listed_at
        now = self.clock.now()
        remaining = vm.listed_at + vm.warm_up - now
        if vm.warm_up and remaining > 0:
            self._begin(upstream, state, remaining, 'entry')
        row_key = f'{_KEY_PREFIX}{key}'
        if self.table.text_of(row_key) == _COLD:
            ends_at = self.table.stored[row_key].expires_at
            self._begin(upstream, state, ends_at - now, 'peer')

    def _update_limit(
        self, key: str, upstream: Upstream, state: WarmUp
    ) -> None:
        now = self.clock.now()
        holders: float = self._count_holders(state)
        if state.is_cold(now):
            self._set_share(key, state, holders)
            return
        if state.ended_at < state.cold_until:
            self._end(upstream, state, 'expiry')
            return
        holders *= 2 ** ((now - state.ended_at) / _RAMP_INTERVAL)
        if holders >= max(len(self.division.ring), self.division.daemon_count):
            state.limit = None
            return
        self._set_share(key, state, holders)

    def _set_share(self, key: str, state: WarmUp, holders: float) -> None:
        if state.limit is not None:
            share = self._share(key, holders)
            rate = holders * _HOLDER_RATE
            state.limit.update(rate, share, self.clock.now())

    def _begin(
        self, upstream: Upstream, state: WarmUp, remaining: Millis, source: str
    ) -> None:
        """Limit the calls to an upstream that is, or may be, cold.

        The bucket starts empty: calls may be on their way. What this daemon did
        not hear from the upstream itself may be outdated.
        """
        now = self.clock.now()
        was_cold = state.is_cold(now)
        ends_at = now + min(remaining, _MAX_WARM_UP)
        if not was_cold:
            state.is_presumed = True
        if state.is_presumed and source != 'answer':
            state.presumed_at = now
        if source != 'answer' and was_cold:
            ends_at = max(ends_at, state.cold_until)
        state.cold_until = ends_at
        upstream.warmed_up_at = ends_at
        if was_cold:
            return
        holders = self._count_holders(state)
        rate = holders * _HOLDER_RATE
        share = self._share(key_of(upstream), holders)
        state.limit = RateLimit(rate, share, now, math.inf, self.opens_at)
        _logger.info(
            'upstream is cold',
            extra={
                'upstream': upstream.vm.name,
                'remaining_ms': round(remaining),
                'rate': round(rate, 2),
                'own_share': round(share, 3),
                'source': source,
            },
        )

    def _record_warm(self, upstream: Upstream, state: WarmUp) -> None:
        if state.is_presumed:
            # It did not have to warm up, so the rate has nothing to ramp from.
            state.limit = None
        self._end(upstream, state, 'answer')
        row_key = f'{_KEY_PREFIX}{key_of(upstream)}'
        if self.table.text_of(row_key) == _COLD:
            self.table.put(row_key, '', _END_ROW_LIFE)

    def _end(self, upstream: Upstream, state: WarmUp, source: str) -> None:
        now = self.clock.now()
        state.cold_until = min(state.cold_until, now)
        state.ended_at = now
        state.is_presumed = False
        upstream.warmed_up_at = state.cold_until
        _logger.info(
            'warm-up of an upstream has ended',
            extra={'upstream': upstream.vm.name, 'source': source},
        )

    def _publish(self, upstream: Upstream, state: WarmUp) -> None:
        row_key = f'{_KEY_PREFIX}{key_of(upstream)}'
        if self.table.text_of(row_key) == _COLD:
            known_end = self.table.stored[row_key].expires_at
            if abs(known_end - state.cold_until) <= _MIN_CHANGE:
                return
        remaining = state.cold_until - self.clock.now()
        self.table.put(row_key, _COLD, remaining)

    def _share(self, key: str, holders: float) -> float:
        return _HOLDER_RATE if self.division.is_holder(key, holders) else 0

    def _count_holders(self, state: WarmUp) -> int:
        bounds = self.bounds
        bound = state.policy.rate * bounds.overshoot + bounds.slack
        part = _CERTAIN_PART if self.is_certain else _SAFE_PART
        return max(int(bound * part), 1)


def key_of(upstream: Upstream) -> str:
    """Return what identifies this start of an upstream on all daemons."""
    incarnation = upstream.vm.incarnation
    return f'{upstream.address} {incarnation}'
