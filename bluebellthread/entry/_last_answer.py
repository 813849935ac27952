"""Ends a caller's connection with a last answer that reaches the caller."""

import attrs
import h11
import trio

from bluebellthread.daemon import _clock
from bluebellthread.entry import _caller_exchange

RECEIVE_BYTES = 65536
DROP_S = 10.0
"""How long a caller may go on to send after the last answer; what it sends is
dropped. Callers commonly wait as long for an answer."""

LINGER_S = 1.0
"""How long the connection is read after its write side was shut down and the
caller has stopped to send, so that the caller receives the last answer: a few
round trips of any caller."""

REMEDIES = {
    400: 'send one well-formed HTTP/1.1 request',
    408: 'send the request faster',
    413: 'send a shorter body',
    431: 'send fewer or shorter headers',
    501: 'send the body with a length or in chunks',
}


@attrs.frozen(kw_only=True)
class Refusal:
    """The last answer of a connection, without the request that it answers.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Headers but for those that frame the answer.
    body : bytes
        The body.
    silent_s, drop_s : float
        How long the caller may then send nothing, and how long it may go on
        to send.
    """

    status: int
    headers: list
    body: bytes
    silent_s: float = LINGER_S
    drop_s: float = DROP_S


class LastAnswer:
    """Words and sends the last answer of a caller's connection.

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

    def refuse(self, status, request):
        """Return the refusal of a request for its form, or its lateness."""
        remedy = REMEDIES[status]
        self._control.note_unacceptable(request, status=status, remedy=remedy)
        return Refusal(
            status=status,
            headers=[(b'content-type', b'text/plain')],
            body=(remedy + '\n').encode(),
        )

    def refuse_unread(self, request):
        """Return the refusal of a request that is not read before a stop.

        The rest of it is read until the process ends, so that the caller
        receives the refusal even if it only reads after it has sent all.
        """
        status, headers, body = self._control.admission.refuse_unread(
            request, is_of_vm=self._is_of_vm
        )
        remaining_s = _clock.read_remaining_s(
            self._control.schedule.exit_deadline_ms
        )
        return Refusal(
            status=status,
            headers=headers,
            body=body,
            silent_s=remaining_s,
            drop_s=remaining_s,
        )

    def refuse_for_memory(self, request):
        """Return the refusal of a request that finds no memory."""
        status, headers, body = self._control.refuse_for_memory(
            request, is_of_vm=self._is_of_vm
        )
        return Refusal(status=status, headers=headers, body=body)

    async def send(self, refusal):
        """Send the last answer of the connection, unless one has begun."""
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = h11.Response(
            status_code=refusal.status,
            reason=_caller_exchange.reason_of(refusal.status),
            headers=[
                *refusal.headers,
                (b'content-length', str(len(refusal.body)).encode()),
                (b'connection', b'close'),
            ],
        )
        try:
            data = self._conn.send(response)
            data += self._conn.send(h11.Data(data=refusal.body))
            data += self._conn.send(h11.EndOfMessage())
            with trio.move_on_after(LINGER_S):
                await self._stream.send_all(data)
            await self.linger(silent_s=refusal.silent_s, drop_s=refusal.drop_s)
        except (
            h11.LocalProtocolError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            # The caller has left, or an answer has already started; closing
            # the connection is all that remains.
            return

    async def linger(self, *, silent_s=LINGER_S, drop_s=LINGER_S):
        """Shut down the write side and read until the caller closes.

        Closing with unread bytes would reset the connection, and the caller
        could lose the answer.

        Parameters
        ----------
        silent_s : float
            How long the caller may send nothing.
        drop_s : float
            How long it may send; what it sends is dropped.
        """
        try:
            await self._stream.send_eof()
            with trio.move_on_after(drop_s):
                is_open = True
                while is_open:
                    is_open = False
                    with trio.move_on_after(silent_s):
                        is_open = bool(
                            await self._stream.receive_some(RECEIVE_BYTES)
                        )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller closed first.
            return
