"""Probes the health pages of upstreams for their load."""

import contextlib
import logging

import anyio

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._connection import Connection
from cowslippond_core._dialect import AnswerMetadata, Dialect, LoadReport
from cowslippond_core._exchange import Exchange
from cowslippond_core._hooks import SendingHooks
from cowslippond_core._upstreams import LoadReading, Upstream

_logger = logging.getLogger(__name__)

# An answer that takes longer does not describe the current load.
_PROBE_TIMEOUT: Millis = 150

_PROBE_TIME_WEIGHT = 0.2
_OK_STATUS = 200


def store_reading(
    upstream: Upstream,
    report: LoadReport,
    sent_at: Millis,
    now: Millis,
    *,
    is_healthy: bool,
) -> None:
    """Store the load that an upstream reported.

    :param sent_at: when the request for the report was sent.
    :param now: when the answer arrived.
    """
    upstream.load_state.reading = LoadReading(
        probed_at=sent_at,
        received_at=now,
        running=report.running,
        waiting=report.waiting,
        slots=report.slots,
        slowness=report.slowness,
        is_healthy=is_healthy,
    )


class LoadProber:
    """Requests the health pages of upstreams and stores the reported loads.

    ``reports_load`` becomes false when an upstream answers without its load.

    :param clock: timestamps the load readings.
    :param dialect: decodes the load from the answer's headers.
    :param path: the path of the health page.
    :param hooks: receive what the answers announce.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        path: str,
        hooks: SendingHooks | None = None,
    ) -> None:
        self.clock = clock
        self.dialect = dialect
        self.path = path
        self.hooks = hooks
        self.reports_load = True

    async def probe(
        self, upstream: Upstream, *, is_fresh: bool = False
    ) -> bool:
        """Probe an upstream; return whether there is a new load reading.

        :param is_fresh: whether to use a new connection.
        """
        with anyio.move_on_after(seconds_of(_PROBE_TIMEOUT)):
            return await self._probe(upstream, is_fresh)
        upstream.reach.record_silence(upstream.address)
        return False

    async def probe_new_connection(self, upstream: Upstream) -> None:
        """Learn whether an upstream accepts a connection and answers."""
        await self.probe(upstream, is_fresh=True)

    async def _probe(self, upstream: Upstream, is_fresh: bool) -> bool:
        acquired = await upstream.connections.acquire(is_fresh=is_fresh)
        if acquired.is_error():
            upstream.reach.record_connect_failure(
                upstream.address,
                has_open_connections=bool(upstream.connections.open),
            )
            return False
        connection = acquired.ok
        is_new_connection = connection.calls == 0
        exchange = Exchange(is_head=False)
        sent_at = self.clock.now()
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(upstream.connections.end_call, connection)
            await self._request(connection, exchange, upstream)
        if not exchange.is_complete:
            upstream.reach.record_silence(upstream.address)
            return False
        upstream.reach.record_answer(is_new_connection=is_new_connection)
        metadata = self.dialect.read_answer(
            exchange.status, tuple(exchange.headers)
        )
        return self._store_answer(upstream, metadata, exchange.status, sent_at)

    async def _request(
        self, connection: Connection, exchange: Exchange, upstream: Upstream
    ) -> None:
        connection.begin_call(exchange)
        await connection.send(
            b'GET %b HTTP/1.1\r\nhost: %b\r\n\r\n'
            % (self.path.encode(), upstream.address.encode())
        )
        await exchange.wait_buffered()

    def _store_announcements(
        self, upstream: Upstream, metadata: AnswerMetadata, sent_at: Millis
    ) -> None:
        if self.hooks is None:
            return
        if upstream.load_state.warm_up is not None:
            self.hooks.record_warm_up(upstream, metadata.warm_up, sent_at)
        if metadata.rate_limit is not None:
            self.hooks.record_rate_limit(upstream, metadata.rate_limit)
        if metadata.is_leaving and not upstream.is_removed:
            self.hooks.mark_leaving(upstream.address, 'probe')

    def _store_answer(
        self,
        upstream: Upstream,
        metadata: AnswerMetadata,
        status: int,
        sent_at: Millis,
    ) -> bool:
        if metadata.request_id is not None:
            _logger.info(
                'probe got the answer of a call',
                extra={'upstream': upstream.vm.name},
            )
            return False
        if metadata.vm is not None and metadata.vm != upstream.vm.name:
            _logger.info(
                'probe was answered by a different VM than expected',
                extra={'upstream': upstream.vm.name, 'answered': metadata.vm},
            )
            return False
        self._store_announcements(upstream, metadata, sent_at)
        if metadata.idle_timeout is not None:
            upstream.connections.update_idle_timeout(metadata.idle_timeout)
        now = self.clock.now()
        upstream.load_state.probe_time += _PROBE_TIME_WEIGHT * (
            now - sent_at - upstream.load_state.probe_time
        )
        if metadata.load is None:
            self.reports_load = False
            return False
        store_reading(
            upstream,
            metadata.load,
            sent_at,
            now,
            is_healthy=status == _OK_STATUS,
        )
        return True
