"""Hedging: the first good answer wins, the others are cancelled."""

from collections.abc import Awaitable, Callable, Iterable

import anyio

from cowslippond_core._attempt import (
    Answered,
    AnswerLost,
    Attempt,
    AttemptResult,
    NotRun,
)
from cowslippond_core._clock import Millis, seconds_of
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._observations import is_error

_MAX_HEDGE_ATTEMPTS = 3


class Race:
    """Concurrent attempts at one call.

    :param first: the attempt that is in progress.
    :param make_hedge: returns a further attempt, or ``None`` if no upstream
        may be sent one.
    :param wait: waits for an attempt's result until the call's deadline.
    :param pauses: after each of these times without a hedge, another one is
        tried, as long as the first attempt has no result.
    """

    def __init__(
        self,
        first: Attempt,
        make_hedge: Callable[[], Awaitable[Attempt | None]],
        wait: Callable[[Attempt], Awaitable[AttemptResult | None]],
        pauses: Iterable[Millis] = (),
    ) -> None:
        self.make_hedge = make_hedge
        self.wait = wait
        self.pauses = iter(pauses)
        self.first_ended = anyio.Event()
        self.attempts = [first]
        self.scope = anyio.CancelScope()
        self.results: list[AttemptResult] = []
        self.has_unanswered = False

    async def run(self) -> AttemptResult | None:
        """Return the most conclusive result, or ``None`` if there is none.

        The first answer that is not an error ends the race. Otherwise an error
        answer ranks before a lost answer, and a lost answer before 'not run',
        because the call may have run. An attempt without a result counts as a
        lost answer beside 'not run', as its upstream may still be at work. On
        return all attempts but the winner have ended, and their connections are
        closed.
        """
        try:
            await self._run_concurrently()
        except BaseException:
            self._end_all_but(None)
            raise
        winner = min(self.results, key=_rank, default=None)
        self._end_all_but(winner)
        if isinstance(winner, NotRun) and self.has_unanswered:
            return AnswerLost(ExchangeFault.TIMEOUT)
        return winner

    async def _run_concurrently(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_first)
                tasks.start_soon(self._run_hedges)

    async def _run_first(self) -> None:
        self._add_result(await self.wait(self.attempts[0]))
        self.first_ended.set()

    async def _run_hedges(self) -> None:
        for _ in range(_MAX_HEDGE_ATTEMPTS):
            hedge = await self._find_hedge()
            if hedge is None:
                return
            self.attempts.append(hedge)
            result = await self.wait(hedge)
            if not isinstance(result, NotRun):
                self._add_result(result)
                return

    async def _find_hedge(self) -> Attempt | None:
        hedge = await self.make_hedge()
        while hedge is None:
            pause = next(self.pauses, None)
            if pause is None:
                return None
            with anyio.move_on_after(seconds_of(pause)):
                await self.first_ended.wait()
            if self.first_ended.is_set():
                return None
            hedge = await self.make_hedge()
        return hedge

    def _add_result(self, result: AttemptResult | None) -> None:
        if result is None:
            self.has_unanswered = True
            return
        self.results.append(result)
        if isinstance(result, Answered) and not is_error(result):
            self.scope.cancel()

    def _end_all_but(self, winner: AttemptResult | None) -> None:
        winning_attempt = (
            winner.attempt if isinstance(winner, Answered) else None
        )
        for attempt in self.attempts:
            if attempt is not winning_attempt:
                attempt.end()


def _rank(result: AttemptResult) -> int:
    if isinstance(result, Answered):
        return int(is_error(result))
    return 2 if isinstance(result, AnswerLost) else 3
