"""A small shop deployment, with helpers to send and count orders."""

import itertools
from collections import Counter
from collections.abc import Mapping

import anyio
from cowslippond_standins._address import Address
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import (
    DaemonHandle,
    UpstreamHandle,
    UpstreamPlan,
)
from integration.client import Reply, call

SERVICE = 'checkout'
DOCUMENT = """{
  "service": "checkout",
  "match": [{"host": "shop.example", "path_prefix": "/"}],
  "never_repeat": [
    {
      "methods": ["POST"],
      "path": "/orders*",
      "key_header": "idempotency-key",
      "caller_header": "x-caller",
    },
  ],
  "upstreams": {"slots": 2, "max_connections": 250, "mean_service_ms": 20},
  "deadline": {"default_ms": 3000, "ceiling_ms": 6000},
  "measuring": {"share_of_capacity": 0.01},
  "retries": {"share_of_calls": 0.2},
  "hedging": {"share_of_calls": 0.05, "delay_ms": 100},
  "limits": {"concurrency": 64, "queue": 128},
  "priority": "interactive",
  "retirement": {"drain_ms": 6000},
}"""
_WAIT_LIMIT_SECONDS = 15


async def place(
    daemon: DaemonHandle,
    key: str,
    *,
    work: int = 20,
    size: int = 7,
    deadline: int = 3000,
    headers: Mapping[str, str] | None = None,
    body: bytes = b'one pass',
) -> Reply:
    """Send an order through a daemon.

    :param work: the time that the order takes to run, in milliseconds.
    :param size: the size of the answer, in bytes.
    :param deadline: the deadline of the call, in milliseconds.
    """
    return await call(
        daemon.caller_address,
        'POST',
        f'/orders?nonce=receipt&work={work}&size={size}',
        headers={
            'idempotency-key': key,
            'x-caller': 'till-4',
            'x-deadline-ms': str(deadline),
            **(headers or {}),
        },
        body=body,
    )


class Shop:
    """A running deployment with its daemons and upstreams."""

    def __init__(
        self,
        deployment: Deployment,
        daemons: list[DaemonHandle],
        upstreams: list[UpstreamHandle],
    ) -> None:
        self.deployment = deployment
        self.platform = deployment.platform
        self.daemons = daemons
        self.upstreams = upstreams
        self.replies: list[Reply] = []

    async def place_and_record(
        self, daemon: DaemonHandle, key: str, work: int = 20
    ) -> None:
        """Send an order and record its reply."""
        self.replies.append(await place(daemon, key, work=work))

    async def place_with_short_deadline(
        self, daemon: DaemonHandle, key: str
    ) -> None:
        """Send an order with a deadline of 1 s and record its reply."""
        self.replies.append(await place(daemon, key, deadline=1000))

    async def send_lookups(self, address: Address, times: int) -> None:
        """Send lookups one after another and record their replies."""
        for _ in range(times):
            self.replies.append(await call(address, path='/prints'))

    async def count_runs(self, key: str) -> int:
        """Return how often an order ran, from the upstreams' ledgers."""
        runs = await self.deployment.runs()
        return sum(run['order_key'] == key for run in runs)

    async def wait_for_run(self, key: str) -> None:
        """Wait until an order is running or has run."""
        with anyio.fail_after(_WAIT_LIMIT_SECONDS):
            while not await self.count_runs(key):
                await anyio.sleep(0.01)

    async def wait_for_settled_claims(self, daemon: DaemonHandle) -> None:
        """Wait until a daemon has settled all its claims in the table."""
        with anyio.fail_after(_WAIT_LIMIT_SECONDS):
            while (await daemon.status())['unsettled_claims']:
                await anyio.sleep(0.02)

    async def change_upstreams(self, **behaviour: object) -> None:
        """Change the behaviour of all upstreams."""
        for upstream in self.upstreams:
            await upstream.change(**behaviour)

    async def set_faults(self, **faults: object) -> None:
        """Set faults of the table."""
        await self.platform.control('set_faults', part='table', **faults)

    async def clear_faults(self) -> None:
        """Clear all faults of the platform."""
        await self.platform.control('clear_faults')

    async def count(self, name: str) -> int:
        """Return the value of a counter of the table."""
        counters = await self.platform.counters()
        found: int = counters['table'].get(name, 0)
        return found

    async def upstream_counters(self) -> Counter[str]:
        """Return the summed counters of all running upstreams."""
        total: Counter[str] = Counter()
        for upstream in self.upstreams:
            if upstream.child.is_running():
                total.update((await upstream.ledger())['counters'])
        return total

    def count_stopped_upstreams(self) -> int:
        """Return how many upstream processes have exited."""
        children = {upstream.child for upstream in self.upstreams}
        return sum(not child.is_running() for child in children)


async def start_shop(
    deployment: Deployment, daemons: int = 2, upstreams: int = 2
) -> Shop:
    """Start daemons and upstreams, each upstream in a separate process."""
    domains = itertools.cycle(('rvk-1', 'rvk-2', 'rvk-3'))
    for seed in range(upstreams):
        plan = UpstreamPlan(SERVICE, mean_ms=20, seed=seed)
        await deployment.add_upstreams(plan, [next(domains)])
    await deployment.accept(DOCUMENT)
    started = [
        await deployment.add_daemon(domain)
        for domain in itertools.islice(domains, daemons)
    ]
    for daemon in started:
        await deployment.wait_serving(daemon)
    return Shop(deployment, started, deployment.upstreams)
