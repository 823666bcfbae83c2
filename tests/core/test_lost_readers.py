"""A change reaches every daemon in time when all that read the store are lost.

Three daemons lost power as a configuration was acknowledged, and the others
acted on the old one for up to 3.2 s: they noticed the loss by the age of
announcements, of which the newest could be recent.
"""

import pytest
from cowslippond_standins.model import ReaderCut, simulate_reader_loss

# The time within which a change has to be in force, in milliseconds.
LIMIT_MS = 2000

# Seeds 2, 4, 7 and 8 took longer than that.
SEEDS = 12


class TestLostReaders:
    @pytest.mark.parametrize('seed', range(SEEDS))
    def test_change_is_in_force_in_time_whoever_is_lost(
        self, seed: int
    ) -> None:
        figures = simulate_reader_loss(18, seed)
        assert not figures.missing
        assert figures.latest <= LIMIT_MS

    @pytest.mark.parametrize('seed', [2, 3])
    def test_change_is_in_force_in_time_in_a_larger_fleet(
        self, seed: int
    ) -> None:
        figures = simulate_reader_loss(60, seed)
        assert not figures.missing
        assert figures.latest <= LIMIT_MS


class TestLostReadersAndCuts:
    """Guard against reports of a lost store that switch the take-over off.

    The daemons in the next ranks may be gone as well.
    """

    @pytest.mark.parametrize('seed', [4, 8, 31])
    @pytest.mark.parametrize('is_cut_silent', [False, True])
    def test_change_is_in_force_in_time_when_successors_are_cut_off(
        self, seed: int, is_cut_silent: bool
    ) -> None:
        figures = simulate_reader_loss(
            18, seed, ReaderCut.SUCCESSORS, is_cut_silent=is_cut_silent
        )
        assert not figures.missing
        assert figures.latest <= LIMIT_MS

    @pytest.mark.parametrize('seed', [5])
    def test_change_is_in_force_in_time_when_one_reader_was_cut_off_before(
        self, seed: int
    ) -> None:
        figures = simulate_reader_loss(18, seed, ReaderCut.ONE_READER)
        assert not figures.missing
        assert figures.latest <= LIMIT_MS
