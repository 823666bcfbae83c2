"""The promises of the users' pages, from what callers and back ends saw."""

from collections import Counter
from itertools import pairwise

from cowslippond_core import Millis
from cowslippond_standins.fleet import CallResult, Run, Verdict
from soak.run import Disturbed, Place, SoakRun

#: No daemon sends to a back end later than this after it said that it leaves,
#: nor later than this after the store or the daemon was disturbed.
DRAIN_BOUND: Millis = 2000
CONTACT: Millis = 3000
#: Of the calls in calm, this share is answered.
CALM_SHARE = 0.98


def find_breaches(run: SoakRun, calm: list[CallResult]) -> list[str]:
    """Return each broken promise in words."""
    return [
        *_wrong_answers(run),
        *_double_runs(run),
        *_false_refusals(run),
        *_unasked_runs(run),
        *_late_sends(run),
        *_cut_at_planned_stops(run),
        *_reverted(run),
        *_not_recovered(calm),
        *_outstayed(run),
    ]


def _wrong_answers(run: SoakRun) -> list[str]:
    return [
        f'wrong answer: {told}'
        for told in run.told
        if told.verdict is Verdict.WRONG
    ]


def _double_runs(run: SoakRun) -> list[str]:
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
        f'refused and run: {told}'
        for told in run.told
        if told.verdict is Verdict.NOT_RUN and told.request_id in ran
    ]


def _unasked_runs(run: SoakRun) -> list[str]:
    asked = {(told.request_id, told.method, told.path) for told in run.told}
    return [
        f'run that nobody asked for: {one}'
        for one in run.runs()
        if (one.request_id, one.method, one.path) not in asked
    ]


def _late_sends(run: SoakRun) -> list[str]:
    """Find runs at back ends that left; disturbed daemons are excused."""
    asked = {told.request_id: told for told in run.told}
    breaches = []
    for place in run.places:
        for one in place.backend.runs:
            told = asked.get(one.request_id)
            if told is not None and _is_late(run, place, one, told):
                breaches.append(f'run after leaving: {one}')
    return breaches


def _is_late(run: SoakRun, place: Place, one: Run, told: CallResult) -> bool:
    left_at = place.left_at
    if left_at is None or told.sent_at < left_at + DRAIN_BOUND:
        return False
    return not _is_excused(run, told.node, left_at, one.at)


def _is_excused(run: SoakRun, node: str, start: Millis, end: Millis) -> bool:
    spans = [
        *run.store_disturbed,
        *[(one.start, one.end) for one in run.disturbed if one.node == node],
    ]
    return any(first < end and last + CONTACT > start for first, last in spans)


def _cut_at_planned_stops(run: SoakRun) -> list[str]:
    """Find orders without an answer while only their daemon stopped.

    Back ends that lose answers and frozen daemons break orders, too, so only
    closed connections count, which no back end can bring about.
    """
    return [
        f'cut: {told}'
        for told in run.told
        if told.verdict is Verdict.CLOSED
        and told.duration > 20
        and not _is_disturbed(run.disturbed, told)
    ]


def _is_disturbed(disturbed: list[Disturbed], told: CallResult) -> bool:
    return any(
        one.node == told.node
        and one.start < told.sent_at + told.duration
        and one.end + CONTACT > told.sent_at
        for one in disturbed
    )


def _reverted(run: SoakRun) -> list[str]:
    breaches = []
    for node, versions in run.versions.items():
        for before, after in pairwise(versions):
            if -1 < after < before:
                breaches.append(f'{node}: version {before}, then {after}')
    return breaches


def _not_recovered(calm: list[CallResult]) -> list[str]:
    good = sum(told.verdict is Verdict.GOOD for told in calm)
    if good >= CALM_SHARE * len(calm):
        return []
    bad = [str(told) for told in calm if told.verdict is not Verdict.GOOD]
    return [f'{good} of {len(calm)} answered in calm', *bad[:5]]


def _outstayed(run: SoakRun) -> list[str]:
    """Find calls without a final answer half a second after their time."""
    return [
        f'no answer in time: {told}'
        for told in run.told
        if told.verdict is Verdict.SILENT
        and not _is_disturbed(run.disturbed, told)
    ]
