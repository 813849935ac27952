"""HTTP/1.1 server whose handlers may answer with any bytes."""

import functools
from urllib import parse

import attrs
import h11
import trio

RECEIVE_BYTES = 65536

FRAMING_LINES = {
    'chunks': 'transfer-encoding: chunked',
    'length': 'content-length: {length}',
    'connection': '',
}
"""Ways to mark the end of a body, each with the header line that tells it."""


@attrs.frozen(kw_only=True)
class Ending:
    """How the end of an answer's body is marked, and where the body ends.

    Parameters
    ----------
    framing : str
        A key of `FRAMING_LINES`. With ``'connection'`` the connection is
        closed, not reset, where the body ends.
    cut_bytes : int or None
        Number of bytes after which the body ends, and is framed as whole;
        None if it ends as it should.
    """

    framing: str = 'length'
    cut_bytes: int | None = None

    def cut(self, body):
        """Return the part of a body that is sent."""
        return body if self.cut_bytes is None else body[: self.cut_bytes]


class SiteRequest:
    """A call with its whole body, and the stream for the answer.

    Attributes
    ----------
    received_s : float
        When the call had been read.
    begun_s, ended_s : float or None
        When the server began to handle it, after a silence, and when it
        ended, also because its caller left; None before.
    wait_voice : callable or None
        ``async``; waited for before any bytes are sent.
    copy : bytearray or None
        Collects the bytes of the answer, if they are to be sent once more.
    """

    def __init__(self, *, head, body, stream):
        self.method = head.method.decode()
        self.target = head.target.decode()
        self.path, _, query = self.target.partition('?')
        self.query = dict(parse.parse_qsl(query))
        self.headers = {
            name.decode(): value.decode() for name, value in head.headers
        }
        self.body = body
        self.stream = stream
        self.keeps_connection = True
        self.received_s = trio.current_time()
        self.begun_s = None
        self.ended_s = None
        self.wait_voice = None
        self.copy = None
        self._framing = 'length'

    async def _send(self, data):
        if self.wait_voice is not None:
            await self.wait_voice()
        if self.copy is not None:
            self.copy += data
        await self.stream.send_all(data)

    async def answer(self, status, body=b'', headers=(), *, ending=None):
        """Send an answer; complete and with its length by default."""
        if ending is None:
            await self._send(make_answer(status, body, headers))
            return
        body = ending.cut(body)
        await self.begin(status, headers, ending=ending, length=len(body))
        await self.send_piece(body)
        await self.end()

    async def begin(self, status, headers=(), *, ending, length=0):
        """Send status and headers of an answer that is sent in pieces.

        Parameters
        ----------
        length : int
            Length of the body in bytes, for the framing ``'length'``.
        """
        self._framing = ending.framing
        line = FRAMING_LINES[ending.framing].format(length=length)
        lines = [f'HTTP/1.1 {status} X', *([line] if line else [])]
        lines += [f'{name}: {value}' for name, value in headers]
        await self._send(_join(lines))

    async def send_piece(self, data):
        """Send a part of the body, which is not empty if it is chunked."""
        if self._framing == 'chunks':
            await self.send_chunk(data)
        else:
            await self._send(data)

    async def end(self):
        """End the body as its framing marks it."""
        if self._framing == 'chunks':
            await self.send_chunk(b'')
        elif self._framing == 'connection':
            self.keeps_connection = False
            await self.stream.send_eof()

    async def begin_chunks(self, status, headers=()):
        """Send status and headers of an answer in chunked encoding."""
        await self.begin(status, headers, ending=Ending(framing='chunks'))

    async def send_chunk(self, data):
        """Send one chunk; an empty one ends the answer."""
        size = f'{len(data):x}\r\n'.encode()
        await self._send(size + data + b'\r\n')

    async def reset(self):
        """Close the connection at once, even in the middle of an answer."""
        self.keeps_connection = False
        await trio.aclose_forcefully(self.stream)


def make_answer(status, body=b'', headers=()):
    """Return the bytes of a complete answer with a content length."""
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return _join(lines) + body


def _join(lines):
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def serve(nursery, handler, *, host='127.0.0.1'):
    """Serve calls with a handler on a free port; return the port."""
    listeners = await nursery.start(
        functools.partial(
            trio.serve_tcp,
            functools.partial(serve_connection, handler),
            0,
            host=host,
        )
    )
    return listeners[0].socket.getsockname()[1]


async def serve_connection(handler, stream):
    conn = h11.Connection(h11.SERVER)
    try:
        while True:
            request = await _read_request(conn, stream)
            if request is None:
                return
            await _run_until_disconnect(handler, request, conn)
            if not request.keeps_connection:
                return
            # h11 does not see the answer, which is written as raw bytes, so
            # a new parser reads the next call.
            rest = conn.trailing_data[0]
            conn = h11.Connection(h11.SERVER)
            if rest:
                conn.receive_data(rest)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The client closed the connection.
        return
    finally:
        await trio.aclose_forcefully(stream)


async def _run_until_disconnect(handler, request, conn):
    """Run a handler; cancel it if the client closes the connection."""
    raised = None

    async def watch(scope):
        try:
            data = await request.stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b''
        if data:
            conn.receive_data(data)
        else:
            request.keeps_connection = False
            scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch, nursery.cancel_scope)
        try:
            await handler(request)
        except Exception as error:
            raised = error
        nursery.cancel_scope.cancel()
    request.ended_s = trio.current_time()
    if raised is not None:
        raise raised


async def _read_request(conn, stream):
    head = None
    body = bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some(RECEIVE_BYTES)
            if not data:
                return None
            conn.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return SiteRequest(head=head, body=bytes(body), stream=stream)
        else:
            return None
