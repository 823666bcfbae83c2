"""Messages between daemons."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple, TypeAlias

from cowslippond_core._clock import Millis
from cowslippond_core._document import AcceptedDocument
from cowslippond_core._gossip_table import GossipRow

_NO_LOGS: Mapping[str, int] = MappingProxyType({})


class Witness(NamedTuple):
    """Evidence from a failure domain; ``age`` is in milliseconds."""

    failure_domain: str
    age: Millis


class Digest(NamedTuple):
    """The state of a daemon's catalogue and other logs.

    ``confirmed_age`` is the time since the revision was last known to be the
    newest, in milliseconds; ``None`` if it never was. ``logs`` maps the names
    of additional logs to their revisions. ``daemons`` is the number of daemons
    that the sender knows, including itself, or 0 if it does not tell.
    ``is_settled`` tells whether it has discovered the fleet since its start.
    ``era`` is the era of the store that the sender knows and ``first_era`` the
    lowest one that it remembers, both 0 if it knows none.
    """

    revision: int
    confirmed_age: Millis | None
    witnesses: tuple[Witness, ...]
    logs: Mapping[str, int] = _NO_LOGS
    daemons: int = 0
    is_settled: bool = False
    era: int = 0
    first_era: int = 0


class TableRows(NamedTuple):
    """Rows of one gossip table."""

    table: str
    rows: tuple[GossipRow, ...]


class Exchange(NamedTuple):
    """The sender's state: a request for the peer's state, or the answer."""

    fleet: str
    sender: str
    failure_domain: str
    digest: Digest
    tables: tuple[TableRows, ...]
    row_limit: int


class Confirmation(NamedTuple):
    """The requester's state at the end of a gossip round; has no answer."""

    failure_domain: str
    digest: Digest


class Pull(NamedTuple):
    """A request for documents with a revision above ``after``.

    ``log`` is the name of their log, empty for the catalogue.
    """

    after: int
    log: str = ''


class Documents(NamedTuple):
    """Documents in the order of their revisions.

    If ``is_last`` is set, the sender has no newer documents, and the receiver
    then has all changes up to ``revision``. ``log`` is the name of their log,
    empty for the catalogue.
    """

    documents: tuple[AcceptedDocument, ...]
    is_last: bool
    revision: int
    log: str = ''


Message: TypeAlias = Exchange | Confirmation | Pull | Documents
