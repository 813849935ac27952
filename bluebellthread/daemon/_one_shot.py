"""An HTTP/1.1 call that is sent at most once, on its own connection.

Several servers may be tried until one accepts a connection; the call is
written to that one only. Connections are not reused, and calls are neither
retried nor redirected. The clock is compared with the deadline immediately
before each write, and the kernel soon drops unacknowledged bytes, so that a
call starts to run no later than shortly after its deadline, or not at all.
"""

import socket
import struct

import attrs
import httpcore
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _tasks

CONNECT_SILENCE_S = 2.0
"""Time without a connection after which one to another server is tried."""

SEND_TIMEOUT_MS = 5000
"""How long the kernel keeps bytes unacknowledged by the server's kernel.

It is shorter than the margin between the deadline and the time from which a
read of the check path shows whether the call has run.
"""

ANSWER_TIMEOUT_S = 600.0
"""Longest wait for the whole answer."""

ANSWER_MAX_BYTES = 1024 * 1024
"""Largest answer body that is read."""

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` that makes a close drop unsent bytes."""


class DeadlinePassedError(core.BluebellthreadError):
    """A write was tried after the deadline; none of its bytes were sent."""


@attrs.frozen(kw_only=True)
class NothingSent:
    """No byte of the call was sent.

    Parameters
    ----------
    kind : str
        The reason: ``'expired'``, ``'unreachable'``, ``'bad-request'``,
        ``'stopping'`` or ``'no-backend'``.
    """

    kind: str


@attrs.frozen(kw_only=True)
class MaybeSent:
    """Bytes of the call may have been sent, but no complete answer arrived.

    Parameters
    ----------
    late_ms : int
        Longest time after the deadline at which a write returned; 0 if all
        writes were in time.
    """

    late_ms: int = 0


@attrs.frozen(kw_only=True)
class Answered:
    """The server answered; if the body is too large, only the status is kept.

    Parameters
    ----------
    answer : ServerAnswer
        The answer; without headers and body if it is too large.
    whole : bool
        Whether the body was read whole.
    late_ms : int
        Longest time after the deadline at which a write returned; 0 if all
        writes were in time.
    """

    answer: core.ServerAnswer
    whole: bool = True
    late_ms: int = 0


class DeadlineStream(httpcore.AsyncNetworkStream):
    """A network stream that sends nothing after a deadline.

    Parameters
    ----------
    stream : httpcore.AsyncNetworkStream
        The connection to the backend server.
    deadline_ms : int
        When writes begin to fail, on this VM's boot-time clock.
    """

    def __init__(self, stream, deadline_ms):
        self._stream = stream
        self._deadline_ms = deadline_ms
        self.started = False
        self.late_ms = 0
        self._received = False
        self._closed = False

    async def write(self, buffer, timeout=None):
        """Write bytes, or raise `DeadlinePassedError` if it is too late."""
        if _clock.read_clock_ms() >= self._deadline_ms:
            raise DeadlinePassedError(
                'the deadline passed before the write; nothing more is sent'
            )
        self.started = True
        # Only the system call runs between the clock reading and the first
        # byte. A pause of the process here shows up in late_ms afterwards.
        await self._stream.write(buffer, timeout)
        late_ms = _clock.read_clock_ms() - self._deadline_ms
        self.late_ms = max(self.late_ms, late_ms)

    async def read(self, max_bytes, timeout=None):
        """Read bytes and remember for `aclose` whether any have arrived."""
        data = await self._stream.read(max_bytes, timeout)
        self._received = self._received or bool(data)
        return data

    async def aclose(self):
        """Close the connection.

        If nothing has been received, the kernel also drops the bytes that
        it has not sent yet.
        """
        if not self._received and not self._closed:
            raw = self._stream.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._closed = True
        await self._stream.aclose()

    def get_extra_info(self, info):
        """Return the wrapped stream's value for an information key."""
        return self._stream.get_extra_info(info)


async def send_once(
    servers, *, method, path, headers, body, deadline_ms, cancel_scope
):
    """Make one call; return `NothingSent`, `MaybeSent` or `Answered`.

    Parameters
    ----------
    servers : iterable of BackendServer
        The backend servers that may be called. The first one is, unless it
        accepts no connection, or not for a while, and another one does.
    method, path, headers, body : str, str, list of (str, str), bytes
        The request; the body may be empty.
    deadline_ms : int
        Time on this VM's boot-time clock from which no byte is sent.
    cancel_scope : trio.CancelScope
        Cancelling it gives up the call.
    """
    stream = None
    with cancel_scope:
        try:
            server, stream = await _connect(servers, deadline_ms)
            request = _make_request(server, method, path, headers, body)
            with trio.fail_after(ANSWER_TIMEOUT_S):
                return await _exchange(stream, request)
        except DeadlinePassedError:
            return _describe_failure(stream, 'expired')
        except (
            core.AnswerCutOffError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
            OSError,
        ):
            return _describe_failure(stream, 'unreachable')
        except (ValueError, TypeError):
            # The method, the path or a header has text that HTTP/1.1 can't
            # carry.
            return _describe_failure(stream, 'bad-request')
        finally:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await stream.aclose()
    return _describe_failure(stream, 'stopping')


async def _connect(servers, deadline_ms):
    """Return the server that accepts a connection first, and the stream.

    Nothing is sent on the connections, so several may be tried at a time. A
    server that is silent is not given up before the deadline.
    """
    connected = []
    errors = []

    async def connect(server, ended):
        try:
            stream = await httpcore.TrioBackend().connect_tcp(
                server.host,
                server.port,
                timeout=_clock.read_remaining_s(deadline_ms),
                socket_options=SOCKET_OPTIONS,
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            errors.append(error)
            ended.set()
            return
        if connected:
            await stream.aclose()
            return
        connected.append((server, DeadlineStream(stream, deadline_ms)))
        nursery.cancel_scope.cancel()

    is_cancelled = True
    try:
        async with trio.open_nursery() as nursery:
            for server in servers:
                ended = trio.Event()
                _tasks.start_joined(nursery, connect, server, ended)
                with trio.move_on_after(CONNECT_SILENCE_S):
                    await ended.wait()
        is_cancelled = False
    finally:
        if is_cancelled:
            for _, stream in connected:
                await stream.aclose()
    if connected:
        return connected[0]
    if isinstance(errors[-1], httpcore.ConnectTimeout):
        raise DeadlinePassedError(
            'the deadline passed before a connection was accepted'
        ) from errors[-1]
    raise errors[-1]


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
    body = core.AnswerBody.of_answer(
        response.status,
        response.headers,
        method=request.method,
        size_max_bytes=ANSWER_MAX_BYTES,
    )
    content = b''
    whole = True
    try:
        async for chunk in response.aiter_stream():
            body.add(chunk)
        content = body.finish()
    except core.AnswerTooLongError:
        whole = False
    headers = tuple(
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in response.headers
    )
    answer = core.ServerAnswer(
        status=response.status,
        headers=headers if whole else (),
        body=content,
    )
    return Answered(answer=answer, whole=whole, late_ms=stream.late_ms)


def _describe_failure(stream, kind):
    if stream is None or not stream.started:
        return NothingSent(kind=kind)
    return MaybeSent(late_ms=stream.late_ms)
