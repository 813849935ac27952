"""One request of a caller, and the ways to answer it."""

import http
import socket
import struct

import h11
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock

CHUNKS_HTTP_VERSION = b'1.1'
"""First version of HTTP whose answers may come in chunks."""


STREAM_STALL_S = 2.0
"""Time after which the caller of a stream that takes nothing is cut off:
servers abort answers that stay unread for some seconds. Callers themselves
end a stream after 2 s without data at the earliest."""

EVENT_COPIES = 2
"""How many times the bytes of a streamed answer count: the buffer in which an
event grows is copied as it grows, and again when the event is whole."""

ROOM_WAIT_S = 1.5
"""How long an answer waits for memory. Servers abort answers that stay unread
for some seconds."""

ROOM_POLL_S = 0.02

JOINED_BODY_BYTES = 65536
"""Longest body that is sent in one call with the head of its answer."""


class CallerGoneError(Exception):
    """Raised when the caller has closed its connection."""


class AnswerMemory:
    """Holds the bodies of answers in the share of a caller's connection.

    Parameters
    ----------
    share : ClientShare
        The share.
    """

    def __init__(self, share):
        self._share = share
        self._awaited_bytes = 0

    async def wait_for_room(self, size_bytes):
        """Hold memory for the next body, before any of it is read.

        Its server is left unread meanwhile, for `ROOM_WAIT_S` at most: other
        clients may read their answers in that time, and none is cut off.
        """
        self.release(self._awaited_bytes)
        self._awaited_bytes = 0
        with trio.move_on_after(ROOM_WAIT_S):
            while not self._add(size_bytes, may_cut=False):
                await trio.sleep(ROOM_POLL_S)
            self._awaited_bytes += size_bytes

    def reserve(self, size_bytes, held_bytes=0):
        """Return whether a body may grow to a size; hold it if so."""
        awaited_bytes, self._awaited_bytes = self._awaited_bytes, 0
        return self._add(size_bytes - held_bytes - awaited_bytes)

    def _add(self, more_bytes, *, may_cut=True):
        try:
            self._share.add(
                core.KIND_ANSWER,
                more_bytes,
                now_ms=_clock.read_clock_ms(),
                may_cut=may_cut,
            )
        except core.NoMemoryLeftError:
            return False
        return True

    def release(self, held_bytes):
        """Hold a body no longer."""
        self._add(-held_bytes)


class CallerExchange:
    """One request of a caller and the methods that answer it.

    These raise `CallerGoneError` if the connection is closed.

    Attributes
    ----------
    request : Request
        The whole request.
    caller_gone : bool
        Whether the caller has closed the connection; the exchange is then
        being cancelled.
    is_aborted : bool
        Whether the answer was broken off by `abort`.
    status : int or None
        The status of the answer; None until the answer has started.
    is_complete : bool
        Whether the whole answer has been sent.
    memory : AnswerMemory
        Holds answers that are read whole until the request has ended.
    """

    def __init__(self, *, request, conn, parser, stream, control, share):
        self.request = request
        self.caller_gone = False
        self.is_aborted = False
        self.status = None
        self.is_complete = False
        self._conn = conn
        self._parser = parser
        self._stream = stream
        self._control = control
        self._share = share
        # Two attempts may send at a time: a comment of the one, and the first
        # event of the one that follows it.
        self._sending = trio.Lock()
        self.memory = AnswerMemory(share)

    @property
    def is_started(self):
        """Whether any byte of the answer may have been sent."""
        return self.status is not None

    async def respond(self, status, headers, body):
        """Send a complete answer with its length."""
        sized = [*headers, (b'content-length', str(len(body)).encode())]
        pieces = [await self._begin(status, sized)]
        if body and self.request.method != b'HEAD':
            pieces += self._conn.send_with_data_passthrough(
                h11.Data(data=body)
            )
        pieces.append(self._conn.send(h11.EndOfMessage()))
        await self._send(*pieces)
        self.is_complete = True

    async def start(self, status, headers):
        """Send the head of a streamed answer."""
        chunked = [*headers, (b'transfer-encoding', b'chunked')]
        data = await self._begin(status, chunked)
        if self._conn.their_http_version < CHUNKS_HTTP_VERSION:
            # Only the end of the connection will mark the end of the answer,
            # so any other end, that of this process too, must be a reset.
            self._reset_on_close(True)
        await self._send(data)

    async def send(self, data):
        """Send a piece of a streamed answer.

        A caller is cut off that takes none of it for `STREAM_STALL_S`, or if
        there is no memory for it.
        """
        self.hold_events(len(data))
        with trio.move_on_after(STREAM_STALL_S) as scope:
            await self._send(
                *self._conn.send_with_data_passthrough(h11.Data(data=data))
            )
            self._share.release(core.KIND_EVENTS)
        if scope.cancelled_caught:
            self._cut()

    def hold_events(self, size_bytes):
        """Hold bytes of a streamed answer; cut the caller off if they can't.

        Raises
        ------
        CallerGoneError
            If there is no memory for them.
        """
        try:
            self._share.hold(
                core.KIND_EVENTS,
                EVENT_COPIES * size_bytes,
                now_ms=_clock.read_clock_ms(),
            )
        except core.NoMemoryLeftError:
            self._cut()

    def _cut(self):
        self._share.cut()
        self.caller_gone = True
        raise CallerGoneError

    async def finish(self):
        """Send the last chunk, which marks a streamed answer as complete."""
        await self._send(self._conn.send(h11.EndOfMessage()))
        self.is_complete = True
        if self._conn.their_http_version < CHUNKS_HTTP_VERSION:
            self._reset_on_close(False)

    async def abort(self):
        """Close the connection without the last chunk of the answer.

        The caller then sees that the answer is incomplete.
        """
        self.is_aborted = True
        await trio.aclose_forcefully(self._stream)

    async def _send(self, *pieces):
        if sum(map(len, pieces)) <= JOINED_BODY_BYTES:
            pieces = [b''.join(pieces)]
        try:
            async with self._sending:
                await self._stream.send_all(*pieces)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as error:
            self.caller_gone = not self.is_aborted
            raise CallerGoneError from error

    def _reset_on_close(self, resets):
        self._stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', resets, 0)
        )

    async def _begin(self, status, headers):
        # An answer that is cancelled before its first byte has not started,
        # so that another one can be sent instead.
        await trio.lowlevel.checkpoint_if_cancelled()
        self.status = status
        # Requests that were read ahead are answered before the connection is
        # closed.
        if self._control.is_stopping and not self._parser.ahead_bytes:
            headers = [*headers, (b'connection', b'close')]
        response = h11.Response(
            status_code=status, reason=reason_of(status), headers=headers
        )
        return self._conn.send(response)


def reason_of(status):
    """Return the reason phrase of a status; empty bytes if unknown."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b''
