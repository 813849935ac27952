"""Reads requests from a caller's connection and answers them in order.

h11 parses and frames the messages. hypercorn is not used because it can't
shut down its write side and keep reading, can't end a connection so that an
unfinished answer never looks complete, and can't close idle connections on
request.
"""

import contextlib
import functools
import math

import attrs
import h11
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.entry import _caller_exchange
from bluebellthread.entry import _client_stream
from bluebellthread.entry import _concurrency
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _last_answer
from bluebellthread.entry import _request_parser
from bluebellthread.entry import _sockets
from bluebellthread.entry import _stop_admission

RECEIVE_BYTES = 65536
READ_AHEAD_BYTES = 262144
"""Maximum number of bytes read beyond a request while it is served. Reading
past pipelined requests shows whether the caller has closed the connection."""

AHEAD_RECEIVE_BYTES = 16384
"""Bytes that are read beyond a request at a time, so that many connections
don't exceed the memory by one read each."""

BODY_TIMEOUT_MS = 10000
"""Longest pause between two parts of a request body: as long as callers
commonly wait for an answer."""


class CallerConnection:
    """Reads requests from one connection and passes them to a handler.

    Parameters
    ----------
    stream : trio.SocketStream
        The accepted connection; closed by `run`.
    handler : callable
        ``async``; takes a `CallerExchange` and answers it.
    control : ConnectionControl
        The limits in force, and whether the process is stopping.
    is_of_vm : bool
        Whether the caller is another VM, which hands requests on.
    """

    def __init__(self, *, stream, handler, control, is_of_vm=False):
        self._raw_stream = stream
        self._stream = None
        self._share = None
        self._last = None
        self._handler = handler
        self._control = control
        self._is_of_vm = is_of_vm
        self._conn = h11.Connection(h11.SERVER)
        self._parser = _request_parser.RequestParser(self._conn)
        self._first_byte_ms = None
        self._request = None
        self._head_bytes = 0
        self._deadline_ms = math.inf
        self._announced = core.BodyReservation(control.length_budget)
        self._arrived = core.BodyReservation(control.body_budget)

    async def run(self):
        """Serve requests until either side ends the connection."""
        self._share = self._control.open_share(self._raw_stream)
        if self._share is None:
            await self._control.refuse_connection(
                self._raw_stream, is_of_vm=self._is_of_vm
            )
            return
        self._stream = _client_stream.ClientStream(
            self._raw_stream, self._share
        )
        self._last = _last_answer.LastAnswer(
            conn=self._conn,
            stream=self._stream,
            control=self._control,
            is_of_vm=self._is_of_vm,
        )
        try:
            # An exception keeps what its frames hold, such as a long body,
            # so the refusal is sent after it has been handled.
            refusal = await self._serve_until_refused()
            if refusal is not None:
                self._request = None
                self._parser.clear()
                self._release_body()
                await self._last.send(refusal)
        finally:
            self._release_body()
            self._share.close()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _serve_until_refused(self):
        """Serve requests; return the `Refusal` of the last one, or None."""
        last = self._last
        try:
            while await self._serve_next():
                self._release_body()
                self._conn.start_next_cycle()
                self._first_byte_ms = None
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            _caller_exchange.CallerGoneError,
        ):
            # The caller has closed the connection; no answer can reach it.
            return None
        except _request_parser.BadRequestError as error:
            return last.refuse(error.status, self._request)
        except _stop_admission.StopTooNearError:
            return last.refuse_unread(self._request)
        except core.NoMemoryLeftError:
            return last.refuse_for_memory(self._request)
        return None

    async def _serve_next(self):
        request = await self._read_request()
        if request is None:
            return False
        exchange = _caller_exchange.CallerExchange(
            request=request,
            conn=self._conn,
            parser=self._parser,
            stream=self._stream,
            control=self._control,
            share=self._share,
        )
        await _concurrency.run_until_either(
            functools.partial(self._watch_caller, exchange),
            functools.partial(self._handler, exchange),
        )
        if exchange.caller_gone or not exchange.is_complete:
            return False
        if self._conn.our_state is h11.MUST_CLOSE:
            await self._last.linger()
            return False
        return self._conn.our_state is h11.DONE

    # Reading

    async def _read_head(self):
        """Return the next request's head, or None if none will come."""
        if not await self._wait_first_byte():
            return None
        begun_ms = _clock.read_clock_ms()
        while True:
            timeout_ms = self._control.limits.header_timeout_ms
            with self._reading_until(None, begun_ms + timeout_ms):
                event = await self._next_event()
                is_end = isinstance(event, h11.ConnectionClosed)
                return None if is_end else event
            if self._control.limits.header_timeout_ms <= timeout_ms:
                raise _request_parser.BadRequestError(408)

    @contextlib.contextmanager
    def _reading_until(self, request, deadline_ms):
        """Read more of a request in the ``with`` body, cancelled in time.

        Raises
        ------
        StopTooNearError
            If the process stops too soon to serve the request.
        """
        with self._control.reading_scope(
            request, timeout_s=_clock.read_remaining_s(deadline_ms)
        ) as scope:
            yield
        if scope.cancelled_caught and trio.current_time() < scope.deadline:
            raise _stop_admission.StopTooNearError

    @contextlib.contextmanager
    def _reading(self, request):
        """Read more of a request's body in the ``with`` body.

        Raises
        ------
        BadRequestError
            If the caller takes too long, by the deadline of the request, too.
        StopTooNearError
            If the process stops too soon to serve the request.
        """
        deadline_ms = min(
            _clock.read_clock_ms() + BODY_TIMEOUT_MS, self._deadline_ms
        )
        is_read = False
        with self._reading_until(request, deadline_ms):
            yield
            is_read = True
        if not is_read:
            raise _request_parser.BadRequestError(408)

    async def _wait_first_byte(self):
        if self._parser.ahead_bytes:
            self._first_byte_ms = _clock.read_clock_ms()
            return True
        idle_since_ms = _clock.read_clock_ms()
        is_idle = True
        while is_idle:
            with self._control.idle_scope(idle_since_ms):
                return await self._receive_first_bytes()
            is_idle = self._control.may_stay_idle(idle_since_ms)
        # The connection was idle for too long, or the process is stopping;
        # but a request may have arrived in the same moment.
        if not _sockets.has_unread(self._stream):
            return False
        return await self._receive_first_bytes()

    async def _receive_first_bytes(self):
        # A head fits; what else arrives may wait in the network.
        data = await self._stream.receive_some(AHEAD_RECEIVE_BYTES)
        if not data:
            return False
        self._first_byte_ms = _clock.read_clock_ms()
        self._receive(data)
        return True

    async def _read_request(self):
        """Return the next request, or None if none will come."""
        head = await self._read_head()
        if head is None:
            return None
        request = self._request = _http_messages.Request(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple(
                (bytes(name), bytes(value)) for name, value in head.headers
            ),
            body=b'',
            received_ms=self._first_byte_ms,
        )
        # The parsed head takes as much memory again.
        del head
        # Read once, since a head may have thousands of headers, and a body as
        # many parts.
        self._head_bytes = request.head_bytes
        if not self._is_of_vm:
            # Another VM keeps the deadline of what it hands on.
            self._deadline_ms = self._control.find_deadline_ms(request)
        # A limit that is lowered meanwhile is for later requests.
        max_bytes = self._control.limits.body_max_bytes
        length_bytes = self._parser.rest_bytes
        if length_bytes > max_bytes:
            raise _request_parser.BadRequestError(413)
        self._announced.grow(length_bytes)
        self._hold_body(0)
        if self._conn.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            with self._reading(request):
                await self._stream.send_all(self._conn.send(response))
        body = await self._read_body(request, max_bytes, length_bytes)
        self._request = None
        return attrs.evolve(request, body=body)

    async def _read_body(self, request, max_bytes, length_bytes):
        body = core.BodyBlocks(length_bytes)
        while True:
            with self._reading(request):
                event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                self._hold_ahead()
                return body.join()
            if not isinstance(event, h11.Data):
                raise _caller_exchange.CallerGoneError
            body.append(event.data)
            max_bytes = max(max_bytes, self._control.limits.body_max_bytes)
            if body.size_bytes + self._parser.rest_bytes > max_bytes:
                raise _request_parser.BadRequestError(413)
            self._announced.grow(body.size_bytes)
            self._arrived.grow(body.size_bytes)
            self._hold_body(body.size_bytes)

    def _hold_body(self, size_bytes):
        self._share.hold(
            core.KIND_BODY,
            size_bytes + self._head_bytes,
            now_ms=_clock.read_clock_ms(),
        )

    def _hold_ahead(self, *, is_optional=False):
        self._share.hold(
            core.KIND_AHEAD,
            self._parser.ahead_bytes,
            now_ms=_clock.read_clock_ms(),
            is_optional=is_optional,
        )

    def _receive(self, data):
        self._parser.receive(data)
        self._hold_ahead()

    def _release_body(self):
        self._announced.release()
        self._arrived.release()
        self._share.release(*core.REQUEST_KINDS)

    async def _next_event(self):
        while True:
            event = await self._parse_next()
            if event is not h11.NEED_DATA:
                return event
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise _caller_exchange.CallerGoneError
            self._receive(data)

    async def _parse_next(self):
        header_max_bytes = self._control.limits.header_max_bytes
        if not self._parser.needs_turn:
            return self._parser.next_event(header_max_bytes)
        async with self._control.parsing:
            return self._parser.next_event(header_max_bytes)

    async def _watch_caller(self, exchange):
        """Return as soon as the caller has closed the connection."""
        try:
            while self._parser.ahead_bytes < READ_AHEAD_BYTES:
                data = await self._stream.receive_ahead(AHEAD_RECEIVE_BYTES)
                if not data:
                    break
                self._parser.receive(data)
                self._hold_ahead(is_optional=True)
            else:
                # The read-ahead limit is reached. If the caller closes the
                # connection now, only the request's deadline ends the
                # exchange.
                await trio.sleep_forever()
        except core.NoMemoryLeftError:
            # As at the read-ahead limit; the rest waits in the network.
            await trio.sleep_forever()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # A reset also means that the caller has left.
            pass
        exchange.caller_gone = not exchange.is_aborted
