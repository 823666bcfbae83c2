"""Which calls a daemon still sends while it stops."""

import math

import anyio
import pytest
from cowslippond_core import Clock, RefusalReason, StopLimit
from cowslippond_core.placing import UploadGate

NOW = 1_000_000


class TestStopLimit:
    def test_every_call_is_sent_while_no_stop_is_planned(self) -> None:
        assert not StopLimit().refuses(math.inf, is_repeatable=False)

    @pytest.mark.parametrize(
        ('deadline', 'is_repeatable', 'is_refused'),
        [
            (NOW + 4000, False, False),
            (NOW + 6000, False, True),
            (math.inf, False, True),
            (NOW + 6000, True, False),
        ],
    )
    def test_call_that_might_be_cut_is_sent_only_if_it_may_be_repeated(
        self, deadline: float, is_repeatable: bool, is_refused: bool
    ) -> None:
        """Guard against orders that are cut at the end of a stop."""
        stop = StopLimit()
        stop.ends_at = NOW + 5000
        assert stop.refuses(deadline, is_repeatable=is_repeatable) is is_refused

    def test_no_call_is_sent_late_in_a_stop(self) -> None:
        stop = StopLimit()
        stop.refuses_all = True
        assert stop.refuses(NOW, is_repeatable=True)


class TestWaitingUpload:
    @pytest.mark.anyio
    async def test_waiting_upload_is_refused_when_the_daemon_stops(
        self,
    ) -> None:
        """Guard against uploads that wait until they are cut."""
        gate = UploadGate(lambda: 1, Clock())
        await gate.enter(math.inf)
        stop = StopLimit()

        def find_obstacle() -> RefusalReason | None:
            return RefusalReason.NOT_READY if stop.refuses_all else None

        async def begin_stop() -> None:
            await anyio.sleep(0.05)
            stop.refuses_all = True

        with anyio.fail_after(2):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(begin_stop)
                outcome = await gate.enter(math.inf, find_obstacle)
        assert outcome is RefusalReason.NOT_READY
        assert not gate.waiting
