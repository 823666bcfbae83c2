"""A backend fails orders with a 503 of its own, after it has worked on them."""

import asyncio

from stage import LIMITS, Backend, Closed, call, main, now
import stage as stand_ins

HOST = 'shop.example'
BACKENDS = 7
# The doses of the site file: srv_grey with share 0.14, x 0.45 and for_s 6.5.
GREY = 1
FAILED_SHARE = 0.45
GREY_S = 6.5
CLIENTS = 20
DEADLINE_MS = 1500
RETRIES = 2

CONFIG = {
    'version': '00000005',
    'routes': {
        'orders': {
            'host': HOST,
            'path_prefix': '/orders/',
            'kind': 'non_idempotent',
            'timeout_ms': 800,
            'target_latency_ms': 250,
            'priority': 1,
            'service': 'checkout',
            'max_attempts': 2,
        }
    },
    'services': {
        'checkout': {
            'health_path': '/healthz',
            'max_connections': 260,
            'protocol': 'h1',
            'tls': False,
        }
    },
    'limits': LIMITS,
}


class Checkout(Backend):
    """A backend that may fail a part of its requests, while its health is good."""

    is_grey = False

    async def reply(self, writer, status, headers, body):
        is_run = status == 200 and 'X-Response-Signature' in headers
        if is_run and self.is_grey and self.stage.rng.random() < FAILED_SHARE:
            # Not marked by X-Not-Executed: the order was worked on.
            status, body = 503, b'the ledger did not answer'
            headers = {'X-Request-Id': headers['X-Request-Id']}
            self.stage.record.write('failed', self.name, *headers.values())
        await super().reply(writer, status, headers, body)


stand_ins.Backend = Checkout


async def play(stage):
    """Return whether an order that has run is answered like one that has not."""
    await stage.open({'checkout': BACKENDS}, slots=2)
    for backend in stage.backends:
        backend.work = lambda _: 0.078
    stage.store.put('op', 'config', CONFIG)
    stage.add_daemons(2)
    seeds = [daemon.ip for daemon in stage.daemons]
    for daemon in stage.daemons:
        daemon.start(seeds, bootstrap=True)
    await stage.wait_ready(stage.daemons)
    await asyncio.sleep(3.5)
    orders = {}
    clients = [
        asyncio.ensure_future(place_orders(stage, number, orders))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(3)
    for backend in stage.backends[:GREY]:
        backend.is_grey = stage.trouble
    await asyncio.sleep(GREY_S)
    for backend in stage.backends[:GREY]:
        backend.is_grey = False
    await asyncio.sleep(2)
    for client in clients:
        client.cancel()
    return judge(stage, orders)


async def place_orders(stage, client, orders):
    """Place orders one after the other, and retry as PROTOCOL.md says."""
    number = 0
    while True:
        number += 1
        order = f'o{client}-{number}'
        orders[order] = []
        ends_at = now() + DEADLINE_MS / 1000
        for attempt in range(1 + RETRIES):
            request_id = f'{order}-{attempt}'
            daemon = stage.daemons[(client + attempt) % len(stage.daemons)]
            status, wait = await place(stage, daemon, request_id, ends_at)
            orders[order].append((request_id, status))
            # Only these promise that the order has not run.
            if status not in {429, 503, 408, 421}:
                break
            left = ends_at - now()
            if left <= 0.1:
                break
            await asyncio.sleep(min(wait, left / 3))
        await asyncio.sleep(0.2)


async def place(stage, daemon, request_id, ends_at):
    left = ends_at - now()
    headers = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': f'{left * 1000:.0f}',
    }
    stage.record.write('sent', request_id)
    try:
        status, answer, _ = await call(
            daemon.ip,
            stage.ports['front'],
            'POST',
            f'/orders/{request_id.rpartition("-")[0]}',
            headers,
            b'{"pieces": 2}',
            left,
        )
    except (Closed, OSError, TimeoutError) as error:
        status, answer = type(error).__name__, {}
    stage.record.write(
        'answered',
        request_id,
        status,
        'x-response-signature' in answer and 'signed',
    )
    return status, float(answer.get('retry-after', 0.05))


def judge(stage, orders):
    ran = {request_id for _, _, request_id, _ in stage.runs}
    promised = [
        request_id
        for attempts in orders.values()
        for request_id, status in attempts
        if status in {429, 503, 408, 421} and request_id in ran
    ]
    doubled = [
        order
        for order, attempts in orders.items()
        if sum(request_id in ran for request_id, _ in attempts) > 1
    ]
    print(
        f'orders: {len(orders)}; attempts answered 429, 503, 408 or 421 that'
        f' have run: {len(promised)}; orders that ran more than once:'
        f' {len(doubled)}'
    )
    stage.record.write('promised', *promised)
    stage.record.write('ran more than once', *doubled)
    return bool(promised)


main('.', play)
