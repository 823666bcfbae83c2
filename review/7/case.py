"""A daemon that stops gets a second SIGTERM, and cuts the calls that it has."""

import asyncio
import signal

from stage import LIMITS, Closed, call, main, now

HOST = 'shop.example'
DEADLINE_MS = 4000
WORK_S = 1.0
CLIENTS = 6
GRACE_S = 6
SECOND_AFTER_S = 0.7
# The platform opens no connections to a machine after two missed checks.
TAKEN_OUT_AFTER_S = 2
# What RULES.md excuses: requests still at work in the last sixth of the grace.
EXCUSED_FROM_S = GRACE_S * 5 / 6

CONFIG = {
    'version': '00000005',
    'routes': {
        'orders': {
            'host': HOST,
            'path_prefix': '/orders/',
            'kind': 'non_idempotent',
            'timeout_ms': 3500,
            'target_latency_ms': 1500,
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


async def play(stage):
    """Send orders to a daemon that is stopped; return whether one was lost."""
    await stage.open({'checkout': 4})
    for backend in stage.backends:
        backend.work = lambda _: WORK_S
    stage.store.put('op', 'config', CONFIG)
    stage.add_daemons(2)
    seeds = [daemon.ip for daemon in stage.daemons]
    for daemon in stage.daemons:
        daemon.start(seeds, bootstrap=True)
    await stage.wait_ready(stage.daemons)
    await asyncio.sleep(3.5)
    stopped = stage.daemons[0]
    results = []
    stop = asyncio.Event()
    clients = [
        asyncio.ensure_future(
            send_orders(stage, stopped, number, results, stop)
        )
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(4)
    stopped_at = now()
    stopped.signal(signal.SIGTERM)
    asyncio.get_running_loop().call_later(TAKEN_OUT_AFTER_S, stop.set)
    await asyncio.sleep(SECOND_AFTER_S)
    if stage.trouble:
        stopped.signal(signal.SIGTERM)
    while stopped.is_running() and now() < stopped_at + GRACE_S:
        await asyncio.sleep(0.02)
    ended_at = now()
    stage.record.write('ended', stopped.ip, f'{ended_at - stopped_at:.2f}')
    if stopped.is_running():
        stopped.signal(signal.SIGKILL)
    await asyncio.sleep(1.5)
    for client in clients:
        client.cancel()
    return judge(stage, results, stopped_at, ended_at)


async def send_orders(stage, daemon, client, results, stop):
    """Send orders one after the other until the machine is taken out."""
    number = 0
    while not stop.is_set():
        number += 1
        request_id = f'o{client}-{number}'
        headers = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(DEADLINE_MS),
        }
        sent_at = now()
        stage.record.write('sent', request_id)
        try:
            status, answer, body = await call(
                daemon.ip,
                stage.ports['front'],
                'POST',
                f'/orders/{request_id}',
                headers,
                b'order ' + request_id.encode(),
                DEADLINE_MS / 1000,
            )
            outcome = str(status)
            if status == 200 and not body.startswith(request_id.encode()):
                outcome = 'foreign body'
        except ConnectionRefusedError:
            # The client goes to another machine.
            stage.record.write('refused', request_id)
            return
        except (Closed, ConnectionError) as error:
            outcome = f'closed: {error}'
        except TimeoutError:
            outcome = 'no answer'
        stage.record.write('answered', request_id, outcome)
        results.append((request_id, sent_at, now(), outcome))


def judge(stage, results, stopped_at, ended_at):
    """Count the orders that ran and whose connection ended without an answer."""
    ran = {request_id for _, _, request_id, _ in stage.runs}
    lost = [
        request_id
        for request_id, sent_at, closed_at, outcome in results
        if request_id in ran
        and outcome.startswith('closed')
        and sent_at <= stopped_at + 3
        and closed_at < stopped_at + EXCUSED_FROM_S
    ]
    good = sum(outcome == '200' for *_, outcome in results)
    print(
        f'orders: {len(results)} answered or ended, {good} with 200;'
        f' process ended {ended_at - stopped_at:.2f} s after the first SIGTERM;'
        f' ran and lost: {len(lost)} {lost}'
    )
    stage.record.write('lost', *lost)
    return bool(lost)


main('.', play)
