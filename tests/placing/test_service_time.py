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
