"""The stream of a client's connection, which notes where the client stalls."""

import socket

import trio

from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages

SEND_BLOCK_BYTES = 65536
"""Size of the blocks in which long answers are sent: after each, the client
counts as making progress."""

REFUSAL_S = 0.1
"""How long a refused connection waits for a request: two round trips."""

REFUSALS_MAX = 32
"""Connections that are refused at a time, a part of the reserved descriptors.
Further ones are closed at once."""

REFUSAL_STATUS_LINE = b'HTTP/1.1 503 Service Unavailable\r\n'
REFUSAL = (
    b'content-type: application/json\r\n'
    b'retry-after: 1\r\n'
    b'content-length: 27\r\n'
    b'connection: close\r\n\r\n'
    b'{"kind": "no-descriptors"}\n'
)


class ClientStream:
    """Sends to a client and receives from it.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    share : ClientShare
        What the connection holds; knows since when the client has stalled.
    """

    def __init__(self, stream, share):
        self._stream = stream
        self._share = share
        self.socket = stream.socket

    async def receive_some(self, count):
        """Return the next bytes of the client, which is waited for."""
        self._share.stalled_since_ms = _clock.read_clock_ms()
        try:
            return await self._stream.receive_some(count)
        finally:
            self._share.stalled_since_ms = None

    async def receive_ahead(self, count):
        """Return further bytes of the client, which owes none."""
        return await self._stream.receive_some(count)

    async def send_all(self, *pieces):
        """Send pieces of bytes in blocks, without a copy of long ones."""
        try:
            for piece in pieces:
                view = memoryview(piece)
                for begin in range(0, len(view), SEND_BLOCK_BYTES):
                    self._share.stalled_since_ms = _clock.read_clock_ms()
                    await self._stream.send_all(
                        view[begin : begin + SEND_BLOCK_BYTES]
                    )
        finally:
            self._share.stalled_since_ms = None

    async def send_eof(self):
        await self._stream.send_eof()

    async def aclose(self):
        await self._stream.aclose()

    def setsockopt(self, *options):
        """Set a socket option."""
        self._stream.setsockopt(*options)


async def refuse(stream, *, is_of_vm=False):
    """Refuse a connection for which there are no descriptors, and close it.

    No request of it has been read, so none has run.
    """
    answer = REFUSAL_STATUS_LINE + REFUSAL
    if is_of_vm:
        note = _http_messages.NOT_TAKEN_HEADER + b': busy\r\n'
        answer = REFUSAL_STATUS_LINE + note + REFUSAL
    try:
        with trio.move_on_after(REFUSAL_S):
            # Closing with unread bytes would reset the connection, and the
            # client could lose the answer.
            await stream.receive_some(SEND_BLOCK_BYTES)
            await stream.send_all(answer)
        stream.socket.shutdown(socket.SHUT_WR)
    except (OSError, trio.BrokenResourceError):
        # The client has closed the connection.
        pass
    finally:
        stream.socket.close()
