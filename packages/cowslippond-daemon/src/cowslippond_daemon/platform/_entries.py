"""Decodes the entries that upstreams register in the store."""

import ipaddress
from types import MappingProxyType
from typing import Any, TypeGuard

import orjson
from cowslippond_core import Millis, Vm, VmState

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5

# Larger numbers come from other writers. Sums of them would not fit into the
# messages between daemons.
_MAX_SLOTS = 1_000_000
_MAX_WARM_UP: Millis = 3_600_000
_STATES = MappingProxyType({'ready': VmState.LIVE, 'draining': VmState.LEAVING})


def decode_entry(key: str, text: str) -> Vm | None:
    """Return the VM that an entry describes, or ``None`` if it is invalid.

    Other writers may store entries with missing fields or fields of another
    type; such entries are ignored.

    :param key: the name of the VM, which the entry does not contain.
    :param text: the entry as JSON.
    """
    try:
        entry: Any = orjson.loads(text)
    except ValueError:
        return None
    if not isinstance(entry, dict):
        return None
    state = entry.get('state')
    if not isinstance(state, str) or state not in _STATES:
        return None
    required = [entry.get(name) for name in ('service', 'address', 'zone')]
    if not all(isinstance(field, str) and field for field in required):
        return None
    if not _is_header_text(key) or not _is_address(entry['address']):
        return None
    return _make_vm(key, entry, _STATES[state])


def _make_vm(key: str, entry: dict[str, Any], state: VmState) -> Vm | None:
    slots = entry.get('slots')
    if not _is_whole(slots) or not 0 <= slots <= _MAX_SLOTS:
        return None
    # Of any other type, it may be nested too deeply to be turned into a text.
    born = entry.get('born', '')
    if born != '' and not _is_whole(born):
        return None
    warm_up = entry.get('warmup_left_ms', 0)
    if not isinstance(warm_up, int | float):
        warm_up = 0
    return Vm(
        name=key,
        # A VM that restarts keeps its name but has a new ``born`` time.
        incarnation=f'{key} {born}',
        failure_domain=entry['zone'],
        state=state,
        service=entry['service'],
        address=entry['address'],
        slots=slots,
        warm_up=min(max(warm_up, 0), _MAX_WARM_UP),
    )


def _is_whole(number: Any) -> TypeGuard[int]:
    return isinstance(number, int) and not isinstance(number, bool)


def _is_header_text(name: str) -> bool:
    """Return whether a name can be sent in a header of a request."""
    return name.isascii() and name.isprintable()


def _is_address(address: str) -> bool:
    """Return whether a text is an IP address with a port."""
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    # Some digits of other scripts pass for numbers, but not all of them.
    if not port.isascii() or not port.isdigit():
        return False
    return len(port) <= _MAX_PORT_DIGITS and 0 < int(port) <= _MAX_PORT
