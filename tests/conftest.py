"""Fixtures for all tests, and the handling of KNOWN-RED.txt."""

import pathlib

import pytest
from hypothesis import settings

ROOT = pathlib.Path(__file__).parent.parent

# The same examples in every run, and no bound on time that noise could break.
settings.register_profile('seeded', deadline=None, derandomize=True)
settings.load_profile('seeded')


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption('--soak', action='store_true', help='run the long soak')
    parser.addoption(
        '--soak-seed', type=int, metavar='N', help='run the soak of one seed'
    )
    parser.addoption(
        '--without',
        default='',
        metavar='MECHANISM',
        help='switch a mechanism of the daemons off, to see its proofs fail',
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists by a line ``test: <id>``."""
    known_red = {
        line.removeprefix('test:').strip()
        for line in (ROOT / 'KNOWN-RED.txt').read_text().splitlines()
        if line.startswith('test:')
    }
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason='listed in KNOWN-RED.txt'))


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'
