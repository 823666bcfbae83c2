"""Faults of the soak test, and how they are drawn from a seed."""

import random
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import Millis, seconds_of
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_standins.harness._handles import (
    UpstreamHandle,
)
from integration.soak_run import (
    BALANCER_LAG_MS,
    BLOCK_MS,
    RETIRE_LIMIT_MS,
    STATUS_TIMEOUT_MS,
    Effect,
    Fault,
    SoakRun,
)

FaultAction = Callable[[SoakRun, Fault, TaskGroup], Awaitable[int]]


async def kill_daemon(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
    """Kill a daemon and start a replacement."""
    daemon = run.reserve_daemon(fault)
    start = run.clock.now()
    daemon.child.kill()
    await run.clock.sleep(BALANCER_LAG_MS)
    run.withdraw_daemon(daemon)
    run.record_disturbance(daemon.vm, start)
    await run.clock.sleep(fault.duration)
    await run.platform.control('remove_vm', vm=daemon.vm)
    await run.add_daemon(daemon.failure_domain, group)
    return int(daemon.child.popen.returncode == -signal.SIGKILL)


async def freeze_daemon(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
    """Pause a daemon; it must not answer a status request meanwhile."""
    daemon = run.reserve_daemon(fault)
    start = run.clock.now()
    daemon.child.suspend()
    with anyio.move_on_after(seconds_of(STATUS_TIMEOUT_MS)) as status_scope:
        await daemon.status()
    await run.clock.sleep(fault.duration - STATUS_TIMEOUT_MS)
    daemon.child.resume()
    run.record_disturbance(daemon.vm, start)
    run.reserved.discard(daemon.vm)
    return int(status_scope.cancelled_caught)


async def retire_daemon(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
    """Replace a daemon by a planned stop."""
    daemon = run.reserve_daemon(fault)
    await run.add_daemon(daemon.failure_domain, group)
    run.withdraw_daemon(daemon)
    code = await run.deployment.retire(daemon, RETIRE_LIMIT_MS)
    return int(code == 0)


async def kill_upstream(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
    """Kill an upstream and start a replacement."""
    upstream = run.reserve_upstream(fault)
    # The ledger's file, which is read after the kill, has no outcomes.
    runs = (await upstream.ledger())['runs']
    run.truncated_nonces.update(
        one['nonce'] for one in runs if one['outcome'] == 'truncated'
    )
    start = run.clock.now()
    upstream.child.kill()
    run.record_disturbance(upstream.vm, start)
    await run.clock.sleep(fault.duration)
    await run.platform.control('remove_vm', vm=upstream.vm)
    run.upstreams.remove(upstream)
    await run.add_upstream(upstream.failure_domain)
    return int(upstream.child.popen.returncode == -signal.SIGKILL)


def upstream_fault(
    counter: str, begin: Mapping[str, Any], end: Mapping[str, Any]
) -> FaultAction:
    """Return an action that changes the behaviour of an upstream for a time.

    :param counter: the upstream's counter that shows the effect.
    """

    async def inject(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
        upstream = run.reserve_upstream(fault)
        before = await upstream_counter(upstream, counter)
        await upstream.change(**begin)
        await run.clock.sleep(fault.duration)
        await upstream.change(**end)
        after = await upstream_counter(upstream, counter)
        # An upstream that was draining is listed again as a new VM.
        await run.deployment.register_upstream(upstream)
        run.reserved.discard(upstream.vm)
        return after - before

    return inject


async def upstream_counter(upstream: UpstreamHandle, counter: str) -> int:
    """Return the value of a counter of an upstream."""
    counters = (await upstream.ledger())['counters']
    return int(counters.get(counter, 0))


def link_fault(action: str, counter: str, *, is_of_daemon: bool) -> FaultAction:
    """Return an action on the link to a daemon or to an upstream.

    :param counter: the proxy's counter that shows the effect.
    """

    async def inject(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
        reserve = run.reserve_daemon if is_of_daemon else run.reserve_upstream
        vm = reserve(fault).vm
        start = run.clock.now()
        link, proxy = run.links[vm], run.deployment.proxy
        before = (await proxy.counters(link)).get(counter, 0)
        await proxy.command(action, link)
        run.record_disturbance(vm, start)
        await run.clock.sleep(fault.duration)
        run.reserved.discard(vm)
        return (await proxy.counters(link)).get(counter, 0) - before

    return inject


def platform_fault(
    part: str, counter: str, begin: Mapping[str, Any], end: Mapping[str, Any]
) -> FaultAction:
    """Return an action that sets a fault of the platform for a time.

    :param counter: the counter of the part that shows the effect.
    """

    async def inject(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
        before = await run.count(part, counter)
        await run.platform.control('set_faults', part=part, **begin)
        await run.clock.sleep(fault.duration)
        await run.platform.control('set_faults', part=part, **end)
        return await run.count(part, counter) - before

    return inject


async def change_document(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
    """Change the document; the tool must exit with an expected code."""
    code, _ = await run.change_document()
    return int(code in _EXPECTED_EXIT_CODES)


_EXPECTED_EXIT_CODES = frozenset(
    (ExitCode.DONE, ExitCode.UNAVAILABLE, ExitCode.UNKNOWN)
)
_NO_OUTAGE = MappingProxyType({'outage': 'none'})
KINDS: Mapping[str, tuple[FaultAction, str]] = MappingProxyType(
    {
        'kill_daemon': (kill_daemon, 'killed'),
        'freeze_daemon': (freeze_daemon, 'silent'),
        'retire_daemon': (retire_daemon, 'exit code 0'),
        'cut_daemon': (link_fault('cut', 'cut', is_of_daemon=True), 'cut'),
        'kill_upstream': (kill_upstream, 'killed'),
        'cut_upstream': (link_fault('cut', 'cut', is_of_daemon=False), 'cut'),
        'silence_upstream': (
            link_fault('silence', 'silenced', is_of_daemon=False),
            'silenced',
        ),
        'drain_upstream': (
            upstream_fault('draining', {'draining': True}, {'draining': False}),
            'draining',
        ),
        'truncate': (
            upstream_fault('truncated', {'truncate': 5}, {'truncate': 0}),
            'truncated',
        ),
        'hang': (
            upstream_fault('hung', {'hang': True}, {'hang': False}),
            'hung',
        ),
        'fail_fast': (
            upstream_fault(
                'failed_fast', {'fail_fast': 'bare'}, {'fail_fast': 'off'}
            ),
            'failed_fast',
        ),
        'shed': (
            upstream_fault(
                'shed', {'slots': 0, 'queue': 0}, {'slots': 2, 'queue': 8}
            ),
            'shed',
        ),
        'table_outage': (
            platform_fault('table', 'outages', {'outage': 'cut'}, _NO_OUTAGE),
            'outages',
        ),
        'table_slow': (
            platform_fault(
                'table', 'delayed', {'delay_ms': 300}, {'delay_ms': 0}
            ),
            'delayed',
        ),
        'table_drops': (
            platform_fault(
                'table',
                'answers_dropped',
                {'drop_answers': 5},
                {'drop_answers': 0},
            ),
            'answers_dropped',
        ),
        'table_stale': (
            platform_fault(
                'table', 'stale_reads', {'stale_ms': 3000}, {'stale_ms': 0}
            ),
            'stale_reads',
        ),
        'list_outage': (
            platform_fault('list', 'outages', {'outage': 'error'}, _NO_OUTAGE),
            'outages',
        ),
        'change_document': (change_document, 'expected exit code'),
    }
)
# During an outage of the table, its other faults have no effect.
_MASKED_BY_TABLE_OUTAGE = frozenset(
    ('table_slow', 'table_drops', 'table_stale', 'table_outage')
)
_DURATIONS: Mapping[str, tuple[Millis, Millis]] = MappingProxyType(
    {
        'freeze_daemon': (500, 10_000),
        'kill_daemon': (200, 2000),
    }
)
_DEFAULT_DURATIONS: tuple[Millis, Millis] = (1500, 3000)
_LONGEST_DELAY: Millis = 800
_PAIR_PROBABILITY = 0.7


async def inject_fault(run: SoakRun, fault: Fault, group: TaskGroup) -> None:
    """Inject a fault, undo it and record its effect."""
    await run.clock.sleep(fault.delay)
    inject, counter = KINDS[fault.kind]
    count = await inject(run, fault, group)
    run.effects.append(Effect(fault, count, counter))


def draw_faults(seed: int, rounds: int) -> list[list[Fault]]:
    """Return rounds of one fault, or of two faults at a time.

    Kinds are drawn from a shuffled list, so that every kind is drawn before
    any is repeated.

    :param seed: the same seed gives the same faults.
    """
    rng = random.Random(seed)
    kinds: list[str] = []
    drawn: list[list[Fault]] = []
    for _ in range(rounds):
        if len(kinds) < 2:
            fresh = [kind for kind in KINDS if kind not in kinds]
            rng.shuffle(fresh)
            kinds = fresh + kinds
        chosen = [kinds.pop()]
        if rng.random() < _PAIR_PROBABILITY:
            compatible = [
                kind for kind in kinds if can_combine(chosen[0], kind)
            ]
            chosen.extend(compatible[-1:])
            kinds = [kind for kind in kinds if kind not in chosen]
        drawn.append([draw_fault(kind, rng) for kind in chosen])
    return drawn


def can_combine(first: str, second: str) -> bool:
    """Return whether two faults can both take effect at the same time."""
    pair = {first, second}
    return 'table_outage' not in pair or not pair <= _MASKED_BY_TABLE_OUTAGE


def draw_fault(kind: str, rng: random.Random) -> Fault:
    """Return a fault of a kind with a random target, delay and duration."""
    duration = rng.uniform(*_DURATIONS.get(kind, _DEFAULT_DURATIONS))
    delay = rng.uniform(0, _LONGEST_DELAY)
    return Fault(kind, rng.randrange(100), delay, duration)


async def run_soak(run: SoakRun, rounds: Sequence[Sequence[Fault]]) -> None:
    """Run rounds of faults against the shop under load."""
    async with anyio.create_task_group() as group:
        await run.start_shop(group)
        group.start_soon(run.generate_load, group)
        await run.clock.sleep(BLOCK_MS / 2)
        for faults in rounds:
            async with anyio.create_task_group() as injections:
                for fault in faults:
                    injections.start_soon(inject_fault, run, fault, group)
        run.is_finished = True
