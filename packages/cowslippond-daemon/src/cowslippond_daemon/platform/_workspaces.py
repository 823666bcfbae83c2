"""Decodes the workspaces of a configuration and replaces their keys."""

from typing import Any

import orjson
from cowslippond_core.workspaces import Workspace, digest_key
from expression import Error, Ok, Result

from cowslippond_daemon.platform._table_reader import FieldReader

_WORKSPACES = 'tenants'
_KEYS = 'api_keys'

# Takes the place of the keys in the text that daemons keep and pass on: a list
# of hexadecimal digests, with ``null`` for each invalid key, or ``null`` if the
# keys were not a list.
_DIGESTS = 'key_digests'

# What each text that has workspaces contains; the name may be escaped.
_MARKS = (_WORKSPACES, r'\u')

_DEFAULT_PRIORITY = 9

# A longer name does not fit into the datagrams about quotas.
_MAX_NAME_BYTES = 200

# Calls per second, and calls. Sums of higher limits could become infinite.
_MAX_LIMIT = 1_000_000_000


def replace_keys(text: str) -> Result[str, str]:
    """Return a configuration text with digests in place of keys.

    A text that contains digests already, or no workspaces, is not changed. The
    result has the same findings as the text, if any. Text that is not JSON
    gives an error.
    """
    if not any(mark in text for mark in _MARKS):
        return Ok(text)
    try:
        table = orjson.loads(text)
    except ValueError as error:
        return Error(f'not valid JSON: {error}')
    if not isinstance(table, dict):
        # Not a configuration; anything in it might be a key.
        return Ok('null')
    # A name that is repeated in an object hides the earlier value, whose keys are
    # still in the text.
    may_hide_keys = _KEYS in text or (_WORKSPACES in table and r'\u' in text)
    if not digest_keys(table) and not may_hide_keys:
        return Ok(text)
    return Ok(orjson.dumps(table).decode())


def digest_keys(table: dict[str, Any]) -> bool:
    """Replace the keys in a decoded configuration by their digests.

    :returns: whether the table was changed.
    """
    workspaces = table.get(_WORKSPACES)
    if workspaces is None:
        return False
    if not isinstance(workspaces, dict):
        table[_WORKSPACES] = None
        return True
    has_changed = False
    for name, entry in workspaces.items():
        if not isinstance(entry, dict):
            has_changed |= entry is not None
            workspaces[name] = None
            continue
        if _KEYS in entry:
            has_changed = True
            entry[_DIGESTS] = _digest_list(entry.pop(_KEYS))
    return has_changed


def decode_workspaces(reader: FieldReader) -> dict[str, Workspace] | None:
    """Decode the workspaces, or return ``None`` if callers need no keys.

    :param reader: reads a configuration whose keys are replaced by digests.
    """
    if _WORKSPACES not in reader.table:
        return None
    owners: dict[bytes, str] = {}
    workspaces: dict[str, Workspace] = {}
    for name, entry in reader.entries(_WORKSPACES).items():
        path = f'{_WORKSPACES}.{name}'
        workspace_reader = FieldReader(entry, path, reader.findings)
        if not _is_header_text(name):
            reader.findings.append(f'{path}: name cannot be sent in a header')
        if len(name.encode()) > _MAX_NAME_BYTES:
            reader.findings.append(
                f'{path}: name is longer than {_MAX_NAME_BYTES} bytes'
            )
        workspace = _decode_workspace(name, workspace_reader)
        workspaces[name] = workspace
        for digest in workspace.key_digests:
            owner = owners.setdefault(digest, name)
            if owner != name:
                workspace_reader.reject(_KEYS, f'contains a key of {owner}')
    return workspaces


def _decode_workspace(name: str, reader: FieldReader) -> Workspace:
    return Workspace(
        name,
        priority=int(reader.number('priority', _DEFAULT_PRIORITY)),
        rate=_decode_limit(reader, 'rate_per_s'),
        burst=_decode_limit(reader, 'burst'),
        key_digests=_decode_digests(reader),
    )


def _decode_limit(reader: FieldReader, name: str) -> float:
    limit = reader.number(name, 0)
    if limit > _MAX_LIMIT:
        reader.reject(name, f'expected at most {_MAX_LIMIT}')
        return 0
    return limit


def _decode_digests(reader: FieldReader) -> frozenset[bytes]:
    found = reader.table.get(_DIGESTS, [])
    if not isinstance(found, list):
        reader.reject(_KEYS, 'expected a list')
        return frozenset()
    digests = set()
    for index, text in enumerate(found):
        try:
            digests.add(bytes.fromhex(text))
        except (TypeError, ValueError):
            reader.reject(
                f'{_KEYS}.{index}', 'expected a text that is not empty'
            )
    return frozenset(digests)


def _digest_list(keys: Any) -> list[str | None] | None:
    if not isinstance(keys, list):
        return None
    return [
        digest_key(key.encode()).hex() if isinstance(key, str) and key else None
        for key in keys
    ]


def _is_header_text(name: str) -> bool:
    return bool(name) and name.isprintable() and name == name.strip()
