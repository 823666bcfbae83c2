"""What a process learns of a service's speed."""

from cowslippond_core.placing import ServiceTimeEstimator


class TestPace:
    def test_a_first_guess_is_corrected_by_the_first_calls(self) -> None:
        """It took forty calls, in which all others counted as late."""
        pace = ServiceTimeEstimator(350)
        for _ in range(6):
            pace.record_service_time(60, 1)
        assert 54 < pace.service_time < 78

    def test_a_few_calls_that_hang_say_little_of_the_others(self) -> None:
        pace = ServiceTimeEstimator(60)
        for _ in range(30):
            pace.record_service_time(60, 1)
        for _ in range(2):
            pace.record_service_time(4000, 1)
        assert pace.service_time < 80

    def test_work_that_grows_is_followed(self) -> None:
        pace = ServiceTimeEstimator(60)
        for _ in range(100):
            pace.record_service_time(60, 1)
        for _ in range(60):
            pace.record_service_time(300, 1)
        assert pace.service_time > 270

    def test_the_slowness_of_the_upstream_is_taken_out(self) -> None:
        pace = ServiceTimeEstimator(60)
        for _ in range(30):
            pace.record_service_time(300, 5)
        assert 59 < pace.service_time < 61
