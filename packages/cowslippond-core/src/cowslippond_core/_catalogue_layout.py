"""Where the catalogue of service documents lies in the platform's table."""

from typing import NamedTuple

from cowslippond_core._document import AcceptedDocument
from cowslippond_core._table import Attributes, ItemKey

CHANGES = 'changes'
DOCUMENTS = 'documents'
HEAD = ItemKey('catalogue', 'head')

REVISION = 'revision'
VERSION = 'version'
TOKEN = 'token'

# Zero-padded, so that the order of sort keys is that of the revisions.
_REVISION_DIGITS = 12


class CatalogueRow(NamedTuple):
    """A row of ``changes`` or ``documents``.

    ``token`` is unique to the try that wrote the row.
    """

    document: AcceptedDocument
    token: str


def change_key(revision: int) -> ItemKey:
    """Return the key of a change.

    :param revision: counts the changes of all services, from 1.
    """
    return ItemKey(CHANGES, str(revision).zfill(_REVISION_DIGITS))


def document_key(service: str) -> ItemKey:
    """Return the key of the newest document of a service."""
    return ItemKey(DOCUMENTS, service)


def encode_row(row: CatalogueRow) -> Attributes:
    """Return the attributes of a row."""
    return {**row.document._asdict(), TOKEN: row.token}


def decode_row(attributes: Attributes) -> CatalogueRow:
    """Return the row that attributes hold.

    :raises KeyError: if an attribute is missing.
    :raises ValueError: if a number is not one.
    """
    document = AcceptedDocument(
        service=str(attributes['service']),
        version=int(attributes[VERSION]),
        revision=int(attributes[REVISION]),
        text=str(attributes['text']),
        author=str(attributes['author']),
        accepted_at=int(attributes['accepted_at']),
    )
    return CatalogueRow(document, str(attributes[TOKEN]))
