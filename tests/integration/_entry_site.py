"""Runs an entry process in the test's event loop, with stand-in servers."""

import contextlib

import attrs
import trio

from bluebellthread.entry import EntryService
from bluebellthread.entry import EntrySettings
from bluebellthread import platform
from standin import site

HOST = 'calls.example'
TEST_TIMEOUT_S = 20.0
"""A test that takes longer than this is treated as hanging."""


def make_settings(store, **changes):
    """Return settings that let the operating system choose all ports."""
    fields = {
        'vm': 'vm1',
        'data_centre': 'cluj-a',
        'region': 'north',
        'host': '127.0.0.1',
        'regions': {'cluj-a': 'north'},
        'caller_port': 0,
        'ready_port': 0,
        'peer_port': 0,
        'metrics_port': 0,
        'seed_hosts': (),
        'is_first_start': False,
        'platform_host': '127.0.0.1',
        'platform_port': store.port,
        'stop_grace_ms': 8000,
        'repeat_ratio': 0.2,
        'repeat_window_ms': 10000,
        'repeat_slack': 56,
        **changes,
    }
    return EntrySettings(**fields)


def make_route(prefix, kind, service, **changes):
    return {
        'name': f'r{prefix}',
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 8000,
        'targetLatencyMs': 2000,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'resumable': kind == 'stream',
        'gapAimMs': 300,
        **changes,
    }


def make_configuration(version=1, routes=None, **limits):
    return {
        'version': version,
        'routes': routes
        or [
            make_route('/read/', 'safe', 'plain'),
            make_route('/order/', 'unsafe', 'plain', maxAttempts=1),
            make_route('/ask/', 'stream', 'model'),
            make_route('/once/', 'stream', 'model', resumable=False),
        ],
        'services': [
            {'name': 'plain', 'healthPath': '/health', 'maxConnections': 99},
            {
                'name': 'model',
                'healthPath': '/health',
                'maxConnections': 99,
                'engine': {'slots': 48, 'kvTokens': 35962, 'kvHoldS': 0.5},
            },
        ],
        'limits': limits,
    }


@attrs.define
class Site:
    """Holds the stand-ins and the entry process of one test."""

    store: site.Store
    entry: EntryService
    servers: dict
    nursery: trio.Nursery

    async def wait_ready(self):
        """Wait until the entry takes requests and knows all servers."""
        await wait_until(
            lambda: (
                self.entry.state.is_ready
                and all(
                    self.entry.state.directory.find(name)
                    for name in self.servers
                )
            )
        )

    def list_server(self, name, service, **changes):
        """Write a server's entry to the platform's store."""
        entry = self.servers[name].entry(service, **changes)
        self.store.put(f'servers/{name}', entry)

    async def call(self, method, path, body=b'', **options):
        """Make one call on a new connection and return its `Answer`."""
        async with await self.connect() as caller:
            return await caller.call(method, path, body, **options)

    async def connect(self):
        stream = await trio.open_tcp_stream(
            '127.0.0.1', self.entry.ports['caller_port']
        )
        return Caller(stream)


def make_request(
    method, path, body=b'', *, request_id, deadline_ms, headers=()
):
    """Return the bytes of a request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Attempt-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
        'X-Token-Count: 1000,200',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Caller:
    """A caller's connection whose bytes are parsed without an HTTP library."""

    def __init__(self, stream):
        self.stream = stream
        self._buffer = bytearray()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *details):
        await trio.aclose_forcefully(self.stream)

    async def call(self, method, path, body=b'', **options):
        await self.send(method, path, body, **options)
        return await self.read_answer()

    async def send(
        self,
        method,
        path,
        body=b'',
        *,
        request_id='id-1',
        deadline_ms=8000,
        headers=(),
    ):
        await self.stream.send_all(
            make_request(
                method,
                path,
                body,
                request_id=request_id,
                deadline_ms=deadline_ms,
                headers=headers,
            )
        )

    async def has_more(self):
        """Wait for bytes or the end; return whether there are bytes."""
        return bool(self._buffer) or await self._fill()

    async def read_answer(self):
        """Read and return an `Answer`, even if the connection cuts it off."""
        status, headers = await self.read_head()
        body = bytearray()
        whole = True
        if headers.get('transfer-encoding') == 'chunked':
            while True:
                chunk = await self.read_chunk()
                if chunk is None:
                    whole = False
                    break
                if not chunk:
                    break
                body += chunk
        else:
            length = int(headers.get('content-length', 0))
            data = await self._read_exactly(length)
            whole = data is not None
            body += data or b''
        return Answer(status, headers, bytes(body), whole)

    async def read_head(self):
        lines = (await self._read_until(b'\r\n\r\n')).decode().split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        return int(lines[0].split()[1]), headers

    async def read_chunk(self):
        """Return the next chunk; empty at the end, None if it is truncated."""
        size = await self._read_until(b'\r\n')
        if size is None:
            return None
        data = await self._read_exactly(int(size, 16) + 2)
        return data[:-2] if data is not None else None

    async def _read_until(self, end):
        while end not in self._buffer:
            if not await self._fill():
                return None
        data, _, rest = bytes(self._buffer).partition(end)
        self._buffer = bytearray(rest)
        return data

    async def _read_exactly(self, count):
        while len(self._buffer) < count:
            if not await self._fill():
                return None
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data

    async def _fill(self):
        try:
            data = await self.stream.receive_some(65536)
        except trio.BrokenResourceError:
            return False
        self._buffer += data
        return bool(data)


@attrs.frozen
class Answer:
    """Holds an answer as a caller received it.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Header values by name in lower case.
    body : bytes
        The bytes that arrived.
    whole : bool
        Whether the complete body arrived.
    """

    status: int
    headers: dict
    body: bytes
    whole: bool


async def wait_until(condition):
    """Wait until ``condition()`` is true."""
    while not condition():
        await trio.lowlevel.checkpoint()
        await trio.sleep(0.005)


@contextlib.asynccontextmanager
async def running_site(*, plain=('s1', 's2'), engines=(), **settings):
    """Run an entry process with stand-in servers; yield the `Site`.

    Parameters
    ----------
    plain : tuple of str
        Names of the servers of the plain service.
    engines : tuple of str
        Names of the engines; those that begin with p run prefills, the
        others decode.
    **settings
        Fields of `EntrySettings` that differ from the defaults.
    """
    store = site.Store()
    servers = {name: site.PlainServer(name=name) for name in plain}
    for name in engines:
        stage = 'prefill' if name.startswith('p') else 'decode'
        servers[name] = site.Engine(name=name, stage=stage)
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            await store.start(nursery)
            for server in servers.values():
                await server.start(nursery)
            entry = EntryService(
                settings=make_settings(store, **settings),
                dialect=platform.make_dialect(),
                platform_client=platform.StoreClient(
                    host='127.0.0.1', port=store.port
                ),
            )
            entry_site = Site(store, entry, servers, nursery)
            store.put('op/config', make_configuration())
            for name in plain:
                entry_site.list_server(name, 'plain')
            for name in engines:
                entry_site.list_server(name, 'model')
            await nursery.start(entry.run)
            await entry_site.wait_ready()
            yield entry_site
            nursery.cancel_scope.cancel()
