"""The configuration in force, as the store and peers tell of it."""

import logging
from collections.abc import Callable

from expression import Result

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._configuration import Configuration, RouteTable
from cowslippond_core._document import AcceptedDocument
from cowslippond_core._platform_store import StoreRow, StoreRows
from cowslippond_core._versions import Versions

_logger = logging.getLogger(__name__)

#: The name under which daemons pass the configuration on.
CONFIGURATION_KEY = 'configuration'


class ConfigurationLog(Versions):
    """The newest configuration that could be read.

    :param clock: dates what is accepted.
    :param decode: reads a text; its error names each finding.
    """

    def __init__(
        self,
        clock: Clock,
        decode: Callable[[str], Result[Configuration, str]],
    ) -> None:
        super().__init__()
        self.clock = clock
        self.decode = decode
        self.current: Configuration | None = None
        self.routes = RouteTable(())

    def apply_rows(
        self,
        rows: StoreRows,
        is_whole: bool,
        was_lost: bool,
        asked_at: Millis,
    ) -> None:
        """Take over rows of the store, of which one is the configuration.

        :param asked_at: since when the newest version is known.
        """
        for row in rows.rows:
            if row.key == CONFIGURATION_KEY and row.text is not None:
                self._accept(row, row.text)
        self.confirm(asked_at, self.revision)

    def put_in_force(self, accepted: AcceptedDocument) -> bool:
        """Serve a version, unless it cannot be read."""
        decoded = self.decode(accepted.text)
        if decoded.is_error():
            _logger.error(
                'configuration cannot be read; the earlier version stays',
                extra={'version': accepted.version, 'detail': decoded.error},
            )
            return False
        self.current = decoded.ok
        self.routes = RouteTable(decoded.ok.routes)
        _logger.info(
            'configuration in force',
            extra={
                'version': accepted.version,
                'routes': len(decoded.ok.routes),
                'services': len(decoded.ok.services),
            },
        )
        return True

    def _accept(self, row: StoreRow, text: str) -> None:
        decoded = self.decode(text)
        if decoded.is_error():
            _logger.error(
                'stored configuration cannot be read',
                extra={'revision': row.revision, 'detail': decoded.error},
            )
            return
        version = decoded.ok.version
        self.offer(
            AcceptedDocument(
                service=CONFIGURATION_KEY,
                version=version,
                revision=version,
                text=text,
                author='',
                accepted_at=self.clock.wall(),
            )
        )
        self.advance(version)
