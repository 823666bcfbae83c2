"""A back end fails orders with a 503 that doesn't say that they haven't run."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from platform_standins import (  # noqa: E402
    ZONES,
    Backend,
    Deployment,
    encode_response,
    route,
    run_case,
    send_request,
)

ORDERS = 600
WORK_S = 0.2
DEADLINE_MS = 1500
TIMEOUT_MS = 800
# One of six back ends fails about half of its requests; its health is good.
BACKENDS = 6
FAILING = 1
FAILED_SHARE = 0.55
PROMISES = frozenset((408, 421, 429, 503))


class GreyBackend(Backend):
    """Runs each order; the answer to some of them is a failure."""

    failed_share = 0.0
    rng = random.Random(1)

    async def answer(self, request_id, path, reader, writer):
        if self.rng.random() >= self.failed_share:
            return await super().answer(request_id, path, reader, writer)
        self.record.line(f'{self.name} answers {request_id}: 503, it has run')
        writer.write(
            encode_response(
                '503 Service Unavailable',
                {'X-Request-Id': request_id, 'X-Backend-Load': self.load()},
                b'cannot reach the ledger',
            )
        )
        await writer.drain()
        return True


async def case(folder, trouble):
    async with Deployment(folder) as deployment:
        record = deployment.record
        for number in range(BACKENDS):
            backend = GreyBackend(
                deployment.store, record, f'i-{number}', 'checkout',
                ZONES[number % len(ZONES)], WORK_S,
            )
            if trouble and number < FAILING:
                backend.failed_share = FAILED_SHARE
            await deployment.add_backend(backend)
        deployment.configure(
            {
                'orders': route(
                    'checkout', '/orders/', kind='non_idempotent',
                    timeout_ms=TIMEOUT_MS,
                )
            }
        )
        await deployment.start_daemons()
        orders = []
        for number in range(ORDERS):
            daemon = deployment.daemons[number % len(deployment.daemons)]
            orders.append(
                asyncio.create_task(
                    send_request(
                        record, daemon.front, f'order-{number}',
                        f'/orders/{number}', method='POST',
                        deadline_ms=DEADLINE_MS, body=b'x' * 200,
                    )
                )
            )
            await asyncio.sleep(0.025)
        answers = await asyncio.gather(*orders)
        ran = {
            request_id
            for backend in deployment.backends
            for request_id in backend.runs
        }
        findings = []
        for number, answer in enumerate(answers):
            if answer.status in PROMISES and f'order-{number}' in ran:
                findings.append(
                    f'REFUSED: order-{number} is answered {answer.status}, '
                    'and has run'
                )
        for finding in findings:
            record.line(finding)
        return findings


run_case(case, FOLDER)
