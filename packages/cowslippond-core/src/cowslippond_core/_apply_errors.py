"""Errors of accepting a service document."""

import enum
from typing import NamedTuple

from cowslippond_core._document import AcceptedDocument
from cowslippond_core._findings import Finding
from cowslippond_core._route_overlap import Overlap


class ApplyFault(enum.StrEnum):
    """Why a document was not accepted.

    ``UNKNOWN`` means that it may have been accepted. With every other fault,
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
    """The failure to accept a document.

    In a conflict, ``newest`` is the version that is in the table, ``None`` if
    the service has no document. If another service's document cannot be
    parsed, ``newest`` is that document. ``revisions`` are those under which
    the document may have been or may still be accepted, and ``token``
    identifies its rows in the table.
    """

    fault: ApplyFault
    detail: str = ''
    findings: tuple[Finding, ...] = ()
    overlaps: tuple[Overlap, ...] = ()
    newest: AcceptedDocument | None = None
    revisions: tuple[int, ...] = ()
    token: str = ''
