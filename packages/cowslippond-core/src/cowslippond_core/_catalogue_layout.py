"""Layout of the service document catalogue in the platform's table."""

from typing import NamedTuple

from cowslippond_core._document import AcceptedDocument
from cowslippond_core._table import Attributes, ItemKey

CHANGES = 'changes'
DOCUMENTS = 'documents'
HEAD = ItemKey('catalogue', 'head')

REVISION = 'revision'
VERSION = 'version'
TOKEN = 'token'

# Zero-padded so that sort keys are in the order of their revisions.
_REVISION_DIGITS = 12


class CatalogueRow(NamedTuple):
    """A row of ``changes`` or ``documents``.

    ``token`` identifies the change that wrote the row.
    """

    document: AcceptedDocument
    token: str


def change_key(revision: int) -> ItemKey:
    """Return the key of a change.

    :param revision: the number of the change among those of all services,
        from 1.
    """
    return ItemKey(CHANGES, str(revision).zfill(_REVISION_DIGITS))


def document_key(service: str) -> ItemKey:
    """Return the key of the newest document of a service."""
    return ItemKey(DOCUMENTS, service)


def encode_row(row: CatalogueRow) -> Attributes:
    """Encode a row as table attributes."""
    return {**row.document._asdict(), TOKEN: row.token}


def decode_row(attributes: Attributes) -> CatalogueRow:
    """Decode a row from table attributes.

    :raises KeyError: if an attribute is missing.
    :raises ValueError: if a numeric attribute is not a number.
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
