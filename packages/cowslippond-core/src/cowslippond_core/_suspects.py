"""Records of calls that were running when upstreams crashed."""

import enum
from typing import NamedTuple

from cowslippond_core._clock import Millis

# Daemons detect the same crash at slightly different times, and their wall
# clocks differ.
_SAME_CRASH_WINDOW_MS = 300
_MAX_MARKS = 8
_CERTAIN_WEIGHT = 3
_UNCERTAIN_WEIGHT = 2
_PROOF_WEIGHT = 6

#: How long a crash counts against a call.
MARK_TTL: Millis = 1_200_000


class CrashMark(NamedTuple):
    """A crash of an upstream; ``at`` is in milliseconds since the Unix epoch.

    ``is_certain`` is set if the upstream refused connections afterwards or if
    all connections to it broke at once. Otherwise a connection broke, which may
    have had another cause.
    """

    upstream: str
    at: int
    is_certain: bool = False


class Suspect(NamedTuple):
    """The crashes during which calls with one fingerprint were running.

    ``cleared_at`` is when such a call was last answered after a crash, in
    milliseconds since the Unix epoch. Earlier crashes do not count.
    """

    fingerprint: str
    cleared_at: int = 0
    marks: tuple[CrashMark, ...] = ()


class SuspectUpdateKind(enum.StrEnum):
    """The kind of a :class:`SuspectUpdate`."""

    MARKED = 'marked'
    CONFIRMED = 'confirmed'
    RETRACTED = 'retracted'
    CLEARED = 'cleared'


class SuspectUpdate(NamedTuple):
    """A change of a suspect that a daemon sends to the others.

    ``mark`` is the crash that was recorded, confirmed or retracted. For
    :attr:`SuspectUpdateKind.CLEARED`, its time is that of the answer.
    """

    kind: SuspectUpdateKind
    fingerprint: str
    mark: CrashMark


def is_same_crash(one: CrashMark, other: CrashMark) -> bool:
    """Return whether two marks describe the same crash."""
    if one.upstream != other.upstream:
        return False
    return abs(one.at - other.at) < _SAME_CRASH_WINDOW_MS


def add_mark(suspect: Suspect, mark: CrashMark) -> Suspect:
    """Return a suspect with one more crash, unless it was cleared since.

    If the crash is already recorded, it becomes certain if either mark is.
    """
    if mark.at <= suspect.cleared_at:
        return suspect
    oldest = mark.at - MARK_TTL
    remaining = []
    for existing in suspect.marks:
        if is_same_crash(mark, existing):
            is_certain = mark.is_certain or existing.is_certain
            mark = existing._replace(is_certain=is_certain)
        elif existing.at > oldest:
            remaining.append(existing)
    marks = sorted((*remaining, mark), key=_mark_time)
    return suspect._replace(marks=tuple(marks[-_MAX_MARKS:]))


def remove_mark(suspect: Suspect, mark: CrashMark) -> Suspect:
    """Return a suspect without a mark that turned out not to be a crash."""
    remaining = [
        existing
        for existing in suspect.marks
        if not is_same_crash(mark, existing)
    ]
    return suspect._replace(marks=tuple(remaining))


def clear_marks(suspect: Suspect, at: int) -> Suspect:
    """Return a suspect without its crashes up to a time.

    :param at: in milliseconds since the Unix epoch.
    """
    cleared_at = max(at, suspect.cleared_at)
    remaining = [mark for mark in suspect.marks if mark.at > cleared_at]
    return Suspect(suspect.fingerprint, cleared_at, tuple(remaining))


def is_proven(suspect: Suspect) -> bool:
    """Return whether two certain or three uncertain crashes are recorded."""
    weight = sum(
        _CERTAIN_WEIGHT if mark.is_certain else _UNCERTAIN_WEIGHT
        for mark in suspect.marks
    )
    return weight >= _PROOF_WEIGHT


def _mark_time(mark: CrashMark) -> int:
    return mark.at
