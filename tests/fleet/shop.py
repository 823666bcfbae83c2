"""A shop with lookups and orders, served by real daemons."""

from types import MappingProxyType

from cowslippond_standins.fleet import (
    DOMAINS,
    Caller,
    FleetDeployment,
    Node,
    route,
)

ROUTES = MappingProxyType(
    {
        'prints': route('catalogue', prefix='/prints/'),
        'orders': route('checkout', prefix='/orders/', is_idempotent=False),
    }
)


async def start_shop(fleet: FleetDeployment, nodes: int = 1) -> list[Node]:
    for domain in DOMAINS:
        await fleet.add_backend('catalogue', domain=domain)
    for domain in DOMAINS[:2]:
        await fleet.add_backend('checkout', domain=domain)
    fleet.configure(ROUTES)
    return await fleet.add_nodes(DOMAINS[:nodes])


def make_caller(fleet: FleetDeployment, node: Node) -> Caller:
    return Caller(node.name, node.caller_address, fleet.tasks, fleet.clock)


def fail_calls(
    fleet: FleetDeployment, status: bytes, *, count: int | None = None
) -> None:
    """Let back ends answer with the status after they have run a call."""
    for backend in fleet.backends[:count]:
        backend.faults.fail = 1
        backend.faults.fail_status = status
