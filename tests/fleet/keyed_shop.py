"""A deployment whose callers need keys, for tests with real daemons."""

import pathlib
from collections.abc import Sequence
from types import MappingProxyType

import anyio
from cowslippond_standins.fleet import (
    DOMAINS,
    Caller,
    FleetDeployment,
    Node,
    Run,
    route,
    workspace,
)

# Equals ``config_apply_ms``: a new version is in force everywhere in this time.
APPLY_MS = 2500

FIRST_KEY = 'first-4f1c9a7d2be8'
SECOND_KEY = 'second-90ab77e0c3d1'
OTHER_KEY = 'other-5d20ee81f6aa'
KEYS = (FIRST_KEY, SECOND_KEY, OTHER_KEY)
ROUTES = MappingProxyType(
    {
        'prints': route('catalogue', prefix='/prints/'),
        'open': route('catalogue', prefix='/open/', is_public=True),
        'slow': route('slow', prefix='/slow/', timeout=20_000, objective=8000),
    }
)
PARTITION = pathlib.Path(__file__).with_name('partition')


def configure(
    fleet: FleetDeployment, first: Sequence[str] = (FIRST_KEY, SECOND_KEY)
) -> None:
    """Write a configuration in which a workspace has the given keys."""
    fleet.configure(
        ROUTES, {'first': workspace(*first), 'other': workspace(OTHER_KEY)}
    )


async def start(fleet: FleetDeployment, nodes: int = 1) -> list[Node]:
    for domain in DOMAINS:
        await fleet.add_backend('catalogue', domain=domain)
    configure(fleet)
    return await fleet.add_nodes(DOMAINS[:nodes])


def caller_of(
    fleet: FleetDeployment, node: Node, key: str | None = FIRST_KEY
) -> Caller:
    return Caller(node.name, node.caller_address, fleet.tasks, fleet.clock, key)


def all_runs(fleet: FleetDeployment) -> list[Run]:
    return [run for backend in fleet.backends for run in backend.runs]


async def wait_refused(caller: Caller, fleet: FleetDeployment) -> float:
    """Send calls until one gets a 401; return how long that took."""
    started_at = fleet.clock.now()
    with anyio.fail_after(10):
        while (await caller.send_request('w', '/prints/1')).status != 401:
            await anyio.sleep(0.02)
    return fleet.clock.now() - started_at


def check_headers(runs: Sequence[Run], names: list[str]) -> None:
    """Check that upstreams got the workspace's name once, and no key."""
    assert runs
    for run in runs:
        assert run.header_values('x-tenant-id') == names
        assert not run.header_values('x_tenant_id')
        assert not run.header_values('authorization')
        assert not any(key in str(run) for key in KEYS)
