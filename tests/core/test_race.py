"""The result of a race between a send and its hedges."""

from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from cowslippond_core._attempt import NotRun
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._race import Race

pytestmark = pytest.mark.anyio

SHED = NotRun(NotRunReason.SHED)


def make_attempt(*results: NotRun | None) -> Any:
    return SimpleNamespace(results=results, end=lambda: None)


async def run_race(first: Any, hedge: Any) -> object:
    async def make_hedge() -> Any:
        return hedge

    async def wait(attempt: Any) -> Any:
        await anyio.lowlevel.checkpoint()
        return attempt.results[0]

    return await Race(first, make_hedge, wait).run()


class TestUnansweredSend:
    @pytest.mark.parametrize('is_hedge', [True, False])
    async def test_is_not_hidden_by_a_refusal(self, is_hedge: bool) -> None:
        """Callers were told 'not run' while a hedge was still at work."""
        unanswered, refused = make_attempt(None), make_attempt(SHED)
        pair = (refused, unanswered) if is_hedge else (unanswered, refused)
        assert not isinstance(await run_race(*pair), NotRun)

    async def test_alone_has_no_result(self) -> None:
        attempt = make_attempt(None)
        assert await run_race(attempt, make_attempt(None)) is None


class TestRefusedSends:
    async def test_have_not_run(self) -> None:
        assert await run_race(make_attempt(SHED), make_attempt(SHED)) == SHED
