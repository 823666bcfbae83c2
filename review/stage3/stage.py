"""Stand-ins for the store, back ends and clients, and a launcher of daemons.

Uses the standard library only. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import ctypes
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time

HOST = '127.0.0.1'
PR_SET_PDEATHSIG = 1
ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('zone-a', 'zone-b', 'zone-c')
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
    'max_body_bytes': 8388608,
    'header_timeout_ms': 5000,
    'idle_timeout_ms': 10000,
}


class CannotRunError(Exception):
    """The case could not be set up."""


# Below the ports of outgoing connections, and apart from those of other scripts
# that run at the same time.
_ports = iter(range(15_000 + os.getpid() % 100 * 160, 32_000))


def free_port():
    """Return a port that nothing else uses."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port
    raise CannotRunError('no free port')


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.out = open(path, 'w')

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.out.write(f'{self.now():9.3f}  {text}\n')
        self.out.flush()


async def read_head(reader):
    """Return the first line and the headers, or ``None`` at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_request_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


def encode(status, headers, body, reason='x'):
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'content-length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Store:
    """The platform's store: each daemon has a port of its own for it."""

    def __init__(self, record):
        self.record = record
        self.era = 0
        self.version = 0
        self.rows = {}
        self.changes = []
        self.modes = {}
        self.last_calls = {}
        self.opened = {}
        self.answered = {}
        self.read_at = {}
        self.changed = asyncio.Event()
        self.servers = {}
        self.writers = {}

    async def listen(self, name):
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(name, reader, writer), HOST, 0
        )
        self.servers[name] = server
        self.writers[name] = set()
        return server.sockets[0].getsockname()[1]

    def write(self, table, key, value):
        """Write or remove a row; the return is the acknowledgement."""
        self.version += 1
        row = {
            'table': table,
            'part': '',
            'key': key,
            'row_version': self.version,
        }
        if value is None:
            self.rows.pop((table, key), None)
            row['deleted'] = True
        else:
            text = value if isinstance(value, bytes) else json.dumps(value).encode()
            row['value'] = base64.b64encode(text).decode()
            self.rows[(table, key)] = row
        self.changes.append(row)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def set_mode(self, name, mode):
        """Serve a daemon (``well``), refuse it (``busy``) or be ``silent``."""
        self.modes[name] = mode

    def cut(self, name):
        """Cut the way of a daemon to the store: resets and refusals."""
        self.set_mode(name, 'cut')
        self.servers[name].close()
        for writer in tuple(self.writers[name]):
            writer.transport.abort()

    def readers(self, within=1.8):
        """Return the daemons that wait for changes of the back ends."""
        now = time.monotonic()
        return [
            name for name, at in self.opened.items() if now - at < within
        ]

    async def _serve(self, name, reader, writer):
        self.writers[name].add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                await read_request_body(reader, head[1])
                if self.modes.get(name) == 'cut':
                    writer.transport.abort()
                    break
                if self.modes.get(name) == 'silent':
                    self.record(f'{name} asks the store in vain')
                    await reader.read()
                    break
                answer = await self._answer(name, head[0])
                if self.modes.get(name) == 'silent':
                    await reader.read()
                    break
                if self.modes.get(name) == 'busy':
                    answer = encode(503, self._era_header(), b'')
                writer.write(answer)
                await writer.drain()
        self.writers[name].discard(writer)
        writer.close()

    def _era_header(self):
        return {'store-era': str(self.era)}

    async def _answer(self, name, line):
        _, target, _ = line.split(' ')
        path, _, text = target.partition('?')
        query = dict(
            part.partition('=')[::2] for part in text.split('&') if part
        )
        if self.modes.get(name) == 'busy':
            return encode(503, self._era_header(), b'')
        await asyncio.sleep(0.004)
        self.record(f'{name} reads {query["table"]}')
        if query['table'] == 'servers':
            self.read_at[name] = time.monotonic()
        if path == '/rows-get':
            rows = sorted(
                (row for key, row in self.rows.items() if key[0] == query['table']),
                key=lambda row: row['key'],
            )
            return self._rows(rows)
        if path == '/rows-feed':
            if query['table'] == 'servers':
                self.opened[name] = time.monotonic()
            answer = await self._feed(query)
            self.answered[name] = time.monotonic()
            return answer
        return encode(404, self._era_header(), b'')

    async def _feed(self, query):
        after = int(query['after'])
        if after > self.version:
            return encode(410, self._era_header(), b'')
        ends = time.monotonic() + float(query.get('wait_ms', 0)) / 1000
        while True:
            rows = [
                row
                for row in self.changes
                if row['table'] == query['table'] and row['row_version'] > after
            ]
            left = ends - time.monotonic()
            if rows or left <= 0:
                return self._rows(rows)
            changed = self.changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _rows(self, rows):
        body = json.dumps(
            {
                'rows': rows,
                'row_version': self.version,
                'now_ms': int(time.monotonic() * 1000),
                'has_more': False,
            }
        ).encode()
        headers = {'content-type': 'application/json', **self._era_header()}
        return encode(200, headers, body)


class Backend:
    """A back end with a few slots, which tells its load."""

    def __init__(self, name, service, zone, record, work_s=0.03, slots=4):
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.queue = 4
        self.running = 0
        self.waiting = 0
        self.state = 'ready'
        self.leaving = False
        self.is_healthy = True
        self.handled = []
        self.free = asyncio.Semaphore(slots)
        self.respond = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        return self

    def entry(self):
        return {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'sequence': 1,
            'born': self.born,
        }

    def load(self):
        return f'{self.running},{self.waiting},{self.slots},100'

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError
        ):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if not await self._handle(head, reader, writer):
                    break
        self.writers.discard(writer)
        writer.close()

    async def _handle(self, head, reader, writer):
        line, headers = head
        method, target, _ = line.split(' ')
        if target == '/healthz':
            ok = self.is_healthy and self.state == 'ready'
            answer = {
                'x-instance-id': self.name,
                'x-backend-load': self.load(),
                'keep-alive': 'timeout=10',
            }
            writer.write(encode(200 if ok else 503, answer, b''))
            await writer.drain()
            return True
        body = await read_request_body(reader, headers)
        request_id = headers.get('x-request-id', '')
        common = {
            'x-request-id': request_id,
            'x-backend-load': self.load(),
            'x-instance-id': self.name,
            'keep-alive': 'timeout=10',
        }
        if self.leaving:
            common['server-leaving'] = '1'
        wanted = headers.get('x-target-instance')
        refusal = None
        if wanted not in (None, self.name):
            refusal = 421
        elif self.waiting >= self.queue:
            refusal = 503
        if refusal:
            common['x-not-executed'] = '1'
            writer.write(encode(refusal, common, b''))
            await writer.drain()
            return True
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.handled.append(
                (time.monotonic(), request_id, method, target, headers, body)
            )
            self.record(f'run {self.name} ({self.service}) {request_id}')
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        common['x-response-signature'] = f'sig-{self.name}-{request_id}'
        if self.respond is not None:
            return await self.respond(self, request_id, common, writer)
        writer.write(
            encode(200, common, f'{self.name} {request_id}\n'.encode())
        )
        await writer.drain()
        return True


def end_with_parent():
    """Let a started process end if this one is killed."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Daemon:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, stage, index):
        self.stage = stage
        self.index = index
        self.name = f'front-{index}'
        self.zone = ZONES[index % len(ZONES)]
        self.front = free_port()
        self.ready = free_port()
        self.control = free_port()
        self.metrics = free_port()
        self.process = None
        self.keeps_running = True

    async def write_settings(self, seeds, is_first):
        self.store_port = await self.stage.store.listen(self.name)
        self.settings = self.stage.folder / f'{self.name}.toml'
        self.settings.write_text(self.encode_settings(seeds, is_first))

    def change_seeds(self, seeds):
        """Change the settings file, without a signal."""
        fresh = self.settings.with_suffix('.new')
        fresh.write_text(self.encode_settings(seeds, False))
        fresh.replace(self.settings)

    def encode_settings(self, seeds, is_first):
        table = {
            'node': self.name,
            'role': 'cowslippond',
            'machine_class': 'front',
            'serves': ['front', 'control'],
            'ip': HOST,
            'zone': self.zone,
            'region': 'region',
            'internal_ports': [self.control, self.control],
            'seeds': seeds,
            'bootstrap': is_first,
            'in_tolerance': False,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': 1500,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'health', 'platform'],
        }
        sections = {
            'zones': dict.fromkeys(ZONES, 'region'),
            'listen': {
                'front': f'{HOST}:{self.front}',
                'ready_addr': f'{HOST}:{self.ready}',
                'control': f'{HOST}:{self.control}',
            },
            'limits': {'cpu_share': 0.86, 'cores': 1, 'memory_mb': 300, 'max_fds': 4100, 'link_mbps': 1000.0, 'disk_mb': 0},
            'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': {**BOUNDS, **self.stage.bounds},
            'platform': {
                'address': f'{HOST}:{self.store_port}',
                'form': 'table',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'tx_timeout_ms': 4.0,
                'part_writes_s': 250,
                'max_row_bytes': 65536,
                'cross_shard': True,
                'history_s': 20,
            },
        }
        lines = [f'{key} = {json.dumps(value)}' for key, value in table.items()]
        for section, fields in sections.items():
            lines.append(f'[{section}]')
            lines += [f'{key} = {json.dumps(value)}' for key, value in fields.items()]
        return '\n'.join(lines) + '\n'

    def start(self):
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': str(self.stage.folder),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'COWSLIPPOND_METRICS_PORT': str(self.metrics),
            'COWSLIPPOND_NODE_FILE': str(self.settings),
        }
        log = open(self.stage.folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            ['python3', '-S', '-OO', '-m', 'cowslippond_daemon.platform'],
            cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL, preexec_fn=end_with_parent,
        )
        log.close()
        self.stage.record(f'start {self.name}')

    def signal(self, number):
        self.stage.record(f'signal {signal.Signals(number).name} to {self.name}')
        self.process.send_signal(number)

    async def keep_running(self, delay=1.0):
        """Start the process again a little after it has ended."""
        while True:
            await asyncio.sleep(0.05)
            if self.keeps_running and self.process.poll() is not None:
                self.stage.record(
                    f'{self.name} has ended with {self.process.returncode}'
                )
                await asyncio.sleep(delay)
                if self.keeps_running:
                    self.start()

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                fetch(self.ready, 'GET', '/readyz', {}), 1
            )
        except (OSError, asyncio.TimeoutError, EOFError):
            return False
        return status == 200


async def fetch(port, method, target, headers, body=b''):
    """Send a request on a new connection and return the whole answer.

    :raises EOFError: if the connection ends before the answer is complete.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        return await exchange(reader, writer, method, target, headers, body)
    finally:
        writer.close()


async def exchange(reader, writer, method, target, headers, body=b''):
    lines = [f'{method} {target} HTTP/1.1']
    fields = {'host': 'localhost', **headers}
    if body or method == 'POST':
        fields['content-length'] = str(len(body))
    lines += [f'{name}: {text}' for name, text in fields.items()]
    writer.write('\r\n'.join([*lines, '', '']).encode('latin-1') + body)
    await writer.drain()
    return await read_answer(reader)


async def read_answer(reader):
    try:
        head = await read_head(reader)
        if head is None:
            raise EOFError('no answer')
        line, headers = head
        status = int(line.split(' ')[1])
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            body = await read_request_body(reader, headers)
        elif 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        else:
            body = await reader.read()
    except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
        raise EOFError(repr(error)) from error
    return status, headers, body


class Stage:
    """The store, back ends and daemons of one run."""

    def __init__(self, folder, bounds=None):
        self.bounds = bounds or {}
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='stage3-'))
        self.store = Store(self.record)
        self.daemons = []
        self.backends = {}
        self.version = 0
        self.tasks = set()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def add_backend(self, name, service, zone, **options):
        backend = await Backend(name, service, zone, self.record, **options).start()
        self.backends[name] = backend
        self.register(backend)
        return backend

    def register(self, backend):
        self.store.write('servers', backend.name, backend.entry())
        self.record(f'store acknowledges {backend.name} {backend.state}')

    def unregister(self, backend):
        self.store.write('servers', backend.name, None)
        self.record(f'store acknowledges that {backend.name} is gone')

    def configure(self, routes, services, tenants=None, limits=None):
        self.version += 3
        table = {
            'version': f'{self.version:08x}',
            'base_version': f'{max(self.version - 3, 0):08x}',
            'routes': routes,
            'services': {
                name: {'health_path': '/healthz', 'max_connections': 260}
                for name in services
            },
            'limits': limits or LIMITS,
        }
        if tenants is not None:
            table['tenants'] = tenants
        self.store.write('op', 'config', table)
        self.record(f'store acknowledges configuration {self.version:08x}')

    async def add_daemons(self, count, seeds=None, is_first=True):
        """Start daemons, wait until they are ready and return them."""
        fresh = [Daemon(self, len(self.daemons) + i) for i in range(count)]
        if seeds is None:
            seeds = [f'{HOST}:{one.control}' for one in fresh[:3]]
        for daemon in fresh:
            await daemon.write_settings(seeds, is_first)
        self.daemons += fresh
        for daemon in fresh:
            daemon.start()
        ends = time.monotonic() + 20
        for daemon in fresh:
            while not await daemon.is_ready():
                if time.monotonic() > ends:
                    log = self.folder / f'{daemon.name}.log'
                    self.record(log.read_text()[-2000:])
                    raise CannotRunError(f'{daemon.name} is not ready')
                await asyncio.sleep(0.1)
        self.record(f'ready: {[one.name for one in fresh]}')
        return fresh

    async def close(self):
        for daemon in self.daemons:
            daemon.keeps_running = False
            if daemon.process is not None and daemon.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.process.wait()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.sleep(0.05)
        if os.environ.get('KEEP'):
            shutil.copytree(self.folder, os.environ['KEEP'], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder, bounds=None):
    """Run a case; exit 0 if the rule held, 1 if broken, 2 if it cannot run."""

    async def main():
        stage = Stage(folder, bounds)
        playing = asyncio.ensure_future(
            case(stage, os.environ.get('TROUBLE') != '0')
        )
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, playing.cancel)
        try:
            return await asyncio.wait_for(playing, 110)
        except (Exception, asyncio.CancelledError) as error:
            stage.record(f'cannot run: {error!r}')
            return 2
        finally:
            await stage.close()

    raise SystemExit(asyncio.run(main()))
