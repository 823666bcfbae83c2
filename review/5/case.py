"""A back end's answers go on without end, beyond the route's timeout."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from platform_standins import (  # noqa: E402
    ZONES,
    Backend,
    Deployment,
    expected_body,
    route,
    run_case,
    send_request,
)

REQUESTS = 150
# Two of five back ends are in trouble.
BACKENDS = 5
FAULTY = 2
WORK_S = 0.05
TIMEOUT_MS = 800
DEADLINE_MS = 3000
# The rule: no final answer this long after the route's timeout.
GRACE_MS = 500
MIN_REQUESTS = 8
MIN_SHARE = 0.25
CHUNK = b'%x\r\n%b\r\n' % (8192, b'a' * 8192)
CHUNK_INTERVAL_S = 0.01


class EndlessBackend(Backend):
    """Answers with a signed head and a body that does not end."""

    is_endless = True

    async def answer(self, request_id, path, reader, writer):
        if not self.is_endless:
            return await super().answer(request_id, path, reader, writer)
        headers = self.answer_headers(
            request_id, expected_body(request_id, path)
        )
        lines = [f'{name}: {text}' for name, text in headers.items()]
        writer.write(
            '\r\n'.join(
                [
                    'HTTP/1.1 200 OK',
                    *lines,
                    'Transfer-Encoding: chunked',
                    '',
                    '',
                ]
            ).encode()
        )
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(CHUNK)
                await writer.drain()
                await asyncio.sleep(CHUNK_INTERVAL_S)
        self.record.line(f'{self.name}: connection of {request_id} is closed')
        return False


async def case(folder, trouble):
    async with Deployment(folder) as deployment:
        record = deployment.record
        store = deployment.store
        for number in range(BACKENDS):
            backend = EndlessBackend(
                store, record, f'i-{number}', 'catalogue',
                ZONES[number % len(ZONES)], WORK_S,
            )
            backend.is_endless = trouble and number < FAULTY
            await deployment.add_backend(backend)
        deployment.configure(
            {'prints': route('catalogue', '/prints/', timeout_ms=TIMEOUT_MS)}
        )
        await deployment.start_daemons()
        requests = []
        for number in range(REQUESTS):
            daemon = deployment.daemons[number % len(deployment.daemons)]
            requests.append(
                asyncio.create_task(
                    send_request(
                        record, daemon.front, f'read-{number}',
                        f'/prints/{number}', deadline_ms=DEADLINE_MS,
                    )
                )
            )
            await asyncio.sleep(0.1)
        answers = await asyncio.gather(*requests)
        return judge(record, answers)


def judge(record, answers):
    took = [(one.ended_at - one.sent_at) * 1000 for one in answers]
    longer = [time for time in took if time > TIMEOUT_MS]
    late = [time for time in took if time > TIMEOUT_MS + GRACE_MS]
    text = (
        f'CONFIG: {len(longer)} of {len(answers)} requests last longer than '
        f'the route\'s {TIMEOUT_MS} ms; {len(late)} of them have no final '
        f'answer {GRACE_MS} ms later'
    )
    record.line(text)
    is_broken = (
        len(late) >= MIN_REQUESTS and len(late) > MIN_SHARE * len(longer)
    )
    return [text] if is_broken else []


run_case(case, FOLDER)
