"""Estimates of the service time."""

from cowslippond_core.placing import ServiceTimeEstimator


class TestPace:
    def test_the_first_calls_correct_the_initial_estimate(self) -> None:
        """It took forty calls, in which all other calls counted as late."""
        estimator = ServiceTimeEstimator(350)
        for _ in range(6):
            estimator.record_service_time(60, 1)
        assert 54 < estimator.service_time < 78

    def test_a_few_hanging_calls_hardly_change_the_estimate(self) -> None:
        estimator = ServiceTimeEstimator(60)
        for _ in range(30):
            estimator.record_service_time(60, 1)
        for _ in range(2):
            estimator.record_service_time(4000, 1)
        assert estimator.service_time < 80

    def test_the_estimate_follows_a_growing_service_time(self) -> None:
        estimator = ServiceTimeEstimator(60)
        for _ in range(100):
            estimator.record_service_time(60, 1)
        for _ in range(60):
            estimator.record_service_time(300, 1)
        assert estimator.service_time > 270

    def test_the_slowdown_of_the_upstream_is_divided_out(self) -> None:
        estimator = ServiceTimeEstimator(60)
        for _ in range(30):
            estimator.record_service_time(300, 5)
        assert 59 < estimator.service_time < 61


class TestShareOfSlots:
    def test_calls_in_flight_count_whatever_the_number_of_daemons(self) -> None:
        """A daemon alone refused calls, as it assumed 24 daemons at its start.

        It held all four slots, but expected the next free one after 714 ms.
        """
        estimator = ServiceTimeEstimator(70)
        estimator.update_slots(4, 24, 4)
        assert estimator.expected_wait(1) < 70

    def test_calls_that_wait_at_upstreams_are_no_slots(self) -> None:
        estimator = ServiceTimeEstimator(70)
        estimator.update_slots(4, 24, 40)
        assert estimator.slots == 4
