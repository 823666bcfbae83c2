"""The probes of all daemons together stay within the limit."""

import random

from cowslippond_core.placing import ProbeLimiter

RATE = 60
UPSTREAMS = 13
SECOND = 1000


class TestProbeLimiter:
    def test_all_daemons_together_stay_within_the_limit(
        self,
    ) -> None:
        daemons = 18
        limiters = [ProbeLimiter(RATE) for _ in range(daemons)]
        rng = random.Random(1)
        taken = 0
        for tick in range(40 * 100):
            for limiter in limiters:
                wanted = rng.randrange(8)
                taken += limiter.acquire(wanted, UPSTREAMS, daemons, tick * 10)
        assert taken <= RATE * UPSTREAMS * 40

    def test_saved_tokens_allow_a_burst(self) -> None:
        limiter = ProbeLimiter(RATE)
        limiter.acquire(0, UPSTREAMS, 18, 0)
        assert limiter.acquire(1000, UPSTREAMS, 18, 20 * SECOND) > RATE

    def test_a_daemon_of_a_larger_fleet_gets_less(self) -> None:
        alone, one_of_many = ProbeLimiter(RATE), ProbeLimiter(RATE)
        one_of_many.acquire(0, UPSTREAMS, 130, 0)
        alone.acquire(0, UPSTREAMS, 1, 0)
        few = one_of_many.acquire(100_000, UPSTREAMS, 130, 10 * SECOND)
        assert few * 20 < alone.acquire(100_000, UPSTREAMS, 1, 10 * SECOND)

    def test_daemons_that_start_together_send_few_probes_at_first(self) -> None:
        """Each assumed to be the only daemon; together they broke the limit."""
        starting = [ProbeLimiter(RATE) for _ in range(18)]
        taken = sum(one.acquire(1000, UPSTREAMS, 1, 0) for one in starting)
        assert taken < RATE * UPSTREAMS
