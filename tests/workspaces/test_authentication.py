"""Authentication by the router and the edge, without a network."""

import random
from functools import partial
from types import SimpleNamespace
from typing import Any

import anyio
import orjson
import pytest
from cowslippond_core import (
    AcceptedDocument,
    CallRefusal,
    Configuration,
    ConfigurationLog,
    Metrics,
    RefusalReason,
    Route,
    RouteMatch,
    WeightedService,
)
from cowslippond_core._membership import Daemon
from cowslippond_core.dispatch import RelayPeers
from cowslippond_core.workspaces import (
    KeyRegistry,
    Workspace,
    digest_key,
)
from cowslippond_daemon._call_keys import CallKeys
from cowslippond_daemon._edge import Edge, IncomingCall
from cowslippond_daemon._fleet_calls import FleetRouter
from cowslippond_daemon.platform import (
    PlatformCredentials,
)
from expression import Ok
from fakes import FakeClock

pytestmark = pytest.mark.anyio

KEY = b'key-1'
WORKSPACE = Workspace('w', 3, key_digests=frozenset((digest_key(KEY),)))
ROUTE = Route(
    name='shop',
    match=RouteMatch('a.example', '/'),
    is_idempotent=True,
    timeout=2000,
    objective=500,
    max_sends=2,
    priority=1,
    parts=(WeightedService('s', 1),),
)


def make_router(
    workspaces: dict[str, Workspace] | None, route: Route = ROUTE
) -> FleetRouter:
    clock = FakeClock(0)
    configuration = Configuration(1, (route,), {}, None, workspaces)
    log = ConfigurationLog(clock, lambda _: Ok(configuration))
    log.offer_all([AcceptedDocument('configuration', 1, 1, '', '', 0)])
    log.confirm(0, 1)
    ctx = SimpleNamespace(clock=clock, rng=random.Random(1))
    keys = CallKeys(log.keys, PlatformCredentials())
    # No call of these tests gets as far as the services and the quotas.
    unused = SimpleNamespace()
    return FleetRouter(log, unused, ctx, Metrics(''), keys, unused)


def make_call(*keys: bytes, path: bytes = b'/x') -> IncomingCall:
    headers = [(b'host', b'a.example')]
    headers += [(b'authorization', b'Token %b' % key) for key in keys]
    return IncomingCall('r', 'GET', '/x', path, tuple(headers), b'', None)


class TestRelayPeers:
    @pytest.mark.parametrize(
        ('fields', 'is_chosen'),
        [({}, False), ({'workspaces': None}, False), ({'workspaces': 0}, True)],
    )
    async def test_key_is_not_sent_through_a_peer_that_passes_it_on(
        self, fields: dict[str, int | None], is_chosen: bool
    ) -> None:
        """Peers of an earlier release do not know ``workspaces``."""
        status = {
            'callers': '127.0.0.1:9',
            'out_of_reach': [],
            'ready': True,
            **fields,
        }
        registry = KeyRegistry()
        async with anyio.create_task_group() as tasks:
            peers = RelayPeers(
                list,
                'a',
                int,
                tasks,
                FakeClock(0),
                random.Random(1),
                registry.is_required,
            )
            daemon = Daemon('127.0.0.1:8', '1', 'a', '127.0.0.1:7', False)
            peers._store(daemon, orjson.dumps(status))
            assert peers.choose('s', set()) is not None
            registry.update({'w': WORKSPACE})
            assert (peers.choose('s', set()) is not None) is is_chosen
            tasks.cancel_scope.cancel()


class TestRouter:
    async def test_bad_key_is_refused_and_counted(self) -> None:
        router = make_router({'w': WORKSPACE})
        for keys in ((), (b'bad',), (KEY, KEY)):
            refusal = await router.serve_call(make_call(*keys))
            assert isinstance(refusal, CallRefusal)
            assert refusal.reason is RefusalReason.UNAUTHENTICATED
        assert router.metrics.totals['refusals.unauthenticated'] == 3
        assert await router.check_head(make_call(KEY)) is None

    async def test_no_key_is_needed_on_public_routes_or_without_workspaces(
        self,
    ) -> None:
        public = make_router({'w': WORKSPACE}, ROUTE._replace(is_public=True))
        for router in (public, make_router(None)):
            assert await router.check_head(make_call()) is None

    async def test_unknown_route_is_not_found_whatever_the_key(self) -> None:
        router = make_router(
            {'w': WORKSPACE}, ROUTE._replace(match=RouteMatch('b', '/'))
        )
        refusal = await router.check_head(make_call())
        assert refusal is not None
        assert refusal.reason is RefusalReason.NO_SERVICE

    async def test_key_revoked_while_the_body_is_read_is_refused(self) -> None:
        router = make_router({'w': WORKSPACE})
        assert await router.check_head(make_call(KEY)) is None
        router.log.keys.update({})
        reply = await router.serve_call(make_call(KEY))
        assert isinstance(reply, CallRefusal)
        assert reply.reason is RefusalReason.UNAUTHENTICATED


class TestEdge:
    @pytest.mark.parametrize(
        ('headers', 'is_closed'),
        [
            ([(b'content-length', b'65536')], False),
            ([(b'content-length', b'65537')], True),
            ([(b'transfer-encoding', b'chunked')], True),
            ([(b'content-length', b'9'), (b'expect', b'100-continue')], True),
        ],
    )
    async def test_body_of_a_refused_call_is_not_read(
        self, headers: list[tuple[bytes, bytes]], is_closed: bool
    ) -> None:
        router = make_router({'w': WORKSPACE})
        edge = Edge(router, 5)
        sent: list[Any] = []
        call = make_call(b'bad')
        scope = {
            'type': 'http',
            'method': 'POST',
            'path': '/x',
            'raw_path': b'/x',
            'query_string': b'',
            'headers': [*call.headers, *headers],
        }

        async def receive(messages: list[Any]) -> Any:
            return messages.pop()

        async def send(message: Any) -> None:
            sent.append(message)

        await edge(scope, partial(receive, []), send)
        assert sent[0]['status'] == 401
        answered = dict(sent[0]['headers'])
        assert answered[b'www-authenticate'] == b'Token'
        assert (answered.get(b'connection') == b'close') is is_closed
