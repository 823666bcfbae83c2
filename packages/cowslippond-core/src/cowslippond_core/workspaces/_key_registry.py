"""The keys that are valid now, by digest."""

import hashlib
from collections.abc import Mapping

from cowslippond_core.workspaces._workspace import Workspace

# 128 bits: a second key with the same digest cannot be found, and the digests of
# the configuration, which daemons pass on, stay short.
_DIGEST_BYTES = 16


def digest_key(key: bytes) -> bytes:
    """Return the digest under which a key is kept."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


class KeyRegistry:
    """The workspaces of the configuration in force, by the digest of each key.

    ``by_digest`` is ``None`` while callers need no keys.
    """

    def __init__(self) -> None:
        self.by_digest: dict[bytes, Workspace] | None = None

    def update(self, workspaces: Mapping[str, Workspace] | None) -> None:
        """Replace the keys by those of a new configuration.

        :param workspaces: ``None`` if callers need no keys.
        """
        if workspaces is None:
            self.by_digest = None
            return
        self.by_digest = {
            digest: workspace
            for workspace in workspaces.values()
            for digest in workspace.key_digests
        }

    def is_required(self) -> bool:
        """Tell whether callers need keys."""
        return self.by_digest is not None

    def is_valid(self, digest: bytes, workspace: str) -> bool:
        """Tell whether a key still belongs to a workspace.

        Every key is valid while callers need none.
        """
        if self.by_digest is None:
            return True
        found = self.by_digest.get(digest)
        return found is not None and found.name == workspace
