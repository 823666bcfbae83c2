"""Fakes and factories for tests of configuration spreading."""

import random

from cowslippond_core import (
    AcceptedDocument,
    Catalogue,
    Clock,
    Metrics,
    ServiceDocument,
    Spread,
    SpreadSettings,
)
from cowslippond_core._catalogue_layout import (
    HEAD,
    CatalogueRow,
    change_key,
    document_key,
    encode_row,
)
from cowslippond_core._document_reader import read_document
from expression import Error, Result
from fakes import FakeTable

UNREADABLE = 'unreadable'


def document_text(service: str, prefix: str = '/', host: str = '*') -> str:
    return (
        f'{{"service": "{service}",'
        f'"match": [{{"host": "{host}", "path_prefix": "{prefix}"}}],'
        '"upstreams": {"slots": 2, "mean_service_ms": 8}}'
    )


def make_accepted(
    service: str, version: int, revision: int, text: str = ''
) -> AcceptedDocument:
    return AcceptedDocument(
        service,
        version,
        revision,
        text or document_text(service, f'/{service}'),
        'an operator',
        0,
    )


def fake_read_document(text: str, file: str) -> Result[ServiceDocument, tuple]:
    if text == UNREADABLE:
        return Error(())
    return read_document(text, file)


def make_catalogue(clock: Clock | None = None) -> Catalogue:
    return Catalogue(clock or Clock(), fake_read_document)


def accept(table: FakeTable, accepted: AcceptedDocument) -> None:
    """Write a version in the same way as the operator's tool."""
    row = encode_row(CatalogueRow(accepted, 'token'))
    table.rows[document_key(accepted.service)] = row
    table.rows[change_key(accepted.revision)] = row
    table.rows[HEAD] = {'revision': accepted.revision}


def make_spread(
    table: FakeTable,
    domain: str = 'north',
    seeds: tuple[str, ...] = (),
    vm_list_url: str = '',
    fleet: str = 'test',
    seed: int = 0,
    clock: Clock | None = None,
) -> Spread:
    clock = clock or Clock()
    settings = SpreadSettings(
        fleet=fleet,
        peer_address='127.0.0.1:0',
        admin_address='',
        failure_domain=domain,
        incarnation=str(seed),
        seeds=seeds,
        vm_list_url=vm_list_url,
    )
    return Spread(
        settings,
        table,
        clock,
        make_catalogue(clock),
        Metrics(''),
        random.Random(seed),
    )
