"""A shop some of whose daemons can be cut off from all upstreams."""

import itertools
import pathlib

import anyio
from cowslippond_standins.fleet import (
    DOMAINS,
    Caller,
    CallResult,
    FleetDeployment,
    Node,
    Verdict,
    route,
)

PARTITION = pathlib.Path(__file__).with_name('partition')
INTERVAL_SECONDS = 0.05
CALLS = (('GET', '/prints/1'), ('POST', '/orders/1'))

# The time after which a daemon has to know that it is cut off.
CONTACT_SECONDS = 3


class Shop:
    """Two sound daemons and two that can be cut off from all upstreams."""

    def __init__(self, fleet: FleetDeployment) -> None:
        self.fleet = fleet
        self.sound: list[Caller] = []
        self.partitioned: list[Caller] = []
        self.nodes: list[Node] = []
        self.numbers = itertools.count()

    async def start(self) -> None:
        fleet = self.fleet
        for service in ('catalogue', 'checkout'):
            for domain in DOMAINS[:2]:
                await fleet.add_backend(service, domain=domain)
        fleet.configure(
            {
                'prints': route('catalogue', prefix='/prints/'),
                'orders': route(
                    'checkout', prefix='/orders/', is_idempotent=False
                ),
            }
        )
        self.sound = [
            self._make_caller(await fleet.add_node(domain))
            for domain in DOMAINS[:2]
        ]
        fleet.environment = {
            'PYTHONPATH': str(PARTITION),
        }
        self.nodes = [await fleet.add_node(domain) for domain in DOMAINS[:2]]
        self.partitioned = [self._make_caller(node) for node in self.nodes]

    def cut(self, mode: str) -> None:
        addresses = [
            f'127.0.0.1:{backend.port}' for backend in self.fleet.backends
        ]
        for node in self.nodes:
            draft = node.settings.with_suffix('.draft')
            draft.write_text('\n'.join((mode, *addresses)))
            draft.rename(node.settings.with_suffix('.cut'))

    def heal(self) -> None:
        for node in self.nodes:
            node.settings.with_suffix('.cut').unlink()

    async def send_calls(self, seconds: float) -> None:
        """Send calls of both kinds to all daemons."""
        async with anyio.create_task_group() as tasks:
            for _ in range(int(seconds / INTERVAL_SECONDS)):
                number = next(self.numbers)
                method, path = CALLS[number % len(CALLS)]
                for caller in (*self.sound, *self.partitioned):
                    tasks.start_soon(self._send, caller, method, path)
                await anyio.sleep(INTERVAL_SECONDS)

    async def _send(self, caller: Caller, method: str, path: str) -> None:
        name = f'{caller.node}-{next(self.numbers)}'
        await caller.send_request(name, path, method=method)

    def _make_caller(self, node: Node) -> Caller:
        return Caller(
            node.name, node.caller_address, self.fleet.tasks, self.fleet.clock
        )


def first_tries(callers: list[Caller], since: float) -> list[CallResult]:
    return [
        one
        for caller in callers
        for one in caller.call_results
        if one.sent_at >= since
    ]


def good_ones(results: list[CallResult]) -> list[CallResult]:
    return [one for one in results if one.verdict is Verdict.GOOD]


async def relayed_calls(node: Node) -> int:
    status = await node.status()
    return int(status['counters'].get('relayed', 0))
