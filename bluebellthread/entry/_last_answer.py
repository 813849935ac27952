"""Ends a caller's connection with a last answer that reaches the caller."""

import h11
import trio

from bluebellthread.daemon import _clock
from bluebellthread.entry import _caller_exchange

RECEIVE_BYTES = 65536
DROP_S = 10.0
"""How long the rest of a refused body is read and dropped: as long as callers
commonly wait for an answer."""

LINGER_S = 1.0
"""How long the connection is read after its write side was shut down, so
that the caller receives the last answer: a few round trips of any caller."""

REMEDIES = {
    400: 'send one well-formed HTTP/1.1 request',
    408: 'send the request faster',
    413: 'send a shorter body',
    431: 'send fewer or shorter headers',
    501: 'send the body with a length or in chunks',
}


class LastAnswer:
    """Sends the last answer of a caller's connection.

    Parameters
    ----------
    conn : h11.Connection
        The state of the connection.
    stream : ClientStream
        The connection.
    control : ConnectionControl
        Words the refusals.
    is_of_vm : bool
        Whether the caller is another VM.
    """

    def __init__(self, *, conn, stream, control, is_of_vm):
        self._conn = conn
        self._stream = stream
        self._control = control
        self._is_of_vm = is_of_vm

    async def refuse(self, status):
        """Answer a request that can't be served, then close."""
        body = (REMEDIES[status] + '\n').encode()
        headers = [(b'content-type', b'text/plain')]
        await self._send_last(status, headers, body)

    async def refuse_unread(self, request):
        """Refuse a request that is not read whole before a stop, and close.

        The rest of it is read until the process ends, so that the caller
        receives the refusal even if it only reads after it has sent all.
        """
        control = self._control
        status, headers, body = control.admission.refuse_unread(
            request, is_of_vm=self._is_of_vm
        )
        await self._send_last(
            status,
            headers,
            body,
            linger_s=_clock.read_remaining_s(
                control.schedule.exit_deadline_ms
            ),
        )

    async def refuse_for_memory(self, request):
        """Refuse a request whose body finds no memory, and close.

        The rest of the body is read and dropped, as in `refuse_unread`.
        """
        status, headers, body = self._control.refuse_for_memory(
            request, is_of_vm=self._is_of_vm
        )
        await self._send_last(
            status,
            headers,
            body,
            linger_s=DROP_S,
        )

    async def _send_last(self, status, headers, body, *, linger_s=LINGER_S):
        """Send the last answer of the connection, unless one has begun."""
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = h11.Response(
            status_code=status,
            reason=_caller_exchange.reason_of(status),
            headers=[
                *headers,
                (b'content-length', str(len(body)).encode()),
                (b'connection', b'close'),
            ],
        )
        try:
            data = self._conn.send(response)
            data += self._conn.send(h11.Data(data=body))
            data += self._conn.send(h11.EndOfMessage())
            with trio.move_on_after(LINGER_S):
                await self._stream.send_all(data)
            await self.linger(linger_s)
        except (
            h11.LocalProtocolError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            # The caller has left, or an answer has already started; closing
            # the connection is all that remains.
            return

    async def linger(self, linger_s=LINGER_S):
        """Shut down the write side and read until the caller closes.

        Closing with unread bytes would reset the connection, and the caller
        could lose the answer.
        """
        try:
            await self._stream.send_eof()
            with trio.move_on_after(linger_s):
                while await self._stream.receive_some(RECEIVE_BYTES):
                    pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller closed first.
            return
