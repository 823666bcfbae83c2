"""Tests of accepting a document, with lost responses and races."""

import anyio
import pytest
from cowslippond_core import (
    AcceptedDocument,
    ApplyError,
    ApplyFault,
    accept_document,
    read_changes,
    read_documents,
    read_head,
)
from cowslippond_core._catalogue_layout import CHANGES, document_key
from expression import Result
from fakes import DelayedWriteTable, FakeClock, FakeTable

pytestmark = pytest.mark.anyio


def document(service: str, prefix: str = '', extra: str = '') -> str:
    prefix = prefix or f'/{service}'
    fields = (
        f'"service": "{service}"',
        f'"match": [{{"host": "shop.example", "path_prefix": "{prefix}"}}]',
        '"upstreams": {"slots": 2, "mean_service_ms": 8}',
        extra,
    )
    return ','.join(fields).join('{}')


async def accept(
    table: FakeTable,
    service: str = 'stock',
    author: str = 'ann',
    expected: int | None = None,
    text: str = '',
) -> Result[AcceptedDocument, ApplyError]:
    text = text or document(service)
    return await accept_document(table, text, author, expected, FakeClock())


def change_rows(table: FakeTable) -> list[tuple[object, object]]:
    return [
        (attributes['service'], attributes['version'])
        for key, attributes in sorted(table.rows.items())
        if key.partition == CHANGES
    ]


async def accept_into(
    outcomes: dict[str, Result[AcceptedDocument, ApplyError]],
    table: FakeTable,
    service: str,
    author: str,
) -> None:
    outcomes[f'{service} {author}'] = await accept(table, service, author)


class TestAccept:
    async def test_versions_are_per_service_and_revisions_are_global(
        self,
    ) -> None:
        table = FakeTable()
        for service, version, revision in (
            ('stock', 1, 1),
            ('catalogue', 1, 2),
            ('stock', 2, 3),
        ):
            accepted = (await accept(table, service)).ok
            assert (accepted.version, accepted.revision) == (version, revision)
        assert (await read_head(table)).ok == 3
        changes = (await read_changes(table, 1, 10)).ok
        assert [change.revision for change in changes] == [2, 3]
        newest = (await read_documents(table)).ok
        assert {each.service: each.version for each in newest} == {
            'stock': 2,
            'catalogue': 1,
        }

    async def test_expected_version_that_is_not_the_newest_is_a_conflict(
        self,
    ) -> None:
        table = FakeTable()
        await accept(table, author='ann')
        await accept(table, author='bob')
        refused = (await accept(table, expected=1)).error
        assert refused.fault is ApplyFault.CONFLICT
        assert refused.newest.version == 2
        assert refused.newest.author == 'bob'
        assert (await accept(table, expected=2)).ok.version == 3

    async def test_invalid_document_is_not_written(self) -> None:
        table = FakeTable()
        refused = (await accept(table, text='{')).error
        assert refused.fault is ApplyFault.INVALID
        assert refused.findings
        assert not table.read_count
        assert not table.write_count

    @pytest.mark.parametrize(
        ('first', 'second'),
        [
            (document('a', '/x'), document('b', '/x')),
            (
                document(
                    'a',
                    '/',
                    '"never_repeat": [{"methods": ["POST"], "path": "/pay/*",'
                    ' "caller_header": "x-till"}]',
                ),
                document('b', '/pay/card'),
            ),
            (
                document('b', '/pay/card'),
                document(
                    'a',
                    '/',
                    '"never_repeat": [{"methods": ["POST"], "path": "/pay/*",'
                    ' "caller_header": "x-till"}]',
                ),
            ),
        ],
    )
    async def test_overlap_with_another_service_is_refused(
        self, first: str, second: str
    ) -> None:
        table = FakeTable()
        assert (await accept(table, text=first)).is_ok()
        refused = (await accept(table, text=second)).error
        assert refused.fault is ApplyFault.OVERLAP
        assert refused.overlaps
        assert (await read_head(table)).ok == 1

    async def test_unreadable_document_of_another_service_blocks_changes(
        self,
    ) -> None:
        table = FakeTable()
        await accept(table, 'stock')
        key = document_key('stock')
        newer = {**table.rows[key], 'text': '{"a_field_of_tomorrow": 1}'}
        table.rows[key] = newer
        refused = (await accept(table, 'catalogue')).error
        assert refused.fault is ApplyFault.UNREADABLE
        assert refused.newest.service == 'stock'
        assert (await accept(table, 'stock')).is_ok()

    async def test_nested_match_is_accepted(self) -> None:
        table = FakeTable()
        assert (await accept(table, text=document('a', '/'))).is_ok()
        assert (await accept(table, text=document('b', '/b'))).is_ok()


class TestLostResponses:
    async def test_write_with_a_lost_response_is_reported_as_accepted(
        self,
    ) -> None:
        table = FakeTable()
        table.lost_answers = 1
        accepted = await accept(table)
        assert accepted.ok.version == 1
        assert table.lost_answers == 0
        assert change_rows(table) == [('stock', 1)]

    async def test_lost_write_is_retried_and_takes_effect_once(self) -> None:
        table = FakeTable()
        table.lost_requests = 3
        assert (await accept(table)).ok.version == 1
        assert table.write_count == 4
        assert change_rows(table) == [('stock', 1)]

    @pytest.mark.parametrize('reads', range(1, 9))
    async def test_delayed_write_is_not_reported_as_a_conflict(
        self, reads: int
    ) -> None:
        table = DelayedWriteTable(reads)
        accepted = await accept(table)
        assert table.pending is not None
        assert accepted.ok.version == 1
        assert change_rows(table) == [('stock', 1)]

    async def test_response_lost_on_the_last_attempt_is_resolved(self) -> None:
        table = FakeTable()
        table.lost_requests = 9
        table.lost_answers = 1
        accepted = await accept(table)
        assert table.write_count == 10
        assert accepted.ok.version == 1

    async def test_unresolved_outcome_is_reported_as_unknown(self) -> None:
        table = FakeTable()
        table.lost_requests = 1000
        unknown = (await accept(table)).error
        assert unknown.fault is ApplyFault.UNKNOWN
        assert unknown.revisions == (1,)
        assert unknown.token

    async def test_outage_before_the_write_is_reported_as_unavailable(
        self,
    ) -> None:
        table = FakeTable()
        table.is_down = True
        refused = (await accept(table)).error
        assert refused.fault is ApplyFault.UNAVAILABLE
        assert not table.rows


class TestRaces:
    async def test_loser_of_a_race_gets_the_winning_document(
        self,
    ) -> None:
        table = FakeTable()
        await accept(table)
        outcomes: dict[str, Result[AcceptedDocument, ApplyError]] = {}
        async with anyio.create_task_group() as tasks:
            for author in ('ann', 'bob'):
                tasks.start_soon(accept_into, outcomes, table, 'stock', author)
        winners = [each.ok.author for each in outcomes.values() if each.is_ok()]
        assert len(winners) == 1
        loser = next(
            each.error for each in outcomes.values() if each.is_error()
        )
        assert loser.fault is ApplyFault.CONFLICT
        assert loser.newest.author == winners[0]
        assert loser.newest.version == 2

    @pytest.mark.parametrize('lost', [0, 1, 3])
    async def test_changes_of_different_services_all_succeed(
        self, lost: int
    ) -> None:
        table = FakeTable()
        table.lost_answers = lost
        outcomes: dict[str, Result[AcceptedDocument, ApplyError]] = {}
        services = ['stock', 'catalogue', 'checkout', 'parts']
        async with anyio.create_task_group() as tasks:
            for service in services:
                tasks.start_soon(accept_into, outcomes, table, service, 'ann')
        assert all(outcome.is_ok() for outcome in outcomes.values())
        assert sorted(change_rows(table)) == [
            (service, 1) for service in sorted(services)
        ]
        assert (await read_head(table)).ok == len(services)
