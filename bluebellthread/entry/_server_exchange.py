"""Exchanges a request and its answer with a backend server.

h11 parses and frames the messages. Whether a request may be retried depends
on whether a byte of it was written and on what came back on the same
connection, which httpcore's pool does not report.
"""

import functools

import h11
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.entry import _concurrency
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _sockets

RECEIVE_BYTES = 65536

JOINED_BODY_BYTES = 65536
"""Longest body that is sent in one call with the head of its request."""

IDLE_MARGIN_MS = 1000
"""A connection is not used in this last part of its announced idle timeout,
since servers announce the timeout in whole seconds."""

ANSWER_MAX_BYTES = 16 * 1024 * 1024
"""Longest answer that is buffered: four times the longest request."""

INTERIM_ANSWERS_MAX = 16
"""Most interim (1xx) answers that may precede an answer; a server has few
kinds of them to send."""

STATUS_MAX = 599
"""Highest status of an answer (RFC 9110, 15)."""

STALE_ANSWERS_MAX = 16
"""Most late answers to earlier requests that are skipped on a connection,
which served one request at a time."""


class AnswerBrokenError(Exception):
    """Raised when a connection fails before the whole answer is read.

    Parameters
    ----------
    reason : str
        What went wrong, for the log.
    sent : bool
        Whether any byte of the request may have reached the server.
    is_without_memory : bool
        Whether the answer was not read for lack of memory here, which its
        server is not to blame for.
    """

    def __init__(self, reason, *, sent=True, is_without_memory=False):
        self.sent = sent
        self.is_without_memory = is_without_memory
        super().__init__(reason)


class ServerExchange:
    """One request to a backend server, and its answer.

    Parameters
    ----------
    connections : ServerConnections
        The pool that the connection is returned to.
    connection : ServerConnection
        The connection to use.
    request_id : str
        The id that the answer must echo; empty for a call without one.
    request_id_header : bytes
        The header that carries the id.
    is_to_vm : bool
        Whether the other side is a VM. One answers each request once, and its
        own refusals name none.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have reached the server.
    framing : str
        What marks the end of the answer's body, by `core.find_framing`; empty
        before the head was read.
    """

    def __init__(
        self,
        *,
        connections,
        connection,
        request_id,
        request_id_header,
        is_to_vm=False,
    ):
        self._is_to_vm = is_to_vm
        self._connections = connections
        self._connection = connection
        self._request_id = request_id
        self._request_id_header = request_id_header
        self._method = b''
        self._conn = None
        self._ended = False
        self._sent_whole = False
        self._closed = False
        self.sent = False
        self.framing = ''
        self._content_type = ''
        self._length_bytes = 0

    async def open(self, method, target, headers, body):
        """Send a request and return the head of its answer.

        The answer is read while the request is still being sent, since a
        server may answer before it has read a long body.

        Raises
        ------
        AnswerBrokenError
            If the request can't be written as HTTP, so that nothing was sent,
            or if the connection fails before the whole head is read.
        """
        try:
            pieces = self._write(method, target, headers, body)
        except h11.LocalProtocolError as error:
            raise AnswerBrokenError(
                f'the request is not valid HTTP: {error}', sent=False
            ) from error
        self._connection.note_carried(self._request_id)
        return await _concurrency.run_beside(
            functools.partial(self._send, pieces), self._read_matching_head
        )

    def _write(self, method, target, headers, body):
        """Return the bytes of a request, as pieces to be sent in turn.

        A long body is a piece of its own, so that it is not copied.
        """
        self._method = method
        self._conn = h11.Connection(h11.CLIENT)
        request = h11.Request(method=method, target=target, headers=headers)
        pieces = [self._conn.send(request)]
        if body:
            pieces += self._conn.send_with_data_passthrough(
                h11.Data(data=body)
            )
        pieces.append(self._conn.send(h11.EndOfMessage()))
        if len(body) <= JOINED_BODY_BYTES:
            return [b''.join(pieces)]
        return list(filter(None, pieces))

    async def _send(self, pieces):
        self.sent = True
        try:
            for piece in pieces:
                await self._connection.stream.send_all(piece)
        except trio.BrokenResourceError:
            # The server may have answered before it closed the connection.
            return
        self._sent_whole = True

    async def _read_matching_head(self):
        for _ in range(STALE_ANSWERS_MAX):
            head = await self._read_head()
            echoed = head.header(self._request_id_header)
            if not echoed and self._may_be_of_another(head):
                raise AnswerBrokenError(
                    'the answer on a connection that was in use before names '
                    'no request'
                )
            if not echoed or echoed == self._request_id:
                self.framing = core.find_framing(
                    head.status, head.headers, method=self._method
                )
                self._content_type = head.header(b'content-type')
                if self.framing == core.FRAMED_BY_LENGTH:
                    length = head.header(b'content-length')
                    self._length_bytes = core.parse_count(length) or 0
                return head
            await self._skip_stale_answer()
        raise AnswerBrokenError(
            f'{STALE_ANSWERS_MAX} answers to other requests came first'
        )

    def _may_be_of_another(self, head):
        """Return whether an answer without an id may answer another request.

        Servers name the request in each answer. On a connection that has
        served another one, it may be a late copy of the answer to that one.
        Even a refusal then says nothing of this request.
        """
        if self._is_to_vm and not 200 <= head.status < 300:
            return False
        return bool(self._request_id) and not self._connection.is_new

    async def _read_head(self):
        for _ in range(INTERIM_ANSWERS_MAX):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                if event.status_code > STATUS_MAX:
                    # h11 takes any three digits from 200 on.
                    raise AnswerBrokenError(
                        f'the answer has the status {event.status_code}'
                    )
                return _http_messages.AnswerHead(
                    status=event.status_code,
                    headers=tuple(
                        (bytes(name), bytes(value))
                        for name, value in event.headers
                    ),
                )
            raise AnswerBrokenError(
                'the server closed the connection before it answered'
            )
        raise AnswerBrokenError(
            f'{INTERIM_ANSWERS_MAX} interim answers came before the answer'
        )

    async def _skip_stale_answer(self):
        """Skip a late answer to an earlier request on this connection."""
        skipped_bytes = 0
        while (piece := await self.read()) is not None:
            skipped_bytes += len(piece)
            if skipped_bytes > ANSWER_MAX_BYTES:
                raise AnswerBrokenError(
                    'an answer to another request is longer than '
                    f'{ANSWER_MAX_BYTES} bytes'
                )
        trailing, _ = self._conn.trailing_data
        self._ended = False
        self._conn = h11.Connection(h11.CLIENT)
        # Put the new h11 connection into the state of waiting for the answer.
        # The request was sent already, so the returned bytes are dropped.
        self._conn.send(
            h11.Request(
                method=self._method, target=b'/', headers=[(b'host', b'')]
            )
        )
        self._conn.send(h11.EndOfMessage())
        if trailing:
            self._conn.receive_data(trailing)

    async def read(self):
        """Return the next piece of the body, or None at its end.

        Raises
        ------
        AnswerBrokenError
            If the connection fails before the body ends.
        """
        if self._ended:
            return None
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._check_end()
                self._ended = True
                return None
            raise AnswerBrokenError(
                'the server closed the connection within an answer'
            )

    def _check_end(self):
        """Raise if the end of a connection does not end an answer.

        If the server resets the connection while the request is being sent,
        the system may report that to the writer only; the reader then sees a
        clean end.
        """
        if self.framing == core.FRAMED_BY_CONNECTION and not self._sent_whole:
            raise AnswerBrokenError(
                'the connection ended before the whole request was sent'
            )

    async def read_all(self, memory=None):
        """Return the whole body.

        Parameters
        ----------
        memory : AnswerMemory or None
            Holds the body from its first byte on, also once it is returned;
            None for a body that is not passed on.

        Raises
        ------
        AnswerBrokenError
            If the connection fails, or the body is cut off or exceeds
            `ANSWER_MAX_BYTES`.
        """
        if memory is not None and self._length_bytes <= ANSWER_MAX_BYTES:
            await memory.wait_for_room(self._length_bytes)
        body = core.AnswerBody(
            framing=self.framing,
            content_type=self._content_type,
            size_max_bytes=ANSWER_MAX_BYTES,
            budget=memory or self._connections.body_budget,
            length_bytes=self._length_bytes,
        )
        try:
            while True:
                piece = await self.read()
                if piece is None:
                    content = body.finish()
                    break
                body.add(piece)
        except core.AnswerBodyError as error:
            raise AnswerBrokenError(
                str(error),
                is_without_memory=isinstance(
                    error, core.AnswerWithoutMemoryError
                ),
            ) from error
        else:
            if memory is not None:
                body.keep_reserved()
            return content
        finally:
            body.close()

    async def _next_event(self):
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as error:
                raise AnswerBrokenError(
                    f'the answer is not valid HTTP: {error}'
                ) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._connection.stream.receive_some(
                    RECEIVE_BYTES
                )
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                raise AnswerBrokenError(
                    f'the connection failed: {error}'
                ) from error
            self._conn.receive_data(data)

    async def close(self, *, keep_alive=''):
        """Return the connection to the pool if it is reusable, else close it.

        Parameters
        ----------
        keep_alive : str
            The answer's ``Keep-Alive`` header.
        """
        if self._closed:
            # The connection was given back and may serve another request.
            return
        self._closed = True
        if self.is_reusable:
            await self._connections.release(
                self._connection, read_idle_ms(keep_alive)
            )
        else:
            await self._connection.close()

    async def close_unused(self):
        """Close the connection if no request was sent on it."""
        if not self.sent and not self._closed:
            self._closed = True
            await self._connection.close()

    @property
    def is_reusable(self):
        """Whether the connection may carry another request."""
        return (
            self._conn is not None
            # No later answer could be told from a copy of this one.
            and bool(self._request_id)
            and self._sent_whole
            and self._ended
            and self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
            and not self._conn.trailing_data[0]
            and not _sockets.has_unread(self._connection.stream)
        )


def read_idle_ms(keep_alive):
    """Return how long a ``Keep-Alive`` header lets a connection stay idle.

    The time is in milliseconds, less `IDLE_MARGIN_MS`.

    Examples
    --------
    >>> read_idle_ms('timeout=5'), read_idle_ms(''), read_idle_ms('timeout=1')
    (4000, 2000, 0)
    """
    for part in keep_alive.split(','):
        name, _, value = part.strip().partition('=')
        timeout_s = core.parse_count(value)
        if name.lower() == 'timeout' and timeout_s is not None:
            return max(0, timeout_s * _clock.MS_PER_S - IDLE_MARGIN_MS)
    return _server_connection.IDLE_DEFAULT_MS
