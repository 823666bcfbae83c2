"""Shared fixtures and options, and the expected failures of KNOWN-RED.txt."""

import pathlib
from collections.abc import Generator

import pytest
from daemon_logs import excerpts
from hypothesis import settings

ROOT = pathlib.Path(__file__).parent.parent

# Uses the same examples in every run, and no deadline per example, which noise
# on a busy machine could exceed.
settings.register_profile('seeded', deadline=None, derandomize=True)
settings.load_profile('seeded')


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        '--soak', action='store_true', help='run the long soak test'
    )
    parser.addoption(
        '--soak-seed',
        type=int,
        metavar='N',
        help='run the soak test with one seed',
    )
    parser.addoption(
        '--without',
        default='',
        metavar='MECHANISM',
        help='disable a mechanism of the daemons, to check that its tests fail',
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests listed in KNOWN-RED.txt as expected failures.

    A line ``test: <id>`` lists a test.
    """
    known_red = {
        line.removeprefix('test:').strip()
        for line in (ROOT / 'KNOWN-RED.txt').read_text().splitlines()
        if line.startswith('test:')
    }
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason='listed in KNOWN-RED.txt'))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Add excerpts of the daemons' logs to the report of a failed test.

    Their folder is overwritten by later runs, and CI does not keep it.
    """
    report = yield
    folder = getattr(item, 'funcargs', {}).get('tmp_path')
    if call.excinfo is not None and folder is not None:
        shown = excerpts(folder)
        if shown:
            report.sections.append(('Logs of the daemons', shown))
    return report


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    """The event loop of the daemons."""
    return 'asyncio', {'use_uvloop': True}
