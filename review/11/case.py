"""A process that is stopping gets a second SIGTERM."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'stage3'))

import stage

GRACE_S = stage.BOUNDS['grace_s']
ROUTES = {
    'r-order': {
        'host': 'shop.example',
        'path_prefix': '/order/',
        'kind': 'non_idempotent',
        'service': 'checkout',
        'timeout_ms': 2000,
        'target_latency_ms': 1000,
        'max_attempts': 1,
        'priority': 1,
    }
}


async def order(play, daemon, number, results):
    request_id = f'order-{number}'
    try:
        status, _, _ = await stage.fetch(
            daemon.front,
            'POST',
            '/order/x',
            {
                'host': 'shop.example',
                'x-request-id': request_id,
                'x-deadline-ms': '2500',
            },
            b'{"item": 1}',
        )
        play.record(f'answer {request_id} {status}')
        results[request_id] = status
    except (OSError, EOFError) as error:
        play.record(f'no answer {request_id} {error!r}')
        results[request_id] = None


async def case(play, trouble):
    for index, zone in enumerate(stage.ZONES):
        await play.add_backend(
            f'i-{index}', 'checkout', zone, work_s=0.8, slots=8
        )
    play.configure(ROUTES, ['checkout'])
    await play.add_daemons(3)
    await asyncio.sleep(3)
    stopped = play.daemons[0]
    results = {}
    orders = []
    for number in range(12):
        orders.append(play.spawn(order(play, stopped, number, results)))
        await asyncio.sleep(0.04)
    stopped.signal(signal.SIGTERM)
    signalled = time.monotonic()
    await asyncio.sleep(0.1)
    if trouble:
        stopped.signal(signal.SIGTERM)
    await asyncio.gather(*orders)
    while stopped.process.poll() is None:
        if time.monotonic() > signalled + GRACE_S:
            stopped.process.kill()
        await asyncio.sleep(0.02)
    play.record(
        f'{stopped.name} ended {time.monotonic() - signalled:.1f} s after the '
        f'first signal with {stopped.process.returncode}'
    )
    run = {
        request_id
        for backend in play.backends.values()
        for _, request_id, *_ in backend.handled
    }
    lost = [name for name, status in results.items() if not status and name in run]
    for name in lost:
        play.record(f'BROKEN {name}: LOST, it runs and has no answer')
    play.record(f'{len(lost)} of {len(results)} requests are lost')
    return int(bool(lost))


stage.run(case, pathlib.Path(__file__).resolve().parent)
