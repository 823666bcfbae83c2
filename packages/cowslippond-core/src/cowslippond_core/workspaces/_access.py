"""The workspace that a call was authenticated for."""

from cowslippond_core.workspaces._key_registry import KeyRegistry
from cowslippond_core.workspaces._workspace import Workspace


class CallAccess:
    """The workspace of a call, for as long as its key is valid.

    This is no tuple, so that a description of it in an error contains no digest.

    :param workspace: the workspace as it was when the call arrived.
    :param digest: the digest of the call's key.
    :param registry: the keys that are valid now.
    """

    __slots__ = ('digest', 'registry', 'workspace')

    def __init__(
        self, workspace: Workspace, digest: bytes, registry: KeyRegistry
    ) -> None:
        self.workspace = workspace
        self.digest = digest
        self.registry = registry

    def is_revoked(self) -> bool:
        """Tell whether the key was revoked after the call arrived."""
        return not self.registry.is_valid(self.digest, self.workspace.name)
