"""Deployment of platform, upstreams, daemons, balancer and fault proxy."""

import pathlib
import sys
import uuid
from collections.abc import Mapping, Sequence
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any, Self

import anyio
import orjson
from cowslippond_core import Clock, DynamoTable, Millis, accept_document

from cowslippond_standins._address import Address
from cowslippond_standins.harness import _settings
from cowslippond_standins.harness._handles import (
    DaemonHandle,
    UpstreamHandle,
    UpstreamPlan,
)
from cowslippond_standins.harness._links import FaultProxy
from cowslippond_standins.harness._platform import PlatformHandle
from cowslippond_standins.harness._ports import free_ports
from cowslippond_standins.harness._process import child_environment
from cowslippond_standins.harness._processes import Processes
from cowslippond_standins.harness._statsd import StatsdSink, open_sink_socket

_HOST = '127.0.0.1'
_PACKAGE = 'cowslippond_standins'
_DAEMON_PORTS = 3
_BALANCER_LAG: Millis = 300
_TABLE_TIMEOUT: Millis = 5000


class Deployment:
    """Starts the processes of a deployment and kills them on exit.

    :param folder: directory for logs, settings files and ledgers.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes = Processes(folder)
        self.platform = PlatformHandle(self.processes)
        self.proxy = FaultProxy(self.processes)
        self.upstreams: list[UpstreamHandle] = []
        self.daemons: list[DaemonHandle] = []
        self.statsd = StatsdSink()
        self.statsd_address = Address(_HOST, free_ports(1))
        self.daemon_environment: Mapping[str, str] = {}
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start the platform and the statsd sink."""
        group = await self.stack.enter_async_context(anyio.create_task_group())
        self.stack.callback(group.cancel_scope.cancel)
        self.stack.callback(self.processes.kill_all)
        sock = await open_sink_socket(*self.statsd_address)
        group.start_soon(self.statsd.receive, sock)
        await self.platform.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill every process that was started."""
        await self.stack.__aexit__(kind, error, trace)

    async def add_upstreams(
        self,
        plan: UpstreamPlan,
        failure_domains: Sequence[str],
        listed_addresses: Sequence[Address] = (),
        **behaviour: Any,
    ) -> list[UpstreamHandle]:
        """Start one upstream per failure domain, all in one process.

        :param failure_domains: one for each upstream.
        :param listed_addresses: addresses to put on the VM list instead of
            those that the upstreams listen on, in the same order.
        :param behaviour: initial settings and faults of the upstreams.
        """
        first_port = free_ports(len(failure_domains))
        started = await self._start_upstreams(plan, failure_domains, first_port)
        for index, address in enumerate(listed_addresses):
            started[index] = started[index]._replace(listed_address=address)
        for upstream in started:
            await upstream.change(**behaviour)
            await self.register_upstream(upstream)
        self.upstreams.extend(started)
        return started

    async def register_upstream(self, upstream: UpstreamHandle) -> None:
        """Add an upstream to the VM list as a new VM."""
        await self.platform.register_vm(
            upstream.listed_address,
            vm=upstream.vm,
            failure_domain=upstream.failure_domain,
            service=upstream.service,
        )

    async def runs(self) -> list[Mapping[str, Any]]:
        """Return the runs in the ledgers of all upstreams.

        The ledger of an upstream whose process has ended is read from its
        file, which contains only the runs of orders.
        """
        runs: list[Mapping[str, Any]] = []
        stopped_by_ledger: dict[pathlib.Path, UpstreamHandle] = {}
        for upstream in self.upstreams:
            if upstream.child.is_running():
                ledger = await upstream.ledger()
                runs.extend(ledger['runs'])
            else:
                stopped_by_ledger[upstream.ledger_path] = upstream
        for stopped in stopped_by_ledger.values():
            runs.extend(stopped.order_runs())
        return runs

    async def add_daemon(
        self,
        failure_domain: str,
        environment: Mapping[str, str] | None = None,
        module: str = 'cowslippond_daemon',
        **changes: Any,
    ) -> DaemonHandle:
        """Start a daemon, wait for its admin address and register it.

        :param environment: additional environment variables.
        :param module: Python module to run.
        :param changes: settings that override the defaults of the harness.
        """
        addresses = _allocate_addresses()
        port = addresses['caller_address'].port
        vm = f'entry-{port}'
        settings = {
            **_settings.daemon_settings(self.platform.url),
            **{name: str(address) for name, address in addresses.items()},
            'vm': vm,
            'failure_domain': failure_domain,
            'peers': [str(peer.peer_address) for peer in self.daemons],
            'statsd_address': str(self.statsd_address),
            **changes,
        }
        path = self.folder / f'{vm}.json'
        path.write_bytes(orjson.dumps(settings, option=orjson.OPT_INDENT_2))
        child = self.processes.start(
            vm,
            module,
            f'--settings={path}',
            environment={**self.daemon_environment, **(environment or {})},
        )
        daemon = DaemonHandle(
            vm, failure_domain, settings_path=path, child=child, **addresses
        )
        self.daemons.append(daemon)
        url = daemon.admin_url('/status')
        await self.processes.wait_ready(daemon.child, url)
        await self.register_daemon(daemon)
        return daemon

    async def register_daemon(self, daemon: DaemonHandle) -> None:
        """Add a daemon to the VM list as a new VM."""
        await self.platform.register_vm(
            daemon.peer_address,
            vm=daemon.vm,
            failure_domain=daemon.failure_domain,
            service='cowslippond',
            admin_address=str(daemon.admin_address),
            caller_address=str(daemon.caller_address),
        )

    async def wait_serving(self, daemon: DaemonHandle) -> None:
        """Wait until a daemon passes its health check."""
        url = daemon.admin_url('/healthz')
        await self.processes.wait_ready(daemon.child, url)

    async def retire(self, daemon: DaemonHandle, limit: Millis) -> int:
        """Perform a planned stop of a daemon and return its exit code.

        :param limit: maximum time to wait for it to exit, in milliseconds.
        """
        await self.platform.set_state(daemon.vm, 'leaving')
        daemon.child.terminate()
        code = await daemon.child.wait(limit)
        await self.platform.control('remove_vm', vm=daemon.vm)
        return code

    async def add_balancer(self, lag: Millis = _BALANCER_LAG) -> Address:
        """Start a balancer for the daemons on the VM list.

        :param lag: delay in milliseconds between a change of a daemon's
            health and the balancer's reaction.
        """
        port = free_ports(1)
        vm_list_url = self.platform.vm_list_url
        self.processes.start(
            f'balancer-{port}',
            f'{_PACKAGE}.balancer',
            f'--port={port}',
            f'--lag-ms={lag}',
            f'--vm-list-url={vm_list_url}',
        )
        return Address(_HOST, port)

    async def run_ctl(self, *arguments: str) -> tuple[int, str]:
        """Run the operator tool and return its exit code and output."""
        path = self.folder / 'platform.json'
        platform = _settings.platform_settings(self.platform.url)
        path.write_bytes(orjson.dumps(platform))
        command = [sys.executable, '-m', 'cowslippond_ctl', *arguments]
        completed = await anyio.run_process(
            [*command, '--platform', str(path)],
            check=False,
            env=child_environment({}),
        )
        output = completed.stdout + completed.stderr
        return completed.returncode, output.decode()

    async def apply(self, document: str | pathlib.Path) -> tuple[int, str]:
        """Apply a document with the operator tool.

        :param document: path of the document, or its text as a string.
        """
        if isinstance(document, str):
            text = document
            document = self.folder / f'{uuid.uuid4()}.json'
            document.write_text(text)
        return await self.run_ctl('apply', str(document))

    async def accept(self, text: str, author: str = 'harness') -> None:
        """Put a document in force without the operator tool."""
        table = DynamoTable(
            self.platform.url, _settings.TABLE_NAME, _TABLE_TIMEOUT
        )
        answer = await accept_document(table, text, author, None, Clock())
        await table.close()
        if answer.is_error():
            raise ValueError(answer.error)

    async def _start_upstreams(
        self,
        plan: UpstreamPlan,
        failure_domains: Sequence[str],
        first_port: int,
    ) -> list[UpstreamHandle]:
        control_port = free_ports(1)
        count = len(failure_domains)
        service = plan.service
        name = f'{service}-{first_port}'
        ledger_path = self.folder / f'{name}.ledger'
        child = self.processes.start(
            name,
            f'{_PACKAGE}.upstream',
            f'--port={first_port}',
            f'--control-port={control_port}',
            f'--count={count}',
            f'--seed={plan.seed}',
            f'--slots={plan.slots}',
            f'--mean-ms={plan.mean_ms}',
            f'--ledger={ledger_path}',
        )
        control_url = f'http://{_HOST}:{control_port}'
        await self.processes.wait_ready(child, f'{control_url}/ledger')
        return [
            UpstreamHandle(
                vm=f'{name}-{index}',
                service=plan.service,
                failure_domain=domain,
                address=Address(_HOST, first_port + index),
                listed_address=Address(_HOST, first_port + index),
                control_url=f'{control_url}/{index}',
                ledger_path=ledger_path,
                child=child,
            )
            for index, domain in enumerate(failure_domains)
        ]


def _allocate_addresses() -> dict[str, Address]:
    port = free_ports(_DAEMON_PORTS)
    return {
        'caller_address': Address(_HOST, port),
        'admin_address': Address(_HOST, port + 1),
        'peer_address': Address(_HOST, port + 2),
    }
