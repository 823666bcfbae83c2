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
        self.current: Configuration | None = None
        self.routes = RouteTable(())
        self.last_decoded: tuple[str, Result[Configuration, str]] | None = None

    def apply_rows(
        self,
        rows: StoreRows,
        is_whole: bool,
        was_lost: bool,
        requested_at: Millis,
    ) -> None:
        """Apply rows of the store, one of which is the configuration.

        :param rows: the rows.
        :param is_whole: unused, as a missing row does not remove the
            configuration.
        :param was_lost: unused.
        :param requested_at: when the rows were requested; the version was the
            newest at that time.
        """
        for row in rows.rows:
            if row.key == CONFIGURATION_KEY and row.text is not None:
                self._accept(row, row.text)
        self.confirm(requested_at, self.revision)

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
                'workspaces': len(decoded.ok.workspaces or ()),
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
