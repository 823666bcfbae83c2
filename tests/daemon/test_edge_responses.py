"""The statuses of the daemon's own responses."""

import pytest
from cowslippond_core import CallRefusal, Outcome, RefusalReason
from cowslippond_core._promises import NOT_RUN_STATUSES
from cowslippond_daemon._edge_responses import status_of


class TestStatusOfRefusal:
    @pytest.mark.parametrize('reason', RefusalReason)
    @pytest.mark.parametrize('outcome', [Outcome.UNKNOWN, Outcome.FAILED])
    def test_makes_no_promise_for_a_call_that_may_have_run(
        self, outcome: Outcome, reason: RefusalReason
    ) -> None:
        """A refusal that says 'not run' of a call that ran doubles orders."""
        refusal = CallRefusal(outcome, reason, 0)
        assert status_of(refusal) not in NOT_RUN_STATUSES

    def test_names_the_reason_of_a_call_that_has_not_run(self) -> None:
        refusal = CallRefusal(Outcome.NOT_RUN, RefusalReason.OVER_QUOTA, 0)
        assert status_of(refusal) == 429
