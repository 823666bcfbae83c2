"""Tests of the commands that validate, submit and show documents."""

import pathlib

import pytest
from cowslippond_core import Clock
from cowslippond_ctl._apply import DocumentApplier
from cowslippond_ctl._check import check_files
from cowslippond_ctl._diff import diff_file, diff_versions
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._history import (
    list_services,
    show_history,
    show_newest,
    show_version,
)
from cowslippond_ctl._outcome import CommandOutcome, print_outcome
from fakes import FakeTable

pytestmark = pytest.mark.anyio

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
STOCK = EXAMPLES / 'museum-shop' / 'stock.jsonc'
CHECKOUT = EXAMPLES / 'museum-shop' / 'checkout.jsonc'


async def apply(
    table: FakeTable,
    *paths: pathlib.Path,
    author: str = 'ann',
    expected: int | None = None,
) -> CommandOutcome:
    return await DocumentApplier(table, Clock(), author, expected).apply(paths)


@pytest.fixture
def changed_stock(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / 'stock.jsonc'
    text = STOCK.read_text()
    path.write_text(text.replace('"default_ms": 1000', '"default_ms": 900'))
    return path


@pytest.fixture
def faulty(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / 'faulty.jsonc'
    path.write_text(STOCK.read_text().replace('"deadline"', '"dedline"'))
    return path


class TestCheck:
    def test_findings_of_all_files_are_reported_together(
        self, faulty: pathlib.Path, tmp_path: pathlib.Path
    ) -> None:
        missing = tmp_path / 'missing.jsonc'
        outcome = check_files([missing, STOCK, faulty])
        assert outcome.code is ExitCode.FAULTY
        lines = [str(view) for view in outcome.views]
        assert lines[0].startswith(f'{missing}:1:1: cannot be read')
        assert lines[1].startswith(f'{faulty}:16:3: dedline: unknown field')
        assert len(lines) == 2

    def test_binary_file_is_a_finding(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / 'binary'
        path.write_bytes(b'\xff\xfe\x00')
        assert check_files([path]).code is ExitCode.FAULTY

    def test_byte_order_mark_is_allowed(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / 'marked.jsonc'
        path.write_text(STOCK.read_text(), encoding='utf-8-sig')
        assert check_files([path]).code is ExitCode.DONE


class TestApply:
    async def test_nothing_is_sent_if_any_file_is_faulty(
        self, faulty: pathlib.Path
    ) -> None:
        table = FakeTable()
        outcome = await apply(table, STOCK, faulty)
        assert outcome.code is ExitCode.FAULTY
        assert not table.rows

    async def test_conflict_names_the_author_of_the_newer_version(
        self, changed_stock: pathlib.Path
    ) -> None:
        table = FakeTable()
        await apply(table, STOCK)
        await apply(table, changed_stock, author='bob', expected=1)
        outcome = await apply(table, STOCK, expected=1)
        assert outcome.code is ExitCode.CONFLICT
        assert 'bob changed shop-stock to version 2' in str(outcome.views[0])
        assert outcome.record['newest']['author'] == 'bob'

    async def test_nothing_is_accepted_while_the_table_is_unavailable(
        self,
    ) -> None:
        table = FakeTable()
        table.is_down = True
        outcome = await apply(table, STOCK)
        assert outcome.code is ExitCode.UNAVAILABLE
        assert outcome.record['accepted'] == []

    async def test_unknown_outcome_reports_the_token_of_the_attempt(
        self,
    ) -> None:
        table = FakeTable()
        table.lost_requests = 1000
        outcome = await apply(table, STOCK)
        assert outcome.code is ExitCode.UNKNOWN
        token = outcome.record['token']
        assert token in str(outcome.views[0])
        table.lost_requests = 0
        await apply(table, STOCK)
        history = await show_history(table, 'shop-stock', 5)
        tokens = [change['token'] for change in history.record['changes']]
        assert token not in tokens

    async def test_files_before_a_refused_one_are_reported_as_accepted(
        self, tmp_path: pathlib.Path
    ) -> None:
        overlapping = tmp_path / 'overlapping.jsonc'
        text = STOCK.read_text()
        overlapping.write_text(text.replace('shop-stock', 'overlapping'))
        outcome = await apply(FakeTable(), STOCK, overlapping)
        assert outcome.code is ExitCode.CONFLICT
        assert outcome.record['fault'] == 'overlap'
        services = [each['service'] for each in outcome.record['accepted']]
        assert services == ['shop-stock']


class TestShow:
    async def test_document_is_printed_unchanged(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """rich expanded tabs and emoji codes when it printed documents."""
        path = tmp_path / 'stock.jsonc'
        text = STOCK.read_text().replace('  ', '\t')
        path.write_text(f'// :smile: [bold]\n{text}')
        table = FakeTable()
        await apply(table, path)
        shown = await show_newest(table, 'shop-stock')
        print_outcome(shown, is_json=False)
        assert capsys.readouterr().out == f'// :smile: [bold]\n{text}'

    async def test_versions_are_listed_shown_and_compared(
        self, changed_stock: pathlib.Path
    ) -> None:
        table = FakeTable()
        await apply(table, STOCK, CHECKOUT)
        await apply(table, changed_stock, author='bob')
        listed = await list_services(table)
        versions = {
            each['service']: each['version']
            for each in listed.record['services']
        }
        assert versions == {'shop-stock': 2, 'shop-checkout': 1}
        newest = await show_newest(table, 'shop-stock')
        assert '"default_ms": 900' in newest.record['text']
        older = await show_version(table, 'shop-stock', 1)
        assert older.record['text'] == STOCK.read_text()
        history = await show_history(table, 'shop-stock', 5)
        authors = [each['author'] for each in history.record['changes']]
        assert authors == ['bob', 'ann']
        compared = await diff_versions(table, 'shop-stock', 1, 2)
        assert any('-' in line and '1000' in line for line in compared.views)
        same = await diff_file(table, changed_stock)
        assert same.record['diff'] == []

    async def test_history_is_found_behind_many_changes_of_other_services(
        self,
    ) -> None:
        table = FakeTable()
        await apply(table, STOCK)
        for _ in range(450):
            await apply(table, CHECKOUT)
        history = await show_history(table, 'shop-stock', 5)
        assert [each['version'] for each in history.record['changes']] == [1]

    @pytest.mark.parametrize('version', [0, 3])
    async def test_unknown_service_or_version_is_not_found(
        self, version: int
    ) -> None:
        table = FakeTable()
        await apply(table, STOCK)
        shown = await show_version(table, 'shop-stock', version)
        assert shown.code is ExitCode.NOT_FOUND
        assert (await show_newest(table, 'x')).code is ExitCode.NOT_FOUND
        assert (await show_history(table, 'x', 5)).code is ExitCode.NOT_FOUND
