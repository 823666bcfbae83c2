"""Three machines are lost; 12 s later the one that reads the store is cut off."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'stage3'))

import stage

CONFIG_APPLY_S = stage.BOUNDS['config_apply_ms'] / 1000
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


async def case(play, trouble):
    for index, zone in enumerate(stage.ZONES):
        for copy in range(2):
            await play.add_backend(f'i-old-{index}{copy}', 'old', zone)
            await play.add_backend(f'i-new-{index}{copy}', 'new', zone)
    play.configure(routes('old'), ['old', 'new'])
    await play.add_daemons(9)
    await asyncio.sleep(18)
    readers = play.store.readers()
    play.record(f'daemons that read the store: {readers}')
    killed = [one for one in play.daemons if one.name in readers]
    if len(killed) != 3:
        raise stage.CannotRunError(f'unexpected readers: {readers}')
    if trouble:
        for daemon in killed:
            daemon.signal(signal.SIGKILL)
    await asyncio.sleep(12)
    readers = play.store.readers()
    play.record(f'daemons that read the store: {readers}')
    cut_off = [one for one in play.daemons if one.name in readers]
    in_touch = play.daemons
    if trouble:
        if len(cut_off) != 1:
            raise stage.CannotRunError(f'unexpected readers: {readers}')
        in_touch = [
            one for one in play.daemons if one not in killed + cut_off
        ]
        # The age of its last read is up to 1.3 s at a random moment.
        while time.monotonic() - play.store.answered[readers[0]] > 0.1:
            await asyncio.sleep(0.01)
        play.record(f'{readers[0]} is cut off from the store')
        play.store.cut(readers[0])
    play.record(f'in touch: {[one.name for one in in_touch]}')
    sent = {}
    stop = asyncio.Event()
    clients = [
        play.spawn(client(play, one, sent, stop)) for one in in_touch
    ]
    await asyncio.sleep(0.05)
    leaving = play.backends['i-new-00']
    leaving.state = 'draining'
    play.register(leaving)
    play.configure(routes('new'), ['old', 'new'])
    acknowledged = time.monotonic()
    await asyncio.sleep(6)
    stop.set()
    await asyncio.gather(*clients)
    broken = {}
    for backend in play.backends.values():
        for at, request_id, *_ in backend.handled:
            late = sent.get(request_id, 0) - acknowledged
            if backend.service == 'old' and late > CONFIG_APPLY_S:
                broken[request_id] = f'CONFIG {late:.2f} s late at {backend.name}'
    for at, request_id, *_ in leaving.handled:
        if at - acknowledged > DRAIN_S:
            broken[request_id] = f'DRAIN {at - acknowledged:.2f} s'
    for request_id, text in broken.items():
        play.record(f'BROKEN {request_id}: {text}')
    play.record(f'{len(broken)} requests break a rule')
    return int(bool(broken))


stage.run(case, pathlib.Path(__file__).resolve().parent)
