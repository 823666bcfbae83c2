"""Keys in headers, revocation and the order of calls, without a network."""

import random
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from cowslippond_core import (
    Call,
    CallRefusal,
    CallRequest,
    Connections,
    DefaultDialect,
    Dispatch,
    Outcome,
    Quarantine,
    RefusalReason,
    Route,
    RouteMatch,
    SendMetadata,
    Upstream,
    Vm,
    VmState,
    WeightedService,
)
from cowslippond_core._attempt import Attempt, NotRun
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._framing import encode_head
from cowslippond_core.dispatch._relay_dialect import RelayDialect
from cowslippond_core.dispatch._retries import CallRetries
from cowslippond_core.placing import (
    CallQueue,
    PendingCall,
    ServiceTimeEstimator,
)
from cowslippond_core.workspaces import (
    CallAccess,
    KeyRegistry,
    Workspace,
    digest_key,
)
from cowslippond_daemon.platform import (
    PlatformDialect,
)
from fakes import FakeClock

pytestmark = pytest.mark.anyio

KEY = b'key-1'
DIGEST = digest_key(KEY)
WORKSPACE = Workspace('w', 3, key_digests=frozenset((DIGEST,)))
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


def make_registry() -> KeyRegistry:
    registry = KeyRegistry()
    registry.update({'w': WORKSPACE})
    return registry


def make_access(registry: KeyRegistry | None = None) -> CallAccess:
    return CallAccess(WORKSPACE, DIGEST, registry or make_registry())


def make_request(
    access: CallAccess | None, *headers: tuple[bytes, bytes]
) -> CallRequest:
    return CallRequest(
        'r',
        b'GET',
        b'/',
        headers,
        b'',
        None,
        True,
        3000,
        0,
        'fingerprint',
        None if access is None else access.workspace.name,
        access,
    )


SENT_HEADERS = (
    (b'Authorization', b'Token key-1'),
    (b'X-Tenant-Id', b'forged'),
    (b'accept', b'a'),
)


class TestKeyRegistry:
    def test_key_is_revoked_once_a_new_version_lacks_it(self) -> None:
        registry = make_registry()
        access = make_access(registry)
        assert not access.is_revoked()
        registry.update({'w': WORKSPACE._replace(key_digests=frozenset())})
        assert access.is_revoked()

    def test_key_that_moved_to_another_workspace_is_revoked(self) -> None:
        registry = make_registry()
        access = make_access(registry)
        registry.update({'v': WORKSPACE._replace(name='v')})
        assert access.is_revoked()

    def test_no_key_is_revoked_while_callers_need_none(self) -> None:
        registry = make_registry()
        access = make_access(registry)
        registry.update(None)
        assert not access.is_revoked()

    def test_descriptions_contain_no_digest(self) -> None:
        """Errors in logs may describe their objects."""
        texts = repr((WORKSPACE, make_access(), make_registry()))
        assert repr(DIGEST) not in texts
        assert DIGEST.hex() not in texts


class TestHeaders:
    def encode(self, access: CallAccess | None, dialect: Any) -> bytes:
        request = make_request(access, *SENT_HEADERS)
        metadata = SendMetadata(100, 0, 'vm', request.workspace)
        return encode_head(request, metadata, dialect)

    def test_upstream_gets_the_name_once_and_no_key(self) -> None:
        head = self.encode(make_access(), PlatformDialect())
        assert KEY not in head
        assert head.lower().count(b'x-tenant-id') == 1
        assert b'x-tenant-id: w\r\n' in head

    def test_both_pass_without_workspaces(self) -> None:
        head = self.encode(None, PlatformDialect())
        assert b'authorization: Token key-1\r\n' in head
        assert b'x-tenant-id: forged\r\n' in head

    def test_peer_gets_the_key(self) -> None:
        """The peer has to authenticate a call that is relayed to it."""
        assert KEY in self.encode(make_access(), RelayDialect())


class TestPriority:
    def rank(self, workspace: int | None, route: int) -> int:
        access = None
        if workspace is not None:
            access = make_access()
            access.workspace = WORKSPACE._replace(priority=workspace)
        return Call(
            make_request(access), ROUTE._replace(priority=route), 0
        ).priority

    @pytest.mark.parametrize(
        ('first', 'second'),
        [
            ((0, 9), (1, 0)),
            ((0, 2**40), (1, 0)),
            ((1, 0), (1, 1)),
            ((1, 1), (2, 0)),
        ],
    )
    def test_workspace_precedes_route(
        self, first: tuple[int, int], second: tuple[int, int]
    ) -> None:
        assert self.rank(*first) < self.rank(*second)

    def test_call_without_workspace_ranks_by_its_route(self) -> None:
        first, second = self.rank(None, 1), self.rank(None, 2)
        assert first < second
        assert first == self.rank(1, 1)

    def test_queue_serves_the_urgent_workspace_first(self) -> None:
        queue = CallQueue(ServiceTimeEstimator(50))
        for workspace, route in ((2, 0), (0, 5)):
            rank = self.rank(workspace, route)
            queue.add(
                PendingCall(str(workspace), 0, 500, 2000, rank, frozenset())
            )
        order = [call.request_id for call in queue.service_order(0)]
        assert order == ['0', '2']


class TestRevocation:
    def test_waiting_call_is_found(self) -> None:
        registry = make_registry()
        queue = CallQueue(ServiceTimeEstimator(50))
        access = make_access(registry)

        def find_revoked() -> RefusalReason | None:
            return RefusalReason.KEY_REVOKED if access.is_revoked() else None

        call = PendingCall('r', 0, 500, 2000, 1, frozenset())
        queue.add(call)
        queue.add(call._replace(find_obstacle=find_revoked))
        assert not queue.obstructed()
        registry.update({})
        assert queue.obstructed() == [
            (queue.pending[1], RefusalReason.KEY_REVOKED)
        ]

    async def test_call_is_not_sent_on_a_connection_opened_meanwhile(
        self,
    ) -> None:
        """The key may be revoked after an upstream was chosen."""
        received: list[bytes] = []

        async def serve(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                received.append(await stream.receive())

        registry = make_registry()
        clock = FakeClock(1000)
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            tasks.start_soon(listener.serve, serve)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            address = f'127.0.0.1:{port}'
            vm = Vm('i-1', '1', 'a', VmState.LIVE, 's', address, slots=2)
            upstream = Upstream(vm, Connections(address, tasks, clock, 4))
            attempt = Attempt(
                upstream,
                make_request(make_access(registry)),
                0,
                clock,
                is_fresh=False,
                dialect=DefaultDialect(),
            )
            registry.update({})
            result = await attempt.start()
            assert result == NotRun(NotRunReason.KEY_REVOKED)
            assert upstream.in_flight == 0
            tasks.cancel_scope.cancel()
        assert not received

    async def test_call_does_not_enter_the_queue(self) -> None:
        """A retry with a revoked key would wait for a slot in vain."""
        registry = make_registry()
        hooks = SimpleNamespace(quarantine=Quarantine(FakeClock(0)))
        ctx = SimpleNamespace(
            clock=FakeClock(0), hooks=hooks, rng=random.Random(1), relays=None
        )
        # The placer has no means to grant an upstream.
        placer = SimpleNamespace(
            limited_waits=SimpleNamespace(retry_after=lambda _: 50),
            queue=SimpleNamespace(pending=()),
        )
        service = SimpleNamespace(
            budget=SimpleNamespace(record_call=lambda: None),
            estimator=SimpleNamespace(service_time=60),
            upstreams=SimpleNamespace(by_address={}),
            placer=placer,
        )
        call = Call(make_request(make_access(registry)), ROUTE, 0)
        registry.update({})
        refusal = await Dispatch(ctx, service, call).run()
        assert isinstance(refusal, CallRefusal)
        assert refusal.reason is RefusalReason.KEY_REVOKED
        assert refusal.outcome is Outcome.NOT_RUN

    def test_no_hedge_and_no_retry_follow(self) -> None:
        registry = make_registry()
        hooks = SimpleNamespace(
            quarantine=SimpleNamespace(is_suspect=lambda _: False),
            count_retry=lambda _: None,
        )
        ctx = SimpleNamespace(clock=FakeClock(0), hooks=hooks)
        budget = SimpleNamespace(
            can_hedge=lambda: True, can_retry=lambda: True, spend=lambda: None
        )
        call = Call(make_request(make_access(registry)), ROUTE, 0)
        retries = CallRetries(ctx, SimpleNamespace(budget=budget), call)
        assert retries.can_hedge()
        registry.update({})
        assert not retries.can_hedge()
        assert not retries.should_retry(NotRun(NotRunReason.KEY_REVOKED))
