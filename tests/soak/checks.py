"""Check the documented promises against what callers and back ends saw."""

from collections import Counter
from itertools import pairwise

from cowslippond_core import Millis
from cowslippond_standins.fleet import CallResult, Run, Verdict
from soak.faults import RATE_LIMIT
from soak.run import Disturbance, LinkedBackend, SoakRun

#: The longest time for which daemons may still send to a back end that has
#: announced that it leaves.
DRAIN_BOUND: Millis = 2000
#: The longest time for which the effects of a disturbance of the store or of a
#: daemon may last after its end.
RECOVERY_BOUND: Millis = 3000
#: The minimum ratio of answered calls once the faults are over.
MIN_ANSWERED_RATIO = 0.98
#: What a back end may get in a window, in seconds, while it announces a limit,
#: from the time on when daemons know of it.
LIMIT_WINDOW = 4
LIMIT_MARGIN = 1.5
LIMIT_EXTRA_CALLS = 5
LIMIT_NOTICE: Millis = 500


def find_breaches(run: SoakRun, fault_free: list[CallResult]) -> list[str]:
    """Return a description of each broken promise."""
    return [
        *_wrong_answers(run),
        *_duplicate_runs(run),
        *_false_refusals(run),
        *_unrequested_runs(run),
        *_late_sends(run),
        *_exceeded_limits(run),
        *_cut_at_planned_stops(run),
        *_reverted_versions(run),
        *_not_recovered(fault_free),
        *_missing_answers(run),
    ]


def _exceeded_limits(run: SoakRun) -> list[str]:
    breaches = []
    for linked, start, end in run.limited:
        calls = sum(
            start + LIMIT_NOTICE <= one.at < end for one in linked.backend.runs
        )
        allowed = LIMIT_MARGIN * RATE_LIMIT * LIMIT_WINDOW + LIMIT_EXTRA_CALLS
        if calls > allowed:
            breaches.append(f'limit exceeded at {linked.backend}: {calls}')
    return breaches


def _wrong_answers(run: SoakRun) -> list[str]:
    return [
        f'wrong answer: {result}'
        for result in run.results
        if result.verdict is Verdict.WRONG
    ]


def _duplicate_runs(run: SoakRun) -> list[str]:
    orders = Counter(
        one.request_id for one in run.runs() if one.method == 'POST'
    )
    return [
        f'order run {times} times: {one}'
        for one, times in orders.items()
        if times > 1
    ]


def _false_refusals(run: SoakRun) -> list[str]:
    ran = {one.request_id for one in run.runs() if one.method == 'POST'}
    return [
        f'run although refused: {result}'
        for result in run.results
        if result.verdict is Verdict.NOT_RUN and result.request_id in ran
    ]


def _unrequested_runs(run: SoakRun) -> list[str]:
    requested = {
        (result.request_id, result.method, result.path)
        for result in run.results
    }
    return [
        f'run without a request: {one}'
        for one in run.runs()
        if (one.request_id, one.method, one.path) not in requested
    ]


def _late_sends(run: SoakRun) -> list[str]:
    """Find runs at back ends that left, unless a disturbance explains them."""
    requested = {result.request_id: result for result in run.results}
    breaches = []
    for linked in run.linked_backends:
        for one in linked.backend.runs:
            result = requested.get(one.request_id)
            if result is not None and _is_late(run, linked, one, result):
                breaches.append(f'run after leaving: {one}')
    return breaches


def _is_late(
    run: SoakRun, linked: LinkedBackend, one: Run, result: CallResult
) -> bool:
    left_at = linked.leaving_since
    if left_at is None or result.sent_at < left_at + DRAIN_BOUND:
        return False
    return not _is_excused(run, result.node, left_at, one.at)


def _is_excused(run: SoakRun, node: str, start: Millis, end: Millis) -> bool:
    periods = [
        *run.store_disturbances,
        *[(one.start, one.end) for one in run.disturbances if one.node == node],
    ]
    return any(
        first < end and last + RECOVERY_BOUND > start for first, last in periods
    )


def _cut_at_planned_stops(run: SoakRun) -> list[str]:
    """Find calls whose connection a daemon closed without an answer.

    Calls during a disturbance of the daemon are left out. Only closed
    connections count, which no back end can cause; back ends that lose answers
    and frozen daemons also leave calls without an answer.
    """
    return [
        f'connection closed without an answer: {result}'
        for result in run.results
        if result.verdict is Verdict.CLOSED
        and result.duration > 20
        and not _is_disturbed(run.disturbances, result)
    ]


def _is_disturbed(disturbances: list[Disturbance], result: CallResult) -> bool:
    return any(
        one.node == result.node
        and one.start < result.sent_at + result.duration
        and one.end + RECOVERY_BOUND > result.sent_at
        for one in disturbances
    )


def _reverted_versions(run: SoakRun) -> list[str]:
    breaches = []
    for node, versions in run.versions.items():
        for before, after in pairwise(versions):
            if -1 < after < before:
                breaches.append(f'{node}: version {before}, then {after}')
    return breaches


def _not_recovered(fault_free: list[CallResult]) -> list[str]:
    good = sum(result.verdict is Verdict.GOOD for result in fault_free)
    if good >= MIN_ANSWERED_RATIO * len(fault_free):
        return []
    bad = [
        str(result)
        for result in fault_free
        if result.verdict is not Verdict.GOOD
    ]
    return [f'{good} of {len(fault_free)} answered after the faults', *bad[:5]]


def _missing_answers(run: SoakRun) -> list[str]:
    """Find calls without a final answer half a second after their deadline."""
    return [
        f'no answer in time: {result}'
        for result in run.results
        if result.verdict is Verdict.SILENT
        and not _is_disturbed(run.disturbances, result)
    ]
