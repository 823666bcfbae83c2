"""Format times and durations for the terminal."""

import datetime

_MILLIS_PER_SECOND = 1000
_SECONDS_PER_MINUTE = 60
_UNITS = (('d', 86_400), ('h', 3600), ('min', _SECONDS_PER_MINUTE))


def format_time(wall_ms: int) -> str:
    """Format a time as text, in UTC.

    :param wall_ms: milliseconds since the Unix epoch.
    """
    timestamp = datetime.datetime.fromtimestamp(
        wall_ms / _MILLIS_PER_SECOND, tz=datetime.UTC
    )
    return timestamp.strftime('%Y-%m-%d %H:%M:%SZ')


def format_age(span_ms: float) -> str:
    """Format a duration as text in the largest unit that fits."""
    seconds = max(span_ms, 0) / _MILLIS_PER_SECOND
    if seconds < _SECONDS_PER_MINUTE:
        return f'{seconds:.1f} s'
    unit, unit_seconds = next(
        (unit, unit_seconds)
        for unit, unit_seconds in _UNITS
        if seconds >= unit_seconds
    )
    count = seconds / unit_seconds
    return f'{count:.1f} {unit}'
