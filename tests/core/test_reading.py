"""Another daemon reads soon when the store refuses its readers.

All three readers of a fleet were refused 2.5 s after its start, and the next
daemon read 3.28 s later: while daemons discover each other, only seeds could
be readers, so all others waited until their copies were stale.
"""

import pytest
from cowslippond_standins.model import ReadingPlan, simulate_reading

# The time within which another daemon has to read, in milliseconds.
LIMIT_MS = 1000

# The three refused daemons, and at most two of each of the five domains.
MAX_LATE_READERS = 3 + 2 * 5


class TestRefusedReaders:
    @pytest.mark.parametrize('daemons', [20, 136, 313])
    def test_another_daemon_reads_while_daemons_discover_each_other(
        self, daemons: int
    ) -> None:
        plan = ReadingPlan(daemons, refused_at=2500, ends_at=4500)
        figures = simulate_reading(plan)
        assert figures.readers == 3
        assert figures.next_read_after is not None
        assert figures.next_read_after <= LIMIT_MS
        assert figures.late_readers <= MAX_LATE_READERS

    def test_the_next_one_follows_when_successors_are_refused_too(self) -> None:
        plan = ReadingPlan(
            136, refused_at=2500, ends_at=4500, refused_successors=2
        )
        figures = simulate_reading(plan)
        assert figures.next_read_after is not None
        assert figures.next_read_after <= LIMIT_MS
        assert figures.late_readers <= MAX_LATE_READERS

    def test_another_daemon_reads_in_a_fleet_that_has_run_for_long(
        self,
    ) -> None:
        plan = ReadingPlan(60, refused_at=18_000, ends_at=20_000)
        figures = simulate_reading(plan)
        assert figures.next_read_after is not None
        assert figures.next_read_after <= LIMIT_MS
        assert figures.late_readers <= MAX_LATE_READERS

    def test_takeovers_do_not_add_retries_to_an_outage(self) -> None:
        """Guard against readers that add up as each one takes over.

        60 daemons that had run for 18 s made 1,322 calls in 10 s of an outage
        when each daemon that took over went on trying.
        """
        plan = ReadingPlan(60, refused_at=18_000, ends_at=28_000, is_down=True)
        assert simulate_reading(plan).calls <= 1000
