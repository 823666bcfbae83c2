"""The fields of a service document, with unit, default and bounds."""

from cowslippond_core._document import Priority
from cowslippond_core._field_specs import (
    FRACTION_UNIT,
    MILLIS_UNIT,
    ChoiceSpec,
    FieldSpec,
    ListSpec,
    ObjectSpec,
    number,
    text,
)

_HOUR_MS = 3_600_000
_DAY_MS = 86_400_000
_MIN_SERVICE_MS = 0.01
_MAX_MEASURING_SHARE = 0.2
_MAX_MEMBERS = 64
_MAX_CALLS = 100_000

_DEFAULT_CONNECTIONS = 250
_DEFAULT_DEADLINE_MS = 2000
_DEFAULT_CEILING_MS = 10_000
_DEFAULT_MEASURING_SHARE = 0.01
_DEFAULT_RETRY_SHARE = 0.1
_DEFAULT_HEDGE_SHARE = 0.05
_DEFAULT_HEDGE_DELAY_MS = 20
_DEFAULT_CONCURRENCY = 128
_DEFAULT_QUEUE = 256
_DEFAULT_DRAIN_MS = 30_000

_SERVICE_NAME = text(
    '[a-z](?:[a-z0-9-]{0,61}[a-z0-9])?',
    'a name of lower-case letters, digits and hyphens, at most 63 characters',
)
_HOST = text(
    r'\*|[A-Za-z0-9](?:[A-Za-z0-9.-]{0,251}[A-Za-z0-9])?',
    'a host name without a port, or "*" for any host',
)
_PATH_PREFIX = text('/[!-~]{0,1023}', 'a path that starts with "/"')
_PATH_PATTERN = text(
    '/[!-~]{0,1023}', 'a shell-style pattern that starts with "/"'
)
_METHOD = text('[A-Z]{1,32}', 'an HTTP method in capital letters')
_HEADER = text(
    "[a-z0-9!#$%&'*+.^_`|~-]{1,128}", 'a header name in lower-case letters'
)

_MATCH = ObjectSpec(
    (
        FieldSpec(
            'host',
            _HOST,
            'Host of the calls, compared without port and ignoring case.',
            is_required=True,
        ),
        FieldSpec(
            'path_prefix',
            _PATH_PREFIX,
            'Prefix of the path of the calls, matched by whole segments. The '
            'longest prefix wins.',
            default='/',
        ),
    )
)

_NEVER_REPEAT = ObjectSpec(
    (
        FieldSpec(
            'methods',
            ListSpec(_METHOD, min_length=1, max_length=_MAX_MEMBERS),
            'Methods of the calls that may run at most once.',
            is_required=True,
        ),
        FieldSpec(
            'path',
            _PATH_PATTERN,
            'Paths of these calls; `*` stands for any characters.',
            is_required=True,
        ),
        FieldSpec(
            'key_header',
            _HEADER,
            'Header with the idempotency key that the caller chose.',
            default='idempotency-key',
        ),
        FieldSpec(
            'caller_header',
            _HEADER,
            'Header that identifies the caller. It scopes the key and must be '
            'the same when the caller repeats a call.',
            is_required=True,
        ),
    )
)

_UPSTREAMS = ObjectSpec(
    (
        FieldSpec(
            'slots',
            number('calls', 1, _MAX_CALLS, is_whole=True),
            'Calls that one upstream runs at the same time.',
            is_required=True,
        ),
        FieldSpec(
            'max_connections',
            number('connections', 1, _MAX_CALLS, is_whole=True),
            'Connections that one upstream accepts, from all daemons together.',
            default=_DEFAULT_CONNECTIONS,
        ),
        FieldSpec(
            'mean_service_ms',
            number(MILLIS_UNIT, _MIN_SERVICE_MS, _HOUR_MS),
            'Mean time that a call occupies a slot. Together with `slots` it '
            'gives the capacity to which the measuring budget refers.',
            is_required=True,
        ),
    )
)

_DEADLINE = ObjectSpec(
    (
        FieldSpec(
            'default_ms',
            number(MILLIS_UNIT, 1, _DAY_MS),
            'Deadline of a call for which the caller sets none.',
            default=_DEFAULT_DEADLINE_MS,
        ),
        FieldSpec(
            'ceiling_ms',
            number(MILLIS_UNIT, 1, _DAY_MS),
            'Longest time that any caller may wait.',
            default=_DEFAULT_CEILING_MS,
        ),
    )
)

_MEASURING = ObjectSpec(
    (
        FieldSpec(
            'share_of_capacity',
            number(FRACTION_UNIT, 0, _MAX_MEASURING_SHARE),
            'Load that measuring calls of all daemons together may cause, as a '
            'fraction of the capacity of an upstream.',
            default=_DEFAULT_MEASURING_SHARE,
        ),
    )
)

_RETRIES = ObjectSpec(
    (
        FieldSpec(
            'share_of_calls',
            number(FRACTION_UNIT, 0, 1),
            'Calls that may be retried, as a fraction of first attempts.',
            default=_DEFAULT_RETRY_SHARE,
        ),
    )
)

_HEDGING = ObjectSpec(
    (
        FieldSpec(
            'share_of_calls',
            number(FRACTION_UNIT, 0, 1),
            'Calls that may be hedged with a copy, as a fraction of first '
            'attempts. Calls that may never be repeated are never copied.',
            default=_DEFAULT_HEDGE_SHARE,
        ),
        FieldSpec(
            'delay_ms',
            number(MILLIS_UNIT, 1, _HOUR_MS),
            'Minimum wait for an answer before a copy is sent.',
            default=_DEFAULT_HEDGE_DELAY_MS,
        ),
    )
)

_LIMITS = ObjectSpec(
    (
        FieldSpec(
            'concurrency',
            number('calls', 1, _MAX_CALLS, is_whole=True),
            'Calls of the service that one daemon runs at the same time.',
            default=_DEFAULT_CONCURRENCY,
        ),
        FieldSpec(
            'queue',
            number('calls', 0, _MAX_CALLS, is_whole=True),
            'Calls of the service that may wait in one daemon; more are '
            'refused.',
            default=_DEFAULT_QUEUE,
        ),
    )
)

_RETIREMENT = ObjectSpec(
    (
        FieldSpec(
            'drain_ms',
            number(MILLIS_UNIT, 0, _DAY_MS),
            'How long a leaving upstream keeps running before it is stopped. '
            'It must not be below `deadline.ceiling_ms`, so that every call on '
            'the upstream is answered by then; daemons do not cancel running '
            'calls.',
            default=_DEFAULT_DRAIN_MS,
        ),
    )
)

DOCUMENT_SPEC = ObjectSpec(
    (
        FieldSpec(
            'service', _SERVICE_NAME, 'Name of the service.', is_required=True
        ),
        FieldSpec(
            'match',
            ListSpec(_MATCH, min_length=1, max_length=_MAX_MEMBERS),
            'Calls that belong to the service.',
            is_required=True,
        ),
        FieldSpec(
            'never_repeat',
            ListSpec(_NEVER_REPEAT, min_length=0, max_length=_MAX_MEMBERS),
            'Calls that run at most once, whatever fails.',
        ),
        FieldSpec(
            'upstreams',
            _UPSTREAMS,
            'Capacity of one upstream.',
            is_required=True,
        ),
        FieldSpec('deadline', _DEADLINE, 'How long callers may wait.'),
        FieldSpec('measuring', _MEASURING, 'Limit on measuring calls.'),
        FieldSpec('retries', _RETRIES, 'Limit on retries.'),
        FieldSpec('hedging', _HEDGING, 'Limit on hedged copies of calls.'),
        FieldSpec('limits', _LIMITS, 'Limits on the calls in one daemon.'),
        FieldSpec(
            'priority',
            ChoiceSpec(tuple(Priority)),
            'Whether the service yields when a daemon runs short of capacity: '
            '`batch` yields to `interactive`.',
            default=Priority.INTERACTIVE.value,
        ),
        FieldSpec('retirement', _RETIREMENT, 'How VMs are retired.'),
    )
)
