"""The limits of the configuration on callers' headers and bodies."""

import anyio
import pytest
from anyio.abc import SocketStream
from cowslippond_core import seconds_of
from cowslippond_standins.fleet import (
    Caller,
    FleetDeployment,
    Node,
    Upload,
    UploadCaller,
    UploadResponse,
    Verdict,
    route,
    send_upload,
)
from fleet.upload_shop import (
    MEBIBYTE,
    add_upload_backend,
    start_node,
    wait_idle,
    wait_logged,
    wait_received,
)

pytestmark = pytest.mark.anyio

PATIENCE_MS = 6000
CALL = (
    b'GET /prints/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: a\r\n\r\n'
)


async def exchange(
    fleet: FleetDeployment, node: Node, *parts: bytes, pause: float = 0
) -> UploadCaller:
    """Send bytes over a new connection and read what the daemon answers."""
    async with await anyio.connect_tcp(*node.caller_address) as stream:
        caller = UploadCaller(stream, fleet.clock)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_parts, stream, parts, pause)
            with anyio.move_on_after(seconds_of(PATIENCE_MS)):
                await caller.read()
            tasks.cancel_scope.cancel()
    return caller


async def send_parts(
    stream: SocketStream, parts: tuple[bytes, ...], pause: float
) -> None:
    for part in parts:
        try:
            await stream.send(part)
        except anyio.BrokenResourceError:
            return
        await anyio.sleep(pause)


async def count_refusals(node: Node, reason: str) -> int:
    counters = (await node.status())['counters']
    return int(counters.get(f'refusals.{reason}', 0))


class TestHeaders:
    async def test_too_large_header_in_two_packets_is_refused(
        self, fleet: FleetDeployment
    ) -> None:
        """The part of a header that came with its start did not count."""
        node = await start_node(fleet)
        caller = await exchange(
            fleet,
            node,
            b'%bx-a: %b' % (CALL.removesuffix(b'\r\n'), b'a' * 10_000),
            b'%b\r\n\r\n' % (b'a' * 10_000),
            pause=0.1,
        )
        assert caller.received.startswith(b'HTTP/1.1 431 ')

    @pytest.mark.parametrize('size', [20_000, 200_000, 3_000_000])
    async def test_too_large_headers_are_refused(
        self, fleet: FleetDeployment, size: int
    ) -> None:
        """Headers of any size were kept in memory."""
        node = await start_node(fleet)
        caller = await exchange(
            fleet,
            node,
            b'GET /prints/1 HTTP/1.1\r\nhost: shop.example\r\nx-a: ',
            b'a' * size,
            b'\r\n\r\n',
        )
        assert caller.received.startswith(b'HTTP/1.1 431 ')
        assert b'x-outcome: not-run' in caller.received
        assert await count_refusals(node, 'head_too_large') == 1
        await wait_logged(fleet, node, 'headers of a call refused')

    async def test_headers_within_the_limit_pass(
        self, fleet: FleetDeployment
    ) -> None:
        """The limit counts one call's headers, not what one read brings."""
        node = await start_node(fleet)
        head = (
            b'GET /prints/1 HTTP/1.1\r\nhost: shop.example\r\n'
            b'x-request-id: %d\r\nx-a: %b\r\n\r\n'
        )
        requests = b''.join(
            head % (number, b'a' * 10_000) for number in range(4)
        )
        caller = await exchange(fleet, node, requests)
        assert caller.received.startswith(b'HTTP/1.1 200 ')
        assert await count_refusals(node, 'head_too_large') == 0

    async def test_a_pipelined_call_is_limited_as_well(
        self, fleet: FleetDeployment
    ) -> None:
        """A small call must not hide the size of the one behind it."""
        node = await start_node(fleet)
        head = CALL.removesuffix(b'\r\n')
        large = b'%bx-a: %b\r\n\r\n' % (head, b'a' * 30_000)
        await exchange(fleet, node, b'%b%b' % (CALL, large))
        await anyio.sleep(0.3)
        assert await count_refusals(node, 'head_too_large') == 1
        assert (await node.status())['counters'].get('calls') == 1

    async def test_bytes_of_an_earlier_call_are_not_counted(
        self, fleet: FleetDeployment
    ) -> None:
        """The start of a call behind a body was refused as too large."""
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        upload = Upload('u', 60_000)
        start, end = CALL[:20], CALL[20:]
        async with await anyio.connect_tcp(*node.caller_address) as stream:
            caller = UploadCaller(stream, fleet.clock)
            await stream.send(b'%b%b%b' % (upload.head(), upload.body, start))
            await caller.read()
            assert backend.received[0].is_complete
            caller.received = b''
            await stream.send(end)
            await caller.read()
        assert caller.received.startswith(b'HTTP/1.1 200 ')

    async def test_connection_stays_open_while_it_is_advertised(
        self, fleet: FleetDeployment
    ) -> None:
        """The time for headers does not count while a connection is idle."""
        fleet.limits['header_timeout_ms'] = 300
        node = await start_node(fleet)
        async with await anyio.connect_tcp(*node.caller_address) as stream:
            caller = UploadCaller(stream, fleet.clock)
            upload = Upload('u', 5000, path='/none/')
            await stream.send(upload.head())
            await caller.read()
            await caller.send_body(upload)
            await anyio.sleep(1)
            caller.received = b''
            await stream.send(CALL)
            await caller.read()
        assert caller.received.startswith(b'HTTP/1.1 200 ')

    async def test_slow_headers_are_refused(
        self, fleet: FleetDeployment
    ) -> None:
        """A caller that sent a header a second kept its connection."""
        fleet.limits['header_timeout_ms'] = 1000
        node = await start_node(fleet)
        started_at = fleet.clock.now()
        caller = await exchange(
            fleet,
            node,
            b'GET /prints/1 HTTP/1.1\r\n',
            *(b'x-%d: a\r\n' % number for number in range(20)),
            pause=0.3,
        )
        assert caller.received.startswith(b'HTTP/1.1 408 ')
        assert b'x-outcome: not-run' in caller.received
        assert 800 < fleet.clock.now() - started_at < 2500
        assert await count_refusals(node, 'head_timeout') == 1

    async def test_slow_headers_of_a_later_call_are_refused(
        self, fleet: FleetDeployment
    ) -> None:
        """The time counts from the first byte of each call."""
        fleet.limits['header_timeout_ms'] = 1000
        node = await start_node(fleet)
        async with await anyio.connect_tcp(*node.caller_address) as stream:
            caller = UploadCaller(stream, fleet.clock)
            await stream.send(CALL)
            await caller.read()
            assert caller.received.startswith(b'HTTP/1.1 200 ')
            await anyio.sleep(1.5)
            caller.received = b''
            await stream.send(CALL.removesuffix(b'\r\n'))
            with anyio.fail_after(seconds_of(PATIENCE_MS)):
                await caller.read()
        assert caller.received.startswith(b'HTTP/1.1 408 ')

    async def test_idle_connections_are_not_refused(
        self, fleet: FleetDeployment
    ) -> None:
        """A balancer may open connections before it has calls."""
        fleet.limits['header_timeout_ms'] = 300
        node = await start_node(fleet)
        async with await anyio.connect_tcp(*node.caller_address) as stream:
            await anyio.sleep(1)
            caller = UploadCaller(stream, fleet.clock)
            await stream.send(CALL)
            await caller.read()
        assert caller.received.startswith(b'HTTP/1.1 200 ')

    async def test_trailers_do_not_become_headers(
        self, fleet: FleetDeployment
    ) -> None:
        """Trailers of a short body were passed on as headers."""
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        caller = await exchange(
            fleet,
            node,
            b'POST /files/1 HTTP/1.1\r\nhost: shop.example\r\n'
            b'transfer-encoding: chunked\r\nx-request-id: u\r\n\r\n'
            b'1\r\na\r\n0\r\nx-request-id: other\r\nx-t: 1\r\n\r\n',
        )
        assert caller.received.startswith(b'HTTP/1.1 200 ')
        assert backend.received[0].request_id == 'u'

    async def test_endless_trailers_close_the_connection(
        self, fleet: FleetDeployment
    ) -> None:
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        caller = await exchange(
            fleet,
            node,
            b'POST /files/1 HTTP/1.1\r\nhost: shop.example\r\n'
            b'transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n',
            *(b'x-a: %b\r\n' % (b'a' * 60_000) for _ in range(100)),
        )
        assert caller.is_closed
        await wait_idle(fleet, node)
        assert not backend.received


class TestBodies:
    async def test_declared_length_above_the_limit_is_refused(
        self, fleet: FleetDeployment
    ) -> None:
        """The limit was not enforced; no byte of the body is to be read."""
        fleet.limits['max_body_bytes'] = MEBIBYTE
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        upload = Upload('u', MEBIBYTE + 1, headers=('expect: 100-continue',))
        caller = await exchange(fleet, node, upload.head())
        assert caller.received.startswith(b'HTTP/1.1 413 ')
        assert b'x-outcome: not-run' in caller.received
        assert not backend.received
        assert await count_refusals(node, 'body_too_large') == 1

    @pytest.mark.parametrize('size', [MEBIBYTE + 1, 20 * MEBIBYTE])
    async def test_response_reaches_a_caller_that_sends_on(
        self, fleet: FleetDeployment, size: int
    ) -> None:
        """Closing with unread bytes resets the connection."""
        fleet.limits['max_body_bytes'] = MEBIBYTE
        await add_upload_backend(fleet)
        node = await start_node(fleet)
        response = await send_upload(
            node.caller_address, Upload('u', size), fleet.clock
        )
        assert response.status == 413
        assert 'connection: close' in response.head

    async def test_chunked_body_above_the_limit_is_refused(
        self, fleet: FleetDeployment
    ) -> None:
        """The upstream never takes the truncated body for a complete one."""
        fleet.limits['max_body_bytes'] = MEBIBYTE
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        response = await self._send_chunked(fleet, node, 3 * MEBIBYTE)
        assert response.status == 413
        assert 'connection: close' in response.head
        await wait_received(fleet, backend)
        assert not backend.received[0].is_complete
        await wait_idle(fleet, node)

    async def test_small_limit_is_enforced_before_anything_is_sent(
        self, fleet: FleetDeployment
    ) -> None:
        fleet.limits['max_body_bytes'] = 1000
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        response = await self._send_chunked(fleet, node, 1001)
        assert response.status == 413
        assert 'x-outcome: not-run' in response.head
        assert not backend.received

    async def test_body_of_just_the_limit_passes(
        self, fleet: FleetDeployment
    ) -> None:
        fleet.limits['max_body_bytes'] = MEBIBYTE
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        response = await self._send_chunked(fleet, node, MEBIBYTE)
        assert response.status == 200
        assert backend.received[0].is_complete

    async def test_unknown_route_is_refused_before_the_body(
        self, fleet: FleetDeployment
    ) -> None:
        node = await start_node(fleet)
        upload = Upload(
            'u', MEBIBYTE, path='/none/', headers=('expect: 100-continue',)
        )
        caller = await exchange(fleet, node, upload.head())
        assert caller.received.startswith(b'HTTP/1.1 404 ')

    async def test_connection_stays_open_after_a_refused_small_body(
        self, fleet: FleetDeployment
    ) -> None:
        """A refusal before the body must not cost a connection each time."""
        node = await start_node(fleet)
        async with await anyio.connect_tcp(*node.caller_address) as stream:
            caller = UploadCaller(stream, fleet.clock)
            await caller.send(Upload('u', 5000, path='/none/'))
            await caller.read()
            assert caller.received.startswith(b'HTTP/1.1 404 ')
            caller.received = b''
            await stream.send(CALL)
            await caller.read()
        assert caller.received.startswith(b'HTTP/1.1 200 ')

    async def _send_chunked(
        self, fleet: FleetDeployment, node: Node, size: int
    ) -> UploadResponse:
        return await send_upload(
            node.caller_address,
            Upload('u', size, is_chunked=True),
            fleet.clock,
        )


class TestChangedLimits:
    async def test_apply_to_open_connections(
        self, fleet: FleetDeployment
    ) -> None:
        node = await start_node(fleet)
        caller = Caller(
            node.name, node.caller_address, fleet.tasks, fleet.clock
        )
        path = '/prints/{}'.format('a' * 2000)
        assert (await caller.send_request('a', path)).verdict is Verdict.GOOD
        fleet.limits['max_header_bytes'] = 1000
        fleet.configure({'prints': route('catalogue', prefix='/prints/')})
        await anyio.sleep(2)
        assert (await caller.send_request('b', path)).status == 431
