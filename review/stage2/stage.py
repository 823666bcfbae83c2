"""Stand-ins for the platform, the backends and the clients of a review case.

The daemons are the project's own programs, started as separate processes with the
command of the deploy file. The store, the backends and the clients run in this
process and speak what PROTOCOL.md says, over loopback addresses.
"""

import asyncio
import base64
import ctypes
import json
import os
import pathlib
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_MS = 1500
CRLF = b'\r\n'
# The number of the option in <linux/prctl.h>.
PR_SET_PDEATHSIG = 1


def now():
    """Return the seconds of a steady clock."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self.start = now()
        self.file = open(path, 'w', encoding='utf-8')

    def write(self, *words):
        """Write one line with the time since the start."""
        text = ' '.join(str(word) for word in words)
        self.file.write(f'{now() - self.start:9.3f} {text}\n')

    def close(self):
        self.file.close()


class Closed(Exception):
    """The other end closed the connection before the message was complete."""


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message."""
    try:
        head = await reader.readuntil(CRLF + CRLF)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        partial = getattr(error, 'partial', b'')
        raise Closed(f'{len(partial)} bytes of a head') from error
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed('part of a body') from error
    return first, headers, body


async def read_body(reader, headers):
    """Return a body that has a length or is chunked."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readuntil(CRLF)).strip(), 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get('content-length', 0)))


def encode(status, headers, body):
    """Return an HTTP response."""
    lines = [f'HTTP/1.1 {status} -']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class Store:
    """The platform's store, with the reading calls that the daemons make."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changed = asyncio.Event()
        self.calls = 0
        self.server = None

    async def open(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    def put(self, table, key, value):
        """Write a row; the return is the acknowledgement."""
        self.version += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, key)] = (self.version, text)
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table, key):
        """Remove a row."""
        self.version += 1
        self.rows[(table, key)] = (self.version, None)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, _ = await read_message(reader)
                _, target, _ = first.split(' ')
                path, _, query = target.partition('?')
                args = dict(
                    part.partition('=')[::2] for part in query.split('&')
                )
                status, answer = await self.answer(path, args)
                self.calls += 1
                await asyncio.sleep(0.004)
                body = json.dumps(answer).encode()
                writer.write(
                    encode(status, {'Content-Type': 'application/json'}, body)
                )
                await writer.drain()
        except (Closed, ConnectionError):
            return
        finally:
            writer.close()

    async def answer(self, path, args):
        table = args.get('table')
        if path == '/rows-get':
            return 200, self.page(
                [
                    self.row(table, key)
                    for (name, key), (_, text) in sorted(self.rows.items())
                    if name == table and text is not None
                ]
            )
        if path != '/rows-feed':
            return 404, {}
        after = int(args['after'])
        if after > self.version:
            return 410, {}
        ends_at = now() + int(args.get('wait_ms', 0)) / 1000
        while True:
            rows = [
                self.row(table, key)
                for (name, key), (version, _) in self.rows.items()
                if name == table and version > after
            ]
            left = ends_at - now()
            if rows or left <= 0:
                rows.sort(key=lambda row: row['row_version'])
                return 200, self.page(rows)
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def row(self, table, key):
        version, text = self.rows[(table, key)]
        row = {'table': table, 'part': '', 'key': key, 'row_version': version}
        if text is None:
            return {**row, 'deleted': True}
        return {**row, 'value': text}

    def page(self, rows):
        return {
            'rows': rows,
            'has_more': False,
            'row_version': self.version,
            'now_ms': int(now() * 1000),
        }


class Backend:
    """A backend with slots and a short queue, as PROTOCOL.md describes it."""

    def __init__(self, stage, name, service, address, slots=4, queue=8):
        self.stage = stage
        self.name = name
        self.service = service
        self.address = address
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.work = lambda request_id: 0.05
        self.size = 400
        self.born = 1_700_000_000_000

    async def open(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port)

    def register(self, state='ready'):
        """Write the entry of this backend into the store."""
        self.stage.store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': '%s:%d' % self.address,
                'zone': 'z1',
                'version': 'v1',
                'slots': self.slots,
                'state': state,
                'warmup_left_ms': 0,
                'sequence': 1,
                'born': self.born,
            },
        )

    def load(self):
        return f'{self.running},{self.waiting},{self.slots},100'

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                await self.handle(request, reader, writer)
        except (Closed, ConnectionError):
            return
        finally:
            writer.close()

    async def handle(self, request, reader, writer):
        first, headers, body = request
        _, target, _ = first.split(' ')
        if target == '/healthz':
            await self.reply(writer, 200, {'X-Instance-Id': self.name}, b'')
            return
        request_id = headers.get('x-request-id', '')
        echo = {'X-Request-Id': request_id}
        if headers.get('x-target-instance', self.name) != self.name:
            await self.reply(writer, 421, {'X-Instance-Id': self.name}, b'')
            return
        if self.running + self.waiting >= self.slots + self.queue:
            await self.reply(writer, 503, {**echo, 'X-Not-Executed': '1'}, b'')
            return
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            started_at = now()
            self.stage.on_run(self, request_id, first, headers, body)
            try:
                ended = await self.run(request_id, reader)
            finally:
                self.running -= 1
        if not ended:
            self.stage.record.write('dropped', self.name, request_id)
            raise Closed('the caller left')
        self.stage.record.write(
            'finished', self.name, request_id, f'{now() - started_at:.3f}'
        )
        answer = self.make_body(request_id)
        signature = f'{self.name}.{request_id}'
        await self.reply(
            writer, 200, {**echo, 'X-Response-Signature': signature}, answer
        )

    async def run(self, request_id, reader):
        """Work on a request; return whether its caller has stayed."""
        left = asyncio.ensure_future(asyncio.sleep(self.work(request_id)))
        while not left.done():
            await asyncio.wait([left], timeout=0.02)
            if reader.at_eof() or reader.exception() is not None:
                left.cancel()
                return False
        return True

    def make_body(self, request_id):
        return f'{request_id} by {self.name} '.encode().ljust(self.size, b'.')

    async def reply(self, writer, status, headers, body):
        headers = {
            **headers,
            'X-Backend-Load': self.load(),
            'Keep-Alive': 'timeout=10',
        }
        writer.write(encode(status, headers, body))
        await writer.drain()


class Daemon:
    """One machine, with a process of the project's daemon."""

    def __init__(self, stage, ip, zone):
        self.stage = stage
        self.ip = ip
        self.zone = zone
        self.process = None
        self.settings = stage.folder / f'{ip}.toml'

    def start(self, seeds, bootstrap):
        self.write_settings(seeds, bootstrap)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['cowslippond']
        log = open(self.stage.folder / f'{self.ip}.log', 'ab')
        with log:
            self.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': str(self.stage.folder),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'COWSLIPPOND_NODE_FILE': str(self.settings),
                    'COWSLIPPOND_METRICS_PORT': str(self.stage.ports['metrics']),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )
        self.stage.record.write('started', self.ip)

    def write_settings(self, seeds, bootstrap):
        ports = self.stage.ports
        text = SETTINGS.format(
            ip=self.ip,
            zone=self.zone,
            seeds=json.dumps([f'{seed}:{ports["control"]}' for seed in seeds]),
            bootstrap=str(bootstrap).lower(),
            bounds='\n'.join(
                f'{name} = {value}' for name, value in self.stage.bounds.items()
            ),
            store='%s:%d' % self.stage.store_address,
            **ports,
        )
        # Replaced at once, so that no process reads a part of it.
        new = self.settings.with_suffix('.new')
        new.write_text(text)
        new.replace(self.settings)

    def signal(self, number):
        self.stage.record.write('signal', signal.Signals(number).name, self.ip)
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None


SETTINGS = """
node = "front-{ip}"
role = "cowslippond"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
internal_ports = [{control}, {control}]
seeds = {seeds}
bootstrap = {bootstrap}
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"]
[zones]
z1 = "r1"
[listen]
front = "{ip}:{front}"
ready_addr = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.86
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
{bounds}
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_timeout_ms = 4.0
part_writes_s = 250
max_row_bytes = 65536
cross_shard = true
history_s = 20
max_blob_bytes = 8388608
blob_timeout_ms = 25.0
blob_mb_s = 80.0
"""

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


class Stage:
    """Everything that a case runs, in a temporary folder."""

    def __init__(self, case, bounds=None):
        self.case = pathlib.Path(case).resolve()
        self.record = Record(self.case / 'record.txt')
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self.temporary.name)
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store()
        self.daemons = []
        self.backends = []
        self.runs = []
        self.ports = dict(
            zip(('front', 'ready', 'control', 'metrics'), free_ports(4))
        )
        self.store_address = ('127.0.0.1', free_ports(1)[0])
        self.rng = random.Random(1)

    async def open(self, services, slots=4):
        """Start the store and the backends of some services."""
        await self.store.open(*self.store_address)
        for service, count in services.items():
            for _ in range(count):
                await self.add_backend(service, slots)

    async def add_backend(self, service, slots=4):
        number = len(self.backends) + 1
        address = ('127.0.0.1', free_ports(1)[0])
        backend = Backend(self, f'i-{number:04x}', service, address, slots)
        await backend.open()
        backend.register()
        self.backends.append(backend)
        return backend

    def add_daemons(self, count, zones=('z1',)):
        for index in range(count):
            ip = f'127.0.0.{10 + index}'
            zone = zones[index % len(zones)]
            self.daemons.append(Daemon(self, ip, zone))

    def on_run(self, backend, request_id, first, headers, body):
        """Note that a backend has begun to work on a request."""
        self.runs.append((now(), backend.name, request_id, headers))
        self.record.write('run', backend.name, request_id, first)

    async def wait_ready(self, daemons, limit=40):
        """Wait until daemons answer their readiness check with 200."""
        ends_at = now() + limit
        for daemon in daemons:
            while not await self.is_ready(daemon):
                if now() > ends_at or not daemon.is_running():
                    raise CannotRun(f'{daemon.ip} is not ready')
                await asyncio.sleep(0.1)

    async def is_ready(self, daemon):
        try:
            status, _, _ = await call(
                daemon.ip, self.ports['ready'], 'GET', '/readyz', {}, b'', 1
            )
        except (OSError, Closed, TimeoutError):
            return False
        return status == 200

    async def end_tasks(self):
        """End what still runs in this process."""
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)

    def close(self):
        """End all processes that this case started."""
        for daemon in self.daemons:
            if daemon.is_running():
                daemon.process.kill()
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.process.wait()
        self.record.close()
        if os.environ.get('KEEP_LOGS'):
            target = pathlib.Path(os.environ['KEEP_LOGS'])
            target.mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob('*.log'):
                (target / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


class CannotRun(Exception):
    """The case could not be set up."""


async def call(host, port, method, target, headers, body, limit):
    """Make one call on a connection of its own; return the whole answer."""
    async with asyncio.timeout(limit):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            return await exchange(reader, writer, method, target, headers, body)
        finally:
            writer.close()


async def exchange(reader, writer, method, target, headers, body):
    """Send a request on an open connection and read its answer."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    await writer.drain()
    first, headers, body = await read_message(reader)
    return int(first.split(' ')[1]), headers, body


def free_ports(count):
    """Return ports below the ephemeral range that are free on loopback."""
    found = []
    while len(found) < count:
        port = random.SystemRandom().randrange(12_000, 30_000)
        if port not in TAKEN and is_free(port):
            TAKEN.add(port)
            found.append(port)
    return found


TAKEN = set()


def is_free(port):
    """Tell whether nothing listens on a port."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True


def end_with_parent():
    """Let the system end a started process if this one is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def interrupt(number, _):
    """End the case, and with it all processes that it started."""
    raise KeyboardInterrupt(number)


def main(case, play, bounds=None):
    """Play a case; exit with 1 if the rule was broken, 0 if not, 2 if unable."""
    resource.setrlimit(
        resource.RLIMIT_NOFILE,
        (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2,
    )
    stage = Stage(case, bounds)

    async def limited():
        try:
            async with asyncio.timeout(110):
                return await play(stage)
        finally:
            await stage.end_tasks()

    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, interrupt)
    try:
        is_broken = asyncio.run(limited())
    except (CannotRun, KeyboardInterrupt, TimeoutError, OSError) as error:
        print(f'cannot run: {error!r}')
        code = 2
    else:
        print('rule broken' if is_broken else 'rule held')
        code = int(is_broken)
    finally:
        stage.close()
    sys.exit(code)
