"""What is known of calls that were running when upstreams crashed."""

from typing import NamedTuple

# Daemons note one crash at slightly different times, and their wall clocks
# differ.
_SAME_CRASH_MS = 300
_MAX_MARKS = 8


class CrashMark(NamedTuple):
    """A crash of an upstream, in milliseconds since the Unix epoch."""

    upstream: str
    at: int


class Suspect(NamedTuple):
    """The crashes during which calls of one fingerprint were running.

    ``cleared_at`` is when such a call was last answered after a crash, in
    milliseconds since the Unix epoch; crashes before it do not count. A
    suspect is also the row that daemons pass to each other.
    """

    fingerprint: str
    cleared_at: int = 0
    marks: tuple[CrashMark, ...] = ()


def is_same_crash(one: CrashMark, other: CrashMark) -> bool:
    """Tell whether two marks are of one crash."""
    if one.upstream != other.upstream:
        return False
    return abs(one.at - other.at) < _SAME_CRASH_MS


def add_mark(suspect: Suspect, mark: CrashMark) -> Suspect:
    """Return a suspect with one more crash, unless it is known or cleared."""
    if mark.at <= suspect.cleared_at:
        return suspect
    if any(is_same_crash(mark, known) for known in suspect.marks):
        return suspect
    marks = sorted((*suspect.marks, mark), key=_mark_time)
    return suspect._replace(marks=tuple(marks[-_MAX_MARKS:]))


def remove_mark(suspect: Suspect, mark: CrashMark) -> Suspect:
    """Return a suspect without a mark that turned out to be no crash."""
    kept = [known for known in suspect.marks if known != mark]
    return suspect._replace(marks=tuple(kept))


def clear_marks(suspect: Suspect, at: int) -> Suspect:
    """Return a suspect whose crashes up to a time do not count.

    :param at: in milliseconds since the Unix epoch.
    """
    cleared_at = max(at, suspect.cleared_at)
    kept = [mark for mark in suspect.marks if mark.at > cleared_at]
    return Suspect(suspect.fingerprint, cleared_at, tuple(kept))


def merge_suspects(one: Suspect, other: Suspect) -> Suspect:
    """Return what two daemons know together of one fingerprint."""
    merged = clear_marks(one, other.cleared_at)
    for mark in other.marks:
        merged = add_mark(merged, mark)
    return merged


def last_change(suspect: Suspect) -> int:
    """Return when a suspect was last marked or cleared."""
    return max(suspect.cleared_at, *(mark.at for mark in suspect.marks), 0)


def _mark_time(mark: CrashMark) -> int:
    return mark.at
