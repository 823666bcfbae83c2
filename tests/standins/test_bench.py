"""Tests of the benchmark's plan, comparison and count of wasted work."""

from cowslippond_standins.bench.__main__ import plan_blocks
from cowslippond_standins.bench._policies import SHIPPED, VARIANTS
from cowslippond_standins.bench._rows import Row, compare_policies
from cowslippond_standins.bench._scenarios import SCENARIOS
from cowslippond_standins.bench._usage import total_work


def row(policy: str, seed: int, p99: float) -> Row:
    return Row(
        scenario='s',
        policy=policy,
        seed=seed,
        rate=1,
        calls=1,
        p50=1,
        p90=1,
        p99=p99,
        p999=1,
        p99_answered=1,
        outcomes={},
        reasons={},
        retries={},
        goodput=[],
        batch_answered=0,
        probes_per_call=0,
        measuring_share=0,
        wasted_share=0,
        daemon_cpu=0,
        daemon_megabytes=0,
    )


class TestPlan:
    def test_plan_has_each_policy_scenario_and_seed_once(self) -> None:
        blocks = plan_blocks(SCENARIOS, VARIANTS, seeds=2, seconds=1)
        seen = {
            (block.scenario.name, block.variant, block.seed) for block in blocks
        }
        assert len(seen) == len(blocks)
        assert len(blocks) == len(SCENARIOS) * len(VARIANTS) * 2

    def test_each_policy_goes_first_in_some_scenario(self) -> None:
        blocks = plan_blocks(SCENARIOS, VARIANTS, seeds=1, seconds=1)
        firsts = {block.variant for block in blocks[:: len(VARIANTS)]}
        assert firsts == set(VARIANTS)


class TestComparePolicies:
    def test_p99_is_compared_with_the_best_baseline_by_seed(self) -> None:
        rows = [
            row(SHIPPED, 1, 50),
            row(SHIPPED, 2, 60),
            row('least', 1, 100),
            row('least', 2, 100),
            row('random', 1, 400),
            row('random', 2, 30),
        ]
        comparison = compare_policies(rows)[0]
        assert comparison.best_baseline == 'least'
        assert (comparison.lowest, comparison.highest) == (0.5, 0.6)


class TestWork:
    def test_cancelled_and_duplicate_runs_are_wasted(self) -> None:
        runs = [
            {'nonce': 'a', 'started': 0, 'ended': 10, 'outcome': 'completed'},
            {'nonce': 'a', 'started': 0, 'ended': 4, 'outcome': 'completed'},
            {'nonce': 'b', 'started': 0, 'ended': 2, 'outcome': 'cancelled'},
            {'nonce': 'b', 'started': 0, 'ended': 8, 'outcome': 'completed'},
        ]
        work = total_work([{'runs': runs, 'probes': [1, 2]}])
        assert (work.runs, work.busy, work.wasted) == (4, 24, 6)
        assert work.probes == 2
