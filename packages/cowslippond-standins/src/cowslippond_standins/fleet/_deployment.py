"""A deployment: store and back ends in this process, daemons as children."""

import itertools
import pathlib
from collections.abc import Mapping, Sequence
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any, NamedTuple, Self

import anyio
import orjson
import tomlkit
from cowslippond_core import Clock, Millis, seconds_of

from cowslippond_standins._address import Address
from cowslippond_standins._serving import Endpoint, make_server
from cowslippond_standins.fleet._backend import Backend
from cowslippond_standins.fleet._hold_ups import HoldUps
from cowslippond_standins.fleet._store_app import StoreApp
from cowslippond_standins.harness import _http
from cowslippond_standins.harness._links import FaultProxy
from cowslippond_standins.harness._ports import free_ports
from cowslippond_standins.harness._process import Child
from cowslippond_standins.harness._processes import Processes

_HOST = '127.0.0.1'
_DAEMON_MODULE = 'cowslippond_daemon.platform'
_FILE_VARIABLE = 'COWSLIPPOND_NODE_FILE'
_PORTS_PER_DAEMON = 3
_READY_TIMEOUT: Millis = 15_000
_POLL_INTERVAL: Millis = 30
_FIRST_DOMAIN = 'north'
DOMAINS = (_FIRST_DOMAIN, 'east', 'south')


class Node(NamedTuple):
    """The addresses, the settings file and the process of one daemon."""

    name: str
    domain: str
    caller_address: Address
    ready_address: Address
    peer_address: Address
    settings: pathlib.Path
    child: Child

    async def is_ready(self) -> bool:
        """Return whether the daemon accepts new connections."""
        return await _http.is_ok(f'http://{self.ready_address}/readyz')

    async def status(self) -> Any:
        """Return the daemon's status document."""
        return await _http.get_json(f'http://{self.ready_address}/status')


class FleetDeployment:
    """Starts the store, back ends and daemons, and stops them on exit.

    :param folder: directory of the settings files and the logs.
    :param bounds: values that override the default ``bounds`` settings.
    """

    def __init__(
        self, folder: pathlib.Path, bounds: Mapping[str, float] | None = None
    ) -> None:
        self.bounds = {**_BOUNDS, **(bounds or {})}
        self.clock = Clock()
        self.hold_ups = HoldUps(self.clock)
        self.processes = Processes(folder)
        self.proxy = FaultProxy(self.processes)
        self.store = StoreApp(self.clock)
        self.store_address = Address(_HOST, free_ports(1))
        self.backends: list[Backend] = []
        self.nodes: list[Node] = []
        self.id_counter = itertools.count(1)
        # Settings that override those of all services in the configuration.
        self.service_settings: dict[str, float] = {}
        self.version = 0
        # The limits of configurations that are written from now on.
        self.limits: dict[str, float] = dict(_LIMITS)
        # Environment variables of the daemons that are started from now on.
        self.environment: dict[str, str] = {}
        self.stack = AsyncExitStack()

    @property
    def folder(self) -> pathlib.Path:
        """The directory of the settings files and the logs."""
        return self.processes.folder

    async def __aenter__(self) -> Self:
        """Start the store."""
        self.tasks = await self.stack.enter_async_context(
            anyio.create_task_group()
        )
        self.stack.callback(self.tasks.cancel_scope.cancel)
        self.stack.callback(self.processes.kill_all)
        server = make_server(Endpoint(self.store, *self.store_address))
        self.tasks.start_soon(server.serve)
        self.tasks.start_soon(self.hold_ups.watch)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes and tasks of the deployment."""
        await self.stack.__aexit__(kind, error, trace)

    def serve_store(self, *, is_lagging: bool = False) -> Address:
        """Serve the store at another address as well, and return it.

        :param is_lagging: whether daemons that use this address see the rows
            as they were before the last restore.
        """
        address = Address(_HOST, free_ports(1))
        if is_lagging:
            self.store.lagging_ports.add(address.port)
        server = make_server(Endpoint(self.store, *address))
        self.tasks.start_soon(server.serve)
        return address

    async def add_backend(
        self, service: str, mean_work: Millis = 15, domain: str = _FIRST_DOMAIN
    ) -> Backend:
        """Start a back end and list it in the store."""
        backend = Backend(f'i-{next(self.id_counter)}', mean_work, self.clock)
        await self.tasks.start(backend.serve)
        self.backends.append(backend)
        self.list_backend(backend, service, domain)
        return backend

    def list_backend(
        self,
        backend: Backend,
        service: str,
        domain: str,
        state: str = 'ready',
        port: int | None = None,
    ) -> None:
        """Write the store entry of a back end.

        :param port: port to list, if it differs from the back end's own.
        """
        self.store.write(
            'servers',
            backend.name,
            {
                'service': service,
                'address': str(Address(_HOST, port or backend.port)),
                'zone': domain,
                'version': 'v1',
                'slots': backend.slots,
                'state': state,
                'warmup_left_ms': int(_warm_up_of(backend)),
                'sequence': 1,
                'born': 1,
            },
        )

    def unlist_backend(self, backend: Backend) -> None:
        """Remove the store entry of a back end."""
        self.store.write('servers', backend.name, None)

    def evacuate(self, domain: str, *, is_evacuated: bool = True) -> None:
        """Begin or end the evacuation of a failure domain as an operator."""
        payload: dict[str, str] | None = {} if is_evacuated else None
        self.store.write('op', f'evacuate/{domain}', payload)

    def configure(
        self,
        routes: Mapping[str, Mapping[str, Any]],
        workspaces: Mapping[str, Mapping[str, Any]] | None = None,
    ) -> int:
        """Write a configuration with these routes and return its version.

        :param workspaces: the workspaces by name; ``None`` if callers need no
            keys.
        """
        self.version += 1
        services = {
            name for route in routes.values() for name in _services_of(route)
        }
        self.store.write(
            'op',
            'config',
            {
                'version': _format_version(self.version),
                'routes': dict(routes),
                'services': {
                    name: {**_SERVICE, **self.service_settings}
                    for name in services
                },
                'limits': self.limits,
                'base_version': _format_version(self.version - 1),
                **({} if workspaces is None else {'tenants': dict(workspaces)}),
            },
        )
        return self.version

    async def add_node(self, domain: str, store: Address | None = None) -> Node:
        """Start a daemon and wait until it is ready.

        :param store: address at which the daemon reaches the store, such as
            that of a fault proxy link; by default the store's own address.
        """
        name = f'front-{next(self.id_counter)}'
        first_port = free_ports(_PORTS_PER_DAEMON)
        addresses = [
            Address(_HOST, first_port + offset)
            for offset in range(_PORTS_PER_DAEMON)
        ]
        settings_path = self.folder / f'{name}.toml'
        caller_address, ready_address, peer_address = addresses
        seeds = [str(node.peer_address) for node in self.nodes[:3]]
        node_settings = {
            'node': name,
            'ip': _HOST,
            'zone': domain,
            'seeds': seeds or [str(peer_address)],
            'listen': {
                'front': str(caller_address),
                'ready_addr': str(ready_address),
                'control': str(peer_address),
            },
            'bounds': self.bounds,
            'platform': {'address': str(store or self.store_address)},
        }
        settings_path.write_text(tomlkit.dumps(node_settings))
        node = Node(
            name,
            domain,
            caller_address,
            ready_address,
            peer_address,
            settings_path,
            self._start_daemon(name),
        )
        self.nodes.append(node)
        await self.wait_ready(node)
        return node

    async def restart_node(self, node: Node) -> Node:
        """Restart a daemon whose process has ended."""
        restarted = node._replace(child=self._start_daemon(node.name))
        self.nodes[self.nodes.index(node)] = restarted
        await self.wait_ready(restarted)
        return restarted

    async def wait_ready(self, node: Node) -> None:
        """Wait until a daemon accepts new connections."""
        with anyio.fail_after(seconds_of(_READY_TIMEOUT)):
            while not await node.is_ready():
                await self.clock.sleep(_POLL_INTERVAL)

    async def add_nodes(self, domains: Sequence[str]) -> list[Node]:
        """Start one daemon in each of the given failure domains."""
        return [await self.add_node(domain) for domain in domains]

    def _start_daemon(self, name: str) -> Child:
        settings_path = self.folder / f'{name}.toml'
        return self.processes.start(
            name,
            _DAEMON_MODULE,
            environment={
                _FILE_VARIABLE: str(settings_path),
                **self.environment,
            },
        )


def route(
    service: str,
    *,
    host: str = 'shop.example',
    prefix: str = '/',
    is_idempotent: bool = True,
    timeout: Millis = 2000,
    split: Sequence[tuple[str, float]] = (),
    is_public: bool = False,
    objective: Millis = 200,
) -> dict[str, Any]:
    """Return a route in the format of the configuration document."""
    entry: dict[str, Any] = {
        'host': host,
        'path_prefix': prefix,
        'kind': 'idempotent' if is_idempotent else 'non_idempotent',
        'timeout_ms': timeout,
        'target_latency_ms': objective,
        'priority': 1,
        'max_attempts': 3,
    }
    if split:
        entry['traffic_split'] = [
            {'service': part, 'weight': weight} for part, weight in split
        ]
    else:
        entry['service'] = service
    if is_public:
        entry['public'] = True
    return entry


def workspace(
    *keys: str, priority: int = 1, rate: float = 0, burst: float = 0
) -> dict[str, Any]:
    """Return a workspace in the format of the configuration document."""
    return {
        'api_keys': list(keys),
        'priority': priority,
        'rate_per_s': rate,
        'burst': burst,
    }


def _warm_up_of(backend: object) -> Millis:
    """Return for how much longer a back end is cold; only some ever are."""
    return backend.warm_up_left() if isinstance(backend, Backend) else 0


def _format_version(version: int) -> str:
    return format(version, '08x')


def _services_of(entry: Mapping[str, Any]) -> list[str]:
    parts = entry.get('traffic_split') or (entry,)
    return [str(part['service']) for part in parts]


_SERVICE = orjson.loads(
    '{"health_path": "/healthz", "max_connections": 260,'
    ' "protocol": "h1", "tls": false}'
)
_LIMITS = orjson.loads(
    '{"max_header_bytes": 16384, "max_body_bytes": 67108864,'
    ' "header_timeout_ms": 3000, "idle_timeout_ms": 15000}'
)
_BOUNDS = orjson.loads(
    '{"grace_s": 6, "retry_budget_ratio": 0.2, "budget_slack": 62,'
    ' "retry_window_s": 10, "probes_per_s": 60}'
)
