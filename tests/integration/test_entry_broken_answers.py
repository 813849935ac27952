"""Answers of servers that must not reach a caller as if they were whole."""

import contextlib
import functools
import json
import socket
import struct
import unittest

import trio

from bluebellthread.entry import _server_connection
from bluebellthread.entry import _server_exchange
from standin import site as standins
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

SEAL = 'x-server-seal: seal\r\n'
BAD_STATUSES = ('000', '099', '600', '999', '1000', 'word')
UPLOAD = 4_000_000 * b'u'
UPLOAD_CALLS = 12
"""The error of a reset reaches either the writer or the reader, by chance; the
reader then sees a clean end."""

INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'
CUT_ANSWERS = {
    'short length': 'content-length: 100\r\n\r\npart',
    'cut chunk': 'transfer-encoding: chunked\r\n\r\n64\r\npart',
    'no last chunk': 'transfer-encoding: chunked\r\n\r\n4\r\npart\r\n',
}
STREAM_TYPE = 'content-type: text/event-stream\r\n'
HANDLE = json.dumps({'handle': 'p1-1', 'tokens': 1, 'version': 1})


class RawServer:
    """Answers with given bytes, at once or when it has read the request.

    Parameters
    ----------
    lines : str
        Status line, headers and body; the id of the call is put in.
    is_early : bool
        Whether it answers before it reads the body of the request.
    resets : bool
        Whether it resets the connection then, instead of ending it.
    """

    def __init__(self, lines, *, is_early=False, resets=False):
        self.lines = lines
        self.is_early = is_early
        self.resets = resets
        self.port = 0

    async def serve(self, stream):
        data = b''
        async with stream:
            while b'\r\n\r\n' not in data:
                piece = await stream.receive_some(65536)
                if not piece:
                    return
                data += piece
            head, _, body = data.partition(b'\r\n\r\n')
            fields = dict(
                line.lower().split(': ', 1)
                for line in head.decode().split('\r\n')[1:]
            )
            length = int(fields.get('content-length', 0))
            while not self.is_early and len(body) < length:
                body += await stream.receive_some(65536)
            echo = f'x-request-attempt-id: {fields["x-request-attempt-id"]}'
            lines = self.lines.replace('ECHO', echo)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(lines.encode())
                if self.resets:
                    stream.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack('ii', 1, 0),
                    )
                    return
                await stream.send_eof()
                # Unread bytes would turn the end into a reset.
                while await stream.receive_some(65536):
                    pass


@contextlib.asynccontextmanager
async def running(server, service='plain', **changes):
    """Run an entry with one raw server; yield the site."""
    engines = ('p1', 'd1') if service == 'model' else ()
    async with sites.running_site(plain=(), engines=engines) as site:
        (listener,) = await site.nursery.start(
            functools.partial(
                trio.serve_tcp, server.serve, 0, host='127.0.0.1'
            )
        )
        port = listener.socket.getsockname()[1]
        fake = standins.PlainServer(name='raw', port=port, slots=48)
        site.store.put('servers/raw', fake.entry(service, **changes))
        stage = changes.get('stage')
        if stage:
            name = 'p1' if stage == 'prefill' else 'd1'
            site.store.put(
                f'servers/{name}',
                site.servers[name].entry(service, state='draining'),
            )
            await sites.wait_until(
                lambda: all(
                    found.name != name
                    for found in site.entry.state.directory.usable(service)
                )
            )
        await sites.wait_until(
            lambda: site.entry.state.directory.find('raw') is not None
        )
        yield site


def answer_with(status, rest='content-length: 2\r\n\r\nok', extra=''):
    return f'HTTP/1.1 {status} X\r\nECHO\r\n{SEAL}{extra}{rest}'


class TestBrokenAnswers(unittest.TestCase):
    async def call(
        self, site, path, *, port='caller_port', body=b'a', is_chunked=False
    ):
        stream = await trio.open_tcp_stream(
            '127.0.0.1', site.entry.ports[port]
        )
        async with sites.Caller(stream) as caller:
            if not is_chunked:
                return await caller.call('POST', path, body, headers=HOP[port])
            head = sites.make_request(
                'POST', path, request_id='id-1', deadline_ms=8000
            ).replace(b'Content-Length: 0', b'Transfer-Encoding: chunked')
            await caller.stream.send_all(
                head + b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
            )
            return await caller.read_answer()

    async def check(self, case, server, path, *, service='plain', **options):
        """Check that an answer is not passed on, or is seen to be cut."""
        changes = {
            name: options.pop(name) for name in ('stage',) if name in options
        }
        with self.subTest(case):
            async with running(server, service, **changes) as site:
                for _ in range(options.pop('calls', 1)):
                    answer = await self.call(site, path, **options)
                    seen = (answer.status, answer.whole, answer.body[:40])
                    self.assertFalse(
                        answer.whole and answer.status not in (502, 503, 504),
                        seen,
                    )

    # Guards against a status that no caller can interpret.
    @run
    async def test_status_outside_the_known_range_is_not_passed_on(self):
        for status in BAD_STATUSES:
            server = RawServer(answer_with(status))
            for path in ('/order/x', '/read/x'):
                await self.check(f'plain {path} {status}', server, path)
            await self.check(
                f'forwarded {status}', server, '/order/x', port='relay_port'
            )
            after = RawServer(INTERIM + answer_with(status))
            await self.check(f'after 103 {status}', after, '/order/x')

    @run
    async def test_status_of_engines_is_not_passed_on(self):
        for status in BAD_STATUSES:
            server = RawServer(answer_with(status, extra=STREAM_TYPE))
            await self.check(
                f'stream {status}',
                server,
                '/once/x',
                service='model',
                stage='decode',
            )
            rest = f'content-length: {len(HANDLE)}\r\n\r\n{HANDLE}'
            await self.check(
                f'prefill {status}',
                RawServer(answer_with(status, rest)),
                '/once/x',
                service='model',
                stage='prefill',
            )

    # Guards against a body that is cut off and passed on as whole.
    @run
    async def test_cut_bodies_do_not_look_complete(self):
        for name, rest in CUT_ANSWERS.items():
            for resets in (False, True):
                case = f'{name}, {"reset" if resets else "end"}'
                for interim in ('', INTERIM):
                    server = RawServer(
                        interim + answer_with(200, rest), resets=resets
                    )
                    await self.check(f'plain {case}', server, '/order/x')
                    await self.check(
                        f'forwarded {case}',
                        server,
                        '/order/x',
                        port='relay_port',
                    )
                server = RawServer(
                    answer_with(200, rest, STREAM_TYPE), resets=resets
                )
                await self.check(
                    f'stream {case}',
                    server,
                    '/once/x',
                    service='model',
                    stage='decode',
                )

    # Guards against the reset of a server that the writer of a long body
    # notices, so that the reader takes it for the end of the answer.
    @run
    async def test_early_answers_without_length_do_not_look_complete(self):
        for resets in (True, False):
            ending = 'reset' if resets else 'end'
            for interim in ('', INTERIM):
                server = RawServer(
                    interim + answer_with(200, '\r\npart'),
                    is_early=True,
                    resets=resets,
                )
                for port, is_chunked in (
                    ('caller_port', False),
                    ('caller_port', True),
                    ('relay_port', False),
                ):
                    await self.check(
                        f'early {ending} {port} {interim} {is_chunked}',
                        server,
                        '/order/x',
                        body=UPLOAD,
                        port=port,
                        is_chunked=is_chunked,
                        calls=UPLOAD_CALLS,
                    )

    # Guards against answers of other VMs that are believed more than those of
    # servers.
    @run
    async def test_answers_of_vms_are_checked_as_well(self):
        for lines, is_early in (
            *((answer_with(status), False) for status in BAD_STATUSES),
            *((answer_with(200, cut), False) for cut in CUT_ANSWERS.values()),
            *(UPLOAD_CALLS * [(answer_with(200, '\r\npart'), True)]),
        ):
            server = RawServer(lines, is_early=is_early, resets=is_early)
            with self.subTest(lines), trio.fail_after(sites.TEST_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    serve = functools.partial(
                        trio.serve_tcp, server.serve, 0, host='127.0.0.1'
                    )
                    (listener,) = await nursery.start(serve)
                    with self.assertRaises(_server_exchange.AnswerBrokenError):
                        await self.call_vm(listener.socket.getsockname())
                    nursery.cancel_scope.cancel()

    async def call_vm(self, address):
        """Send a long request to a VM; return the body of its answer."""
        connections = _server_connection.ServerConnections()
        connection = await connections.open(address, 1)
        exchange = _server_exchange.ServerExchange(
            connections=connections,
            connection=connection,
            request_id='id-1',
            request_id_header=b'x-request-attempt-id',
            is_to_vm=True,
        )
        headers = [
            (b'Host', sites.HOST.encode()),
            (b'x-request-attempt-id', b'id-1'),
            (b'content-length', str(len(UPLOAD)).encode()),
        ]
        try:
            await exchange.open(b'POST', b'/order/x', headers, UPLOAD)
            return await exchange.read_all()
        finally:
            await exchange.close()


HOP = {
    'caller_port': (),
    'relay_port': (
        'bluebellthread-age-ms: 0',
        'bluebellthread-config-version: 1',
        'bluebellthread-runs: 0',
    ),
}
