"""What is known of calls that were running when upstreams crashed."""

import enum
from typing import NamedTuple

from cowslippond_core._clock import Millis

# Daemons note one crash at slightly different times, and their wall clocks
# differ.
_SAME_CRASH_WINDOW_MS = 300
_MAX_MARKS = 8
_CERTAIN_WEIGHT = 3
_UNCERTAIN_WEIGHT = 2
_PROOF_WEIGHT = 6

#: How long a crash counts, in milliseconds.
MARK_TTL: Millis = 1_200_000


class CrashMark(NamedTuple):
    """A crash of an upstream, in milliseconds since the Unix epoch.

    ``is_certain`` tells that the upstream took no connections afterwards;
    otherwise a connection broke, and that may have had another cause.
    """

    upstream: str
    at: int
    is_certain: bool = False


class Suspect(NamedTuple):
    """The crashes during which calls of one fingerprint were running.

    ``cleared_at`` is when such a call was last answered after a crash, in
    milliseconds since the Unix epoch; crashes before it do not count.
    """

    fingerprint: str
    cleared_at: int = 0
    marks: tuple[CrashMark, ...] = ()


class SuspectUpdateKind(enum.StrEnum):
    """What one daemon tells the others of a fingerprint."""

    MARKED = 'marked'
    CONFIRMED = 'confirmed'
    RETRACTED = 'retracted'
    CLEARED = 'cleared'


class SuspectUpdate(NamedTuple):
    """What one daemon found out about calls of a fingerprint.

    ``mark`` is the crash that was noted or turned out to be none. Of
    :attr:`NewsKind.CLEARED` its time is that of the answer.
    """

    kind: SuspectUpdateKind
    fingerprint: str
    mark: CrashMark


def is_same_crash(one: CrashMark, other: CrashMark) -> bool:
    """Tell whether two marks are of one crash."""
    if one.upstream != other.upstream:
        return False
    return abs(one.at - other.at) < _SAME_CRASH_WINDOW_MS


def add_mark(suspect: Suspect, mark: CrashMark) -> Suspect:
    """Return a suspect with one more crash, unless it was cleared since.

    A crash that is known may become certain.
    """
    if mark.at <= suspect.cleared_at:
        return suspect
    oldest = mark.at - MARK_TTL
    kept = []
    for existing in suspect.marks:
        if is_same_crash(mark, existing):
            is_certain = mark.is_certain or existing.is_certain
            mark = existing._replace(is_certain=is_certain)
        elif existing.at > oldest:
            kept.append(existing)
    marks = sorted((*kept, mark), key=_mark_time)
    return suspect._replace(marks=tuple(marks[-_MAX_MARKS:]))


def remove_mark(suspect: Suspect, mark: CrashMark) -> Suspect:
    """Return a suspect without a mark that turned out to be no crash."""
    kept = [
        existing
        for existing in suspect.marks
        if not is_same_crash(mark, existing)
    ]
    return suspect._replace(marks=tuple(kept))


def clear_marks(suspect: Suspect, at: int) -> Suspect:
    """Return a suspect whose crashes up to a time do not count.

    :param at: in milliseconds since the Unix epoch.
    """
    cleared_at = max(at, suspect.cleared_at)
    kept = [mark for mark in suspect.marks if mark.at > cleared_at]
    return Suspect(suspect.fingerprint, cleared_at, tuple(kept))


def is_proven(suspect: Suspect) -> bool:
    """Tell whether two certain crashes or three breaks speak against it."""
    weight = sum(
        _CERTAIN_WEIGHT if mark.is_certain else _UNCERTAIN_WEIGHT
        for mark in suspect.marks
    )
    return weight >= _PROOF_WEIGHT


def _mark_time(mark: CrashMark) -> int:
    return mark.at
