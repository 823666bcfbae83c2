"""The fields of a daemon's settings, with unit, default and bounds."""

import itertools
from collections.abc import Mapping
from typing import Any

from cowslippond_core._field_check import format_value
from cowslippond_core._field_report import FieldReport
from cowslippond_core._field_specs import (
    MILLIS_UNIT,
    AddressSpec,
    ChoiceSpec,
    FieldSpec,
    ListSpec,
    ObjectSpec,
    number,
    text,
)

_DEFAULT_TIMEOUT_MS = 1000
_MAX_TIMEOUT_MS = 60_000
_DEFAULT_MAX_DAEMONS = 24
_MAX_DAEMONS = 10_000
_DEFAULT_LAG_MS = 3000
_DEFAULT_LIMIT_MS = 30_000
_DEFAULT_KEEP_ALIVE_MS = 5000
# How much longer idle connections stay open than is advertised to callers.
KEEP_ALIVE_MARGIN_MS = 2000
_HOUR_MS = 3_600_000
_MAX_PEERS = 64

_ADDRESS_NAMES = ('caller_address', 'admin_address', 'peer_address')

_NAME = text(
    '[A-Za-z0-9](?:[A-Za-z0-9._-]{0,126}[A-Za-z0-9])?',
    'a name of letters, digits, dots, hyphens and underscores',
)
_URL = text(
    r'http://(?:[A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\])(?::[0-9]{1,5})?'
    '(?:/[!-~]*)?',
    'a URL that starts with "http://"',
)

_TABLE_URL = FieldSpec(
    'table_url',
    _URL,
    'Endpoint of the transactional table.',
    is_required=True,
)
_TABLE_NAME = FieldSpec(
    'table_name', _NAME, 'Name of the table.', is_required=True
)
_VM_LIST_URL = FieldSpec(
    'vm_list_url', _URL, 'URL of the list of VMs.', is_required=True
)
_TIMEOUT = FieldSpec(
    'timeout_ms',
    number(MILLIS_UNIT, 1, _MAX_TIMEOUT_MS),
    "Longest wait for an answer from the platform's services.",
    default=_DEFAULT_TIMEOUT_MS,
)

_PLATFORM = ObjectSpec(
    (
        _TABLE_URL,
        _TABLE_NAME,
        FieldSpec(
            'objects_url',
            _URL,
            'Endpoint of the object store.',
            is_required=True,
        ),
        FieldSpec(
            'objects_bucket', _NAME, 'Name of the bucket.', is_required=True
        ),
        _VM_LIST_URL,
        _TIMEOUT,
    )
)

_LOG = ObjectSpec(
    (
        FieldSpec(
            'format',
            ChoiceSpec(('json', 'text')),
            'One JSON object per line, or plain text.',
            default='json',
        ),
        FieldSpec(
            'level',
            ChoiceSpec(('debug', 'info', 'warning', 'error')),
            'Lowest severity that is logged.',
            default='info',
        ),
    )
)

_RETIRE = ObjectSpec(
    (
        FieldSpec(
            'lag_ms',
            number(MILLIS_UNIT, 0, _HOUR_MS),
            'How long the balancer may still send calls after the daemon '
            'announced that it leaves.',
            default=_DEFAULT_LAG_MS,
        ),
        FieldSpec(
            'limit_ms',
            number(MILLIS_UNIT, 1, _HOUR_MS),
            'Longest time from the stop signal until the process exits.',
            default=_DEFAULT_LIMIT_MS,
        ),
    )
)

SETTINGS_SPEC = ObjectSpec(
    (
        FieldSpec('vm', _NAME, 'Name of the VM.', is_required=True),
        FieldSpec(
            'failure_domain',
            _NAME,
            'Failure domain of the VM.',
            is_required=True,
        ),
        FieldSpec(
            'caller_address',
            AddressSpec(),
            'Where callers connect through the balancer.',
            is_required=True,
        ),
        FieldSpec(
            'admin_address',
            AddressSpec(),
            'Where the balancer and the operator tool query the state.',
            is_required=True,
        ),
        FieldSpec(
            'peer_address',
            AddressSpec(),
            'Where other daemons connect.',
            is_required=True,
        ),
        FieldSpec(
            'platform',
            _PLATFORM,
            "Endpoints of the platform's services.",
            is_required=True,
        ),
        FieldSpec(
            'peers',
            ListSpec(AddressSpec(), min_length=0, max_length=_MAX_PEERS),
            'Peer addresses of daemons to contact when the list of VMs cannot '
            'be read.',
        ),
        FieldSpec(
            'max_daemons',
            number('daemons', 1, _MAX_DAEMONS, is_whole=True),
            'Largest number of daemons that ever run at once. Budgets for all '
            'daemons together are divided by it.',
            default=_DEFAULT_MAX_DAEMONS,
        ),
        FieldSpec(
            'statsd_address',
            AddressSpec(),
            'Where statsd receives metrics; none are sent if it is omitted.',
        ),
        FieldSpec('log', _LOG, 'How the daemon logs.'),
        FieldSpec('retire', _RETIRE, 'How the daemon stops.'),
        FieldSpec(
            'keep_alive_ms',
            number(MILLIS_UNIT, 0, _HOUR_MS),
            'How long an idle connection of a caller stays open.',
            default=_DEFAULT_KEEP_ALIVE_MS,
        ),
    )
)

# The platform settings that the operator tool needs.
PLATFORM_SPEC = ObjectSpec((_TABLE_URL, _TABLE_NAME, _VM_LIST_URL, _TIMEOUT))


def report_setting_conflicts(
    fields: Mapping[str, Any], report: FieldReport
) -> None:
    """Report conflicts between settings that are valid by themselves.

    :param fields: the checked settings; invalid values are ``None``.
    """
    for first, second in itertools.combinations(_ADDRESS_NAMES, 2):
        address = fields[first]
        if address is not None and address == fields[second]:
            report.add(second, f'is the same address as {first}')
    _report_short_stop_limit(fields, report)


def _report_short_stop_limit(
    fields: Mapping[str, Any], report: FieldReport
) -> None:
    """Report a stop limit that would cut off connections still in use.

    A caller may use an idle connection until its keep-alive time is over, even
    if the balancer is slow to send it to another daemon.
    """
    retire = fields['retire'] or {}
    lag = retire.get('lag_ms')
    limit = retire.get('limit_ms')
    keep_alive = fields['keep_alive_ms']
    if lag is None or limit is None or keep_alive is None:
        return
    minimum = lag + keep_alive + KEEP_ALIVE_MARGIN_MS
    if limit < minimum:
        message = (
            f'must be at least {format_value(minimum)} (retire.lag_ms + '
            f'keep_alive_ms + {KEEP_ALIVE_MARGIN_MS} ms), or a stop would cut '
            'off callers'
        )
        report.add('retire.limit_ms', message)


def report_no_conflicts(fields: Mapping[str, Any], report: FieldReport) -> None:
    """Report no conflicts, for texts whose fields cannot conflict."""
