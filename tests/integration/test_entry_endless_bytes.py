"""Servers that send bytes without end, in a head or in a body."""

import contextlib
import functools
import pathlib
import tempfile
import unittest

import attrs
import trio

from standin import site as standins
from standin.site import _backend
from tests import _process_memory
from tests.integration import _entry_program
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

MEMORY_MAX_BYTES = 60 * 1024 * 1024
"""Growth of the process that the test allows: the memory of a VM less that of
an idle entry process (the users' smallest VMs have 150 MB). `bounded_memory`
counts the stand-ins too, which run in the same process; `bounded_peak` counts
the entry's process alone."""

SAMPLE_PERIOD_S = 0.02
CALL_COUNT = 12
FRAMINGS = ('connection', 'chunks', 'length')
BODY_PIECE = 64000 * b' '
ALL_EVENTS = _backend.make_events(range(1, 5))
HEADS = {
    'endless head line': b'HTTP/1.1 200 OK\r\nx-long: ',
    'endless header lines': b'HTTP/1.1 200 OK\r\n',
    'no head': b'',
    'interim answers': b'',
}
PIECES = {
    'endless head line': 8000 * b'x',
    'endless header lines': 200 * b'x-more: 1\r\n',
    'no head': 4000 * b'x\n',
    'interim answers': 100 * b'HTTP/1.1 100 Continue\r\n\r\n',
}


@contextlib.asynccontextmanager
async def bounded_memory(test):
    """Check that the memory of this process stays bounded meanwhile."""
    samples = [_process_memory.read_resident_bytes()]

    async def sample():
        while True:
            await trio.sleep(SAMPLE_PERIOD_S)
            samples.append(_process_memory.read_resident_bytes())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sample)
        yield
        nursery.cancel_scope.cancel()
    test.assertLess(max(samples) - samples[0], MEMORY_MAX_BYTES)


@contextlib.contextmanager
def bounded_peak(test, pid):
    """Check that the peak of a process's memory stays bounded meanwhile."""
    first_bytes = _process_memory.read_resident_bytes(pid)
    yield
    growth_bytes = _process_memory.read_peak_bytes(pid) - first_bytes
    test.assertLess(growth_bytes, MEMORY_MAX_BYTES)


@attrs.define
class ProgramSite:
    """Holds the entry's process, which is not the test's, and its server."""

    server: standins.PlainServer
    pid: int
    caller_port: int

    async def call(self, method, path, body=b'', **options):
        """Make one call on a new connection and return its `Answer`."""
        stream = await trio.open_tcp_stream('127.0.0.1', self.caller_port)
        async with sites.Caller(stream) as caller:
            return await caller.call(method, path, body, **options)


@contextlib.asynccontextmanager
async def running_program():
    """Run the real program with a plain server; yield the `ProgramSite`."""
    store = standins.Store()
    server = standins.PlainServer(name='s1')
    with tempfile.TemporaryDirectory() as folder:
        settings_path = pathlib.Path(folder) / 'local.json'
        with trio.fail_after(sites.TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await store.start(nursery)
                await server.start(nursery)
                store.put('op/config', sites.make_configuration())
                store.put('servers/s1', server.entry('plain'))
                _entry_program.write_settings(settings_path, store)
                process = await nursery.start(
                    _entry_program.start_program, settings_path
                )
                lines = _entry_program.LogLines(process.stdout)
                started = await lines.find(7001)
                nursery.start_soon(lines.drain)
                await _entry_program.wait_ready(started['ready_port'])
                yield ProgramSite(server, process.pid, started['caller_port'])
                nursery.cancel_scope.cancel()


async def send_without_end(head, piece, request):
    """Send a head, then pieces until the caller closes the connection."""
    request.keeps_connection = False
    await request.stream.send_all(head)
    while True:
        await request.stream.send_all(piece)


def endless_head(kind):
    return functools.partial(send_without_end, HEADS[kind], PIECES[kind])


def running_engines():
    return sites.running_site(plain=(), engines=('p1', 'd1'))


def endless_body(server, framing):
    """Return a script that answers with a head and a body without end."""

    async def send(request):
        server.runs.append(request)
        request.keeps_connection = False
        await request.begin(
            200,
            server.answer_headers(request),
            ending=standins.Ending(framing=framing),
            length=10**12,
        )
        while True:
            await request.send_piece(BODY_PIECE)

    return send


def endless_store_body(framing):
    """Return a script of the store that answers with an endless body."""

    async def send(request):
        request.keeps_connection = False
        await request.begin(
            200,
            [('Store-Era', 1)],
            ending=standins.Ending(framing=framing),
        )
        while True:
            await request.send_piece(BODY_PIECE)

    return send


class TestPlainServers(unittest.TestCase):
    async def call_many(self, site, method, path):
        """Make calls at the same time; return their statuses."""
        statuses = []

        async def call(number):
            answer = await site.call(
                method, path, request_id=f'i{number}', deadline_ms=8000
            )
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(CALL_COUNT):
                nursery.start_soon(call, number)
        return statuses

    # Guards against a process that keeps what a server sends without end.
    @run
    async def test_idempotent_calls_are_answered_by_another_server(self):
        async with sites.running_site(plain=('s1', 's2')) as site:
            faulty = site.servers['s1']
            scripts = [endless_head(kind) for kind in HEADS]
            scripts += [endless_body(faulty, kind) for kind in FRAMINGS]
            async with bounded_memory(self):
                for script in scripts:
                    faulty.script = CALL_COUNT * [script]
                    statuses = await self.call_many(site, 'GET', '/read/x')
                    self.assertEqual(CALL_COUNT * [200], statuses)

    # Guards against long answers that take several times the memory that they
    # share, since each was moved as it grew and left gaps.
    @run
    async def test_many_endless_bodies_share_a_bounded_memory(self):
        async with running_program() as site:
            server = site.server
            with bounded_peak(self, site.pid):
                for framing in FRAMINGS:
                    server.script = CALL_COUNT * [
                        endless_body(server, framing)
                    ]
                    statuses = await self.call_many(site, 'POST', '/order/x')
                    self.assertEqual(CALL_COUNT * [502], statuses)
                    # Calls of other callers are not harmed.
                    answer = await site.call('POST', '/order/x')
                    self.assertEqual(200, answer.status)

    @run
    async def test_at_most_once_call_ends_without_a_refusal(self):
        async with sites.running_site(plain=('s1',)) as site:
            server = site.servers['s1']
            for kind in HEADS:
                server.script = [endless_head(kind)]
                answer = await site.call(
                    'POST', '/order/x', request_id=kind, deadline_ms=1000
                )
                self.assertIn(answer.status, (502, 504), kind)


class TestEngines(unittest.TestCase):
    @run
    async def test_stream_ends_at_an_endless_event_and_others_go_on(self):
        async with running_engines() as site:
            engine = site.servers['d1']
            async with bounded_memory(self):
                for framing in FRAMINGS:
                    engine.script = [endless_body(engine, framing)]
                    answer = await site.call(
                        'POST', '/once/x', request_id=framing
                    )
                    self.assertEqual(502, answer.status)
                    self.assertTrue(answer.whole)
                    self.assertNotIn(b'data:', answer.body)
                    answer = await site.call(
                        'POST', '/once/x', request_id=f'{framing}-2'
                    )
                    self.assertEqual(ALL_EVENTS, answer.body)

    @run
    async def test_prefill_without_end_is_left(self):
        async with running_engines() as site:
            prefill = site.servers['p1']
            async with bounded_memory(self):
                for script in (
                    endless_head('interim answers'),
                    endless_body(prefill, 'connection'),
                ):
                    prefill.script = [script]
                    answer = await site.call(
                        'POST', '/ask/x', request_id=str(script)
                    )
                    self.assertEqual(ALL_EVENTS, answer.body)


class TestStore(unittest.TestCase):
    # Guards against a watch that reads an endless answer and never returns
    # to the store.
    @run
    async def test_list_of_servers_is_read_after_endless_answers(self):
        async with sites.running_site(plain=('s1',)) as site:
            async with bounded_memory(self):
                site.store.script = [
                    endless_head('endless header lines'),
                    endless_head('interim answers'),
                    endless_store_body('chunks'),
                    endless_store_body('connection'),
                ]
                site.list_server('s1', 'plain', slots=7)
                directory = site.entry.state.directory
                await sites.wait_until(
                    lambda: (
                        directory.find('s1').slot_count == 7
                        and not site.store.script
                    )
                )
