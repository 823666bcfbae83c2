"""The bench's plan, its comparison and its count of wasted work."""

from cowslippond_standins.bench.__main__ import plan_blocks
from cowslippond_standins.bench._policies import CONTENDERS, SHIPPED
from cowslippond_standins.bench._rows import Row, ratios
from cowslippond_standins.bench._scenarios import SCENARIOS
from cowslippond_standins.bench._usage import work_of


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
    def test_each_policy_meets_each_scenario_and_seed_once(self) -> None:
        blocks = plan_blocks(SCENARIOS, CONTENDERS, seeds=2, seconds=1)
        seen = {(one.scenario.name, one.contender, one.seed) for one in blocks}
        assert len(seen) == len(blocks)
        assert len(blocks) == len(SCENARIOS) * len(CONTENDERS) * 2

    def test_policies_take_turns_at_going_first(self) -> None:
        blocks = plan_blocks(SCENARIOS, CONTENDERS, seeds=1, seconds=1)
        firsts = {one.contender for one in blocks[:: len(CONTENDERS)]}
        assert firsts == set(CONTENDERS)


class TestRatios:
    def test_ratio_is_to_the_best_baseline_by_seed(self) -> None:
        rows = [
            row(SHIPPED, 1, 50),
            row(SHIPPED, 2, 60),
            row('least', 1, 100),
            row('least', 2, 100),
            row('random', 1, 400),
            row('random', 2, 30),
        ]
        found = ratios(rows)[0]
        assert found.best_baseline == 'least'
        assert (found.lowest, found.highest) == (0.5, 0.6)


class TestWork:
    def test_cancelled_and_doubled_runs_are_wasted(self) -> None:
        runs = [
            {'nonce': 'a', 'started': 0, 'ended': 10, 'outcome': 'completed'},
            {'nonce': 'a', 'started': 0, 'ended': 4, 'outcome': 'completed'},
            {'nonce': 'b', 'started': 0, 'ended': 2, 'outcome': 'cancelled'},
            {'nonce': 'b', 'started': 0, 'ended': 8, 'outcome': 'completed'},
        ]
        work = work_of([{'runs': runs, 'probes': [1, 2]}])
        assert (work.runs, work.busy, work.wasted) == (4, 24, 6)
        assert work.probes == 2
