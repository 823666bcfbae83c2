"""A back end leaves while the daemons that read the store restart."""

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

# Two machines in each zone; the settings name the first three as seeds.
DAEMONS = 6
SEEDS = 3
BACKENDS = 7
WORK_S = 0.12
DEADLINE_MS = 3000
HEARTBEAT_S = 1.5
# The machines are calm for contact_ms before, and the fleet has found itself.
SETTLE_S = 18.0
# Times after the kill.
REMOVED_S = 0.2
RESTARTED_S = 0.8
# For how long the back end goes on serving; the pages say "at times many
# seconds" beyond drain_timeout_ms.
SERVES_ON_S = 3.5
SENDING_S = 6.0
INTERVAL_S = 0.05
# It is a race, so the same happens more than once, each time with another back
# end.
ROUNDS = 4
# Between the rounds; the readers are the seeds again, and all are calm.
PAUSE_S = 12.0


class WatchedBackend(Backend):
    """Notes when requests arrive, whether or not they run."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrivals = []
        self.is_listed = True

    async def _handle(self, first, headers, body, reader, writer):
        request_id = headers.get('x-request-id')
        if request_id is not None:
            self.arrivals.append((self.record.now(), request_id))
        return await super()._handle(first, headers, body, reader, writer)


async def send_heartbeats(deployment):
    """Write the entry of each back end every heartbeat_ms."""
    sequence = 1
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        sequence += 1
        for backend in deployment.backends:
            if backend.is_listed:
                entry = {**backend.entry(), 'sequence': sequence}
                deployment.store.write_json('servers', backend.name, entry)


async def restart(deployment, daemons):
    await asyncio.sleep(RESTARTED_S)
    for daemon in daemons:
        daemon.start()
    deployment.record.line('the killed processes are started again')


async def end(backend):
    await asyncio.sleep(SERVES_ON_S)
    backend.listener.stop()
    backend.record.line(f'{backend.name} has ended')


async def case(folder, trouble):
    async with Deployment(folder, daemons=DAEMONS) as deployment:
        record = deployment.record
        for number in range(BACKENDS):
            await deployment.add_backend(
                WatchedBackend(
                    deployment.store, record, f'i-{number}', 'checkout',
                    ZONES[number % len(ZONES)], WORK_S,
                )
            )
        deployment.configure(
            {
                'orders': route(
                    'checkout', '/orders/', kind='non_idempotent',
                    timeout_ms=DEADLINE_MS,
                )
            }
        )
        await deployment.start_daemons(SETTLE_S)
        heartbeats = asyncio.create_task(send_heartbeats(deployment))
        await asyncio.sleep(2 * HEARTBEAT_S)
        findings = []
        for number in range(ROUNDS):
            if number:
                await asyncio.sleep(PAUSE_S)
            findings += await play_round(deployment, number, trouble)
        heartbeats.cancel()
        return findings


async def play_round(deployment, number, trouble):
    """Remove the entry of a back end, and return what reaches it too late."""
    record = deployment.record
    seeds = deployment.daemons[:SEEDS]
    survivors = deployment.daemons[SEEDS:]
    tasks = []
    if trouble:
        for daemon in seeds:
            daemon.signal(signal.SIGKILL)
        names = ', '.join(daemon.name for daemon in seeds)
        record.line(f'killed: {names}')
        tasks.append(asyncio.create_task(restart(deployment, seeds)))
    await asyncio.sleep(REMOVED_S)
    leaving = deployment.backends[-1 - number]
    leaving.is_listed = False
    deployment.store.write('servers', leaving.name, None)
    gone_at = record.now()
    record.line(f'the store acknowledges that {leaving.name} is gone')
    tasks.append(asyncio.create_task(end(leaving)))
    requests = []
    for index in range(int(SENDING_S / INTERVAL_S)):
        daemon = survivors[index % len(survivors)]
        order = f'order-{number}-{index}'
        requests.append(
            asyncio.create_task(
                send_request(
                    record, daemon.front, order, f'/orders/{index}',
                    method='POST', deadline_ms=DEADLINE_MS, body=b'x' * 200,
                )
            )
        )
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*requests)
    await asyncio.gather(*tasks)
    return judge(record, number, leaving, gone_at, answers)


def judge(record, round_number, leaving, gone_at, answers):
    """Return the requests that reach the back end too late.

    The orders that end without an answer of theirs are recorded, too; they are
    no part of the check.
    """
    for number, answer in enumerate(answers):
        if answer.status != 200:
            record.line(
                f'order-{round_number}-{number} is not served: {answer}'
            )
    bound_s = BOUNDS['drain_timeout_ms'] / 1000
    findings = []
    for at, request_id in leaving.arrivals:
        if at > gone_at + bound_s:
            findings.append(
                f'DRAIN: {request_id} reaches {leaving.name} '
                f'{at - gone_at:.3f} s after the store has acknowledged that '
                'it is gone, from a machine in touch'
            )
    for finding in findings:
        record.line(finding)
    return findings


run_case(case, FOLDER)
