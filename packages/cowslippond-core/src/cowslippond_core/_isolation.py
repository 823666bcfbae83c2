"""Keeps an unexpected error in one task from ending the process.

All tasks of a daemon run in one task group, which any error would cancel, and
with it the calls of all others.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import ParamSpec

from cowslippond_core._clock import Clock, Millis

_RunSpec = ParamSpec('_RunSpec')

#: The time after which a failed task is started again. Long enough that an
#: error that recurs at once takes little processor time.
RESTART_DELAY: Millis = 500

_logger = logging.getLogger(__name__)


async def run_contained(
    run: Callable[_RunSpec, Awaitable[object]],
    *arguments: _RunSpec.args,
    **options: _RunSpec.kwargs,
) -> None:
    """Run a task and log an unexpected error instead of raising it."""
    try:
        await run(*arguments, **options)
    except Exception:
        _logger.exception('task failed', extra={'task': _name_of(run)})


async def run_restarting(
    clock: Clock,
    run: Callable[_RunSpec, Awaitable[object]],
    *arguments: _RunSpec.args,
    **options: _RunSpec.kwargs,
) -> None:
    """Run a task until it ends, and start it again after an unexpected error."""
    while True:
        try:
            await run(*arguments, **options)
        except Exception:
            _logger.exception(
                'task failed; restarting it',
                extra={'task': _name_of(run), 'delay_ms': RESTART_DELAY},
            )
        else:
            return
        await clock.sleep(RESTART_DELAY)


def _name_of(run: Callable[..., object]) -> str:
    return getattr(run, '__qualname__', repr(run))
