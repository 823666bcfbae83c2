"""The headers exchanged with upstreams on the platform."""

import logging
import math
from collections.abc import Mapping

from cowslippond_core import (
    AnswerMetadata,
    HeaderList,
    LoadReport,
    Millis,
    NotRunReason,
    SendMetadata,
)
from cowslippond_core._dialect import encode_remaining
from cowslippond_core._headers import RELAYED

from cowslippond_daemon.platform._credentials import (
    KEY_HEADER,
    WORKSPACE_HEADER,
)

_REQUEST_ID = b'x-request-id'
_DEADLINE = b'x-deadline-ms'
_TARGET_VM = b'x-target-instance'
_RESPONDING_VM = b'x-instance-id'
_SIGNATURE = b'x-response-signature'
_NOT_RUN = b'x-not-executed'
_LOAD = b'x-backend-load'
_KEEP_ALIVE = b'keep-alive'
_RATE_LIMIT = b'server-limit'
_LEAVING = b'server-leaving'
_IS_LEAVING = b'1'
_RETRY_AFTER = b'retry-after'
_WARM_UP = b'x-warmup-ms'
_TIMEOUT = b'timeout='

_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
# Statuses that may bear the mark of a call that was not run.
_MARKED_STATUSES = frozenset((400, 408, 421, 429, 503))
_NORMAL_SLOWNESS_PERCENT = 100
_MIN_LOAD_FIELDS = 3

# Larger figures, and those that are no finite numbers, come from faulty
# upstreams.
_MAX_LOAD_FIELD = 1_000_000
_MILLIS_PER_SECOND = 1000

_logger = logging.getLogger(__name__)


class PlatformDialect:
    """Encodes request headers for upstreams and decodes their responses."""

    reserved_headers = frozenset((_DEADLINE, _TARGET_VM, RELAYED.encode()))
    workspace_headers = frozenset((KEY_HEADER, WORKSPACE_HEADER))
    vouching_headers = frozenset((_SIGNATURE,))
    allows_close_delimited = True
    echoes_request_id = True

    def request_headers(self, metadata: SendMetadata) -> HeaderList:
        """Return the remaining time, the target VM and the workspace."""
        headers = (
            *encode_remaining(_DEADLINE, metadata.remaining),
            (_TARGET_VM, metadata.vm.encode()),
        )
        if metadata.workspace is None:
            return headers
        return (*headers, (WORKSPACE_HEADER, metadata.workspace.encode()))

    def read_answer(self, status: int, headers: HeaderList) -> AnswerMetadata:
        """Decode the headers of a response."""
        by_name = dict(headers)
        vm = by_name.get(_RESPONDING_VM)
        return AnswerMetadata(
            request_id=by_name.get(_REQUEST_ID),
            vm=None if vm is None else vm.decode('latin-1'),
            not_run=_not_run(status, _NOT_RUN in by_name),
            is_genuine=_SIGNATURE in by_name and _NOT_RUN not in by_name,
            load=_read_load(by_name.get(_LOAD)),
            idle_timeout=_read_expiry(by_name.get(_KEEP_ALIVE)),
            rate_limit=_read_number(by_name, _RATE_LIMIT),
            is_leaving=by_name.get(_LEAVING) == _IS_LEAVING,
            pause=_read_pause(status, by_name),
            warm_up=_read_number(by_name, _WARM_UP),
        )

    def encode_retry_after(self, delay: Millis) -> bytes:
        """Encode a ``Retry-After`` delay in seconds, with fractions."""
        return b'%.3f' % (delay / _MILLIS_PER_SECOND)


def _not_run(status: int, is_marked: bool) -> NotRunReason | None:
    """Return why a call was not run; statuses of calls that ran bear no mark."""
    if not is_marked or status not in _MARKED_STATUSES:
        return None
    if status == _MISDIRECTED_STATUS:
        return NotRunReason.OTHER_VM
    return NotRunReason.SHED


def _read_load(text: bytes | None) -> LoadReport | None:
    """Read ``running,waiting,slots`` and optionally the slowness in percent.

    A slowness of 100 is normal; 200 means that work takes twice as long.
    """
    if text is None:
        return None
    try:
        fields = [float(field) for field in text.split(b',')]
    except ValueError:
        return None
    if len(fields) < _MIN_LOAD_FIELDS:
        return None
    if not all(0 <= field <= _MAX_LOAD_FIELD for field in fields):
        return None
    running, waiting, slots, *optional = fields
    slowness = optional[0] / _NORMAL_SLOWNESS_PERCENT if optional else 1
    return LoadReport(int(running), int(waiting), int(slots), slowness)


def _read_pause(status: int, headers: Mapping[bytes, bytes]) -> Millis | None:
    """Read for how long a refusing upstream wants no calls."""
    if status != _UNAVAILABLE_STATUS:
        return None
    seconds = _read_number(headers, _RETRY_AFTER)
    return None if seconds is None else seconds * _MILLIS_PER_SECOND


def _read_number(headers: Mapping[bytes, bytes], name: bytes) -> float | None:
    """Read a number that is not negative, or ``None`` if there is none."""
    text = headers.get(name)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if math.isfinite(number) and number >= 0:
        return number
    _logger.warning(
        'cannot parse a header of an upstream',
        extra={'header': name.decode(), 'text': text.decode('latin-1')},
    )
    return None


def _read_expiry(text: bytes | None) -> Millis | None:
    if text is None:
        return None
    for part in text.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == _TIMEOUT.rstrip(b'=') and seconds.isdigit():
            return float(seconds) * _MILLIS_PER_SECOND
    return None
