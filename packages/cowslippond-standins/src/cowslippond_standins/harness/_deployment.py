"""A whole deployment: platform, upstreams, daemons, balancer, fault proxy."""

import pathlib
import sys
import uuid
from collections.abc import Mapping, Sequence
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any, Self

import anyio
import orjson
from cowslippond_core import Clock, Millis, seconds_of

from cowslippond_standins._address import Address
from cowslippond_standins.harness import _http, _settings
from cowslippond_standins.harness._handles import (
    DaemonHandle,
    LinkHandle,
    UpstreamHandle,
    UpstreamPlan,
)
from cowslippond_standins.harness._ports import free_ports
from cowslippond_standins.harness._process import (
    Child,
    StoppedEarlyError,
    child_environment,
)
from cowslippond_standins.harness._statsd import StatsdSink, open_sink_socket

_HOST = '127.0.0.1'
_READY_LIMIT: Millis = 15_000
_POLL: Millis = 30
_PACKAGE = 'cowslippond_standins'


class Deployment:
    """Start processes, bring about faults, and end every process on exit.

    :param folder: where logs, settings and ledgers go.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.clock = Clock()
        self.children: list[Child] = []
        self.upstreams: list[UpstreamHandle] = []
        self.daemons: list[DaemonHandle] = []
        self.statsd = StatsdSink()
        self.statsd_address = Address(_HOST, free_ports(1))
        self.platform_url = f'http://{_HOST}:{free_ports(1)}'
        self.proxy_url = ''
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start the platform and the sink of counters."""
        group = await self.stack.enter_async_context(anyio.create_task_group())
        self.stack.callback(group.cancel_scope.cancel)
        sock = await open_sink_socket(*self.statsd_address)
        group.start_soon(self.statsd.receive, sock)
        port = self.platform_url.rpartition(':')[2]
        child = self.start('platform', f'{_PACKAGE}.platform', '--port', port)
        await self.wait_ready(child, self.platform_control_url())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process that was started."""
        for child in self.children:
            child.kill()
        await self.stack.__aexit__(kind, error, trace)

    def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        environment: Mapping[str, str] | None = None,
    ) -> Child:
        """Start a process of a Python module."""
        child = Child(name, module, arguments, self.folder, environment or {})
        self.children.append(child)
        return child

    async def wait_ready(self, child: Child, url: str) -> None:
        """Wait until a URL of a process answers."""
        with anyio.fail_after(seconds_of(_READY_LIMIT)):
            while not await _http.is_ok(url):
                if not child.is_running():
                    raise StoppedEarlyError(child.name, child.log())
                await self.clock.sleep(_POLL)

    def platform_control_url(self) -> str:
        """Return the URL of the platform's control port."""
        return f'{self.platform_url}/control'

    async def control(self, command: str, **fields: Any) -> Any:
        """Send a command to the platform and return its counters."""
        return await _http.post_json(
            self.platform_control_url(), {'command': command, **fields}
        )

    async def add_upstreams(
        self,
        plan: UpstreamPlan,
        failure_domains: Sequence[str],
        listed: Sequence[Address] = (),
        **behaviour: Any,
    ) -> list[UpstreamHandle]:
        """Start one upstream for each failure domain, in one process.

        :param listed: addresses on the list of VMs, if they differ.
        :param behaviour: settings and faults to begin with.
        """
        count = len(failure_domains)
        first = free_ports(count)
        control_port = free_ports(1)
        name = f'{plan.service}-{first}'
        ledger = self.folder / f'{name}.ledger'
        child = self.start(
            name,
            f'{_PACKAGE}.upstream',
            f'--port={first}',
            f'--control-port={control_port}',
            f'--count={count}',
            f'--seed={plan.seed}',
            f'--slots={plan.slots}',
            f'--mean-ms={plan.mean_ms}',
            f'--ledger={ledger}',
        )
        control = f'http://{_HOST}:{control_port}'
        await self.wait_ready(child, f'{control}/ledger')
        handles = []
        for index, domain in enumerate(failure_domains):
            address = Address(_HOST, first + index)
            handle = UpstreamHandle(
                vm=f'{name}-{index}',
                service=plan.service,
                address=address,
                listed_address=listed[index] if listed else address,
                control_url=f'{control}/{index}',
                ledger_path=ledger,
                child=child,
            )
            await self.change_upstream(handle, **behaviour)
            await self.list_upstream(handle, domain)
            handles.append(handle)
        self.upstreams.extend(handles)
        return handles

    async def list_upstream(
        self, upstream: UpstreamHandle, failure_domain: str
    ) -> None:
        """Put an upstream on the list of VMs, as a new VM."""
        labels = {
            'vm': upstream.vm,
            'failure_domain': failure_domain,
            'service': upstream.service,
        }
        entry = _settings.list_entry(
            upstream.listed_address, labels, uuid.uuid4().hex
        )
        await self.control('add_vm', vm=entry)

    async def change_upstream(
        self, upstream: UpstreamHandle, **behaviour: Any
    ) -> Any:
        """Set the behaviour of an upstream, and return all of it."""
        return await _http.post_json(
            f'{upstream.control_url}/control', behaviour
        )

    async def ledger(self, upstream: UpstreamHandle) -> Any:
        """Return the ledger of an upstream that runs."""
        return await _http.get_json(f'{upstream.control_url}/ledger')

    async def runs(self) -> list[Mapping[str, Any]]:
        """Return the runs of all upstreams.

        Of an upstream whose process ended, only the orders are known.
        """
        found: list[Mapping[str, Any]] = []
        for upstream in self.upstreams:
            if upstream.child.is_running():
                ledger = await self.ledger(upstream)
                found.extend(ledger['runs'])
        dead = {
            upstream.ledger_path
            for upstream in self.upstreams
            if not upstream.child.is_running()
        }
        for path in dead:
            lines = path.read_bytes().splitlines() if path.exists() else []
            found.extend(orjson.loads(line) for line in lines)
        return found

    async def add_daemon(
        self,
        failure_domain: str,
        environment: Mapping[str, str] | None = None,
        **changes: Any,
    ) -> DaemonHandle:
        """Start a daemon, wait until it serves, and put it on the list.

        :param changes: settings that replace those of the harness.
        """
        port = free_ports(3)
        vm = f'entry-{port}'
        addresses = [Address(_HOST, port + offset) for offset in range(3)]
        path = self.folder / f'{vm}.json'
        arguments = ('cowslippond_daemon', '--settings', str(path))
        peers = [str(daemon.peer_address) for daemon in self.daemons]
        draft = DaemonHandle(
            vm, failure_domain, *addresses, child=self.children[0]
        )
        settings = _settings.daemon_settings(
            draft, self.platform_url, peers, self.statsd_address, changes
        )
        path.write_bytes(orjson.dumps(settings, option=orjson.OPT_INDENT_2))
        child = self.start(vm, *arguments, environment=environment)
        daemon = draft._replace(child=child)
        self.daemons.append(daemon)
        await self.wait_ready(child, daemon.admin_url('/status'))
        await self.list_daemon(daemon)
        return daemon

    async def list_daemon(self, daemon: DaemonHandle) -> None:
        """Put a daemon on the list of VMs."""
        labels = {
            'vm': daemon.vm,
            'failure_domain': daemon.failure_domain,
            'service': 'cowslippond',
            'admin_address': str(daemon.admin_address),
            'caller_address': str(daemon.caller_address),
        }
        entry = _settings.list_entry(
            daemon.peer_address, labels, uuid.uuid4().hex
        )
        await self.control('add_vm', vm=entry)

    async def status(self, daemon: DaemonHandle) -> Any:
        """Return the status of a daemon."""
        return await _http.get_json(daemon.admin_url('/status'))

    async def wait_serving(self, daemon: DaemonHandle) -> None:
        """Wait until a daemon passes its health check."""
        await self.wait_ready(daemon.child, daemon.admin_url('/healthz'))

    async def retire(self, daemon: DaemonHandle, limit: Millis) -> int:
        """Stop a daemon as planned, and return its exit code.

        :param limit: longest wait for its end, in milliseconds.
        """
        await self.control('set_state', vm=daemon.vm, state='leaving')
        daemon.child.ask_to_stop()
        code = await daemon.child.wait(limit)
        await self.control('remove_vm', vm=daemon.vm)
        return code

    async def add_balancer(self, lag_ms: Millis = 300) -> Address:
        """Start a balancer over the daemons on the list of VMs."""
        address = Address(_HOST, free_ports(1))
        self.start(
            f'balancer-{address.port}',
            f'{_PACKAGE}.balancer',
            f'--port={address.port}',
            f'--lag-ms={lag_ms}',
            f'--vm-list-url={self.platform_url}/vms',
        )
        return address

    async def add_link(self, name: str, target: Address) -> LinkHandle:
        """Open a link of the fault proxy to a target."""
        if not self.proxy_url:
            port = free_ports(1)
            self.proxy_url = f'http://{_HOST}:{port}'
            child = self.start(
                'fault-proxy',
                f'{_PACKAGE}.fault_proxy',
                f'--control-port={port}',
            )
            await self.wait_ready(child, f'{self.proxy_url}/counters')
        address = Address(_HOST, free_ports(1))
        link = LinkHandle(name, address, target)
        await self.fault('open', link, listen=str(address), target=str(target))
        return link

    async def fault(
        self, command: str, link: LinkHandle, **fields: Any
    ) -> None:
        """Send a command about a link to the fault proxy.

        :param command: ``faults``, ``cut``, ``silence`` or ``release``.
        """
        url = f'{self.proxy_url}/{command}'
        await _http.post_json(url, {'link': link.name, **fields})

    async def link_counters(self, link: LinkHandle) -> Mapping[str, int]:
        """Return the counters of a link."""
        counters = await _http.get_json(f'{self.proxy_url}/counters')
        found: Mapping[str, int] = counters[link.name]
        return found

    async def operate(self, *arguments: str) -> tuple[int, str]:
        """Run the operator tool, and return its exit code and output."""
        path = self.folder / 'platform.json'
        platform = _settings.platform_settings(self.platform_url)
        path.write_bytes(orjson.dumps(platform))
        command = [sys.executable, '-m', 'cowslippond_ctl', *arguments]
        done = await anyio.run_process(
            [*command, '--platform', str(path)],
            check=False,
            env=child_environment({}),
        )
        output = done.stdout + done.stderr
        return done.returncode, output.decode()

    async def apply(self, document: str | pathlib.Path) -> tuple[int, str]:
        """Apply a document by the operator tool.

        :param document: its file, or its text.
        """
        if isinstance(document, str):
            path = self.folder / f'document-{uuid.uuid4().hex}.json'
            path.write_text(document)
            return await self.operate('apply', str(path))
        return await self.operate('apply', str(document))
