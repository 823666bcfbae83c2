"""Output and exit codes of the operator tool, with real processes."""

import re
from typing import Any

import anyio
import orjson
import pytest
from cowslippond_standins.harness._deployment import Deployment
from integration.client import CATALOGUE, CHECKOUT, DOMAINS
from syrupy.assertion import SnapshotAssertion

pytestmark = pytest.mark.anyio

TOKEN = re.compile('[0-9a-f]{32}')
TIME = re.compile(r'\d{4}-\d\d-\d\d \d\d:\d\d:\d\dZ')
AGE = re.compile(r'[\d.]+ (s|min|h) ago')
VM = re.compile(r'entry-\d+')
PAD = re.compile(' {2,}')


def normalise(printed: str, deployment: Deployment) -> str:
    """Replace text that differs between runs."""
    text = printed.replace(str(deployment.folder), 'FOLDER')
    text = text.replace(str(CHECKOUT), 'checkout.jsonc')
    text = TIME.sub('TIME', TOKEN.sub('TOKEN', AGE.sub('AGE', text)))
    text = VM.sub('entry-N', text)
    lines = (PAD.sub('  ', line).rstrip() for line in text.splitlines())
    return '\n'.join(lines)


async def status(deployment: Deployment, *arguments: str) -> tuple[int, Any]:
    code, output = await deployment.run_ctl('status', '--json', *arguments)
    return code, orjson.loads(output)


async def apply_and_record(
    exit_codes: dict[str, int],
    deployment: Deployment,
    author: str,
    service: int,
) -> None:
    document = (CHECKOUT, CATALOGUE)[service]
    code, _ = await deployment.run_ctl(
        'apply', str(document), '--author', author
    )
    exit_codes[author] = code


class TestStatus:
    async def test_frozen_daemon_lags_until_resumed(
        self, deployment: Deployment
    ) -> None:
        await deployment.apply(CHECKOUT)
        daemons = [await deployment.add_daemon(DOMAINS[0]) for _ in range(3)]
        code, _ = await status(deployment, '--wait', '20')
        assert code == 0
        frozen = daemons[1]
        frozen.child.suspend()
        await deployment.apply(CHECKOUT)
        code, seen = await status(deployment, '--wait', '3')
        frozen.child.resume()
        assert code == 6
        service = seen['services'][0]
        assert service['newest'] == 2
        assert service['lagging'] == [frozen.vm]
        code, seen = await status(deployment, '--wait', '20')
        assert code == 0
        assert seen['services'][0]['in_force_count'] == 3

    async def test_table_outage_leaves_newest_version_unconfirmed(
        self, deployment: Deployment
    ) -> None:
        await deployment.apply(CHECKOUT)
        await deployment.add_daemon(DOMAINS[0])
        code, _ = await status(deployment, '--wait', '20')
        assert code == 0
        await deployment.platform.control(
            'set_faults', part='table', outage='error'
        )
        code, seen = await status(deployment)
        await deployment.platform.control('clear_faults')
        assert code == 4
        assert seen['services'][0]['newest'] == 1
        assert seen['table_fault']


class TestApply:
    @pytest.mark.parametrize('lost', [0, 3])
    async def test_history_matches_exit_codes(
        self, deployment: Deployment, lost: int
    ) -> None:
        """Six operators change two services while answers are lost."""
        await deployment.platform.control(
            'set_faults', part='table', drop_answers=lost
        )
        exit_codes: dict[str, int] = {}
        async with anyio.create_task_group() as operators:
            for index in range(6):
                operators.start_soon(
                    apply_and_record,
                    exit_codes,
                    deployment,
                    f'op-{index}',
                    index % 2,
                )
        counters = await deployment.platform.control('clear_faults')
        assert counters['table'].get('answers_dropped', 0) == lost
        authors = []
        for service in ('shop-checkout', 'shop-catalogue'):
            _, printed = await deployment.run_ctl('history', service, '--json')
            changes = orjson.loads(printed)['changes']
            authors.extend(change['author'] for change in changes)
            versions = [change['version'] for change in changes]
            assert versions == list(range(len(versions), 0, -1))
        accepted = [author for author, code in exit_codes.items() if code == 0]
        assert sorted(authors) == sorted(accepted)
        assert set(exit_codes.values()) <= {0, 3}


async def test_session_matches_snapshot(
    deployment: Deployment, snapshot: SnapshotAssertion
) -> None:
    """A complete session of two operators and one daemon."""
    changed = deployment.folder / 'changed.jsonc'
    text = CHECKOUT.read_text()
    changed.write_text(text.replace('"queue": 128', '"queue": 100'))
    daemon = await deployment.add_daemon(DOMAINS[0])
    await deployment.wait_serving(daemon)
    session = []
    for command in (
        ('apply', str(CHECKOUT), '--author', 'ann'),
        ('diff', str(changed)),
        ('apply', str(changed), '--author', 'bob', '--expected-version', '1'),
        ('apply', str(CHECKOUT), '--author', 'ann', '--expected-version', '1'),
        ('history', 'shop-checkout'),
        ('diff', 'shop-checkout', '1', '2'),
        ('show',),
        ('show', 'shop-stock'),
        ('status', '--wait', '20'),
    ):
        code, printed = await deployment.run_ctl(*command)
        line = normalise(' '.join(command), deployment)
        printed = normalise(printed, deployment)
        session.append(f'$ cowslippondctl {line}\n{printed}\n(exit {code})\n')
    assert '\n'.join(session) == snapshot
