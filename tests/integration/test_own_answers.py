"""Every caller receives the complete answer to its own request.

The tests cover late, truncated and missing answers of upstreams, and requests
with ambiguous framing.
"""

import os
from collections import Counter
from functools import partial

import anyio
import pytest
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import (
    DaemonHandle,
    LinkHandle,
    UpstreamHandle,
    UpstreamPlan,
)
from cowslippond_standins.upstream._request import expected_body
from integration.client import DOMAINS, Reply, apply, call
from integration.shop import DOCUMENT, SERVICE

pytestmark = pytest.mark.anyio

MEBIBYTE = 1024 * 1024
LATER_NONCES = tuple(f'after-{index}' for index in range(10, 22))
SIZES = (0, 1, 65_535, 65_536, 65_537, MEBIBYTE)


class ProxiedPath:
    """A daemon and the upstreams that it reaches through the fault proxy."""

    def __init__(
        self,
        deployment: Deployment,
        daemon: DaemonHandle,
        links: list[LinkHandle],
        upstreams: list[UpstreamHandle],
    ) -> None:
        self.deployment = deployment
        self.daemon = daemon
        self.links = links
        self.upstreams = upstreams

    async def look_up(self, nonce: str, size: int = 64, **query: int) -> Reply:
        """Send a lookup, whose answer body follows from nonce and size."""
        fields = {'nonce': nonce, 'size': size, 'work': 5, **query}
        target = '&'.join(f'{name}={text}' for name, text in fields.items())
        return await call(self.daemon.caller_address, path=f'/look?{target}')

    async def send_raw(self, request: bytes) -> bytes:
        """Send bytes on a new connection and read until it is closed."""
        address = self.daemon.caller_address
        stream = await anyio.connect_tcp(address.host, address.port)
        chunks = []
        async with stream:
            await stream.send(request)
            with anyio.move_on_after(5):
                async for chunk in stream:
                    chunks.append(chunk)
        return b''.join(chunks)

    async def count_repeats(self) -> int:
        """Return how many retries and hedged copies the daemon sent."""
        counters = (await self.daemon.status())['counters']
        return sum(
            count
            for name, count in counters.items()
            if name.startswith('retries.')
        )

    async def count(self, name: str) -> int:
        """Return the sum of a counter over all links."""
        found: Counter[str] = Counter()
        for link in self.links:
            found.update(await self.deployment.proxy.counters(link))
        return found[name]


async def start_proxied_path(
    deployment: Deployment, upstreams: int = 1
) -> ProxiedPath:
    """Start a daemon, and upstreams behind links of the fault proxy."""
    handles = await deployment.add_upstreams(
        UpstreamPlan(SERVICE, mean_ms=5),
        [DOMAINS[index % len(DOMAINS)] for index in range(upstreams)],
        queue=16,
    )
    links = []
    for handle in handles:
        link = await deployment.proxy.open(handle.vm, handle.address)
        await deployment.platform.control('remove_vm', vm=handle.vm)
        await deployment.register_upstream(
            handle._replace(listed_address=link.address)
        )
        links.append(link)
    await apply(deployment, DOCUMENT)
    daemon = await deployment.add_daemon(DOMAINS[0])
    await deployment.wait_serving(daemon)
    return ProxiedPath(deployment, daemon, links, handles)


def encode_get(target: str, *, is_last: bool) -> bytes:
    """Return the bytes of a lookup request."""
    end = 'Connection: close\r\n\r\n' if is_last else '\r\n'
    head = f'GET {target} HTTP/1.1\r\nHost: shop.example\r\n'
    return (head + end).encode()


async def record_reply(
    replies: dict[str, Reply], path: ProxiedPath, nonce: str, **query: int
) -> None:
    replies[nonce] = await path.look_up(nonce, **query)


class TestBodies:
    @pytest.mark.parametrize('chunked', [0, 1])
    async def test_answers_of_all_sizes_are_complete(
        self, deployment: Deployment, chunked: int
    ) -> None:
        path = await start_proxied_path(deployment)
        for size in SIZES:
            reply = await path.look_up('abc', size, chunked=chunked)
            assert reply.status == 200
            assert reply.body == expected_body('abc', size)

    async def test_largest_bodies_both_ways(
        self, deployment: Deployment
    ) -> None:
        """64 MiB pass each way; the daemon grows by less than 16 MiB."""
        path = await start_proxied_path(deployment)
        size = 64 * MEBIBYTE
        before = resident_bytes(path.daemon)
        reply = await path.look_up('large', size)
        assert reply.body == expected_body('large', size)
        sent = await call(
            path.daemon.caller_address,
            'PUT',
            '/store?nonce=kept&work=1',
            body=os.urandom(MEBIBYTE) * 64,
        )
        assert sent.status == 200
        assert sent.headers['x-body-length'] == str(size)
        growth = resident_bytes(path.daemon) - before
        assert growth < 16 * MEBIBYTE


def resident_bytes(daemon: DaemonHandle) -> int:
    """Return the resident memory of a daemon's process, in bytes."""
    pid = daemon.child.popen.pid
    with open(f'/proc/{pid}/statm') as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


class TestLateAnswers:
    async def test_late_answer_is_not_sent_to_another_call(
        self, deployment: Deployment
    ) -> None:
        """An answer that arrives after the deadline is discarded."""
        path = await start_proxied_path(deployment)
        assert (await path.look_up('warm')).status == 200
        proxy, link = deployment.proxy, path.links[0]
        await proxy.command('faults', link, holding=True)
        late = await call(
            path.daemon.caller_address,
            path='/look?nonce=late&size=64&work=5',
            headers={'x-deadline-ms': '300'},
        )
        assert late.outcome == 'unknown'
        await proxy.command('faults', link, holding=False)
        replies: dict[str, Reply] = {}
        async with anyio.create_task_group() as tasks:
            for index in range(20):
                nonce = f'own-{index}'
                tasks.start_soon(record_reply, replies, path, nonce)
            await proxy.command('release', link)
        assert await path.count('held') > 0
        for nonce, reply in replies.items():
            assert reply.status == 200
            assert reply.body == expected_body(nonce, 64)

    @pytest.mark.parametrize('chunked', [0, 1])
    async def test_truncated_answer_does_not_end_cleanly(
        self, deployment: Deployment, chunked: int
    ) -> None:
        """The caller can detect that an answer was truncated."""
        path = await start_proxied_path(deployment)
        await path.upstreams[0].change(truncate=1)
        target = f'/look?nonce=cut&size=200000&work=1&chunked={chunked}'
        received = await path.send_raw(encode_get(target, is_last=True))
        ledger = await path.upstreams[0].ledger()
        assert ledger['counters']['truncated'] == 1
        head, _, body = received.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        assert len(body) < 200_000
        assert not received.endswith(b'0\r\n\r\n')


class TestSilentConnections:
    async def test_old_connections_go_silent_while_new_ones_work(
        self, deployment: Deployment
    ) -> None:
        """Lookups are answered over new connections; orders are unaffected."""
        path = await start_proxied_path(deployment)
        replies: dict[str, Reply] = {}
        async with anyio.create_task_group() as tasks:
            for index in range(12):
                tasks.start_soon(
                    partial(record_reply, replies, path, f'w{index}', work=50)
                )
        assert {reply.status for reply in replies.values()} == {200}
        await deployment.proxy.command('silence', path.links[0])
        assert await path.count('silenced') > 0
        order = await call(
            path.daemon.caller_address,
            'POST',
            '/orders?nonce=receipt&work=5',
            headers={'idempotency-key': 'k1', 'x-caller': 'till-1'},
        )
        assert (order.status, order.body) == (200, b'receipt')
        assert (await path.look_up('first')).status == 200
        await self._look_up_all(path)
        # The first silent call takes all older connections out of use.
        repeats = await path.count_repeats()
        assert repeats > 0
        await self._look_up_all(path)
        assert await path.count_repeats() == repeats

    async def _look_up_all(self, path: ProxiedPath) -> None:
        replies: dict[str, Reply] = {}
        async with anyio.create_task_group() as tasks:
            for nonce in LATER_NONCES:
                tasks.start_soon(record_reply, replies, path, nonce)
        for nonce, reply in replies.items():
            assert (reply.status, reply.body) == (200, expected_body(nonce, 64))


class TestSmuggling:
    @pytest.mark.parametrize(
        'head',
        [
            'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
            'Content-Length: 3\r\nContent-Length: 4\r\n',
            'Transfer-Encoding: chunked, identity\r\n',
            'Content-Length : 3\r\n',
            'X-Folded: a\r\n b\r\nContent-Length: 0\r\n',
        ],
    )
    async def test_doubtful_framing_is_refused(
        self, deployment: Deployment, head: str
    ) -> None:
        path = await start_proxied_path(deployment)
        request = f'POST /look HTTP/1.1\r\nHost: shop.example\r\n{head}\r\n'
        received = await path.send_raw(f'{request}0\r\n\r\n'.encode())
        assert received.startswith(b'HTTP/1.1 400')
        assert not await deployment.runs()

    async def test_bad_chunk_size_runs_nothing(
        self, deployment: Deployment
    ) -> None:
        path = await start_proxied_path(deployment)
        received = await path.send_raw(
            b'POST /look HTTP/1.1\r\nHost: shop.example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n'
        )
        assert not received.startswith(b'HTTP/1.1 200')
        assert not await deployment.runs()

    async def test_pipelined_calls_get_their_own_answers_in_order(
        self, deployment: Deployment
    ) -> None:
        path = await start_proxied_path(deployment, upstreams=3)
        nonces = [f'pipe-{index}' for index in range(6)]
        requests = [
            encode_get(
                f'/look?nonce={nonce}&size=16&work={work}',
                is_last=nonce == nonces[-1],
            )
            for nonce, work in zip(nonces, (60, 50, 40, 30, 20, 10))
        ]
        received = await path.send_raw(b''.join(requests))
        positions = [
            received.find(expected_body(nonce, 16)) for nonce in nonces
        ]
        assert -1 not in positions
        assert positions == sorted(positions)
