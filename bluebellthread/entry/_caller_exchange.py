"""One request of a caller, and the ways to answer it."""

import http
import socket
import struct

import h11
import trio

CHUNKS_HTTP_VERSION = b'1.1'
"""First version of HTTP whose answers may come in chunks."""


class CallerGoneError(Exception):
    """Raised when the caller has closed its connection."""


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
    """

    def __init__(self, *, request, conn, stream, control):
        self.request = request
        self.caller_gone = False
        self.is_aborted = False
        self.status = None
        self.is_complete = False
        self._conn = conn
        self._stream = stream
        self._control = control

    @property
    def is_started(self):
        """Whether any byte of the answer may have been sent."""
        return self.status is not None

    async def respond(self, status, headers, body):
        """Send a complete answer with its length."""
        sized = [*headers, (b'content-length', str(len(body)).encode())]
        data = await self._begin(status, sized)
        if body and self.request.method != b'HEAD':
            data += self._conn.send(h11.Data(data=body))
        data += self._conn.send(h11.EndOfMessage())
        await self._send(data)
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
        """Send a piece of a streamed answer."""
        await self._send(self._conn.send(h11.Data(data=data)))

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

    async def _send(self, data):
        try:
            await self._stream.send_all(data)
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
        if self._control.is_stopping and not self._conn.trailing_data[0]:
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
