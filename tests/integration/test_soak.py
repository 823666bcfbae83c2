"""Soak test: random faults under load, followed by checks of every property.

The faults are drawn from a seed, so that a failed run can be repeated.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence, Set
from contextlib import ExitStack
from itertools import chain, pairwise
from typing import Any

import pytest
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.load._audit import Audit, audit
from cowslippond_standins.load._report import CallRecord
from integration.client import wait_until
from integration.shop import SERVICE
from integration.soak_faults import KINDS, draw_faults, run_soak
from integration.soak_run import SoakRun

pytestmark = pytest.mark.anyio

# Together, these seeds draw every kind of fault.
CI_SEEDS = (1123, 1371)
CI_ROUNDS = 5
LONG_SEEDS = range(1, 21)
LONG_ROUNDS = 12
BROKEN_OUTCOMES = frozenset(('cut', 'not_connected', 'timed_out'))
MAX_LINE_LENGTH = 400
ANSWER_OUTCOMES = frozenset(('answered', 'not-run', 'failed', 'unknown'))


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Select the seeds from the command-line options."""
    if 'seed' not in metafunc.fixturenames:
        return
    chosen = metafunc.config.getoption('--soak-seed')
    is_long = metafunc.config.getoption('--soak')
    seeds = LONG_SEEDS if is_long else CI_SEEDS
    metafunc.parametrize('seed', seeds if chosen is None else (chosen,))


def terminal_writer(config: pytest.Config) -> Callable[[str], None]:
    """Return a function that prints a line even if the test passes."""
    capture = config.pluginmanager.get_plugin('capturemanager')
    reporter = config.pluginmanager.get_plugin('terminalreporter')
    assert capture is not None
    assert reporter is not None

    def write(line: str) -> None:
        with capture.global_and_fixture_disabled():
            reporter.ensure_newline()
            reporter.write_line(f'  {line}')

    return write


def write_effects(run: SoakRun, write: Callable[[str], None]) -> None:
    """Write the effect of each fault, also if the run was aborted."""
    for effect in run.effects:
        write(f'{effect.fault}: {effect.counter} {effect.count}')


def rerun_command(seed: int, *, is_long: bool, without: str) -> str:
    """Return the command that repeats a run."""
    parts = ['pytest tests/integration/test_soak.py']
    if is_long:
        parts.append('--soak')
    parts.append(f'--soak-seed {seed}')
    if without:
        parts.append(f'--without {without}')
    return ' '.join(parts)


def find_breaches(found: Audit) -> dict[str, list[str] | int]:
    """Return the breaches of an audit, except broken connections."""
    return {
        name: value
        for name, value in found._asdict().items()
        if value and name not in {'orders_sent', 'orders_run', 'cut'}
    }


def sources_by_nonce(
    runs: Sequence[tuple[str, Mapping[str, Any]]],
) -> Mapping[str, set[str]]:
    """Return the possible sources of a broken connection, by call nonce.

    The sources are the upstreams that ran the call and the outcomes of its
    runs; the outcome ``truncated`` marks an answer cut short by an upstream.
    """
    sources: dict[str, set[str]] = defaultdict(set)
    for vm, one in runs:
        sources[one['nonce']] |= {vm, one['outcome']}
    return sources


def unexplained_breaks(
    run: SoakRun, runs: Sequence[tuple[str, Mapping[str, Any]]]
) -> list[CallRecord]:
    """Return the calls whose connection broke without a fault as its cause.

    A break is explained if the call was in flight through a VM while that
    was killed, paused or cut off, or if the upstream that ran the call
    truncated its answer: once the head has been forwarded, a truncated answer
    must not end cleanly.
    """
    daemons = {str(link.address): vm for vm, link in run.links.items()}
    by_nonce = sources_by_nonce(runs)
    unexplained = []
    for one in run.results:
        if one.outcome not in BROKEN_OUTCOMES:
            continue
        sources = {daemons[one.via], *by_nonce.get(one.call.nonce, ())}
        if 'truncated' in sources or one.call.nonce in run.truncated_nonces:
            continue
        if not is_explained(run, one, sources):
            unexplained.append(one)
    return unexplained


def is_explained(run: SoakRun, one: CallRecord, sources: Set[str]) -> bool:
    """Return whether a call was in flight through a VM during its fault."""
    start = one.ended - one.elapsed
    return any(
        disturbance.vm in sources
        and start <= disturbance.end
        and disturbance.start <= one.ended
        for disturbance in run.disturbances
    )


class TestDrawFaults:
    def test_seeds_of_ci_draw_every_kind(self) -> None:
        drawn = [draw_faults(seed, CI_ROUNDS) for seed in CI_SEEDS]
        rounds = list(chain.from_iterable(drawn))
        assert {fault.kind for fault in chain.from_iterable(rounds)} == set(
            KINDS
        )
        assert {len(faults) for faults in rounds} == {1, 2}

    def test_every_seed_gives_all_rounds(self) -> None:
        lengths = {len(draw_faults(seed, LONG_ROUNDS)) for seed in range(500)}
        assert lengths == {LONG_ROUNDS}

    def test_same_seed_gives_same_faults(self) -> None:
        assert draw_faults(7, LONG_ROUNDS) == draw_faults(7, LONG_ROUNDS)
        assert draw_faults(7, LONG_ROUNDS) != draw_faults(8, LONG_ROUNDS)


class TestSoak:
    async def test_every_property_holds(
        self, deployment: Deployment, request: pytest.FixtureRequest, seed: int
    ) -> None:
        is_long = request.config.getoption('--soak')
        without = request.config.getoption('--without')
        rounds = draw_faults(seed, LONG_ROUNDS if is_long else CI_ROUNDS)
        write = terminal_writer(request.config)
        write(f'seed {seed}; to repeat this run:')
        write(rerun_command(seed, is_long=is_long, without=without))
        for faults in rounds:
            write(' and '.join(str(fault) for fault in faults))

        run = SoakRun(deployment, seed)
        with ExitStack() as on_exit:
            on_exit.callback(write_effects, run, write)
            await run_soak(run, rounds)
        await run.wait_for_settled_claims()
        outcomes = Counter(one.outcome for one in run.results)
        runs = await run.runs()
        found = audit(run.results, [one for _, one in runs])
        write(f'{len(run.results)} calls, {dict(outcomes)}')
        write(f'{found.orders_run} of {found.orders_sent} orders ran')
        for name, value in find_breaches(found).items():
            write(f'{name}: {value}'[:MAX_LINE_LENGTH])
        assert not find_breaches(found)
        assert outcomes.keys() <= BROKEN_OUTCOMES | ANSWER_OUTCOMES
        broken = unexplained_breaks(run, runs)
        for one in broken:
            sources = sources_by_nonce(runs).get(one.call.nonce)
            write(f'connection broke without a fault: {one}, ran at {sources}')
        assert not broken
        assert not run.stray_bytes
        without_effect = [effect for effect in run.effects if effect.count < 1]
        assert not without_effect
        self.check_versions(run)

        retry_results = await run.retry_unanswered_orders()
        await run.wait_for_settled_claims()
        retry_outcomes = Counter(one.outcome for one in retry_results)
        write(f'outcomes of retried orders: {dict(retry_outcomes)}')
        assert retry_outcomes.keys() <= ANSWER_OUTCOMES
        final_audit = audit(
            [*run.results, *retry_results], await deployment.runs()
        )
        assert not find_breaches(final_audit)
        await self.check_newest(run)

    def check_versions(self, run: SoakRun) -> None:
        """Check that no daemon reverted to an older version."""
        for vm, seen in run.versions.items():
            for earlier, later in pairwise(seen):
                assert earlier[0] <= later[0], vm
                assert earlier[1] <= later[1], vm

    async def check_newest(self, run: SoakRun) -> None:
        """Check that every daemon reaches the newest version."""
        code, printed = await run.change_document()
        assert code == 0, printed
        newest = run.accepted_versions[-1]
        assert run.accepted_versions == sorted(set(run.accepted_versions))
        # Version 1 is the document that the shop was started with. A refused
        # change adds no version.
        certain = 1 + len(run.accepted_versions)
        assert certain <= newest <= certain + run.uncertain_changes

        async def is_in_force_everywhere() -> bool:
            versions = [
                (await daemon.status())['versions'][SERVICE]
                for daemon in run.daemons
            ]
            return set(versions) == {newest}

        await wait_until(is_in_force_everywhere)
