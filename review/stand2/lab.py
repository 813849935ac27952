"""Stand-ins for the store, workers and clients, and the start of entries.

They follow the users' pages PROTOCOL.md and DEPLOY.md, on loopback addresses.
"""

# ruff: noqa: D102, D103

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = 'ficu95.example'
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 4000,
    'ackMs': 5000,
    'catchUpS': 4,
    'drainMs': 2500,
    'graceS': 8,
    'lossSlackMs': 200,
    'configMs': 2500,
    'rollbackSlackMs': 250,
    'outerBoundMs': 6000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 56,
    'recoverS': 12,
    'transitMs': 300,
    'againS': 4.2,
    'fencing': False,
    'leaseMs': 3000,
    'thawMs': 300,
}


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text('', encoding='utf-8')
        self._start_s = time.monotonic()

    def add(self, what, **fields):
        at_s = time.monotonic() - self._start_s
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        with self._path.open('a', encoding='utf-8') as file:
            file.write(f'{at_s:8.3f} {what} {text}\n')


class Message:
    """The head and the body of a request or an answer."""

    def __init__(self, first, headers, body=b'', whole=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.whole = whole
        parts = first.split(' ')
        self.method, self.target = parts[0], parts[1]

    @property
    def status(self):
        return int(self.first.split(' ')[1])

    def header(self, name):
        return self.headers.get(name.lower(), '')


async def read_head(reader):
    """Return the first line and the headers; None at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message):
    """Read the body that follows a head; note whether it is whole."""
    try:
        if 'chunked' in message.header('transfer-encoding'):
            body = bytearray()
            while True:
                size = int((await reader.readline()).strip() or b'x', 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                body += data[:-2]
            message.body = bytes(body)
        else:
            length = int(message.header('content-length') or 0)
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.whole = False


def encode(first, headers, body=b''):
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Store:
    """The platform's store: reads, ranges and watches."""

    def __init__(self, host='127.0.0.1'):
        self._host = host
        self._items = {}
        self._history = []
        self.revision = 100
        self._changed = asyncio.Event()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, self._host, 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    def put(self, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        known = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'createRev': known['createRev'] if known else self.revision,
            'lease': 0,
        }
        self._items[key] = item
        self._note(item)

    def remove(self, key):
        self.revision += 1
        self._items.pop(key, None)
        self._note({'key': key, 'revision': self.revision, 'removed': True})

    def _note(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while (request := await read_head(reader)) is not None:
                status, fields = await self._answer(request)
                body = json.dumps(fields).encode()
                headers = [
                    ('Content-Type', 'application/json'),
                    ('Content-Length', len(body)),
                ]
                first = f'HTTP/1.1 {status} Status'
                writer.write(encode(first, headers, body))
                await writer.drain()
        writer.close()

    async def _answer(self, request):
        path, _, query = request.target.partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        if path == '/-/kv-key':
            item = self._items.get(query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'storeRevision': self.revision}
        prefix = query.get('prefix', '')
        if path == '/-/kv-range':
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(prefix) and key > query.get('after', '')
            ]
            return 200, {
                'items': items,
                'hasMore': False,
                'storeRevision': self.revision,
            }
        after = int(query['after'])
        end_s = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    'events': events,
                    'storeRevision': self.revision,
                }
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Worker:
    """A worker; ``run`` answers each request on its channel.

    ``run`` is ``async`` and takes the worker, the request and the writer; it
    returns whether the channel stays open.
    """

    def __init__(self, name, service, run, *, host='127.0.0.1', **fields):
        self.name = name
        self.service = service
        self.run = run
        self.fields = fields
        self.requests = []
        self._host = host
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(
            self._serve, self._host, 0, limit=2**22
        )
        self.port = server.sockets[0].getsockname()[1]
        return server

    def entry(self, state='ready', **changes):
        return {
            'service': self.service,
            'address': f'{self._host}:{self.port}',
            'zone': 'cluj-a',
            'version': 'v1',
            'slots': 48,
            'state': state,
            'coldLeftMs': 0,
            'sequence': 4,
            'born': 1_700_000_000_000,
            **self.fields,
            **changes,
        }

    def seal_headers(self, request):
        return [
            ('X-Request-Attempt-Id', request.header('x-request-attempt-id')),
            ('X-Server-Seal', '3e1b.07.5a2.600.0.c9f2a4d1'),
            ('X-Instance-Id', self.name),
        ]

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while (request := await read_head(reader)) is not None:
                expected = request.header('x-expect-instance')
                await read_body(reader, request)
                if not request.whole:
                    break
                if expected and expected != self.name:
                    headers = [('Content-Length', 0)]
                    writer.write(encode('HTTP/1.1 421 Wrong', headers))
                    continue
                self.requests.append(request)
                if not await self.run(self, request, writer):
                    break
                await writer.drain()
        writer.close()


def route(prefix, kind, service, **changes):
    return {
        'name': 'r-' + prefix.strip('/'),
        'host': HOST_NAME,
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 14000,
        'targetLatencyMs': 900,
        'priority': 1,
        'service': service,
        'maxAttempts': 2 if kind == 'safe' else 1,
        **changes,
    }


def configuration(version, routes, services, **limits):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
            **limits,
        },
    }


def service(name, **fields):
    return {
        'name': name,
        'healthPath': '/health',
        'maxConnections': 300,
        **fields,
    }


class Entry:
    """One process of the system, started as the deploy file says."""

    def __init__(self, number, store, folder, *, hosts, **changes):
        self.ip = hosts[number]
        self.name = f'front-cluj-a-{number + 1}'
        self.front = (self.ip, 8149)
        self.ready = (self.ip, 8141)
        self._settings = folder / f'{self.name}.json'
        self.log_path = folder / f'{self.name}.log'
        self.process = None
        self.fields = {
            'nodeName': self.name,
            'role': 'entry',
            'machineClass': 'front',
            'serves': ['front', 'control'],
            'ip': self.ip,
            'zone': 'cluj-a',
            'region': 'transilvania',
            'zones': {'cluj-a': 'transilvania'},
            'listen': {
                'front': f'{self.ip}:8149',
                'ready': f'{self.ip}:8141',
                'control': f'{self.ip}:8144',
            },
            'internalPorts': [7380, 7395],
            'seedNodes': [f'{host}:8144' for host in hosts[:3]],
            'bootstrap': True,
            'inTolerance': False,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 150,
                'fdLimit': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': ['base', 'drain', 'config', 'stream', 'engine'],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': f'127.0.0.1:{store.port}',
                'form': 'read',
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
            },
            **changes,
        }

    def start(self):
        self._settings.write_text(json.dumps(self.fields), encoding='utf-8')
        deploy = (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        command = tomllib.loads(deploy)['roles']['entry']['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BLUEBELLTHREAD_CONFIG'] = str(self._settings)
        if command[0] == 'python3':
            command[0] = sys.executable
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def memory_mb(self):
        """Return the process's own memory, without mapped files."""
        path = pathlib.Path(f'/proc/{self.process.pid}/status')
        with contextlib.suppress(OSError):
            for line in path.read_text(encoding='utf-8').splitlines():
                if line.startswith('RssAnon'):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        answer = await asyncio.wait_for(
            call(self.ready, 'GET', '/-/ready', host='ready'), 2
        )
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout_s=20):
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                if await self.is_ready():
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError('an entry is not ready')


class CannotRunError(Exception):
    """Raised when a case can't run."""


def new_id():
    return f'{random.getrandbits(64):016x}'


def make_request(
    method, path, body=b'', *, request_id, deadline_ms=14000, headers=()
):
    lines = [
        ('Host', HOST_NAME),
        ('X-Request-Attempt-Id', request_id),
        ('X-Deadline-Ms', deadline_ms),
        *headers,
    ]
    if body or method == 'POST':
        lines.append(('Content-Length', len(body)))
    return encode(f'{method} {path} HTTP/1.1', lines, body)


async def call(address, method, path, body=b'', *, host=HOST_NAME, **options):
    """Make one call on a new channel; None if the channel ends before."""
    reader, writer = await asyncio.open_connection(*address, limit=2**22)
    try:
        options.setdefault('request_id', new_id())
        writer.write(make_request(method, path, body, **options))
        await writer.drain()
        answer = await read_head(reader)
        if answer is not None:
            await read_body(reader, answer)
        return answer
    except ConnectionError:
        return None
    finally:
        writer.close()


def draw_hosts(count):
    """Return loopback addresses that other scripts are unlikely to use."""
    first, second = random.randrange(20, 240), random.randrange(1, 250)
    return [f'127.{first}.{second}.{n + 1}' for n in range(count)]


async def _run_quietly(scenario, limit_s):
    # Channels that are open at the end are cancelled, which is no error.
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda *_: None)
    return await asyncio.wait_for(scenario, limit_s)


def main(scenario, folder, *, limit_s=110):
    """Run a case; exit with 1 if the rule was broken, 0 if not, else 2.

    ``scenario`` is ``async``; it takes a `Record`, whether there is the
    disruption, a list to which it adds its entries, and a folder.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    entries = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(
                _run_quietly(
                    scenario(
                        record,
                        has_trouble,
                        entries,
                        pathlib.Path(temporary),
                    ),
                    limit_s,
                )
            )
            code = 1 if is_broken else 0
        except Exception as error:
            record.add('cannot-run', error=repr(error))
        finally:
            for entry in entries:
                entry.stop()
            if os.environ.get('KEEP_LOGS'):
                for entry in entries:
                    data = entry.log_path.read_bytes()
                    path = pathlib.Path(os.environ['KEEP_LOGS'])
                    (path / entry.log_path.name).write_bytes(data)
    verdict = {0: 'held', 1: 'broken', 2: 'could not run'}[code]
    record.add('verdict', rule=verdict)
    print(verdict)
    sys.exit(code)
