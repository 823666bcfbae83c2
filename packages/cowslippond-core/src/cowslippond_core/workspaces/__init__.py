"""Workspaces: whose calls a daemon serves, and how urgent they are."""

from cowslippond_core.workspaces._access import CallAccess as CallAccess
from cowslippond_core.workspaces._credentials import (
    CredentialFormat as CredentialFormat,
)
from cowslippond_core.workspaces._credentials import KeyFault as KeyFault
from cowslippond_core.workspaces._key_registry import (
    KeyRegistry as KeyRegistry,
)
from cowslippond_core.workspaces._key_registry import digest_key as digest_key
from cowslippond_core.workspaces._workspace import Workspace as Workspace
