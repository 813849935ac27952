"""Callers that send many requests and do not read the answers.

Each test starts the real program with lowered limits. The crowds and the
bounds were set on the code of e1318b1, before memory for clients had a bound
in sum; the comment at each test tells what it measured there.
"""

import contextlib
import json
import pathlib
import socket
import tempfile
import unittest

import attrs
import trio

from standin import site as standins
from tests import _process_memory
from tests.integration import _entry_program
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

MB_BYTES = 1024 * 1024
MEMORY_MB = 76
"""Memory in the settings of the process, and the bound on its peak: twice the
36 to 38 MB of the process at rest."""

FD_LIMIT = 320
MANY_FDS = 4100
RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of flooding callers, so that answers wait in the process and
not in the kernel."""

SETTLE_CALLS = 20
"""Ordinary calls that follow a flood, one after the other: the process has
then handled what the flood has sent."""

FLOOD_TIMEOUT_S = 60.0
LARGE_BYTES = 3 * MB_BYTES
LONG_EVENT = b'data: ' + 200_000 * b'e' + b'\n\n'


def list_routes():
    return [
        sites.make_route('/read/', 'safe', 'plain'),
        sites.make_route('/large/', 'safe', 'large'),
        sites.make_route('/long/', 'unsafe', 'plain', timeoutMs=60_000),
        sites.make_route('/held/', 'unsafe', 'held', maxAttempts=1),
        sites.make_route('/once/', 'stream', 'model', resumable=False),
    ]


async def stream_long_events(request):
    """Stream long events until the caller leaves."""
    headers = [
        ('x-request-attempt-id', request.headers['x-request-attempt-id']),
        ('x-server-seal', 'seal'),
        ('content-type', 'text/event-stream'),
    ]
    await request.begin_chunks(200, headers)
    while True:
        await request.send_chunk(LONG_EVENT)


@attrs.define
class Flood:
    """A process under a flood, and the crowd's connections."""

    pid: int
    caller_port: int
    servers: dict
    nursery: trio.Nursery
    streams: list = attrs.field(factory=list)
    fd_max: int = 0

    async def connect(self, count=1):
        """Open connections with a small receive buffer; return them."""
        opened = []
        for _ in range(count):
            sock = trio.socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            await sock.connect(('127.0.0.1', self.caller_port))
            opened.append(trio.SocketStream(sock))
        self.streams += opened
        return opened

    def send(self, stream, data):
        """Send data in the background, as far as it is read."""

        async def send():
            with contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ):
                await stream.send_all(data)

        self.nursery.start_soon(send)

    async def wait_answered(self):
        """Wait until each connection has bytes of an answer, or is closed."""
        for stream in self.streams:
            await trio.lowlevel.wait_readable(stream.socket)

    async def call(self, number):
        """Make an ordinary call; return its status, 0 if it has no answer."""
        self.note_fds()
        # The helper fails on the head of an answer that does not come.
        with contextlib.suppress(
            OSError, trio.BrokenResourceError, AttributeError
        ):
            stream = await trio.open_tcp_stream('127.0.0.1', self.caller_port)
            async with sites.Caller(stream) as caller:
                answer = await caller.call(
                    'GET', '/read/x', request_id=f'ordinary-{number}'
                )
                return answer.status
        return 0

    def note_fds(self):
        """Count the descriptors that the process has open now."""
        files = pathlib.Path(f'/proc/{self.pid}/fd')
        self.fd_max = max(self.fd_max, len(list(files.iterdir())))

    async def close(self):
        for stream in self.streams:
            await trio.aclose_forcefully(stream)


@contextlib.asynccontextmanager
async def flooding(test):
    """Run the program; at the end, check its memory and an ordinary call."""
    store = standins.Store()
    servers = {
        'plain': standins.PlainServer(name='s1'),
        'large': standins.PlainServer(name='l1', body=LARGE_BYTES * b'l'),
        'held': standins.PlainServer(name='h1', run_pause_s=FLOOD_TIMEOUT_S),
        'p1': standins.Engine(name='p1', stage='prefill'),
        'd1': standins.Engine(name='d1', stage='decode'),
    }
    configuration = sites.make_configuration(routes=list_routes())
    engine = {'slots': 400, 'kvTokens': 1_000_000, 'kvHoldS': 0.5}
    configuration['services'][1]['engine'] = engine
    configuration['services'] += [
        {**configuration['services'][0], 'name': name}
        for name in ('large', 'held')
    ]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'local.json'
        with trio.fail_after(FLOOD_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await store.start(nursery)
                store.put('op/config', configuration)
                for name, server in servers.items():
                    await server.start(nursery)
                    is_engine = name in ('p1', 'd1')
                    service = 'model' if is_engine else name
                    entry = server.entry(service, slots=400)
                    store.put(f'servers/{server.name}', entry)
                _entry_program.write_settings(path, store)
                fields = json.loads(path.read_text(encoding='utf-8'))
                fields['limits'] = {
                    'memoryMb': MEMORY_MB,
                    'fdLimit': test.fd_limit,
                }
                path.write_text(json.dumps(fields), encoding='utf-8')
                process = await nursery.start(
                    _entry_program.start_program, path
                )
                lines = _entry_program.LogLines(process.stdout)
                started = await lines.find(7001)
                nursery.start_soon(lines.drain)
                await _entry_program.wait_ready(started['ready_port'])
                flood = Flood(
                    process.pid, started['caller_port'], servers, nursery
                )
                while await flood.call('first') != 200:
                    pass
                yield flood
                await check_end(test, flood, process)
                nursery.cancel_scope.cancel()


async def check_end(test, flood, process):
    """Check what must hold after each flood."""
    statuses = [await flood.call(number) for number in range(SETTLE_CALLS)]
    peak_bytes = _process_memory.read_peak_bytes(flood.pid)
    seen = (
        f'peak {peak_bytes / MB_BYTES:.1f} MB, {flood.fd_max} descriptors, '
        f'statuses {statuses}'
    )
    print(f'{test.id().rpartition(".")[2]}: {seen}')
    test.assertIsNone(process.returncode, seen)
    test.assertLess(peak_bytes, MEMORY_MB * MB_BYTES, seen)
    test.assertLess(flood.fd_max, test.fd_limit, seen)
    await flood.close()
    while await flood.call('last') != 200:
        await trio.sleep(0.02)


def make_calls(name, count, method='GET', body=b''):
    """Return the bytes of pipelined requests."""
    return b''.join(
        sites.make_request(
            method,
            f'/{name}/x',
            body,
            request_id=f'{name}-{number}',
            deadline_ms=8000,
        )
        for number in range(count)
    )


class TestFloods(unittest.TestCase):
    fd_limit = FD_LIMIT

    # Guards against answers that wait whole for callers that read nothing:
    # 187.8 MB.
    @run
    async def test_large_answers_are_left_unread(self):
        async with flooding(self) as flood:
            for stream in await flood.connect(20):
                flood.send(stream, make_calls('large', 8))
            await flood.wait_answered()

    # Guards against requests that wait unlimited in sum behind others:
    # 172.3 MB and 518 descriptors.
    @run
    async def test_many_small_requests_are_read_ahead(self):
        async with flooding(self) as flood:
            calls = make_calls('held', 2000, 'POST')
            for stream in await flood.connect(250):
                flood.send(stream, calls)

    # Guards against heads that grow on many connections; passed, 52.2 MB.
    @run
    async def test_heads_never_end(self):
        async with flooding(self) as flood:
            head = make_calls('read', 1)[:-2] + b'X-Long: ' + 16_000 * b'h'
            for stream in await flood.connect(250):
                flood.send(stream, head)

    # Guards against long events that wait for callers that read nothing:
    # 98.6 MB.
    @run
    async def test_streams_are_never_read(self):
        async with flooding(self) as flood:
            flood.servers['d1'].script = 999 * [stream_long_events]
            for stream in await flood.connect(110):
                flood.send(stream, make_calls('once', 4, 'POST'))
            await flood.wait_answered()

    # Guards against a process that runs out of descriptors: 658.
    @run
    async def test_connections_outnumber_the_descriptors(self):
        async with flooding(self) as flood:
            await flood.connect(2 * FD_LIMIT)

    # Guards against bodies that are copied until their server answers:
    # 112.1 MB.
    @run
    async def test_uploads_wait_for_their_server(self):
        async with flooding(self) as flood:
            body = 1_000_000 * b'u'
            for stream in await flood.connect(60):
                flood.send(stream, make_calls('held', 2, 'POST', body))


class TestFloodsWithManyDescriptors(TestFloods):
    # Guards against memory that is bounded only by the number of connections.
    fd_limit = MANY_FDS
