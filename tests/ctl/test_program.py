"""Tests of the output and exit codes of the operator tool as a process."""

import os
import pathlib
import sys

import anyio
import orjson
import pytest
from syrupy.assertion import SnapshotAssertion

pytestmark = pytest.mark.anyio

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
STOCK = str(EXAMPLES / 'museum-shop' / 'stock.jsonc')
# Port 9 is the discard port, on which nothing listens.
UNREACHABLE_URL = 'http://127.0.0.1:9'
FAULTY_DOCUMENT = """{
  // Every line below has a fault.
  "service": "Shop Stock",
  'match': [{"host": "shop.example"}, {"host": "SHOP.example"}],
  "never_repeat": [{"methods": ["post"], "path": "stock"}],
  "upstreams": {"slots": 2.5, "mean_service_ms": "5 ms"},
  "deadline": {"default_ms": 3000, "ceiling_ms": 2000, "default_s": 3},
  "measuring": {"share_of_capacity": 1, "share_of_capacity": 0.01},
  "hedging": {"share_of_calls": 0, "delay_ms": 10},
  "limits": [128, 256],
  "priority": "high",
  "retirement": {"drain_ms": 1e9},
  "retries": null,
  "owner": "web desk",
}
"""


async def run(
    *arguments: str, platform: pathlib.Path | None = None
) -> tuple[int, str, str]:
    environment = {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}
    environment.pop('COWSLIPPOND_PLATFORM', None)
    if platform:
        environment['COWSLIPPOND_PLATFORM'] = str(platform)
    done = await anyio.run_process(
        [sys.executable, '-m', 'cowslippond_ctl', *arguments],
        check=False,
        env=environment,
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()


@pytest.fixture
def faulty(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / 'faulty.jsonc'
    path.write_text(FAULTY_DOCUMENT)
    return path


@pytest.fixture
def unreachable(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / 'platform.jsonc'
    settings = {
        'table_url': UNREACHABLE_URL,
        'table_name': 'cowslippond',
        'vm_list_url': f'{UNREACHABLE_URL}/vms',
        'timeout_ms': 100,
    }
    path.write_bytes(orjson.dumps(settings))
    return path


class TestCheck:
    async def test_findings_are_as_in_the_golden_file(
        self, faulty: pathlib.Path, snapshot: SnapshotAssertion
    ) -> None:
        code, output, errors = await run('check', STOCK, str(faulty))
        assert code == 2
        assert not errors
        assert output.replace(str(faulty), 'faulty.jsonc') == snapshot

    async def test_findings_are_one_json_object_for_scripts(
        self, faulty: pathlib.Path
    ) -> None:
        code, output, _ = await run('check', str(faulty), '--json')
        assert code == 2
        first = orjson.loads(output)['findings'][0]
        assert (first['line'], first['path']) == (3, 'service')

    async def test_valid_document_passes(self) -> None:
        code, output, _ = await run('check', STOCK)
        assert (code, output) == (0, f'{STOCK}: ok\n')


class TestPlatform:
    async def test_missing_platform_setting_is_explained(self) -> None:
        code, output, _ = await run('show')
        assert code == 2
        assert 'COWSLIPPOND_PLATFORM' in output

    @pytest.mark.parametrize(
        'arguments',
        [
            ('show',),
            ('history', 'shop-stock'),
            ('status',),
            ('diff', STOCK),
            ('apply', STOCK),
        ],
        ids=lambda arguments: arguments[0],
    )
    async def test_unreachable_platform_has_its_own_exit_code(
        self, unreachable: pathlib.Path, arguments: tuple[str, ...]
    ) -> None:
        code, output, errors = await run(*arguments, platform=unreachable)
        assert code == 4
        assert not output
        assert len(errors.splitlines()) == 1

    async def test_expected_version_takes_one_file(self) -> None:
        code, output, _ = await run(
            'apply', STOCK, STOCK, '--expected-version', '1'
        )
        assert code == 2
        assert 'exactly one file' in output

    @pytest.mark.parametrize('author', ['\x1b[2J', 'a' * 129])
    async def test_unprintable_or_long_author_is_refused(
        self, author: str
    ) -> None:
        code, output, _ = await run('apply', STOCK, '--author', author)
        assert code == 2
        assert '--author' in output
