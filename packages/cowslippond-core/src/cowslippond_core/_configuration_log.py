"""The configuration in force, replicated from the store and from peers."""

import logging
from collections.abc import Callable, Iterable

from expression import Ok, Result

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._configuration import Configuration, RouteTable
from cowslippond_core._document import AcceptedDocument
from cowslippond_core._platform_store import StoreRow, StoreRows
from cowslippond_core._versions import Versions
from cowslippond_core.workspaces import KeyRegistry

_logger = logging.getLogger(__name__)

#: The key under which the configuration is stored and sent to peers.
CONFIGURATION_KEY = 'configuration'

# After a start, how long to wait for a confirmation that the version that a peer
# offered is the newest, and how old that confirmation may be. In this time the
# store or another peer answers, if any does; a daemon is in contact with them if
# they answered within the latter.
_START_CHECK_TIME: Millis = 2000
_MAX_CONFIRMED_AGE: Millis = 3000


class ConfigurationLog(Versions):
    """The newest configuration that could be decoded.

    :param clock: dates accepted versions.
    :param decode: parses a text; its error lists all findings.
    :param replace_keys: returns a text with digests in place of callers' keys.
        Only its results are kept and passed on to peers.
    """

    def __init__(
        self,
        clock: Clock,
        decode: Callable[[str], Result[Configuration, str]],
        replace_keys: Callable[[str], Result[str, str]] = Ok,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.decode = decode
        self.replace_keys = replace_keys
        self.keys = KeyRegistry()
        self.created_at = clock.now()
        self.is_checked = False
        self.current: Configuration | None = None
        self.routes = RouteTable(())
        self.last_decoded: tuple[str, Result[Configuration, str]] | None = None

    def apply_rows(
        self,
        rows: StoreRows,
        is_whole: bool,
        returned_at: Millis | None,
        requested_at: Millis,
    ) -> None:
        """Apply rows of the store, one of which is the configuration.

        :param rows: the rows.
        :param is_whole: unused, as a missing row does not remove the
            configuration.
        :param returned_at: unused.
        :param requested_at: when the rows were requested; the version was the
            newest at that time.
        """
        for row in rows.rows:
            if row.key == CONFIGURATION_KEY and row.text is not None:
                self._accept(row, row.text)
        self.confirm(requested_at, self.revision)

    def may_serve(self) -> bool:
        """Tell whether calls may be served by the configuration in force.

        After a start, the first version may come from a peer that lacks the
        newest one, and may contain keys that were revoked since. It is used once
        it is confirmed, or if nobody has offered a newer one for a while.
        """
        if self.current is None:
            return False
        if self.is_checked or self.current.workspaces is None:
            return True
        now = self.clock.now()
        is_confirmed = (
            self.confirmed_at is not None
            and now - self.confirmed_at <= _MAX_CONFIRMED_AGE
        )
        if is_confirmed or now - self.created_at >= _START_CHECK_TIME:
            self.is_checked = True
        return self.is_checked

    def count_workspaces(self) -> int | None:
        """Return the number of workspaces, or ``None`` if callers need no keys."""
        if self.current is None or self.current.workspaces is None:
            return None
        return len(self.current.workspaces)

    def offer_all(self, batch: Iterable[AcceptedDocument]) -> None:
        """Put the newest version that a peer sent in force.

        Peers of an earlier release send versions that contain keys.
        """
        super().offer_all([self._without_keys(accepted) for accepted in batch])

    def put_in_force(self, accepted: AcceptedDocument) -> bool:
        """Put a version in force unless it cannot be decoded."""
        decoded = self._decode_once(accepted.text)
        if decoded.is_error():
            _logger.error(
                'configuration cannot be decoded; keeping the previous version',
                extra={'version': accepted.version, 'detail': decoded.error},
            )
            return False
        self.current = decoded.ok
        self.routes = RouteTable(decoded.ok.routes)
        self.keys.update(decoded.ok.workspaces)
        _logger.info(
            'configuration in force',
            extra={
                'version': accepted.version,
                'routes': len(decoded.ok.routes),
                'services': len(decoded.ok.services),
                'workspaces': self.count_workspaces(),
            },
        )
        return True

    def _decode_once(self, text: str) -> Result[Configuration, str]:
        """Decode a text unless it is the one that was decoded last."""
        if self.last_decoded is None or self.last_decoded[0] != text:
            self.last_decoded = (text, self.decode(text))
        return self.last_decoded[1]

    def _without_keys(self, accepted: AcceptedDocument) -> AcceptedDocument:
        return accepted._replace(
            text=self.replace_keys(accepted.text).default_value('')
        )

    def _accept(self, row: StoreRow, stored_text: str) -> None:
        replaced = self.replace_keys(stored_text)
        decoded = replaced.bind(self._decode_once)
        if decoded.is_error():
            _logger.error(
                'stored configuration cannot be decoded',
                extra={'revision': row.revision, 'detail': decoded.error},
            )
            return
        version = decoded.ok.version
        self.offer(
            AcceptedDocument(
                service=CONFIGURATION_KEY,
                version=version,
                revision=version,
                text=replaced.ok,
                author='',
                accepted_at=self.clock.wall(),
            )
        )
        self.advance(version)
