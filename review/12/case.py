"""Machines are replaced, and the seeds of the new ones are stale for 3 s."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'stage3'))

import stage

RATE = 100
BURST = 10
BOUNDS = {'quota_window_s': 5, 'quota_overshoot': 0.1, 'quota_slack': 20}
WINDOW_S = BOUNDS['quota_window_s']
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + BOUNDS['quota_overshoot']) + BOUNDS[
    'quota_slack'
]
SEED_LAG_S = stage.BOUNDS['seed_lag_s']
ROUTES = {
    'r-main': {
        'host': 'shop.example',
        'path_prefix': '/main/',
        'kind': 'idempotent',
        'service': 'old',
        'timeout_ms': 1000,
        'target_latency_ms': 200,
        'max_attempts': 1,
        'priority': 1,
    }
}
TENANTS = {
    'acme': {
        'api_keys': ['key-acme'],
        'rate_per_s': RATE,
        'burst': BURST,
        'priority': 1,
    }
}


async def client(play, daemon, number, sent, stop):
    """Send one request after the other on a kept connection."""
    count = 0
    reader = writer = None
    while not stop.is_set():
        count += 1
        request_id = f'{daemon.name}-{number}-{count}'
        sent[request_id] = time.monotonic()
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(
                    stage.HOST, daemon.front
                )
            status, headers, _ = await asyncio.wait_for(
                stage.exchange(
                    reader,
                    writer,
                    'GET',
                    '/main/x',
                    {
                        'host': 'shop.example',
                        'authorization': 'Token key-acme',
                        'x-request-id': request_id,
                        'x-deadline-ms': '1200',
                    },
                ),
                3,
            )
            play.record(f'answer {request_id} {status}')
            if headers.get('connection') == 'close':
                writer.close()
                writer = None
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            play.record(f'no answer {request_id} {error!r}')
            if writer is not None:
                writer.close()
            writer = None
        await asyncio.sleep(0.05)


def send_from(play, daemons, sent, stop):
    return [
        play.spawn(client(play, daemon, number, sent, stop))
        for daemon in daemons
        for number in range(2)
    ]


def most_in_window(runs):
    """Return the most runs in any window, and when that window ends."""
    most, ends, first = 0, 0, 0
    for last, at in enumerate(runs):
        while runs[first] < at - WINDOW_S:
            first += 1
        if last - first + 1 > most:
            most, ends = last - first + 1, at
    return most, ends


async def case(play, trouble):
    for index, zone in enumerate(stage.ZONES):
        for copy in range(2):
            await play.add_backend(
                f'i-{index}{copy}', 'old', zone, work_s=0.005, slots=20
            )
    play.configure(ROUTES, ['old'], tenants=TENANTS)
    await play.add_daemons(9)
    old = play.daemons[:3]
    kept = play.daemons[3:]
    await asyncio.sleep(8)
    sent = {}
    stop = asyncio.Event()
    old_stop = asyncio.Event()
    clients = send_from(play, kept, sent, stop)
    old_clients = send_from(play, old, sent, old_stop)
    await asyncio.sleep(6)
    live_seeds = [f'{stage.HOST}:{one.control}' for one in kept[:3]]
    stale_seeds = [f'{stage.HOST}:{one.control}' for one in old]
    for daemon in old:
        daemon.keeps_running = False
        daemon.signal(signal.SIGTERM)
        await asyncio.sleep(1)
    old_stop.set()
    first_left = None
    while any(one.process.poll() is None for one in old):
        if first_left is None and old[0].process.poll() is not None:
            first_left = time.monotonic()
            play.record(f'{old[0].name} has left')
        await asyncio.sleep(0.02)
    if first_left is None:
        first_left = time.monotonic()
    play.record('the old machines have left')
    seeds = stale_seeds if trouble else live_seeds
    fresh = await play.add_daemons(3, seeds=seeds, is_first=False)
    started = time.monotonic()
    clients += send_from(play, fresh, sent, stop)
    await asyncio.sleep(max(first_left + SEED_LAG_S - time.monotonic(), 0))
    for daemon in fresh:
        daemon.change_seeds(live_seeds)
    play.record('the settings of the new machines list live seeds')
    await asyncio.sleep(12)
    stop.set()
    await asyncio.gather(*clients, *old_clients)
    runs = sorted(
        at
        for backend in play.backends.values()
        for at, request_id, *_ in backend.handled
        if request_id in sent
    )
    before = [at for at in runs if at < started]
    play.record(f'allowed in {WINDOW_S} s: {ALLOWED:.0f}')
    play.record(f'most before the new machines: {most_in_window(before)[0]}')
    most, ends = most_in_window(runs)
    play.record(
        f'most: {most}, in the window that ends {ends - started:.1f} s after '
        'the new machines were ready'
    )
    return int(most > ALLOWED)


stage.run(case, pathlib.Path(__file__).resolve().parent, BOUNDS)
