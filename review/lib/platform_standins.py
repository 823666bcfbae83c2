"""Stand-ins for the platform, its back ends and its clients.

They follow the users' pages, use only the standard library, and listen on
loopback addresses. The daemons are real: separate processes that are started
with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('rvk-a', 'rvk-b', 'hfj')
HOST = 'shop.example'

#: The bounds of the museum shop's sheet.
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'contact_ms': 3000,
    'ack_timeout_ms': 4000,
    'catch_up_s': 4,
    'drain_timeout_ms': 2000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'downgrade_slack_ms': 250,
    'max_skew_ms': 5000,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'budget_slack': 62,
    'recovery_s': 15,
    'probes_per_s': 60,
}
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 67108864,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


class CannotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self.file = open(path, 'w', buffering=1)
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f'{self.now():8.3f} s  {text}\n')


def free_port(address='127.0.0.1'):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- HTTP


class Listener:
    """A server at a free port of 127.0.0.1 that can end like a process."""

    running = []

    def __init__(self, serve):
        self.serve = serve
        self.server = None
        self.address = ''
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        Listener.running.append(self)

    def stop(self):
        """Stop listening and abort all connections."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def read_head(reader):
    """Return the first line and the headers of a message, or ``None``."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


def encode_response(status, headers, body=b''):
    lines = [f'HTTP/1.1 {status}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


# ---------------------------------------------------------------- store


class Store:
    """The platform's store: linearizable, with a change feed."""

    def __init__(self, record):
        self.record = record
        self.version = 100
        self.rows = {}
        self.log = []
        self.changed = asyncio.Event()
        self.address = ''
        self.calls = 0

    async def start(self):
        self.listener = Listener(self._serve)
        await self.listener.start()
        self.address = self.listener.address

    def write(self, table, key, value):
        """Write a row, or remove it if the value is ``None``."""
        self.version += 1
        row = {'table': table, 'part': '', 'key': key}
        row['row_version'] = self.version
        if value is None:
            self.rows.pop((table, key), None)
            row['deleted'] = True
        else:
            row['value'] = base64.b64encode(value).decode()
            self.rows[table, key] = row
        self.log.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def write_json(self, table, key, value):
        self.write(table, key, json.dumps(value).encode())

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError
        ):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                await read_body(reader, head[1])
                self.calls += 1
                await asyncio.sleep(0.004)
                writer.write(await self._answer(head[0].split(' ')[1]))
                await writer.drain()

    async def _answer(self, target):
        path, _, query_text = target.partition('?')
        query = dict(
            part.split('=', 1) for part in query_text.split('&') if part
        )
        table = query.get('table', '')
        if path == '/rows-get':
            found = sorted(
                (row for (name, _), row in self.rows.items() if name == table),
                key=lambda row: row['key'].encode(),
            )
            return self._rows(found)
        if path == '/rows-feed':
            after = int(query['after'])
            ends_at = time.monotonic() + float(query.get('wait_ms', 0)) / 1000
            while True:
                changed = self.changed
                newest = {
                    row['key']: row
                    for row in self.log
                    if row['table'] == table and row['row_version'] > after
                }
                left = ends_at - time.monotonic()
                if newest or left <= 0:
                    found = sorted(
                        newest.values(), key=lambda row: row['row_version']
                    )
                    return self._rows(found)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left):
                        await changed.wait()
        return encode_response('404 Not Found', {})

    def _rows(self, rows):
        body = json.dumps(
            {
                'rows': rows,
                'has_more': False,
                'row_version': self.version,
                'now_ms': int(time.monotonic() * 1000),
            }
        ).encode()
        return encode_response(
            '200 OK',
            {'Content-Type': 'application/json', 'Store-Era': '1'},
            body,
        )


# ---------------------------------------------------------------- back end


class Backend:
    """A back end with slots and a short queue; drops abandoned requests."""

    def __init__(self, store, record, name, service, zone, work_s, slots=2):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.address = ''
        self.slot = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        #: Request ids in the order of their runs, and those that ended.
        self.runs = []
        self.completed = set()
        #: Ids of requests whose connection closed during the run.
        self.dropped = {}
        self.born = int(time.time() * 1000)

    async def start(self, register=True):
        self.listener = Listener(self._serve)
        await self.listener.start()
        self.address = self.listener.address
        if register:
            self.register()

    def entry(self, state='ready'):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': 1,
            'born': self.born,
        }

    def register(self, state='ready'):
        self.store.write_json('servers', self.name, self.entry(state))

    def load(self):
        return f'{self.running},{self.waiting},{self.slots},100'

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError
        ):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self._handle(*head, body, reader, writer):
                    break
                await writer.drain()
        # What was written is sent before the connection is closed.
        with contextlib.suppress(ConnectionError):
            await writer.drain()
            writer.close()
            await writer.wait_closed()

    async def _handle(self, first, headers, body, reader, writer):
        method, path, _ = first.split(' ')
        if path == '/healthz':
            writer.write(
                encode_response(
                    '200 OK',
                    {'X-Instance-Id': self.name, 'X-Backend-Load': self.load()},
                )
            )
            await writer.drain()
            return True
        request_id = headers.get('x-request-id', '')
        if headers.get('x-target-instance', self.name) != self.name:
            writer.write(
                encode_response(
                    '421 Misdirected Request',
                    {'X-Instance-Id': self.name, 'X-Request-Id': request_id},
                )
            )
            await writer.drain()
            return True
        closed = asyncio.create_task(reader.read(1))
        self.waiting += 1
        await self.slot.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            self.runs.append(request_id)
            self.record.line(f'{self.name} runs {request_id} {method} {path}')
            work = asyncio.create_task(asyncio.sleep(self.work_s))
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            if closed.done():
                work.cancel()
                self.dropped[request_id] = self.record.now()
                self.record.line(f'{self.name} drops {request_id}: closed')
                return False
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
            self.completed.add(request_id)
            self.record.line(f'{self.name} has run {request_id}')
        finally:
            self.running -= 1
            self.slot.release()
        return await self.answer(request_id, path, reader, writer)

    async def answer(self, request_id, path, reader, writer):
        """Write the answer; return whether the connection stays open."""
        answer_body = expected_body(request_id, path)
        writer.write(
            encode_response(
                '200 OK', self.answer_headers(request_id, answer_body),
                answer_body,
            )
        )
        await writer.drain()
        return True

    def answer_headers(self, request_id, body):
        return {
            'X-Request-Id': request_id,
            'X-Response-Signature': sign(body),
            'X-Backend-Load': self.load(),
        }


def expected_body(request_id, path):
    return f'{request_id} {path}'.encode()


def sign(body):
    return hashlib.sha256(body).hexdigest()[:16]


# ---------------------------------------------------------------- client


class Answer:
    """What a client got for one request.

    ``status`` is 0 if no head arrived; ``is_complete`` tells whether the whole
    body did. ``ended_at`` is the time at which the request ended for the
    client.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.is_connected = False
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.how = ''

    def __str__(self):
        whole = 'whole' if self.is_complete else 'not whole'
        took = (self.ended_at - self.sent_at) * 1000
        return (
            f'status {self.status or "none"}, body {whole}, {self.how}, '
            f'after {took:.0f} ms'
        )


async def send_request(
    record, address, request_id, path, *, method='GET', deadline_ms=2000,
    body=b'', extra='', connection=None,
):
    """Send a request and wait for its answer until the deadline."""
    answer = Answer()
    host, _, port = address.rpartition(':')
    answer.sent_at = record.now()
    record.line(f'client sends {request_id} {method} {path} to {address}')
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            if connection is None:
                reader, writer = await asyncio.open_connection(host, int(port))
            else:
                reader, writer = connection
            answer.is_connected = True
            writer.write(
                (
                    f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
                    f'X-Request-Id: {request_id}\r\n'
                    f'X-Deadline-Ms: {deadline_ms}\r\n{extra}'
                    f'Content-Length: {len(body)}\r\n\r\n'
                ).encode()
                + body
            )
            await writer.drain()
            answer.sent_at = record.now()
            head = await read_head(reader)
            if head is None:
                answer.how = 'connection closed'
            else:
                answer.status = int(head[0].split(' ')[1])
                answer.headers = head[1]
                answer.body = await read_body(reader, head[1])
                answer.is_complete = True
                answer.how = 'answered'
    except TimeoutError:
        answer.how = 'no end within the deadline'
    except asyncio.IncompleteReadError:
        answer.how = 'connection closed in the body'
    except OSError as error:
        answer.how = f'connection failed: {error!r}'
    answer.ended_at = record.now()
    record.line(f'client: {request_id}: {answer}')
    if writer is not None and (connection is None or not answer.is_complete):
        writer.transport.abort()
    return answer


# ---------------------------------------------------------------- daemons

# Ends the daemons and removes the folder when this process is gone, however it
# ended: its standard input then ends, too.
_GUARD = """
import os, shutil, signal, sys
running = set()
for line in sys.stdin:
    sign, number = line[0], int(line[1:])
    (running.add if sign == '+' else running.discard)(number)
for number in running:
    try:
        os.kill(number, signal.SIGKILL)
    except ProcessLookupError:
        pass
shutil.rmtree(sys.argv[1], ignore_errors=True)
"""


class Guard:
    """A process that outlives this one and ends the daemons it left."""

    def __init__(self, folder):
        self.process = subprocess.Popen(
            [sys.executable, '-c', _GUARD, str(folder)],
            stdin=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )
        self.is_closed = False

    def tell(self, sign, number):
        self.process.stdin.write(f'{sign}{number}\n')
        self.process.stdin.flush()

    def close(self):
        self.is_closed = True
        self.process.stdin.close()
        self.process.wait()


class Daemon:
    """One process of the system."""

    def __init__(
        self, name, zone, folder, ip, ports, seeds, store_address, guard
    ):
        self.guard = guard
        self.name = name
        self.zone = zone
        self.ip = ip
        self.folder = folder
        self.front = f'{ip}:{ports["front"]}'
        self.ready = f'{ip}:{ports["ready_addr"]}'
        self.metrics_port = ports['metrics']
        self.settings = folder / f'{name}.toml'
        self.process = None
        #: The most descriptors that the process may have; no limit if ``None``.
        self.max_descriptors = None
        self.write_settings(ports, seeds, store_address, bootstrap=True)
        self.arguments = (ports, seeds, store_address)

    def write_settings(self, ports, seeds, store_address, *, bootstrap):
        bounds = ''.join(f'{name} = {number}\n' for name, number in BOUNDS.items())
        quoted = ','.join(f'"{seed}"' for seed in seeds)
        zones = ''.join(f'{zone} = "is-sudvestur"\n' for zone in ZONES)
        self.settings.write_text(
            f'node = "{self.name}"\nrole = "cowslippond"\n'
            f'machine_class = "front"\nserves = ["front","control"]\n'
            f'ip = "{self.ip}"\nzone = "{self.zone}"\n'
            f'region = "is-sudvestur"\n'
            f'internal_ports = [{ports["internal"]},{ports["internal"]}]\n'
            f'seeds = [{quoted}]\nbootstrap = {str(bootstrap).lower()}\n'
            f'in_tolerance = false\ndiscovery = "platform"\nentry = "vip"\n'
            f'heartbeat_ms = 1500\ncontracts = ["base","drain","config","cost",'
            f'"retry","recover","health","platform"]\n'
            f'[zones]\n{zones}'
            f'[listen]\nfront = "{self.front}"\nready_addr = "{self.ready}"\n'
            f'control = "{self.ip}:{ports["control"]}"\n'
            f'[limits]\ncpu_share = 0.86\ncores = 1\nmemory_mb = 300\n'
            f'max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n'
            f'[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n'
            f'[bounds]\n{bounds}'
            f'[platform]\naddress = "{store_address}"\nform = "table"\n'
            f'writes_per_s = 400\nreads_per_s = 2000\ntx_timeout_ms = 4.0\n'
            f'part_writes_s = 250\nmax_row_bytes = 65536\ncross_shard = true\n'
            f'history_s = 20\nmax_blob_bytes = 8388608\n'
            f'blob_timeout_ms = 25.0\nblob_mb_s = 80.0\n'
        )

    def start(self):
        """Start the process, again if an earlier one has ended."""
        if self.guard.is_closed:
            return
        if self.process is not None:
            self.end()
            self.write_settings(*self.arguments, bootstrap=False)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['cowslippond']
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['COWSLIPPOND_NODE_FILE'] = str(self.settings)
        # The deploy file gives every machine the same port for metrics.
        environment['COWSLIPPOND_METRICS_PORT'] = str(self.metrics_port)
        log = open(self.folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=self.limit_descriptors,
        )
        self.guard.tell('+', self.process.pid)
        log.close()

    def limit_descriptors(self):
        """Limit the descriptors of this process, as the platform does."""
        if self.max_descriptors is not None:
            limits = (self.max_descriptors, self.max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def end(self):
        """End the process, also one that is stopped, and wait for it."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.guard.tell('-', self.process.pid)
        self.process = None

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                host, _, port = self.ready.rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and ' 200 ' in head[0]

    def signal(self, number):
        self.process.send_signal(number)

    def log_text(self):
        return (self.folder / f'{self.name}.log').read_text(errors='replace')


class Deployment:
    """The store, back ends and daemons of a case; ends all of them."""

    def __init__(self, folder, daemons=3, zones=ZONES):
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.guard = Guard(self.temporary)
        self.count = daemons
        #: The zones of the daemons, again from the first if there are fewer.
        self.zones = zones
        self.store = Store(self.record)
        self.daemons = []
        self.backends = []
        self.version = 0

    async def __aenter__(self):
        await self.store.start()
        ports = {
            name: free_port()
            for name in ('front', 'ready_addr', 'control', 'metrics', 'internal')
        }
        ips = [f'127.0.1.{number + 1}' for number in range(self.count)]
        seeds = [f'{ip}:{ports["control"]}' for ip in ips[:3]]
        for number, ip in enumerate(ips):
            zone = self.zones[number % len(self.zones)]
            self.daemons.append(
                Daemon(
                    f'front-{zone}-{number + 1}', zone, self.temporary, ip,
                    ports, seeds, self.store.address, self.guard,
                )
            )
        return self

    async def __aexit__(self, *error):
        for daemon in self.daemons:
            daemon.end()
        self.guard.is_closed = True
        for listener in Listener.running:
            listener.stop()
        await asyncio.sleep(0.1)
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        self.guard.close()

    async def add_backend(self, backend):
        await backend.start()
        self.backends.append(backend)
        return backend

    def configure(self, routes, **more):
        self.version += 1
        services = sorted({route['service'] for route in routes.values()})
        self.store.write_json(
            'op',
            'config',
            {
                'version': f'{self.version:08x}',
                'routes': routes,
                'services': {
                    name: {
                        'health_path': '/healthz',
                        'max_connections': 260,
                        'protocol': 'h1',
                        'tls': False,
                    }
                    for name in services
                },
                'limits': LIMITS,
                'base_version': f'{self.version - 1:08x}',
                **more,
            },
        )
        self.record.line(f'operator: version {self.version} is acknowledged')

    async def start_daemons(self, settle_s=4.0):
        """Start all daemons and wait until they are ready and in touch."""
        for daemon in self.daemons:
            daemon.start()
        ends_at = time.monotonic() + 20
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > ends_at:
                    raise CannotRun(f'{daemon.name} is not ready')
                await asyncio.sleep(0.1)
        self.record.line('all daemons are ready')
        await asyncio.sleep(settle_s)


def route(service, prefix, *, kind='idempotent', timeout_ms=2000, attempts=2):
    return {
        'host': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 400,
        'priority': 1,
        'max_attempts': attempts,
    }


def run_case(case, folder, limit_s=110):
    """Run a case; exit with 1 if the rule is broken, 0 if not, 2 if neither.

    A signal that interrupts the case ends all processes that it started.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def limited():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        signals = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)

        def interrupt():
            for number in signals:
                loop.add_signal_handler(number, int)
            task.cancel()

        for number in signals:
            loop.add_signal_handler(number, interrupt)
        async with asyncio.timeout(limit_s):
            return await case(folder, trouble)

    try:
        findings = asyncio.run(limited())
    except asyncio.CancelledError:
        print('the case was interrupted')
        raise SystemExit(2) from None
    except Exception:
        traceback.print_exc()
        print('the case could not run')
        raise SystemExit(2) from None
    for finding in findings:
        print(finding)
    print('the rule is broken' if findings else 'the rule holds')
    raise SystemExit(1 if findings else 0)
