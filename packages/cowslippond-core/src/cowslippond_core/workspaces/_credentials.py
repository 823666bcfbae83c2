"""What callers send to authenticate, independent of the header format."""

import enum
from typing import Protocol, TypeAlias

# Not imported from the messages of calls, which refer to workspaces.
HeaderList: TypeAlias = tuple[tuple[bytes, bytes], ...]


class KeyFault(enum.StrEnum):
    """Why a call's key is not accepted."""

    MISSING = 'missing'
    REPEATED = 'repeated'
    OTHER_SCHEME = 'other_scheme'
    MALFORMED = 'malformed'
    UNKNOWN = 'unknown'


class CredentialFormat(Protocol):
    """The headers that carry a caller's key and the name of its workspace."""

    def read_key(self, headers: HeaderList) -> bytes | KeyFault:
        """Return the key that a call carries, or why there is none.

        :param headers: with names in lower case.
        """

    def strip_workspace(self, headers: HeaderList) -> HeaderList:
        """Return the headers without any that name a workspace."""

    def strip_all(self, headers: HeaderList) -> HeaderList:
        """Return the headers without the key and the name of a workspace."""
