"""Large bodies pass through a daemon whole, or not at all."""

import anyio
import pytest
from cowslippond_ctl._story import show_story
from cowslippond_standins import _stream
from cowslippond_standins._address import Address
from cowslippond_standins.fleet import (
    DOMAINS,
    FleetDeployment,
    Node,
    Upload,
    UploadBackend,
    UploadCaller,
    route,
    send_upload,
    upload_route,
)
from fleet.upload_shop import (
    MEBIBYTE,
    add_upload_backend,
    add_upload_backends,
    memory_kb,
    start_node,
    wait_idle,
    wait_logged,
    wait_received,
    wait_started,
)

pytestmark = pytest.mark.anyio

FRAMINGS = (False, True)
MAX_GROWTH_KB = 40_000
MAX_SHORT_CALL_MS = 100
TRIES = 6
# Later breaks at an upstream are not taken for the same crash.
BETWEEN_TRIES = 350


class TestWholeUploads:
    @pytest.mark.parametrize('is_chunked', FRAMINGS)
    @pytest.mark.parametrize(
        'size', [0, 1, 60_000, 65_536, 65_537, 360_000, 8 * MEBIBYTE]
    )
    async def test_arrives_unchanged(
        self, fleet: FleetDeployment, size: int, is_chunked: bool
    ) -> None:
        """Guard against a part that is lost or repeated at a buffer's edge."""
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        upload = Upload('u', size, is_chunked=is_chunked)
        response = await send_upload(node.caller_address, upload, fleet.clock)
        assert response.status == 200
        assert response.body.decode() == upload.digest
        assert backend.received == [('u', size, upload.digest, True)]

    @pytest.mark.parametrize('is_chunked', FRAMINGS)
    @pytest.mark.parametrize('size', [0, 100, 360_000])
    async def test_arrives_unchanged_with_an_offer_to_switch_protocols(
        self, fleet: FleetDeployment, size: int, is_chunked: bool
    ) -> None:
        """Orders ran without their bodies, which were taken for further calls."""
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        offer = ('connection: upgrade', 'upgrade: h2c')
        upload = Upload('u', size, is_chunked=is_chunked, headers=offer)
        response = await send_upload(node.caller_address, upload, fleet.clock)
        assert response.status == 200
        assert backend.received == [('u', size, upload.digest, True)]

    async def test_has_no_limit_on_a_route_without_a_timeout(
        self, fleet: FleetDeployment
    ) -> None:
        """A call without a deadline failed as infinity could not be encoded."""
        backend = await add_upload_backend(fleet)
        backend.behaviour.work = 3000
        node = await start_node(fleet)
        upload = Upload('u', 100_000, bytes_per_second=50_000)
        response = await send_upload(node.caller_address, upload, fleet.clock)
        assert response.status == 200

    async def test_expectation_is_answered(
        self, fleet: FleetDeployment
    ) -> None:
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        upload = Upload('u', 200_000, headers=('expect: 100-continue',))
        async with await anyio.connect_tcp(*node.caller_address) as stream:
            await stream.send(upload.head())
            with anyio.fail_after(2):
                assert (await stream.receive()).startswith(b'HTTP/1.1 100 ')
            caller = UploadCaller(stream, fleet.clock)
            await caller.send_body(upload)
            await caller.read()
        assert caller.received.startswith(b'HTTP/1.1 200 ')
        assert backend.received[0].is_complete


class TestBackpressure:
    async def test_memory_is_bounded_for_many_slow_uploads(
        self, fleet: FleetDeployment
    ) -> None:
        """48 uploads of 8 MB at once are 384 MB, and the daemon has 200 MB."""
        backend = await add_upload_backend(fleet)
        backend.behaviour.bytes_per_second = 100_000
        node = await start_node(fleet)
        before = memory_kb(node)
        uploads = [Upload(f'u{number}', 8 * MEBIBYTE) for number in range(48)]
        async with anyio.create_task_group() as tasks:
            for upload in uploads:
                tasks.start_soon(
                    send_upload, node.caller_address, upload, fleet.clock
                )
            await wait_started(fleet, backend, 8)
            await anyio.sleep(4)
            assert (await node.status())['running_calls'] == len(uploads)
            growth = memory_kb(node, 'VmHWM') - before
            tasks.cancel_scope.cancel()
        assert growth < MAX_GROWTH_KB
        # The callers' systems go on sending what they have buffered.
        backend.behaviour.bytes_per_second = 0
        await wait_idle(fleet, node)

    async def test_reset_is_noticed_while_the_upstream_reads_nothing(
        self, fleet: FleetDeployment
    ) -> None:
        """A call was kept as long as its upstream did not read."""
        backend = await add_upload_backend(fleet)
        backend.behaviour.bytes_per_second = 1
        node = await start_node(fleet)
        stream = await anyio.connect_tcp(*node.caller_address)
        async with stream, anyio.create_task_group() as tasks:
            caller = UploadCaller(stream, fleet.clock)
            tasks.start_soon(caller.send, Upload('u', 8 * MEBIBYTE))
            await wait_started(fleet, backend)
            await anyio.sleep(1)
            await _stream.reset(stream)
        await wait_idle(fleet, node)


class TestBesideShortCalls:
    async def test_short_calls_are_not_delayed_on_a_slow_link(
        self, fleet: FleetDeployment
    ) -> None:
        """A short call took 233 ms beside 48 uploads on 5 Mbit/s."""
        backend = UploadBackend('i-upload', fleet.clock)
        await fleet.tasks.start(backend.serve)
        link = await fleet.proxy.open(
            'link', Address('127.0.0.1', backend.port)
        )
        fleet.list_backend(  # type: ignore[arg-type]
            backend, 'files', DOMAINS[0], port=link.address.port
        )
        fleet.configure(
            {
                'files': upload_route('files'),
                'prints': route('files', prefix='/prints/'),
            }
        )
        node = await fleet.add_node(DOMAINS[0])
        await anyio.sleep(2.5)
        await fleet.proxy.command('faults', link, bytes_per_second=625_000)
        durations = []
        async with anyio.create_task_group() as tasks:
            for number in range(48):
                upload = Upload(f'u{number}', 8 * MEBIBYTE)
                tasks.start_soon(
                    send_upload, node.caller_address, upload, fleet.clock
                )
            await wait_started(fleet, backend, 8)
            await anyio.sleep(1)
            for number in range(40):
                short = Upload(f's{number}', 100, path='/prints/1')
                response = await send_upload(
                    node.caller_address, short, fleet.clock
                )
                assert response.status == 200
                durations.append(response.duration)
            tasks.cancel_scope.cancel()
        assert sorted(durations)[36] < MAX_SHORT_CALL_MS


class TestEarlyResponse:
    @pytest.mark.parametrize('is_chunked', FRAMINGS)
    async def test_upstream_gets_the_rest_after_success(
        self, fleet: FleetDeployment, is_chunked: bool
    ) -> None:
        """The connection was closed under an upstream that still read."""
        backend = await add_upload_backend(fleet)
        backend.behaviour.early_after = 100_000
        node = await start_node(fleet)
        upload = Upload(
            'u', MEBIBYTE, is_chunked=is_chunked, bytes_per_second=1_000_000
        )
        response = await send_upload(node.caller_address, upload, fleet.clock)
        assert response.status == 200
        await wait_received(fleet, backend)
        assert backend.received == [('u', upload.size, upload.digest, True)]
        assert not backend.strays

    @pytest.mark.parametrize('is_chunked', FRAMINGS)
    @pytest.mark.parametrize('early_after', [0, 100_000])
    async def test_failure_reaches_the_caller(
        self, fleet: FleetDeployment, early_after: int, is_chunked: bool
    ) -> None:
        """A response was lost when the connection was closed behind it."""
        backend = await add_upload_backend(fleet)
        backend.behaviour.early_after = early_after
        backend.behaviour.early_status = 403
        node = await start_node(fleet)
        upload = Upload('u', 4 * MEBIBYTE, is_chunked=is_chunked)
        response = await send_upload(node.caller_address, upload, fleet.clock)
        assert response.status == 403
        await wait_received(fleet, backend)
        assert not backend.received[0].is_complete

    async def test_connection_carries_no_other_bytes(
        self, fleet: FleetDeployment
    ) -> None:
        """The rest of one body must not be followed by a part of another."""
        backend = await add_upload_backend(fleet)
        backend.behaviour.early_after = 70_000
        node = await start_node(fleet)
        uploads = [
            Upload(f'u{number}', 300_000, bytes_per_second=600_000)
            for number in range(12)
        ]
        responses = []

        async def send(upload: Upload) -> None:
            responses.append(
                await send_upload(node.caller_address, upload, fleet.clock)
            )

        async with anyio.create_task_group() as tasks:
            for upload in uploads:
                tasks.start_soon(send, upload)
        assert {one.status for one in responses} == {200}
        await wait_received(fleet, backend, len(uploads))
        digests = {one.request_id: one.digest for one in backend.received}
        assert digests == {one.request_id: one.digest for one in uploads}
        assert not backend.strays


class TestBrokenCallers:
    @pytest.mark.parametrize('is_chunked', FRAMINGS)
    @pytest.mark.parametrize('sent_bytes', [0, 30_000, 500_000])
    @pytest.mark.parametrize('end', ['close', 'reset', 'half-close'])
    async def test_upstream_sees_no_complete_body(
        self,
        fleet: FleetDeployment,
        sent_bytes: int,
        end: str,
        is_chunked: bool,
    ) -> None:
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        upload = Upload(
            'u', MEBIBYTE, sent_bytes=sent_bytes, is_chunked=is_chunked
        )
        stream = await anyio.connect_tcp(*node.caller_address)
        async with stream:
            await UploadCaller(stream, fleet.clock).send(upload)
            await anyio.sleep(0.2)
            if end == 'reset':
                await _stream.reset(stream)
            elif end == 'half-close':
                await stream.send_eof()
                await anyio.sleep(0.5)
        await wait_idle(fleet, node)
        if sent_bytes > 65_536:
            await wait_received(fleet, backend)
        assert not any(one.is_complete for one in backend.received)
        assert (await node.status())['counters']['bodies.broken'] == 1
        await wait_logged(fleet, node, 'body of a call is not complete')

    @pytest.mark.parametrize('is_chunked', FRAMINGS)
    @pytest.mark.parametrize('sent_bytes', [0, 30_000, 500_000])
    async def test_stalled_caller_is_given_up(
        self, fleet: FleetDeployment, sent_bytes: int, is_chunked: bool
    ) -> None:
        """A caller that sent nothing more kept its memory and connection."""
        fleet.limits['idle_timeout_ms'] = 1000
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        upload = Upload(
            'u', MEBIBYTE, sent_bytes=sent_bytes, is_chunked=is_chunked
        )
        response = await send_upload(
            node.caller_address, upload, fleet.clock, patience=4000
        )
        # Status 408 would promise that the upstream has not run the call.
        expected = 504 if sent_bytes > 65_536 else 408
        assert response.status == expected
        assert 'x-reason: body_timeout' in response.head
        await wait_idle(fleet, node)
        if sent_bytes > 65_536:
            await wait_received(fleet, backend)
        assert not any(one.is_complete for one in backend.received)

    async def test_disconnect_is_noticed_after_the_body(
        self, fleet: FleetDeployment
    ) -> None:
        """A call was not cancelled once its streamed body had been sent."""
        backend = await add_upload_backend(fleet)
        backend.behaviour.work = 60_000
        node = await start_node(fleet)
        stream = await anyio.connect_tcp(*node.caller_address)
        async with stream:
            await UploadCaller(stream, fleet.clock).send(Upload('u', 200_000))
            await anyio.sleep(0.5)
        await wait_idle(fleet, node)

    async def test_broken_bodies_do_not_count_against_upstreams(
        self, fleet: FleetDeployment
    ) -> None:
        """Callers that broke off put the upstreams of others out of reach."""
        await add_upload_backend(fleet)
        node = await start_node(fleet)
        for number in range(8):
            stream = await anyio.connect_tcp(*node.caller_address)
            async with stream:
                await UploadCaller(stream, fleet.clock).send(
                    Upload(f'b{number}', MEBIBYTE, sent_bytes=300_000)
                )
                await anyio.sleep(0.1)
        await wait_idle(fleet, node)
        assert not (await node.status())['out_of_reach']
        response = await send_upload(
            node.caller_address, Upload('u', 300_000), fleet.clock
        )
        assert response.status == 200


class TestBrokenUpstreams:
    @pytest.mark.parametrize('size', [60_000, MEBIBYTE])
    async def test_reset_upstream_is_not_followed_by_a_second_send(
        self, fleet: FleetDeployment, size: int
    ) -> None:
        backends = await add_upload_backends(fleet, 2)
        for backend in backends:
            backend.behaviour.reset_after = 30_000
        node = await start_node(fleet)
        response = await send_upload(
            node.caller_address, Upload('u', size), fleet.clock
        )
        assert response.status in {502, 504}
        assert sum(len(backend.received) for backend in backends) == 1

    @pytest.mark.parametrize('is_chunked', FRAMINGS)
    @pytest.mark.parametrize('reset_after', [0, 100_000, 300_000])
    async def test_upload_that_breaks_upstreams_is_held_back(
        self, fleet: FleetDeployment, reset_after: int, is_chunked: bool
    ) -> None:
        """It broke an upstream each time, as its body was still on its way."""
        backends = await add_upload_backends(fleet, 4)
        for backend in backends:
            backend.behaviour.reset_after = reset_after
        node = await start_node(fleet)
        responses = []
        for _ in range(TRIES):
            upload = Upload(
                'u', 360_000, is_chunked=is_chunked, bytes_per_second=2_000_000
            )
            responses.append(
                await send_upload(node.caller_address, upload, fleet.clock)
            )
            await fleet.clock.sleep(BETWEEN_TRIES)
        assert responses[-1].status == 503
        assert 'x-reason: quarantined' in responses[-1].head
        assert sum(len(backend.received) for backend in backends) <= 3

    async def test_upload_whose_callers_break_off_is_not_held_back(
        self, fleet: FleetDeployment
    ) -> None:
        """Anybody could have an upload refused by breaking it off."""
        await add_upload_backends(fleet, 4)
        node = await start_node(fleet)
        for _ in range(TRIES):
            stream = await anyio.connect_tcp(*node.caller_address)
            async with stream:
                await UploadCaller(stream, fleet.clock).send(
                    Upload('u', 360_000, sent_bytes=200_000)
                )
                await fleet.clock.sleep(BETWEEN_TRIES)
        await wait_idle(fleet, node)
        response = await send_upload(
            node.caller_address, Upload('u', 360_000), fleet.clock
        )
        assert response.status == 200

    async def test_buffered_body_is_sent_again_after_a_promise(
        self, fleet: FleetDeployment
    ) -> None:
        backends = await add_upload_backends(fleet, 2)
        backends[0].behaviour.refuses = True
        node = await start_node(fleet)
        await anyio.sleep(2.5)
        for number in range(6):
            upload = Upload(f'u{number}', 60_000)
            response = await send_upload(
                node.caller_address, upload, fleet.clock
            )
            assert response.status == 200
        assert backends[0].received
        assert all(one.is_complete for one in backends[1].received)

    async def test_streamed_body_is_not_sent_again_after_a_promise(
        self, fleet: FleetDeployment
    ) -> None:
        """The promise reaches the caller, who still has the whole body."""
        backends = await add_upload_backends(fleet, 2)
        for backend in backends:
            backend.behaviour.refuses = True
        node = await start_node(fleet)
        response = await send_upload(
            node.caller_address, Upload('u', 4 * MEBIBYTE), fleet.clock
        )
        assert response.status == 503
        assert 'x-outcome: not-run' in response.head
        assert sum(len(backend.received) for backend in backends) == 1

    async def test_refused_upload_ends_with_its_response(
        self, fleet: FleetDeployment
    ) -> None:
        """A body that nobody reads kept its call and counted as broken."""
        node = await start_node(fleet)
        upload = Upload('u', 4 * MEBIBYTE)
        async with await anyio.connect_tcp(*node.caller_address) as stream:
            caller = UploadCaller(stream, fleet.clock)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(caller.send, upload)
                await caller.read()
                tasks.cancel_scope.cancel()
            assert caller.received.startswith(b'HTTP/1.1 503 ')
            await anyio.sleep(0.3)
            status = await node.status()
        assert status['running_calls'] == 0
        assert 'bodies.broken' not in status['counters']

    async def test_streamed_body_is_sent_once_a_connection_is_made(
        self, fleet: FleetDeployment
    ) -> None:
        """Nothing of the body is lost at an upstream that refuses to connect."""
        backends = await add_upload_backends(fleet, 2)
        node = await start_node(fleet)
        await anyio.sleep(2.5)
        backends[0].kill()
        for number in range(6):
            upload = Upload(f'u{number}', 300_000)
            response = await send_upload(
                node.caller_address, upload, fleet.clock
            )
            assert response.status == 200
            assert response.body.decode() == upload.digest


class TestDeadline:
    @pytest.mark.parametrize('bytes_per_second', [100_000, 0])
    async def test_passes_during_an_upload(
        self, fleet: FleetDeployment, bytes_per_second: float
    ) -> None:
        """The call ends at its deadline, whether caller or upstream is slow."""
        backend = await add_upload_backend(fleet)
        if not bytes_per_second:
            backend.behaviour.bytes_per_second = 100_000
        node = await start_node(fleet)
        # The end is never sent: on uvloop, the back end's stream may hold a
        # whole body that the back end has not read.
        upload = Upload(
            'u',
            32 * MEBIBYTE,
            sent_bytes=31 * MEBIBYTE,
            bytes_per_second=bytes_per_second,
            headers=('x-deadline-ms: 2000',),
        )
        response = await send_upload(node.caller_address, upload, fleet.clock)
        assert response.status == 504
        assert 1500 < response.duration < 3500
        backend.behaviour.bytes_per_second = 0
        await wait_received(fleet, backend)
        assert not backend.received[0].is_complete
        await wait_idle(fleet, node)


class TestPlannedStop:
    async def test_upload_completes_within_the_stop_time(
        self, fleet: FleetDeployment
    ) -> None:
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        upload = Upload('u', MEBIBYTE, bytes_per_second=350_000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_terminate_when_started, fleet, backend, node)
            response = await send_upload(
                node.caller_address, upload, fleet.clock
            )
        assert response.status == 200
        assert response.body.decode() == upload.digest

    async def test_longer_upload_ends_without_a_response(
        self, fleet: FleetDeployment
    ) -> None:
        backend = await add_upload_backend(fleet)
        node = await start_node(fleet)
        upload = Upload('u', 8 * MEBIBYTE, bytes_per_second=200_000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_terminate_when_started, fleet, backend, node)
            response = await send_upload(
                node.caller_address, upload, fleet.clock
            )
        assert response.status == 0
        assert response.is_closed
        assert await node.child.wait(6000) == 0
        await wait_received(fleet, backend)
        assert not backend.received[0].is_complete


async def _terminate_when_started(
    fleet: FleetDeployment, backend: UploadBackend, node: Node
) -> None:
    await wait_started(fleet, backend)
    node.child.terminate()


class TestStory:
    async def test_shows_a_broken_upload(self, fleet: FleetDeployment) -> None:
        await add_upload_backends(fleet)
        node = await start_node(fleet)
        stream = await anyio.connect_tcp(*node.caller_address)
        async with stream:
            await UploadCaller(stream, fleet.clock).send(
                Upload('broken-1', MEBIBYTE, sent_bytes=300_000)
            )
        await wait_logged(fleet, node, 'body of a call is not complete')
        story = show_story('broken-1', [fleet.folder / f'{node.name}.log'])
        messages = [line['message'] for line in story.record['lines']]
        assert messages[-1] == 'body of a call is not complete'
        assert story.record['lines'][-1]['facts']['is_partly_sent']
