"""Keeps to the call rates that upstreams announce, over all daemons together."""

import logging
import math
import random
from collections.abc import Callable, Iterable

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._rate_limit import RateLimit
from cowslippond_core._upstreams import Upstream
from cowslippond_core.dispatch._warm_ups import WarmUps, key_of
from cowslippond_core.placing import LimitDivision

_logger = logging.getLogger(__name__)

#: The gossip table with the rate limits that upstreams announce.
RATE_LIMIT_TABLE = 'rate_limits'

_UPDATE_INTERVAL: Millis = 500

# Daemons without a share of a limit do not call the upstream and hear of the end
# from the others. If nobody calls it, the limit is forgotten after this time.
_LIMIT_LIFE: Millis = 15_000

# The limit is passed on again when the row has at most this time left.
_RENEWAL_AGE: Millis = 10_000

# Daemons forget a limit at random times within this span, so that the first
# that calls the upstream again can tell the others that it still applies.
_MAX_FORGET_SPAN: Millis = 60_000
_MIN_RATE = 0.1
_MILLIS_PER_SECOND = 1000


class SharedRateLimits:
    """Applies the rate limits that upstreams announce to any daemon.

    Cold upstreams are limited in the same way, see :class:`WarmUps`.

    :param table: the gossip table that distributes the limits.
    :param own_address: the address by which the other daemons know this one.
    :param list_daemons: returns the addresses of the other daemons.
    :param count_daemons: returns how many daemons run, including this one.
    :param clock: the clock of all times.
    :param rng: randomizes when a limit is forgotten.
    """

    def __init__(
        self,
        table: GossipTable,
        own_address: str,
        list_daemons: Callable[[], Iterable[str]],
        count_daemons: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.division = LimitDivision(own_address)
        self.list_daemons = list_daemons
        self.count_daemons = count_daemons
        self.clock = clock
        self.rng = rng
        self.by_key: dict[str, Upstream] = {}
        self.warm_ups = WarmUps(table, self.division, clock)
        table.listeners.append(self.receive)

    async def run(
        self, list_upstreams: Callable[[], Iterable[Upstream]]
    ) -> None:
        """Update the limits and this daemon's shares until cancelled.

        :param list_upstreams: returns the upstreams in use.
        """
        while True:
            self.update(list_upstreams())
            await self.clock.sleep(_UPDATE_INTERVAL)

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Apply changes of the daemons and upstreams, and forget old limits."""
        now = self.clock.now()
        self.by_key = {key_of(one): one for one in upstreams}
        self.division.update(self.list_daemons(), self.count_daemons())
        for row in self.table.rows():
            upstream = self.by_key.get(row.key)
            if upstream is not None and upstream.load_state.rate_limit is None:
                self.receive(row)
        for key, upstream in self.by_key.items():
            limit = upstream.load_state.rate_limit
            if limit is None:
                continue
            if limit.expires_at <= now:
                self._lift(upstream, 'expiry')
                continue
            share = self.division.share_of(key, limit.rate)
            limit.update(limit.rate, share, now)
        self.warm_ups.update(self.by_key)

    def count(self) -> int:
        """Return the number of upstreams with a limit."""
        return sum(
            one.load_state.rate_limit is not None
            for one in self.by_key.values()
        )

    def cold_upstreams(self) -> list[str]:
        """Return the names of the upstreams that are cold or may be."""
        return self.warm_ups.names(self.by_key.values())

    def record_answer(self, upstream: Upstream, rate: float | None) -> None:
        """Apply what an upstream announces in an answer to a call.

        :param rate: the calls per second that it accepts from all daemons, or
            ``None`` if it announces no limit.
        """
        key = key_of(upstream)
        if rate is None:
            if upstream.load_state.rate_limit is not None:
                self._lift(upstream, 'answer')
                self.table.put(key, '', _LIMIT_LIFE)
            return
        text = f'{rate:.3f}'
        self._apply(upstream, float(text), 'answer')
        renewed_until = self.clock.now() + _RENEWAL_AGE
        if self.table.text_of(key) != text or not self.table.is_alive(
            key, renewed_until
        ):
            self.table.put(key, text, _LIMIT_LIFE)

    def receive(self, row: GossipRow) -> None:
        """Apply a limit that another daemon has heard of."""
        if self.warm_ups.receive(row, self.by_key):
            return
        upstream = self.by_key.get(row.key)
        if upstream is None:
            return
        if not row.text:
            if upstream.load_state.rate_limit is not None:
                self._lift(upstream, 'peer')
            return
        rate = _parse_rate(row.text)
        if rate is None:
            _logger.warning(
                'cannot parse a rate limit from a peer',
                extra={'upstream': upstream.vm.name, 'text': row.text},
            )
            return
        self._apply(upstream, rate, 'peer')

    def _apply(self, upstream: Upstream, rate: float, source: str) -> None:
        now = self.clock.now()
        share = self.division.share_of(key_of(upstream), rate)
        expires_at = now + _LIMIT_LIFE + self._forget_delay(rate)
        limit = upstream.load_state.rate_limit
        if limit is not None and limit.rate == rate:
            limit.expires_at = expires_at
            return
        if limit is None:
            limit = RateLimit(rate, share, now, expires_at)
            upstream.load_state.rate_limit = limit
        limit.update(rate, share, now)
        limit.expires_at = expires_at
        _logger.info(
            'upstream announced a rate limit',
            extra={
                'upstream': upstream.vm.name,
                'rate': rate,
                'own_share': round(share, 3),
                'source': source,
            },
        )

    def _forget_delay(self, rate: float) -> Millis:
        span = self.count_daemons() / max(rate, _MIN_RATE) * _MILLIS_PER_SECOND
        return self.rng.random() * min(span, _MAX_FORGET_SPAN)

    def _lift(self, upstream: Upstream, source: str) -> None:
        upstream.load_state.rate_limit = None
        _logger.info(
            'rate limit of an upstream has ended',
            extra={'upstream': upstream.vm.name, 'source': source},
        )


def _parse_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
