"""The rules of a service document, applied to a call."""

from fnmatch import fnmatchcase
from functools import lru_cache

from cowslippond_core import CallIdentity, Millis, NeverRepeat, ServiceDocument

from cowslippond_daemon._edge import IncomingCall

_IDEMPOTENT_METHODS = frozenset(
    (
        'GET',
        'HEAD',
        'OPTIONS',
        'TRACE',
        'PUT',
        'DELETE',
    )
)
_RULE_CACHE_SIZE = 4096


@lru_cache(maxsize=_RULE_CACHE_SIZE)
def find_rule(
    rules: tuple[NeverRepeat, ...], method: str, path: str
) -> NeverRepeat | None:
    """Return the first rule that matches a call, or ``None``."""
    for rule in rules:
        if method not in rule.methods:
            continue
        if fnmatchcase(path, rule.path):
            return rule
    return None


def is_idempotent(document: ServiceDocument, method: str, path: str) -> bool:
    """Tell whether a call may be sent more than once."""
    if method not in _IDEMPOTENT_METHODS:
        return False
    return find_rule(document.never_repeat, method, path) is None


def identify_call(
    document: ServiceDocument, call: IncomingCall
) -> CallIdentity | None:
    """Return the identity under which a call is claimed.

    It is ``None`` for a call without a key, which gets a single attempt. The
    caller is empty if the call has no caller header.
    """
    rule = find_rule(document.never_repeat, call.method, call.path)
    if rule is None:
        return None
    key = call.get_header(rule.key_header.lower().encode())
    if not key:
        return None
    caller = call.get_header(rule.caller_header.lower().encode()) or b''
    return CallIdentity(
        document.service, caller.decode('latin-1'), key.decode('latin-1')
    )


def call_timeout(
    document: ServiceDocument, header_value: bytes | None
) -> Millis:
    """Return how long the caller waits for a response, in milliseconds.

    The service's ceiling caps it.

    :param header_value: of the caller's deadline header; ignored unless it is
        a number.
    """
    policy = document.deadline
    try:
        requested = float(header_value) if header_value else policy.default_ms
    except ValueError:
        requested = policy.default_ms
    if not requested > 0:
        return 0
    return min(requested, policy.ceiling_ms)


def parse_attempt(header_value: bytes | None) -> int:
    """Return how often outer levels of the call chain sent this call before."""
    if header_value is None or not header_value.isdigit():
        return 0
    return int(header_value[:4])
