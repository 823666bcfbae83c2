"""The headers that carry a caller's key and the name of its workspace."""

from collections.abc import Container

from cowslippond_core import HeaderList
from cowslippond_core.workspaces import KeyFault

#: Carries the key, as ``Token KEY``.
KEY_HEADER = b'authorization'
#: Tells upstreams the workspace of a call.
WORKSPACE_HEADER = b'x-tenant-id'

_SCHEME = b'token'
_WORKSPACE_HEADERS = frozenset((WORKSPACE_HEADER,))
_ALL_HEADERS = frozenset((KEY_HEADER, WORKSPACE_HEADER))


class PlatformCredentials:
    """Reads and drops the headers for the key and the workspace."""

    def read_key(self, headers: HeaderList) -> bytes | KeyFault:
        """Return the key of a call, or why there is none."""
        found = [text for name, text in headers if name == KEY_HEADER]
        if not found:
            return KeyFault.MISSING
        if len(found) > 1:
            return KeyFault.REPEATED
        scheme, _, key = found[0].partition(b' ')
        if scheme.lower() != _SCHEME:
            return KeyFault.OTHER_SCHEME
        return key.strip(b' ') or KeyFault.MALFORMED

    def strip_workspace(self, headers: HeaderList) -> HeaderList:
        """Return the headers without any that name a workspace."""
        return _without(headers, _WORKSPACE_HEADERS)

    def strip_all(self, headers: HeaderList) -> HeaderList:
        """Return the headers without the key and the name of a workspace."""
        return _without(headers, _ALL_HEADERS)


def _without(headers: HeaderList, names: Container[bytes]) -> HeaderList:
    """Drop headers, also those spelt with underscores.

    Many HTTP servers treat underscores in names like hyphens.
    """
    return tuple(
        header
        for header in headers
        if header[0].lower().replace(b'_', b'-') not in names
    )
