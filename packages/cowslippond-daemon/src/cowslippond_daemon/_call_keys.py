"""Authenticates the callers of workspaces."""

import logging

from cowslippond_core import HeaderList, Route
from cowslippond_core.workspaces import (
    CallAccess,
    CredentialFormat,
    KeyFault,
    KeyRegistry,
    digest_key,
)

from cowslippond_daemon._edge import IncomingCall

_logger = logging.getLogger(__name__)


class CallKeys:
    """Finds the workspace of a call by the key that it carries.

    :param registry: the keys that are valid now.
    :param credentials: the headers that carry keys and workspaces.
    """

    def __init__(
        self, registry: KeyRegistry, credentials: CredentialFormat
    ) -> None:
        self.registry = registry
        self.credentials = credentials

    def authenticate(
        self, call: IncomingCall, route: Route
    ) -> CallAccess | KeyFault | None:
        """Return the access that a call has, or why its key is refused.

        ``None`` means that the call needs no key.
        """
        by_digest = self.registry.by_digest
        if by_digest is None or route.is_public:
            return None
        key = self.credentials.read_key(call.headers)
        if isinstance(key, KeyFault):
            return _refuse(call, route, key)
        digest = digest_key(key)
        workspace = by_digest.get(digest)
        if workspace is None:
            return _refuse(call, route, KeyFault.UNKNOWN)
        return CallAccess(workspace, digest, self.registry)

    def forwarded_headers(
        self, call: IncomingCall, access: CallAccess | None
    ) -> HeaderList:
        """Return the headers of an authenticated call that may be passed on.

        The key of a workspace remains, as a peer through which the call is sent
        has to authenticate it; it is dropped when the call is sent to an
        upstream.
        """
        if self.registry.by_digest is None:
            return call.headers
        if access is None:
            return self.credentials.strip_all(call.headers)
        return self.credentials.strip_workspace(call.headers)


def _refuse(call: IncomingCall, route: Route, fault: KeyFault) -> KeyFault:
    _logger.info(
        'key refused',
        extra={
            'request_id': call.request_id,
            'route': route.name,
            'fault': fault.value,
        },
    )
    return fault
