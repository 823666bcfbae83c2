"""The bound of quotas under faults, in virtual time and from a seed."""

import anyio
import pytest
from quota_fakes import (
    FakeDaemon,
    FakeFleet,
    run_virtual,
    unequal_workspaces,
    workspace,
)

SEEDS = (1, 2, 3)
LARGE = workspace('large', 169)
SMALL = workspace('small', 1)

# Owners of a fleet that just started grant tokens, and have full buckets, after
# this time. Faults follow soon, while the burst counts in the same window.
SETTLE_SECONDS = 5
JOINT_START_MS = 3000
ASSUMED_DAEMONS = 24
FAULT_SECONDS = 0.5

# What the users allow: at least this share of the calls below the limit is
# admitted, wherever they arrive.
MIN_SHARE = 0.98

# A workspace may send this many times its usual load, which is 1 / 1.6 of its
# quota.
FLOOD = 8 / 1.6
USUAL = 1 / 1.6

NAMES = (LARGE.name, SMALL.name)


class Scenario:
    """A fleet that two workspaces call, while faults are brought about."""

    def __init__(self, seed: int, daemons: int = 24) -> None:
        self.fleet = FakeFleet([LARGE, SMALL], seed)
        self.fleet.add(daemons)
        self.seconds: float = 0

    async def start(
        self, tasks: anyio.abc.TaskGroup, load: float, seconds: float
    ) -> None:
        """Start the daemons, wait until they have settled, and send calls.

        :param load: the load of both workspaces, as a multiple of the quota.
        """
        tasks.start_soon(self.fleet.run, SETTLE_SECONDS + seconds)
        await anyio.sleep(SETTLE_SECONDS)
        for limit in (LARGE, SMALL):
            tasks.start_soon(
                self.fleet.send_calls, limit.name, limit.rate * load, seconds
            )
        await anyio.sleep(FAULT_SECONDS)

    def daemon(self, address: str) -> FakeDaemon:
        return self.fleet.daemons[address]

    def separate_lists(self) -> None:
        for half in self.halves():
            for address in half:
                self.daemon(address).listed = half

    def halves(self) -> tuple[set[str], set[str]]:
        addresses = list(self.fleet.daemons)
        middle = len(addresses) // 2
        return set(addresses[:middle]), set(addresses[middle:])


@pytest.mark.parametrize('load', [USUAL, FLOOD])
class TestOwner:
    @pytest.mark.parametrize('seed', SEEDS)
    def test_killed_owner_costs_only_its_share(
        self, seed: int, load: float
    ) -> None:
        async def run() -> None:
            scenario = Scenario(seed)
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, load, 14)
                for name in NAMES:
                    owner = scenario.fleet.owners(name)[0]
                    scenario.daemon(owner).is_running = False
            scenario.fleet.assert_bounds()
            if load < 1:
                assert scenario.fleet.admitted_share(NAMES) >= MIN_SHARE

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_paused_owner_grants_nothing_late(
        self, seed: int, load: float
    ) -> None:
        async def run() -> None:
            scenario = Scenario(seed)
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, load, 14)
                for owner in scenario.fleet.owners('large')[:4]:
                    tasks.start_soon(scenario.daemon(owner).pause, 4)
            scenario.fleet.assert_bounds()

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_restarted_owner_starts_with_an_empty_bucket(
        self, seed: int, load: float
    ) -> None:
        async def run() -> None:
            scenario = Scenario(seed)
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, load, 16)
                for owner in scenario.fleet.owners('large'):
                    scenario.daemon(owner).start()
                    await anyio.sleep(1)
            scenario.fleet.assert_bounds()

        run_virtual(run)


def restart_together(fleet: FakeFleet) -> None:
    """Restart all daemons, which know that all peers have just started."""
    for daemon in fleet.daemons.values():
        daemon.start()
        daemon.limiter.ownership.is_first_until = (
            fleet.clock.now() + JOINT_START_MS
        )


def list_some(fleet: FakeFleet, addresses: list[str], count: int) -> None:
    """Let each daemon know some others, drawn at random."""
    for daemon in fleet.daemons.values():
        daemon.listed = set(fleet.rng.sample(addresses, count))


class TestFleet:
    @pytest.mark.parametrize('seed', SEEDS)
    def test_all_daemons_restart_at_once(self, seed: int) -> None:
        async def run() -> None:
            scenario = Scenario(seed)
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, FLOOD, 12)
                for daemon in scenario.fleet.daemons.values():
                    daemon.start()
            scenario.fleet.assert_bounds()

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_a_joint_start_needs_no_wait_for_displaced_owners(
        self, seed: int
    ) -> None:
        """After a loss of power, all calls were refused for 2.5 s."""

        async def run() -> None:
            scenario = Scenario(seed)
            fleet = scenario.fleet
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, USUAL, 12)
                restart_together(fleet)
                restarted_at = fleet.clock.now()
                await anyio.sleep(1)
                served = [at for at in fleet.runs['large'] if at > restarted_at]
            fleet.assert_bounds()
            assert len(served) > LARGE.rate * USUAL * 0.8

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_a_joint_start_with_short_lists_stays_within_the_bound(
        self, seed: int
    ) -> None:
        """Each daemon that knows only itself owns every share."""

        async def run() -> None:
            scenario = Scenario(seed)
            fleet = scenario.fleet
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, FLOOD, 14)
                addresses = list(fleet.daemons)
                restart_together(fleet)
                for daemon in fleet.daemons.values():
                    daemon.supposed_size = ASSUMED_DAEMONS
                count = len(addresses)
                for known in range(count):
                    list_some(fleet, addresses, known)
                    await anyio.sleep(2 / count)
                for daemon in fleet.daemons.values():
                    daemon.listed = None
            fleet.assert_bounds()

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_daemons_join_and_hear_of_each_other_late(self, seed: int) -> None:
        """Owners that are displaced go on granting until they know it."""

        async def run() -> None:
            scenario = Scenario(seed)
            fleet = scenario.fleet
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, FLOOD, 16)
                old = set(fleet.daemons)
                for address in old:
                    scenario.daemon(address).listed = old
                fleet.add(8)
                joined = set(fleet.daemons)
                for address in old:
                    await anyio.sleep(2 / len(old))
                    scenario.daemon(address).listed = joined
            fleet.assert_bounds()

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_half_of_the_daemons_are_killed(self, seed: int) -> None:
        async def run() -> None:
            scenario = Scenario(seed)
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, FLOOD, 14)
                for address in scenario.halves()[0]:
                    scenario.daemon(address).is_running = False
            scenario.fleet.assert_bounds()

        run_virtual(run)


class TestPartition:
    @pytest.mark.parametrize('seed', SEEDS)
    @pytest.mark.parametrize('forgets', [False, True])
    def test_two_halves(self, seed: int, *, forgets: bool) -> None:
        """Each half chose owners of its own once it had lost the other."""

        async def run() -> None:
            scenario = Scenario(seed)
            fleet = scenario.fleet
            first, _ = scenario.halves()
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, FLOOD, 20)
                fleet.is_cut = lambda sender, to: (
                    (sender in first) != (to in first)
                )
                await anyio.sleep(4)
                if forgets:
                    scenario.separate_lists()
                await anyio.sleep(8)
                fleet.is_cut = lambda sender, to: False
                for daemon in fleet.daemons.values():
                    daemon.listed = None
            fleet.assert_bounds()

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_every_daemon_alone(self, seed: int) -> None:
        """All of them together admit no more than the slack of the bound."""

        async def run() -> None:
            scenario = Scenario(seed, daemons=136)
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, FLOOD, 14)
                scenario.fleet.is_cut = lambda sender, to: True
                # Each daemon gets calls of the small workspace.
                tasks.start_soon(scenario.fleet.send_calls, 'small', 100, 10)
            scenario.fleet.assert_bounds()

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_restarted_daemon_knows_only_itself_and_the_fleet_size(
        self, seed: int
    ) -> None:
        async def run() -> None:
            scenario = Scenario(seed)
            fleet = scenario.fleet
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, FLOOD, 14)
                for address in list(fleet.daemons)[:3]:
                    daemon = scenario.daemon(address)
                    daemon.start()
                    daemon.listed = {address}
                    daemon.supposed_size = len(fleet.daemons)
            fleet.assert_bounds()

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    @pytest.mark.parametrize('is_to_owners', [False, True])
    def test_one_way_loss(self, seed: int, *, is_to_owners: bool) -> None:
        """Owners grant tokens that never arrive, or are never asked."""

        async def run() -> None:
            scenario = Scenario(seed)
            fleet = scenario.fleet
            owners = set(fleet.owners('large')[:3])
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, USUAL, 14)
                fleet.is_cut = lambda sender, to: (
                    to in owners if is_to_owners else sender in owners
                )
            fleet.assert_bounds()
            assert fleet.admitted_share(NAMES) >= MIN_SHARE

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_lost_datagrams(self, seed: int) -> None:
        async def run() -> None:
            scenario = Scenario(seed)
            scenario.fleet.loss = 0.1
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, USUAL, 14)
            scenario.fleet.assert_bounds()
            assert scenario.fleet.admitted_share(NAMES) >= MIN_SHARE

        run_virtual(run)


class TestLists:
    @pytest.mark.parametrize('seed', (*SEEDS, 9, 24))
    def test_each_daemon_lacks_some_others(self, seed: int) -> None:
        async def run() -> None:
            scenario = Scenario(seed)
            fleet = scenario.fleet
            addresses = list(fleet.daemons)
            for daemon in fleet.daemons.values():
                daemon.listed = set(fleet.rng.sample(addresses, 21))
                daemon.supposed_size = len(addresses)
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, FLOOD, 14)
            fleet.assert_bounds()

        run_virtual(run)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_lists_hold_daemons_that_are_gone(self, seed: int) -> None:
        """A third of the owners never answers."""

        async def run() -> None:
            scenario = Scenario(seed)
            fleet = scenario.fleet
            for address in fleet.owners('large')[::3]:
                scenario.daemon(address).is_running = False
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, USUAL, 14)
            fleet.assert_bounds()
            assert fleet.admitted_share(NAMES) >= MIN_SHARE

        run_virtual(run)


class TestLimits:
    @pytest.mark.parametrize('seed', SEEDS)
    def test_lowered_limit_binds_after_a_window(self, seed: int) -> None:
        async def run() -> None:
            scenario = Scenario(seed)
            fleet = scenario.fleet
            async with anyio.create_task_group() as tasks:
                await scenario.start(tasks, FLOOD, 20)
                lowered = {'large': workspace('large', 20)}
                for daemon in fleet.daemons.values():
                    await anyio.sleep(2 / 24)
                    daemon.workspaces = lowered
                since = fleet.clock.now()
            # One window after all daemons know of the new limit.
            busiest = fleet.busiest_window('large', since + 5000)
            assert busiest <= (20 * 5 + 20) * 1.1 + 20

        run_virtual(run)


class TestUsualLoad:
    @pytest.mark.parametrize(
        ('is_spread', 'load'), [(True, 1), (False, 1), (True, 0.95 / USUAL)]
    )
    def test_unequal_workspaces_are_admitted(
        self, load: float, *, is_spread: bool
    ) -> None:
        """Spread over all of 136 daemons, or each at one of them.

        :param load: a multiple of the usual load.
        """
        names = unequal_workspaces()

        async def run() -> None:
            fleet = FakeFleet(
                [workspace(name, use * 1.6) for name, use in names.items()], 1
            )
            fleet.add(136)
            addresses = list(fleet.daemons)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.run, SETTLE_SECONDS + 10)
                await anyio.sleep(SETTLE_SECONDS)
                for name, use in names.items():
                    chosen = (
                        None if is_spread else [fleet.rng.choice(addresses)]
                    )
                    tasks.start_soon(
                        fleet.send_calls, name, use * load, 10, chosen
                    )
            fleet.assert_bounds()
            assert fleet.admitted_share(names) >= MIN_SHARE

        run_virtual(run)

    @pytest.mark.parametrize('is_spread', [True, False])
    def test_flood_of_one_workspace_costs_the_others_nothing(
        self, *, is_spread: bool
    ) -> None:
        names = unequal_workspaces()
        flooding, *others = names

        async def run() -> None:
            fleet = FakeFleet(
                [workspace(name, use * 1.6) for name, use in names.items()], 1
            )
            fleet.add(136)
            chosen = None if is_spread else list(fleet.daemons)[:1]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.run, SETTLE_SECONDS + 10)
                await anyio.sleep(SETTLE_SECONDS)
                for name in others:
                    tasks.start_soon(fleet.send_calls, name, names[name], 10)
                tasks.start_soon(
                    fleet.send_calls, flooding, names[flooding] * 8, 10, chosen
                )
            fleet.assert_bounds()
            assert fleet.admitted_share(others) >= MIN_SHARE
            used = len(fleet.runs[flooding])
            assert used >= names[flooding] * 1.6 * 10 * MIN_SHARE

        run_virtual(run)
