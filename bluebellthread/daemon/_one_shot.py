"""One HTTP/1.1 call on a connection of its own, sent once at most.

There is no reuse of connections, no retry and no redirect. The clock is
compared with the deadline immediately before each write, and the kernel
gives unacknowledged bytes up soon, so that a call either starts to run
about its deadline at the latest or not at all.
"""

import socket
import struct

import attrs
import httpcore
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock

CONNECT_TIMEOUT_S = 2.0
"""Wait for a connection to the backend server."""

SEND_TIMEOUT_MS = 5000
"""How long the kernel holds bytes that the backend server's does not
acknowledge. Shorter than the margin after which a read settles a call."""

ANSWER_TIMEOUT_S = 600.0
"""Longest wait for the whole answer."""

ANSWER_MAX_BYTES = 1024 * 1024
"""Longest body of an answer that is read."""

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` by which unsent bytes are dropped."""


class DeadlinePassedError(core.BluebellthreadError):
    """The deadline of a write has passed; nothing was written."""


@attrs.frozen(kw_only=True)
class NothingSent:
    """No byte of the call went out."""

    kind: str


@attrs.frozen(kw_only=True)
class MaybeSent:
    """Bytes went out, and no whole answer came."""

    late_ms: int = 0


@attrs.frozen(kw_only=True)
class Answered:
    """The whole answer, or its status alone if it is too large."""

    answer: core.ServerAnswer
    whole: bool = True
    late_ms: int = 0


class DeadlineStream(httpcore.AsyncNetworkStream):
    """A stream that writes nothing from a deadline on.

    Parameters
    ----------
    stream : httpcore.AsyncNetworkStream
        The connection.
    deadline_ms : int
        On this VM's clock.
    """

    def __init__(self, stream, deadline_ms):
        self._stream = stream
        self._deadline_ms = deadline_ms
        self.started = False
        self.late_ms = 0
        self._heard = False
        self._closed = False

    async def write(self, buffer, timeout=None):
        """Write bytes, or raise `DeadlinePassedError`."""
        if _clock.read_clock_ms() >= self._deadline_ms:
            raise DeadlinePassedError('the deadline has passed; do not send')
        self.started = True
        # Nothing but the system call stands between the clock and the
        # first byte; a pause right here is noticed afterwards.
        await self._stream.write(buffer, timeout)
        late_ms = _clock.read_clock_ms() - self._deadline_ms
        self.late_ms = max(self.late_ms, late_ms)

    async def read(self, max_bytes, timeout=None):
        """Read bytes."""
        data = await self._stream.read(max_bytes, timeout)
        self._heard = self._heard or bool(data)
        return data

    async def aclose(self):
        """Close the connection.

        Where nothing has been heard, the kernel also drops what it has
        not sent yet.
        """
        if not self._heard and not self._closed:
            raw = self._stream.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._closed = True
        await self._stream.aclose()

    def get_extra_info(self, info):
        """Return what the connection says of itself."""
        return self._stream.get_extra_info(info)


async def send_once(
    server, *, method, path, headers, body, deadline_ms, cancel_scope
):
    """Make one call and return what became of it.

    Parameters
    ----------
    server : BackendServer
        Where to.
    method, path, headers, body : str, str, list of (str, str), bytes
        The call.
    deadline_ms : int
        No byte goes out from then on.
    cancel_scope : trio.CancelScope
        Cancelled to give the call up.
    """
    stream = None
    with cancel_scope:
        try:
            request = _make_request(server, method, path, headers, body)
            stream = await _connect(server, deadline_ms)
            with trio.fail_after(ANSWER_TIMEOUT_S):
                return await _exchange(stream, request)
        except DeadlinePassedError:
            return _lost(stream, 'expired')
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
            OSError,
        ):
            return _lost(stream, 'unreachable')
        except (ValueError, TypeError):
            # Texts that HTTP/1.1 cannot carry.
            return _lost(stream, 'bad-request')
        finally:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await stream.aclose()
    return _lost(stream, 'stopping')


async def _connect(server, deadline_ms):
    stream = await httpcore.TrioBackend().connect_tcp(
        server.host,
        server.port,
        timeout=CONNECT_TIMEOUT_S,
        socket_options=SOCKET_OPTIONS,
    )
    return DeadlineStream(stream, deadline_ms)


def _make_request(server, method, path, headers, body):
    length = [('content-length', str(len(body)))] if body else []
    fixed = [
        ('host', f'{server.host}:{server.port}'),
        ('connection', 'close'),
    ]
    return httpcore.Request(
        method,
        f'http://{server.host}:{server.port}{path}',
        headers=[
            (name.encode(), value.encode('latin-1'))
            for name, value in [*fixed, *headers, *length]
        ],
        content=body or None,
    )


async def _exchange(stream, request):
    connection = httpcore.AsyncHTTP11Connection(
        origin=request.url.origin, stream=stream
    )
    response = await connection.handle_async_request(request)
    body = bytearray()
    whole = True
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > ANSWER_MAX_BYTES:
            whole = False
            break
    headers = tuple(
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in response.headers
    )
    answer = core.ServerAnswer(
        status=response.status,
        headers=headers if whole else (),
        body=bytes(body) if whole else b'',
    )
    return Answered(answer=answer, whole=whole, late_ms=stream.late_ms)


def _lost(stream, kind):
    if stream is None or not stream.started:
        return NothingSent(kind=kind)
    return MaybeSent(late_ms=stream.late_ms)
