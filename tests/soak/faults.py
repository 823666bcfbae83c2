"""Faults of the soak test, drawn from a seed and injected from outside."""

import random
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from cowslippond_core import Millis

if TYPE_CHECKING:
    from soak.run import SoakRun

#: The latest start and the longest duration of a fault.
LATEST_START: Millis = 9000
LONGEST_DURATION: Millis = 3500

#: The rate that a limited back end announces, in requests per second.
RATE_LIMIT = 2

PARTITION_MODES = ('hang', 'reset', 'live')


class Fault(NamedTuple):
    """One fault: its kind, its target, its start and its duration.

    ``target_index``, modulo the number of targets, selects the target.
    ``start`` is measured from the start of the load.
    """

    kind: str
    target_index: int
    start: Millis
    duration: Millis


def draw_faults(seed: int, count: int) -> list[Fault]:
    """Return faults with random start times, which may overlap."""
    rng = random.Random(seed)
    return [
        Fault(
            rng.choice(sorted(KINDS)),
            rng.randrange(1000),
            rng.uniform(0, LATEST_START),
            rng.uniform(LONGEST_DURATION / 5, LONGEST_DURATION),
        )
        for _ in range(count)
    ]


def draw_announcements(seed: int, count: int) -> list[Fault]:
    """Return announcements of back ends and partitions of daemons.

    They are drawn apart, so that the other faults of a seed stay the same.
    """
    rng = random.Random(f'announcements {seed}')
    return [
        Fault(
            rng.choice(sorted(ANNOUNCEMENT_KINDS)),
            rng.randrange(1000),
            rng.uniform(0, LATEST_START),
            rng.uniform(LONGEST_DURATION / 2, LONGEST_DURATION),
        )
        for _ in range(count)
    ]


async def _inject_store_fault(run: 'SoakRun', fault: Fault, mode: str) -> None:
    run.fleet.store.faults.mode = mode
    await run.clock.sleep(fault.duration)
    run.fleet.store.faults.mode = 'well'


async def store_down(run: 'SoakRun', fault: Fault) -> None:
    """The store refuses every call."""
    await _inject_store_fault(run, fault, 'refusing')


async def store_silent(run: 'SoakRun', fault: Fault) -> None:
    """The store accepts calls and never answers."""
    await _inject_store_fault(run, fault, 'silent')


async def store_slow(run: 'SoakRun', fault: Fault) -> None:
    """The store answers with a delay."""
    run.fleet.store.faults.delay = 200
    await run.clock.sleep(fault.duration)
    run.fleet.store.faults.delay = 0


async def store_forgets(run: 'SoakRun', fault: Fault) -> None:
    """The store truncates its change history."""
    run.fleet.store.rows.truncate_history()


async def entries_lapse(run: 'SoakRun', fault: Fault) -> None:
    """Entries expire while the store is silent, and return afterwards."""
    run.fleet.store.faults.mode = 'silent'
    listed = [linked for linked in run.linked_backends if not linked.is_leaving]
    for linked in listed:
        run.fleet.unlist_backend(linked.backend)
    await run.clock.sleep(fault.duration)
    run.fleet.store.faults.mode = 'well'
    await run.clock.sleep(1000)
    for linked in listed:
        if not linked.is_leaving:
            run.publish_entry(linked)


async def store_cut(run: 'SoakRun', fault: Fault) -> None:
    """One daemon loses the store, first on its open connections."""
    link = run.store_links[fault.target_index % len(run.store_links)]
    await run.fleet.proxy.command('silence', link)
    await run.fleet.proxy.command('faults', link, refuse_new=True)
    await run.clock.sleep(fault.duration)
    await run.fleet.proxy.command('faults', link, refuse_new=False)


async def link_slow(run: 'SoakRun', fault: Fault) -> None:
    """Answers from one back end are delayed."""
    link = run.pick_backend(fault).link
    await run.fleet.proxy.command('faults', link, delay_down_ms=60)
    await run.clock.sleep(fault.duration)
    await run.fleet.proxy.command('faults', link, delay_down_ms=0)


async def link_reset(run: 'SoakRun', fault: Fault) -> None:
    """All connections to a back end are reset."""
    await run.fleet.proxy.command('cut', run.pick_backend(fault).link)


async def link_silent(run: 'SoakRun', fault: Fault) -> None:
    """Open connections to a back end go silent permanently; new ones work."""
    await run.fleet.proxy.command('silence', run.pick_backend(fault).link)


async def link_one_way(run: 'SoakRun', fault: Fault) -> None:
    """Answers on new connections to a back end are dropped."""
    link = run.pick_backend(fault).link
    await run.fleet.proxy.command('faults', link, silent=['down'])
    await run.clock.sleep(fault.duration)
    await run.fleet.proxy.command('faults', link, silent=[])
    await run.fleet.proxy.command('cut', link)


def _backend_fault(name: str, share: float) -> Callable[..., Awaitable[None]]:
    async def inject(run: 'SoakRun', fault: Fault) -> None:
        faults = run.pick_backend(fault).backend.faults
        setattr(faults, name, share)
        await run.clock.sleep(fault.duration)
        setattr(faults, name, 0)

    return inject


async def backend_replaced(run: 'SoakRun', fault: Fault) -> None:
    """A back end announces that it leaves, and is replaced."""
    await run.replace_backend(run.pick_backend(fault))


async def daemon_killed(run: 'SoakRun', fault: Fault) -> None:
    """A daemon is killed and restarted."""
    await run.restart(fault, is_planned=False)


async def daemon_stopped(run: 'SoakRun', fault: Fault) -> None:
    """A daemon is stopped gracefully and restarted."""
    await run.restart(fault, is_planned=True)


async def daemon_frozen(run: 'SoakRun', fault: Fault) -> None:
    """A daemon is paused and resumed."""
    node = run.pick_node(fault)
    if node is None:
        return
    with run.reserve(node):
        run.record_disturbance(node.name, fault.duration)
        node.child.suspend()
        await run.clock.sleep(fault.duration)
        node.child.resume()


async def daemon_reloaded(run: 'SoakRun', fault: Fault) -> None:
    """The settings of a daemon are changed and reloaded."""
    node = run.pick_node(fault)
    if node is None:
        return
    text = node.settings.read_text()
    rate = 50 + fault.target_index % 10
    lines = [
        f'probes_per_s = {rate}' if line.startswith('probes_per_s') else line
        for line in text.splitlines()
    ]
    node.settings.write_text('\n'.join(lines))
    node.child.popen.send_signal(1)


async def configured(run: 'SoakRun', fault: Fault) -> None:
    """The operator writes a new version of the configuration."""
    run.configure()


async def backend_limited(run: 'SoakRun', fault: Fault) -> None:
    """A back end announces a rate limit."""
    linked = run.pick_backend(fault)
    linked.backend.announced.rate_limit = RATE_LIMIT
    started_at = run.clock.now()
    await run.clock.sleep(fault.duration)
    linked.backend.announced.rate_limit = None
    run.limited.append((linked, started_at, run.clock.now()))


async def backend_paused(run: 'SoakRun', fault: Fault) -> None:
    """A back end refuses all requests and asks for a pause."""
    announced = run.pick_backend(fault).backend.announced
    announced.pause = '1.5'
    await run.clock.sleep(fault.duration)
    announced.pause = None


async def backend_says_it_leaves(run: 'SoakRun', fault: Fault) -> None:
    """A back end that is replaced says so in its answers, too."""
    linked = run.pick_backend(fault)
    linked.backend.announced.leaving_answers = frozenset(('success', 'health'))
    await run.replace_backend(linked)


async def daemon_partitioned(run: 'SoakRun', fault: Fault) -> None:
    """A daemon loses all back ends, but not callers, peers and store."""
    node = run.pick_node(fault)
    if node is None:
        return
    with run.reserve(node):
        run.record_disturbance(node.name, fault.duration)
        mode = PARTITION_MODES[fault.target_index % len(PARTITION_MODES)]
        links = [str(one.link.address) for one in run.linked_backends]
        cut_file = node.settings.with_suffix('.cut')
        cut_file.write_text('\n'.join((mode, *links)))
        await run.clock.sleep(fault.duration)
        cut_file.unlink()


FaultAction = Callable[['SoakRun', Fault], Awaitable[None]]

KINDS: Mapping[str, FaultAction] = MappingProxyType(
    {
        'store_down': store_down,
        'store_silent': store_silent,
        'store_slow': store_slow,
        'store_forgets': store_forgets,
        'entries_lapse': entries_lapse,
        'store_cut': store_cut,
        'link_slow': link_slow,
        'link_reset': link_reset,
        'link_silent': link_silent,
        'link_one_way': link_one_way,
        'backend_hangs': _backend_fault('hang', 0.5),
        'backend_fails': _backend_fault('fail', 0.5),
        'backend_loses': _backend_fault('lose', 0.3),
        'backend_truncates': _backend_fault('truncate', 0.3),
        'backend_adds': _backend_fault('extra', 0.3),
        'backend_unframed': _backend_fault('unframed', 0.3),
        'backend_replaced': backend_replaced,
        'daemon_killed': daemon_killed,
        'daemon_stopped': daemon_stopped,
        'daemon_frozen': daemon_frozen,
        'daemon_reloaded': daemon_reloaded,
        'configured': configured,
    }
)

ANNOUNCEMENT_KINDS: Mapping[str, FaultAction] = MappingProxyType(
    {
        'backend_limited': backend_limited,
        'backend_paused': backend_paused,
        'backend_says_it_leaves': backend_says_it_leaves,
        'daemon_partitioned': daemon_partitioned,
    }
)
