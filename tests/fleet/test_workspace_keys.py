"""Real daemons serve only callers with the key of a workspace."""

import pathlib

import anyio
import httpcore
import orjson
import pytest
from cowslippond_core.workspaces import digest_key
from cowslippond_ctl._story import show_story
from cowslippond_standins.fleet import (
    DOMAINS,
    FleetDeployment,
    Verdict,
    workspace,
)
from fleet.keyed_shop import (
    FIRST_KEY,
    KEYS,
    OTHER_KEY,
    PARTITION,
    ROUTES,
    SECOND_KEY,
    all_runs,
    caller_of,
    check_headers,
    configure,
    start,
    wait_refused,
)

pytestmark = pytest.mark.anyio


class TestAuthentication:
    async def test_upstream_gets_the_workspace_and_not_the_key(
        self, fleet: FleetDeployment
    ) -> None:
        node = (await start(fleet))[0]
        caller = caller_of(fleet, node)
        call_result = await caller.send_request(
            'p',
            '/prints/1',
            headers=(
                'X-TENANT-ID: forged',
                'x-tenant-id: other',
                'X_Tenant_Id: other',
                'connection: x-tenant-id',
            ),
        )
        assert call_result.verdict is Verdict.GOOD
        check_headers(all_runs(fleet), ['first'])

    async def test_public_route_needs_no_key_and_passes_none_on(
        self, fleet: FleetDeployment
    ) -> None:
        node = (await start(fleet))[0]
        for key in (None, FIRST_KEY, 'unknown'):
            call_result = await caller_of(fleet, node, key).send_request(
                'p', '/open/1', headers=('X-Tenant-Id: forged',)
            )
            assert call_result.verdict is Verdict.GOOD
        check_headers(all_runs(fleet), [])

    async def test_both_headers_pass_without_workspaces(
        self, fleet: FleetDeployment
    ) -> None:
        await fleet.add_backend('catalogue')
        fleet.configure({'prints': ROUTES['prints']})
        node = await fleet.add_node(DOMAINS[0])
        await caller_of(fleet, node).send_request(
            'p', '/prints/1', headers=('X-Tenant-Id: own',)
        )
        run = all_runs(fleet)[0]
        assert run.header_values('x-tenant-id') == ['own']
        assert run.header_values('authorization') == [f'Token {FIRST_KEY}']

    @pytest.mark.parametrize(
        'headers',
        [
            (),
            ('authorization: Bearer x',),
            ('authorization: Token unknown',),
            ('authorization: Token',),
            ('authorization: Token ',),
            (f'authorization: Token\t{FIRST_KEY}',),
            (f'authorization: {FIRST_KEY}',),
            (f'x-api-key: {FIRST_KEY}',),
            (f'authorization: Token {FIRST_KEY}',) * 2,
            (f'authorization: Token {FIRST_KEY}, Token {FIRST_KEY}',),
        ],
    )
    async def test_call_without_one_valid_key_is_refused(
        self, fleet: FleetDeployment, headers: tuple[str, ...]
    ) -> None:
        node = (await start(fleet))[0]
        caller = caller_of(fleet, node, None)
        call_result = await caller.send_request(
            'p', '/prints/1', headers=headers
        )
        assert call_result.status == 401
        assert not all_runs(fleet)
        unknown = await caller.send_request('x', '/none/1', headers=headers)
        assert unknown.status == 404

    async def test_daemon_without_configuration_is_not_ready(
        self, fleet: FleetDeployment
    ) -> None:
        fleet.store.faults.mode = 'refusing'
        with pytest.raises(TimeoutError):
            with anyio.fail_after(1.5):
                await fleet.add_node(DOMAINS[0])
        caller = caller_of(fleet, fleet.nodes[0], None)
        # On a busy machine the daemon accepts no connections yet.
        with anyio.fail_after(15):
            while True:
                answer = await caller.send_request('x', '/prints/1')
                if answer.verdict is not Verdict.CLOSED:
                    break
                await anyio.sleep(0.1)
        assert answer.status == 503

    async def test_refusal_does_not_wait_for_the_body(
        self, fleet: FleetDeployment
    ) -> None:
        node = (await start(fleet))[0]
        stream = await anyio.connect_tcp(*node.caller_address)
        async with stream:
            await stream.send(
                b'POST /prints/1 HTTP/1.1\r\nhost: shop.example\r\n'
                b'content-length: 5000000\r\n\r\nstart'
            )
            with anyio.fail_after(1):
                answer = await stream.receive()
        assert answer.startswith(b'HTTP/1.1 401 ')
        assert b'connection: close' in answer

    async def test_connection_is_usable_after_a_refusal(
        self, fleet: FleetDeployment
    ) -> None:
        """Guard against a body that is taken for the next request."""
        node = (await start(fleet))[0]
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            url = f'http://{node.caller_address}/prints/1'
            headers = {'host': 'shop.example', 'x-request-id': 'p'}
            for _ in range(3):
                refused = await pool.request(
                    'POST', url, headers=headers, content=b'x' * 20_000
                )
                assert refused.status == 401
                valid = {**headers, 'authorization': f'Token {FIRST_KEY}'}
                answer = await pool.request(
                    'POST', url, headers=valid, content=b'x' * 20_000
                )
                assert answer.status == 200

    async def test_trailers_are_no_credentials(
        self, fleet: FleetDeployment
    ) -> None:
        """Trailers that arrived with the headers were taken for headers."""
        node = (await start(fleet))[0]
        trailers = f'authorization: Token {FIRST_KEY}\r\nx-tenant-id: other\r\n'
        for lines, status in (('', b'401'), (trailers, b'200')):
            stream = await anyio.connect_tcp(*node.caller_address)
            async with stream:
                await stream.send(
                    (
                        'POST /prints/1 HTTP/1.1\r\nhost: shop.example\r\n'
                        f'{lines}transfer-encoding: chunked\r\n'
                        f'x-request-id: p\r\n\r\n1\r\nx\r\n0\r\n{trailers}\r\n'
                    ).encode()
                )
                answer = await stream.receive()
            assert answer.split()[1] == status
        check_headers(all_runs(fleet), ['first'])

    async def test_relayed_call_is_authenticated_by_the_peer(
        self, fleet: FleetDeployment
    ) -> None:
        await start(fleet)
        fleet.environment = {'PYTHONPATH': str(PARTITION)}
        node = await fleet.add_node(DOMAINS[0])
        addresses = [f'127.0.0.1:{one.port}' for one in fleet.backends]
        node.settings.with_suffix('.cut').write_text(
            '\n'.join(('reset', *addresses))
        )
        caller = caller_of(fleet, node)
        for number in range(60):
            await caller.send_request(f'p{number}', '/prints/1')
            await anyio.sleep(0.05)
        assert caller.call_results[-1].verdict is Verdict.GOOD
        assert (await node.status())['counters']['relayed'] > 0
        check_headers(all_runs(fleet), ['first'])


class TestSecrecy:
    async def test_no_output_contains_a_key_or_a_digest(
        self, fleet: FleetDeployment
    ) -> None:
        nodes = await start(fleet, nodes=2)
        for node in nodes:
            for key in (*KEYS, 'unknown-77ad0f', None):
                caller = caller_of(fleet, node, key)
                await caller.send_request(f'{node.name}-{key}'[:9], '/prints/1')
        configure(fleet, (SECOND_KEY,))
        # A key of two workspaces, and keys of other types.
        fleet.configure(
            ROUTES,
            {
                'first': workspace(FIRST_KEY, OTHER_KEY),
                'other': workspace(OTHER_KEY, ''),
                'third': {'api_keys': SECOND_KEY, 'priority': -1},
            },
        )
        for node in nodes:
            await wait_refused(caller_of(fleet, node), fleet)
        await anyio.sleep(1.5)
        outputs = []
        for node in nodes:
            outputs.append(node.child.log())
            outputs.append(orjson.dumps(await node.status()).decode())
            async with httpcore.AsyncConnectionPool() as pool:
                page = await pool.request(
                    'GET', f'http://{node.ready_address}/metrics'
                )
            outputs.append(page.content.decode())
        text = '\n'.join(outputs)
        assert 'key refused' in text
        assert 'tenants.other.api_keys: contains a key of first' in text
        secrets = [*KEYS, 'unknown-77ad0f']
        secrets += [digest_key(key.encode()).hex() for key in secrets]
        leaked = [secret for secret in secrets if secret in text]
        assert not leaked

    async def test_story_shows_why_a_call_was_refused(
        self, fleet: FleetDeployment, tmp_path: pathlib.Path
    ) -> None:
        node = (await start(fleet))[0]
        caller = caller_of(fleet, node, 'unknown-77ad0f')
        await caller.send_request('refused-1', '/prints/1')
        log = tmp_path / 'story.log'
        log.write_text(node.child.log())
        lines = show_story('refused-1', [log]).record['lines']
        shown = {one['message']: one['facts'] for one in lines}
        assert shown['key refused']['fault'] == 'unknown'
        assert shown['call answered']['reason'] == 'unauthenticated'
