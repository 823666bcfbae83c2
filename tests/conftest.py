"""Fixtures for all tests, and the handling of KNOWN-RED.txt."""

import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption('--soak', action='store_true', help='run the long soak')
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
