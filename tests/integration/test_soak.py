"""Faults drawn from a seed, and every property checked afterwards."""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence, Set
from itertools import pairwise
from typing import Any

import pytest
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.load._audit import Audit, audit
from cowslippond_standins.load._report import Told
from integration.client import wait_until
from integration.shop import SERVICE
from integration.soak import SoakRun, draw_faults, soak

pytestmark = pytest.mark.anyio

CI_SEEDS = (1, 2)
CI_ROUNDS = 4
LONG_SEEDS = range(1, 21)
LONG_ROUNDS = 12
BROKEN = frozenset(('cut', 'not_connected', 'timed_out'))


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Choose the seeds by the options."""
    chosen = metafunc.config.getoption('--soak-seed')
    is_long = metafunc.config.getoption('--soak')
    seeds = LONG_SEEDS if is_long else CI_SEEDS
    metafunc.parametrize('seed', seeds if chosen is None else (chosen,))


def writer_of(config: pytest.Config) -> Callable[[str], None]:
    """Return what writes a line to the terminal, also of a test that passes."""
    capture = config.pluginmanager.get_plugin('capturemanager')
    reporter = config.pluginmanager.get_plugin('terminalreporter')
    assert capture is not None
    assert reporter is not None

    def write(line: str) -> None:
        with capture.global_and_fixture_disabled():
            reporter.ensure_newline()
            reporter.write_line(f'  {line}')

    return write


def command(seed: int, *, is_long: bool, without: str) -> str:
    """Return the command that repeats a run."""
    parts = ['pytest tests/integration/test_soak.py']
    if is_long:
        parts.append('--soak')
    parts.append(f'--soak-seed {seed}')
    if without:
        parts.append(f'--without {without}')
    return ' '.join(parts)


def breaches_of(found: Audit) -> dict[str, list[str] | int]:
    """Return what an audit found but for broken connections."""
    return {
        name: value
        for name, value in found._asdict().items()
        if value and name not in {'orders_sent', 'orders_run', 'cut'}
    }


def places_of(
    runs: Sequence[tuple[str, Mapping[str, Any]]],
) -> Mapping[str, set[str]]:
    """Return where a break may come from, by the nonce of a call.

    That is each upstream that ran the call. One that broke its answer off is
    named by the outcome.
    """
    places: dict[str, set[str]] = defaultdict(set)
    for vm, one in runs:
        places[one['nonce']] |= {vm, one['outcome']}
    return places


def broken_of(
    run: SoakRun, runs: Sequence[tuple[str, Mapping[str, Any]]]
) -> list[Told]:
    """Return the calls whose connection broke for no drawn fault.

    A break is excused if the call was in flight through a daemon that was
    killed, paused or cut, or if the upstream that ran it broke its answer off:
    after its head is passed on, such an answer must not end cleanly.
    """
    daemons = {str(link.address): vm for vm, link in run.links.items()}
    places = places_of(runs)
    found = []
    for one in run.told:
        if one.outcome not in BROKEN:
            continue
        on_way = {daemons[one.via], *places.get(one.call.nonce, ())}
        if 'truncated' not in on_way and not is_excused(run, one, on_way):
            found.append(one)
    return found


def is_excused(run: SoakRun, one: Told, on_way: Set[str]) -> bool:
    """Tell whether a call was in flight through a VM at its fault."""
    start = one.ended - one.took
    return any(
        disturbance.vm in on_way
        and start <= disturbance.end
        and disturbance.start <= one.ended
        for disturbance in run.disturbed
    )


class TestSoak:
    async def test_every_property_holds(
        self, deployment: Deployment, request: pytest.FixtureRequest, seed: int
    ) -> None:
        is_long = request.config.getoption('--soak')
        without = request.config.getoption('--without')
        rounds = draw_faults(seed, LONG_ROUNDS if is_long else CI_ROUNDS)
        write = writer_of(request.config)
        write(f'seed {seed}, again by:')
        write(command(seed, is_long=is_long, without=without))
        for faults in rounds:
            write(' and '.join(str(fault) for fault in faults))

        run = SoakRun(deployment, seed)
        await soak(run, rounds)
        await run.settle()

        for effect in run.effects:
            write(f'{effect.fault}: {effect.counter} {effect.count}')
        outcomes = Counter(one.outcome for one in run.told)
        runs = await run.runs()
        found = audit(run.told, [one for _, one in runs])
        write(f'{len(run.told)} calls, {dict(outcomes)}')
        write(f'{found}')
        assert not breaches_of(found)
        assert not broken_of(run, runs)
        assert not run.stray_bytes
        weak = [effect for effect in run.effects if effect.count < 1]
        assert not weak
        self.check_versions(run)

        later = await run.ask_again()
        await run.settle()
        assert not {one.outcome for one in later} & BROKEN
        whole = audit([*run.told, *later], await deployment.runs())
        assert not breaches_of(whole)
        await self.check_newest(run)

    def check_versions(self, run: SoakRun) -> None:
        """Check that no daemon went back to an older version."""
        for vm, seen in run.versions.items():
            for earlier, later in pairwise(seen):
                assert earlier[0] <= later[0], vm
                assert earlier[1] <= later[1], vm

    async def check_newest(self, run: SoakRun) -> None:
        """Check that every daemon ends at the newest version."""
        code, printed = await run.change_document()
        assert code == 0, printed
        newest = run.accepted[-1]
        assert run.accepted == sorted(set(run.accepted))

        async def is_everywhere() -> bool:
            versions = [
                (await daemon.status())['versions'][SERVICE]
                for daemon in run.daemons
            ]
            return set(versions) == {newest}

        await wait_until(is_everywhere)
