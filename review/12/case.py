"""The daemons that read the store last are lost, some time after an outage."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'stage3'))

import stage

CONTACT_S = stage.BOUNDS['contact_ms'] / 1000
KILLED = 5
OUTAGES = 4
DRAIN_S = stage.BOUNDS['drain_timeout_ms'] / 1000


def routes(service):
    return {
        'r-main': {
            'host': 'shop.example',
            'path_prefix': '/main/',
            'kind': 'idempotent',
            'service': service,
            'timeout_ms': 1000,
            'target_latency_ms': 200,
            'max_attempts': 2,
            'priority': 1,
        }
    }


async def client(play, daemon, sent, stop):
    number = 0
    while not stop.is_set():
        number += 1
        request_id = f'{daemon.name}-{number}'
        sent[request_id] = time.monotonic()
        try:
            status, _, body = await asyncio.wait_for(
                stage.fetch(
                    daemon.front,
                    'GET',
                    '/main/x',
                    {
                        'host': 'shop.example',
                        'x-request-id': request_id,
                        'x-deadline-ms': '1200',
                    },
                ),
                3,
            )
            play.record(f'answer {request_id} {status} {body.decode().strip()}')
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            play.record(f'no answer {request_id} {error!r}')
        await asyncio.sleep(0.04)


async def interrupt_store(play):
    """Let the store be silent for 8 s and return when it is back."""
    play.record('the store is down')
    for daemon in play.daemons:
        play.store.set_mode(daemon.name, 'silent')
    await asyncio.sleep(8)
    for daemon in play.daemons:
        play.store.set_mode(daemon.name, 'well')
    play.record('the store is back')
    return time.monotonic()


async def case(play, trouble):
    for index, zone in enumerate(stage.ZONES):
        for copy in range(2):
            await play.add_backend(f'i-{index}{copy}', 'old', zone)
    play.configure(routes('old'), ['old'])
    await play.add_daemons(9)
    await asyncio.sleep(18)
    killed = []
    if trouble:
        for _ in range(OUTAGES):
            back = await interrupt_store(play)
            # The store is calm after contact_ms.
            await asyncio.sleep(CONTACT_S + 0.6)
            latest = sorted(
                play.daemons,
                key=lambda one: -play.store.read_at.get(one.name, 0),
            )
            killed = latest[:KILLED]
            if play.store.read_at.get(latest[KILLED].name, 0) < back:
                break
            play.record('more daemons have read than may be killed')
        play.record(f'readers: {play.store.readers()}')
        for daemon in killed:
            daemon.signal(signal.SIGKILL)
    in_touch = [one for one in play.daemons if one not in killed]
    play.record(f'in touch: {[one.name for one in in_touch]}')
    sent = {}
    stop = asyncio.Event()
    clients = [
        play.spawn(client(play, one, sent, stop)) for one in in_touch
    ]
    await asyncio.sleep(0.05)
    gone = [play.backends[f'i-{index}0'] for index in range(3)]
    for backend in gone:
        play.unregister(backend)
    acknowledged = time.monotonic()
    await asyncio.sleep(6)
    stop.set()
    await asyncio.gather(*clients)
    broken = [
        (request_id, backend.name, at - acknowledged)
        for backend in gone
        for at, request_id, *_ in backend.handled
        if at - acknowledged > DRAIN_S
    ]
    for request_id, name, late in broken:
        play.record(
            f'BROKEN {request_id}: DRAIN, at {name} {late:.2f} s after the '
            'acknowledgement'
        )
    play.record(f'{len(broken)} requests break a rule')
    return int(bool(broken))


stage.run(case, pathlib.Path(__file__).resolve().parent)
