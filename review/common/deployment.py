"""A small deployment on loopback addresses for the review's scripts.

It holds a stand-in of the platform's store, stand-ins of workers, the entry
processes of the project, started with the command of the deploy file, and a
client. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'calls.example'
ZONE = 'cluj-a'
REGION = 'transilvania'

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
"""Bounds of the installation papusi-ro in the users' pages."""


def has_trouble():
    """Return whether the run includes the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def read_unix_ms():
    """Return the time of day in Unix milliseconds."""
    return int(time.time() * 1000)


class Record:
    """Writes what was sent, answered and run, with times in seconds."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text('', encoding='utf-8')
        self._begin_s = time.monotonic()

    def note(self, text):
        """Write one line."""
        at_s = time.monotonic() - self._begin_s
        with self._path.open('a', encoding='utf-8') as file:
            file.write(f'{at_s:8.3f} {text}\n')


async def read_message(reader):
    """Return the first line, the headers and the body of a message.

    None stands for the end of the connection before a message.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length') or 0)
    body = await reader.readexactly(length) if length else b''
    return lines[0], headers, body


def make_answer(status, headers=(), body=b''):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class HttpServer:
    """Accepts connections and hands each request to `handle`."""

    def __init__(self, host, port=0):
        self.host = host
        self.port = port
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def address(self):
        """Host and port as the platform's documents write them."""
        return f'{self.host}:{self.port}'

    async def start(self):
        """Listen on the address; choose a free port the first time."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """Reset all connections and listen no more."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            sock = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
                )
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (message := await read_message(reader)) is not None:
                await self.handle(message, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The server crashes.
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def handle(self, message, reader, writer):
        """Answer one request."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store in its reading form."""

    def __init__(self, host):
        super().__init__(host)
        self._revision = 10
        self._items = {}
        self._history = []
        self._changed = asyncio.Event()

    def put(self, key, fields):
        """Write an item; `fields` is a JSON object or raw bytes."""
        raw = fields
        if not isinstance(raw, bytes):
            raw = json.dumps(fields).encode()
        self._revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'revision': self._revision,
            'createRev': self._revision,
            'lease': 0,
        }
        self._items[key] = item
        self._note(item)

    def remove(self, key):
        """Remove an item."""
        self._revision += 1
        del self._items[key]
        self._note({'key': key, 'revision': self._revision, 'removed': True})

    def _note(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, message, reader, writer):
        """Answer a call to the store."""
        line, _, _ = message
        path, _, query = line.split()[1].partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        status, answer = 404, {}
        if path == '/-/kv-key' and fields['key'] in self._items:
            status, answer = 200, dict(self._items[fields['key']])
        elif path == '/-/kv-range':
            after = fields.get('after', '')
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(fields['prefix']) and key > after
            ]
            status, answer = 200, {'items': items, 'hasMore': False}
        elif path == '/-/kv-watch':
            status, answer = 200, {'events': await self._watch(fields)}
        answer['storeRevision'] = self._revision
        body = json.dumps(answer).encode()
        writer.write(make_answer(status, (('Store-Era', 1),), body))
        await writer.drain()

    async def _watch(self, fields):
        end_s = time.monotonic() + int(fields['waitMs']) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event['revision'] > int(fields['after'])
                and event['key'].startswith(fields['prefix'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return events
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Worker(HttpServer):
    """A sound worker of a plain service."""

    def __init__(self, name, service, host, record, *, work_s=0.02, slots=6):
        super().__init__(host)
        self.name = name
        self.service = service
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.born_ms = read_unix_ms()
        self.running_count = 0
        self.run_ids = []
        self._numbers = itertools.count(1)

    def entry(self, **changes):
        """Return the worker's entry in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': ZONE,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': next(self._numbers),
            'born': self.born_ms,
            **changes,
        }

    async def handle(self, message, reader, writer):
        """Run a request, or reject it as the pages tell."""
        line, headers, body = message
        request_id = headers.get('x-request-attempt-id', '')
        echo = [('X-Request-Attempt-Id', request_id)]
        if headers.get('x-expect-instance', self.name) != self.name:
            writer.write(make_answer(421, [*echo, ('X-Not-Executed', 1)]))
            await writer.drain()
            return
        self.record.note(f'{self.name} runs {request_id} {line}')
        self.run_ids.append(request_id)
        self.running_count += 1
        try:
            await self.run(request_id, echo, body, writer)
        finally:
            self.running_count -= 1

    async def run(self, request_id, echo, body, writer):
        """Work on a request and answer it."""
        await asyncio.sleep(self.work_s)
        headers = [
            *echo,
            ('X-Server-Seal', f'seal.{self.name}'),
            ('X-Instance-Load', f'{self.running_count},0,{self.slots}'),
        ]
        text = f'{request_id} done by {self.name}'.encode()
        writer.write(make_answer(200, headers, text))
        await writer.drain()


class Vm:
    """One entry VM: the project's process, which the platform restarts."""

    def __init__(self, name, host, fields, folder, record):
        self.name = name
        self.host = host
        self.record = record
        self._folder = folder
        self.settings_path = folder / f'{name}.json'
        self.settings_path.write_text(json.dumps(fields), encoding='utf-8')
        self.front_port = int(fields['listen']['front'].rpartition(':')[2])
        self.ready_port = int(fields['listen']['ready'].rpartition(':')[2])
        self.process = None
        self.own_ends = []
        self.is_stopping = False
        self._started_s = 0.0
        self._task = None

    async def start(self):
        """Start the process and go on starting it whenever it ends."""
        await self._spawn()
        self._task = asyncio.create_task(self._restart())

    async def _spawn(self):
        self._started_s = time.monotonic()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'BLUEBELLTHREAD_CONFIG': str(self.settings_path),
        }
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def _restart(self):
        while True:
            code = await self.process.wait()
            if self.is_stopping:
                return
            self.own_ends.append(code)
            self.record.note(f'{self.name}: its process ended with {code}')
            await asyncio.sleep(0.5)
            await self._spawn()

    @property
    def was_in_touch(self):
        """Whether the process of now has run for `contactMs` or longer."""
        age_s = time.monotonic() - self._started_s
        return age_s >= BOUNDS['contactMs'] / 1000

    def read_log(self):
        """Return the text of the process's log."""
        return (self._folder / f'{self.name}.log').read_text(errors='replace')

    async def is_ready(self):
        """Return whether the readiness probe is answered with 200."""
        try:
            answer = await asyncio.wait_for(
                call(self.host, self.ready_port, 'GET', '/-/ready', 'probe'),
                1,
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    async def stop(self):
        """Kill the process, if it still runs."""
        self.is_stopping = True
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        if self._task is not None:
            self._task.cancel()


class Answer:
    """What a client got: the status is 0 if there was no whole answer."""

    def __init__(self, status=0, headers=None, body=b'', error=''):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error


class Client:
    """A client's channel, kept for many requests."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, host, port):
        """Open a channel."""
        return cls(*await asyncio.open_connection(host, port, limit=2**22))

    async def call(
        self,
        method,
        path,
        request_id,
        *,
        body=b'',
        deadline_ms=5000,
        headers=(),
    ):
        """Send a request and return its `Answer`."""
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Request-Attempt-Id: {request_id}',
            f'X-Deadline-Ms: {deadline_ms}',
            *headers,
        ]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        data = ('\r\n'.join(lines) + '\r\n\r\n').encode() + body
        try:
            self._writer.write(data)
            await self._writer.drain()
            message = await read_message(self._reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            return Answer(error=repr(error))
        if message is None:
            return Answer(error='the channel was closed')
        line, headers, body = message
        return Answer(int(line.split()[1]), headers, body)

    def close(self):
        """Close the channel."""
        self._writer.close()


async def call(host, port, method, path, request_id, **options):
    """Make one request on a new channel; return its `Answer`."""
    client = await Client.open(host, port)
    try:
        return await client.call(method, path, request_id, **options)
    finally:
        client.close()


def make_route(prefix, kind, service, **changes):
    """Return a route as the operator writes it."""
    return {
        'name': f'r{prefix.strip("/")}',
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 8000,
        'targetLatencyMs': 200,
        'priority': 1,
        'service': service,
        'maxAttempts': 1 if kind == 'unsafe' else 2,
        **changes,
    }


class Deployment:
    """The store, the workers and the entry VMs of one run."""

    def __init__(self, record, *, vm_count=2, memory_mb=150, base=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        # An address block of its own keeps fixed ports free of other runs.
        second = base or random.randrange(20, 220)
        self.prefix = f'127.{second}'
        self.store = Store(f'{self.prefix}.200.7')
        self.vms = []
        self.workers = []
        self._vm_count = vm_count
        self._memory_mb = memory_mb

    def make_worker(self, name, service, make=Worker, **options):
        """Make a worker at an address of its own; return it."""
        host = f'{self.prefix}.64.{len(self.workers) + 1}'
        worker = make(name, service, host, self.record, **options)
        self.workers.append(worker)
        return worker

    def write_entry(self, worker, **changes):
        """Write a worker's entry into the store."""
        self.store.put(f'servers/{worker.name}', worker.entry(**changes))

    def write_configuration(self, version, routes, services, **limits):
        """Write the operator's configuration into the store."""
        fields = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 10000,
                **limits,
            },
        }
        self.store.put('op/config', fields)

    async def start_workers(self):
        """Start all workers and write their entries."""
        for worker in self.workers:
            await worker.start()
            self.write_entry(worker)

    async def start_vms(self):
        """Start all entry VMs and wait until they are ready."""
        hosts = [
            f'{self.prefix}.1.{number}'
            for number in range(1, self._vm_count + 1)
        ]
        ports = find_free_ports(hosts[0], 4)
        for number, host in enumerate(hosts, 1):
            fields = self._make_settings(number, host, hosts, ports)
            vm = Vm(fields['nodeName'], host, fields, self.folder, self.record)
            self.vms.append(vm)
            await vm.start()
        await self.wait_ready()

    async def wait_ready(self, timeout_s=20):
        """Wait until all VMs are ready."""
        end_s = time.monotonic() + timeout_s
        while not all([await vm.is_ready() for vm in self.vms]):
            if time.monotonic() > end_s:
                raise RuntimeError('the VMs are not ready')
            await asyncio.sleep(0.1)

    def _make_settings(self, number, host, hosts, ports):
        front, ready, control, internal = ports
        return {
            'nodeName': f'front-{ZONE}-{number}',
            'role': 'entry',
            'machineClass': 'front',
            'serves': ['front', 'control'],
            'ip': host,
            'zone': ZONE,
            'region': REGION,
            'zones': {ZONE: REGION},
            'listen': {
                'front': f'{host}:{front}',
                'ready': f'{host}:{ready}',
                'control': f'{host}:{control}',
            },
            'internalPorts': [internal, internal + 9],
            'seedNodes': [f'{other}:{control}' for other in hosts[:3]],
            'bootstrap': False,
            'inTolerance': False,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': self._memory_mb,
                'fdLimit': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': ['base', 'drain', 'config', 'retry', 'platform'],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': self.store.address,
                'form': 'read',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
        }

    async def close(self):
        """End all processes and remove the temporary folder."""
        for vm in self.vms:
            await vm.stop()
        for server in (*self.workers, self.store):
            server.crash()
        shutil.rmtree(self.folder, ignore_errors=True)


def find_free_ports(host, count):
    """Return some ports that are free, with ten more after the last one."""
    while True:
        first = random.randrange(20000, 55000)
        ports = [first + 20 * number for number in range(count)]
        if all(_is_free(host, port) for port in ports):
            return ports


def _is_free(host, port):
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def run_case(main, folder, *, limit_s=110):
    """Run a case and exit with its result.

    Parameters
    ----------
    main : callable
        ``async``; takes the `Record`; returns whether the rule held.
    folder : str
        The folder of the case.
    limit_s : float
        Longest duration.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    code = 2
    try:
        held = asyncio.run(_run_limited(main, record, limit_s))
        record.note('the rule held' if held else 'the rule was broken')
        code = 0 if held else 1
    except (Exception, asyncio.CancelledError) as error:
        record.note(f'the case could not run: {error!r}')
    sys.exit(code)


async def _run_limited(main, record, limit_s):
    # A case that is stopped still ends the processes that it has started.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    return await asyncio.wait_for(main(record), limit_s)
