"""Compare a complete session with a snapshot; times and ids are normalised."""

import re

import orjson
import pytest
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import DaemonHandle
from integration.client import Reply
from integration.shop import DOCUMENT, Shop, place, start_shop
from syrupy.assertion import SnapshotAssertion

pytestmark = pytest.mark.anyio

_NORMALISED = (
    (re.compile(r'\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d(\.\d+)?(Z|\+00:00)?'), 'T'),
    (re.compile(r'127\.0\.0\.1:\d+'), 'ADDRESS'),
    (re.compile(r'entry-\d+'), 'ENTRY'),
    (re.compile(r'/\S+/(?=[\w.-]+\.jsonc?)'), ''),
    (re.compile(r'document-[0-9a-f]+'), 'document-ID'),
    (re.compile(r'\b[0-9a-f]{32}\b'), 'ID'),
)
_SNAPSHOT_HEADERS = ('x-outcome', 'x-reason')
_SNAPSHOT_LOG_FIELDS = ('service', 'reason', 'outcome')


def normalise(text: str) -> str:
    """Replace text that differs between sessions."""
    for pattern, replacement in _NORMALISED:
        text = pattern.sub(replacement, text)
    return '\n'.join(line.rstrip() for line in text.splitlines())


def format_reply(reply: Reply) -> str:
    """Format an answer for the snapshot."""
    named = {name: reply.headers.get(name) for name in _SNAPSHOT_HEADERS}
    header_text = ' '.join(
        f'{name}={text}' for name, text in named.items() if text
    )
    body = reply.body.decode().strip()
    return f'{reply.status} {header_text} {body}'


def refusals_in_log(daemon: DaemonHandle) -> list[str]:
    """Return a line for each refused call that a daemon logged."""
    found = []
    for line in daemon.child.log().splitlines():
        entry = orjson.loads(line)
        if entry['message'] == 'call refused':
            logged = {name: entry[name] for name in _SNAPSHOT_LOG_FIELDS}
            found.append(f'log: call refused {logged}')
    return found


class Session:
    """The lines of a session in chronological order."""

    def __init__(self, shop: Shop) -> None:
        self.shop = shop
        self.lines: list[str] = []

    def record(self, action: str, output: str) -> None:
        """Record an action and its normalised output."""
        self.lines.append(f'$ {action}\n{normalise(output)}')

    async def operate(self, *arguments: str) -> None:
        """Run the operator tool and record its output and exit code."""
        code, printed = await self.shop.deployment.run_ctl(*arguments)
        names = ' '.join(part.rsplit('/', 1)[-1] for part in arguments)
        self.record(f'cowslippondctl {names}', printed)
        self.lines.append(f'exit code {code}')

    async def place(self, key: str, **options: int) -> None:
        """Send an order through the first daemon and record its answer."""
        reply = await place(self.shop.daemons[0], key, **options)
        self.record(f'order {key}', format_reply(reply))


async def test_session(
    deployment: Deployment, snapshot: SnapshotAssertion
) -> None:
    shop = await start_shop(deployment, daemons=1, upstreams=1)
    session = Session(shop)
    newer = deployment.folder / 'newer.jsonc'
    newer.write_text(DOCUMENT.replace('3000', '2500'))

    await session.operate('diff', str(newer))
    await session.place('first')
    await shop.wait_for_settled_claims(shop.daemons[0])
    await session.place('first')
    await shop.change_upstreams(draining=True)
    await session.place('refused by the upstream', deadline=500)
    await shop.set_faults(outage='error')
    await session.place('refused without the table')
    await session.operate('apply', str(newer))
    await shop.clear_faults()
    await session.operate('apply', str(newer), '--expected-version', '7')
    await session.operate('apply', str(newer))
    session.lines.extend(refusals_in_log(shop.daemons[0]))

    assert '\n\n'.join(session.lines) == snapshot
