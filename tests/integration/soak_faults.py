"""The faults of the soak: what each does, and how a seed draws them."""

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
    NO_ANSWER_MS,
    RETIRE_LIMIT_MS,
    Effect,
    Fault,
    SoakRun,
)

Act = Callable[[SoakRun, Fault, TaskGroup], Awaitable[int]]


async def kill_daemon(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
    """End a daemon at once, and start another one."""
    daemon = run.take_daemon(fault)
    start = run.clock.now()
    daemon.child.kill()
    await run.clock.sleep(BALANCER_LAG_MS)
    run.hand_out_no_more(daemon)
    run.disturb(daemon.vm, start)
    await run.clock.sleep(fault.span)
    await run.platform.control('remove_vm', vm=daemon.vm)
    await run.add_daemon(daemon.failure_domain, group)
    return int(daemon.child.popen.returncode == -signal.SIGKILL)


async def freeze_daemon(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
    """Pause a daemon."""
    daemon = run.take_daemon(fault)
    start = run.clock.now()
    daemon.child.suspend()
    with anyio.move_on_after(seconds_of(NO_ANSWER_MS)) as silence:
        await daemon.status()
    await run.clock.sleep(fault.span - NO_ANSWER_MS)
    daemon.child.resume()
    run.disturb(daemon.vm, start)
    run.busy.discard(daemon.vm)
    return int(silence.cancelled_caught)


async def retire_daemon(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
    """Replace a daemon as planned."""
    daemon = run.take_daemon(fault)
    await run.add_daemon(daemon.failure_domain, group)
    run.hand_out_no_more(daemon)
    code = await run.deployment.retire(daemon, RETIRE_LIMIT_MS)
    return int(code == 0)


async def kill_upstream(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
    """End an upstream at once, and start another one."""
    upstream = run.take_upstream(fault)
    # The ledger's file tells of no outcomes.
    runs = (await upstream.ledger())['runs']
    run.broken_off.update(
        one['nonce'] for one in runs if one['outcome'] == 'truncated'
    )
    start = run.clock.now()
    upstream.child.kill()
    run.disturb(upstream.vm, start)
    await run.clock.sleep(fault.span)
    await run.platform.control('remove_vm', vm=upstream.vm)
    run.upstreams.remove(upstream)
    await run.add_upstream(upstream.failure_domain)
    return int(upstream.child.popen.returncode == -signal.SIGKILL)


def misbehave(
    counter: str, begin: Mapping[str, Any], end: Mapping[str, Any]
) -> Act:
    """Return a fault that an upstream is told to have."""

    async def act(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
        upstream = run.take_upstream(fault)
        before = await count_upstream(upstream, counter)
        await upstream.change(**begin)
        await run.clock.sleep(fault.span)
        await upstream.change(**end)
        after = await count_upstream(upstream, counter)
        # One that was draining comes back as a new VM.
        await run.deployment.register_upstream(upstream)
        run.busy.discard(upstream.vm)
        return after - before

    return act


async def count_upstream(upstream: UpstreamHandle, counter: str) -> int:
    """Return a counter of an upstream."""
    counters = (await upstream.ledger())['counters']
    return int(counters.get(counter, 0))


def fail_link(action: str, counter: str, *, is_of_daemon: bool) -> Act:
    """Return a fault of the link to a daemon or to an upstream."""

    async def act(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
        take = run.take_daemon if is_of_daemon else run.take_upstream
        vm = take(fault).vm
        start = run.clock.now()
        link, proxy = run.links[vm], run.deployment.proxy
        before = (await proxy.counters(link)).get(counter, 0)
        await proxy.command(action, link)
        run.disturb(vm, start)
        await run.clock.sleep(fault.span)
        run.busy.discard(vm)
        return (await proxy.counters(link)).get(counter, 0) - before

    return act


def fail_platform(
    part: str, counter: str, begin: Mapping[str, Any], end: Mapping[str, Any]
) -> Act:
    """Return a fault of a part of the platform."""

    async def act(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
        before = await run.count(part, counter)
        await run.platform.control('set_faults', part=part, **begin)
        await run.clock.sleep(fault.span)
        await run.platform.control('set_faults', part=part, **end)
        return await run.count(part, counter) - before

    return act


async def change_document(run: SoakRun, fault: Fault, group: TaskGroup) -> int:
    """Change the document; the tool tells whether it was accepted."""
    code, _ = await run.change_document()
    return int(code in _OPERATOR_TOLD)


_OPERATOR_TOLD = frozenset(
    (ExitCode.DONE, ExitCode.UNAVAILABLE, ExitCode.UNKNOWN)
)
_NO_OUTAGE = MappingProxyType({'outage': 'none'})
KINDS: Mapping[str, tuple[Act, str]] = MappingProxyType(
    {
        'kill_daemon': (kill_daemon, 'killed'),
        'freeze_daemon': (freeze_daemon, 'silent'),
        'retire_daemon': (retire_daemon, 'exit code 0'),
        'cut_daemon': (fail_link('cut', 'cut', is_of_daemon=True), 'cut'),
        'kill_upstream': (kill_upstream, 'killed'),
        'cut_upstream': (fail_link('cut', 'cut', is_of_daemon=False), 'cut'),
        'silence_upstream': (
            fail_link('silence', 'silenced', is_of_daemon=False),
            'silenced',
        ),
        'drain_upstream': (
            misbehave('draining', {'draining': True}, {'draining': False}),
            'draining',
        ),
        'truncate': (
            misbehave('truncated', {'truncate': 5}, {'truncate': 0}),
            'truncated',
        ),
        'hang': (misbehave('hung', {'hang': True}, {'hang': False}), 'hung'),
        'fail_fast': (
            misbehave(
                'failed_fast', {'fail_fast': 'bare'}, {'fail_fast': 'off'}
            ),
            'failed_fast',
        ),
        'shed': (
            misbehave(
                'shed', {'slots': 0, 'queue': 0}, {'slots': 2, 'queue': 8}
            ),
            'shed',
        ),
        'table_outage': (
            fail_platform('table', 'outages', {'outage': 'cut'}, _NO_OUTAGE),
            'outages',
        ),
        'table_slow': (
            fail_platform(
                'table', 'delayed', {'delay_ms': 300}, {'delay_ms': 0}
            ),
            'delayed',
        ),
        'table_drops': (
            fail_platform(
                'table',
                'answers_dropped',
                {'drop_answers': 5},
                {'drop_answers': 0},
            ),
            'answers_dropped',
        ),
        'table_stale': (
            fail_platform(
                'table', 'stale_reads', {'stale_ms': 3000}, {'stale_ms': 0}
            ),
            'stale_reads',
        ),
        'list_outage': (
            fail_platform('list', 'outages', {'outage': 'error'}, _NO_OUTAGE),
            'outages',
        ),
        'change_document': (change_document, 'told'),
    }
)
# A table that is out shows none of its other faults.
_HIDDEN_BY_OUTAGE = frozenset(
    ('table_slow', 'table_drops', 'table_stale', 'table_outage')
)
_SPANS: Mapping[str, tuple[Millis, Millis]] = MappingProxyType(
    {
        'freeze_daemon': (500, 10_000),
        'kill_daemon': (200, 2000),
    }
)
_USUAL_SPAN: tuple[Millis, Millis] = (1500, 3000)
_LATEST_BEGIN: Millis = 800
_PAIR_SHARE = 0.7


async def bring_about(run: SoakRun, fault: Fault, group: TaskGroup) -> None:
    """Bring a fault about, undo it, and note its effect."""
    await run.clock.sleep(fault.delay)
    act, counter = KINDS[fault.kind]
    count = await act(run, fault, group)
    run.effects.append(Effect(fault, count, counter))


def draw_faults(seed: int, rounds: int) -> list[list[Fault]]:
    """Return rounds of one fault, or of two at a time.

    Kinds come in a shuffled order, so that all are drawn before any again.

    :param seed: the same seed gives the same faults.
    """
    draw = random.Random(seed)
    kinds: list[str] = []
    drawn: list[list[Fault]] = []
    for _ in range(rounds):
        if len(kinds) < 2:
            fresh = [kind for kind in KINDS if kind not in kinds]
            draw.shuffle(fresh)
            kinds = fresh + kinds
        chosen = [kinds.pop()]
        if draw.random() < _PAIR_SHARE:
            fitting = [kind for kind in kinds if fit(chosen[0], kind)]
            chosen.extend(fitting[-1:])
            kinds = [kind for kind in kinds if kind not in chosen]
        drawn.append([draw_fault(kind, draw) for kind in chosen])
    return drawn


def fit(first: str, second: str) -> bool:
    """Tell whether two faults can both take effect at a time."""
    pair = {first, second}
    return 'table_outage' not in pair or not pair <= _HIDDEN_BY_OUTAGE


def draw_fault(kind: str, draw: random.Random) -> Fault:
    """Return a fault of a kind."""
    span = draw.uniform(*_SPANS.get(kind, _USUAL_SPAN))
    delay = draw.uniform(0, _LATEST_BEGIN)
    return Fault(kind, draw.randrange(100), delay, span)


async def soak(run: SoakRun, rounds: Sequence[Sequence[Fault]]) -> None:
    """Load the shop while rounds of faults come and go."""
    async with anyio.create_task_group() as group:
        await run.open(group)
        group.start_soon(run.load, group)
        await run.clock.sleep(BLOCK_MS / 2)
        for faults in rounds:
            async with anyio.create_task_group() as acts:
                for fault in faults:
                    acts.start_soon(bring_about, run, fault, group)
        run.is_over = True
