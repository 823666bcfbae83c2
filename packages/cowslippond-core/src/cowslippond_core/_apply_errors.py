"""Why a service document was not accepted, or may have been."""

import enum
from typing import NamedTuple

from cowslippond_core._document import AcceptedDocument
from cowslippond_core._findings import Finding
from cowslippond_core._route_overlap import Overlap


class ApplyFault(enum.StrEnum):
    """What kept a document from being accepted.

    Only ``UNKNOWN`` leaves open whether it was; every other fault says that
    the document was not accepted and will not be.
    """

    INVALID = 'invalid'
    OVERLAP = 'overlap'
    UNREADABLE = 'unreadable'
    CONFLICT = 'conflict'
    CONTENTION = 'contention'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


class ApplyError(NamedTuple):
    """A document that was not accepted, or may have been.

    ``newest`` is the version that won a conflict, ``None`` if the service has
    no document; or the document of another service that cannot be read. ``revisions`` are those under which the document may still
    be accepted, and ``token`` marks its rows in the table.
    """

    fault: ApplyFault
    detail: str = ''
    findings: tuple[Finding, ...] = ()
    overlaps: tuple[Overlap, ...] = ()
    newest: AcceptedDocument | None = None
    revisions: tuple[int, ...] = ()
    token: str = ''
