"""Estimates of the service time."""

from cowslippond_core.placing import ServiceTimeEstimator


class TestPace:
    def test_the_first_calls_correct_the_initial_estimate(self) -> None:
        """It took forty calls, in which all other calls counted as late."""
        pace = ServiceTimeEstimator(350)
        for _ in range(6):
            pace.record_service_time(60, 1)
        assert 54 < pace.service_time < 78

    def test_a_few_hanging_calls_hardly_change_the_estimate(self) -> None:
        pace = ServiceTimeEstimator(60)
        for _ in range(30):
            pace.record_service_time(60, 1)
        for _ in range(2):
            pace.record_service_time(4000, 1)
        assert pace.service_time < 80

    def test_the_estimate_follows_a_growing_service_time(self) -> None:
        pace = ServiceTimeEstimator(60)
        for _ in range(100):
            pace.record_service_time(60, 1)
        for _ in range(60):
            pace.record_service_time(300, 1)
        assert pace.service_time > 270

    def test_the_slowdown_of_the_upstream_is_divided_out(self) -> None:
        pace = ServiceTimeEstimator(60)
        for _ in range(30):
            pace.record_service_time(300, 5)
        assert 59 < pace.service_time < 61
