"""Another writer's entries name the addresses of sound back ends."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from platform_standins import (  # noqa: E402
    BOUNDS,
    ZONES,
    Backend,
    Deployment,
    route,
    run_case,
    send_request,
)

BACKENDS = 6
WORK_S = 0.05
RESTART_S = 1.0
# Requests are sent for this long before the final fault, and after recovery_s.
SENDING_S = 6.0
INTERVAL_S = 0.1
MIN_SHARE = 0.25


async def send_for_a_while(deployment, name):
    """Send requests to all machines in turn; return how many were served."""
    requests = []
    for number in range(int(SENDING_S / INTERVAL_S)):
        daemon = deployment.daemons[number % len(deployment.daemons)]
        requests.append(
            asyncio.create_task(
                send_request(
                    deployment.record, daemon.front, f'{name}-{number}',
                    f'/prints/{number}',
                )
            )
        )
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*requests)
    return sum(answer.status == 200 for answer in answers), len(answers)


def write_foreign_entries(deployment):
    """Write entries of a service that no configuration names."""
    for backend in deployment.backends:
        entry = {**backend.entry('draining'), 'service': 'other-platform'}
        key = f'other-{backend.name}'
        deployment.store.write_json('servers', key, entry)
        deployment.record.line(f'another writer writes servers/{key}: {entry}')


async def case(folder, trouble):
    async with Deployment(folder) as deployment:
        record = deployment.record
        for number in range(BACKENDS):
            await deployment.add_backend(
                Backend(
                    deployment.store, record, f'i-{number}', 'catalogue',
                    ZONES[number % len(ZONES)], WORK_S,
                )
            )
        deployment.configure({'prints': route('catalogue', '/prints/')})
        await deployment.start_daemons()
        before, sent_before = await send_for_a_while(deployment, 'before')
        if trouble:
            write_foreign_entries(deployment)
        for daemon in deployment.daemons:
            daemon.signal(signal.SIGKILL)
        record.line('final fault: all processes are killed')
        await asyncio.sleep(RESTART_S)
        for daemon in deployment.daemons:
            daemon.process.wait()
            daemon.start()
        record.line('the machines are back')
        await asyncio.sleep(BOUNDS['recovery_s'] + 1)
        after, sent_after = await send_for_a_while(deployment, 'after')
        text = (
            f'RECOVER: {before} of {sent_before} requests are served before '
            f'the final fault, {after} of {sent_after} later than recovery_s '
            'after the machines are back'
        )
        record.line(text)
        is_broken = (
            before >= MIN_SHARE * sent_before and after < MIN_SHARE * sent_after
        )
        return [text] if is_broken else []


run_case(case, FOLDER)
