"""Calls to backend servers, and the reasons why they fail."""

import attrs
import trio

from bluebellthread.daemon import _clock
from bluebellthread.entry import _customer_lookup
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _server_exchange

CONNECT_TIMEOUT_S = 0.5
"""Timeout for opening a connection: a dozen round trips between regions. TCP
retransmits a lost SYN only after a second, by which time another server has
answered."""

IDLE_ONCE_MS = 1000
"""Longest idle time of a connection that is used for an at-most-once call:
the server may close an idle connection just as the request is written, and
the call could not be retried."""

IDLE_RETRYABLE_MS = 10000
"""Longest idle time of a connection that is used for an idempotent call."""

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise a caller that its request has not run and never
will."""

WRONG_SERVER_STATUS = 421
"""Status with which a server refuses a request for another server."""

BODYLESS_METHODS = frozenset((b'GET', b'HEAD', b'DELETE', b'OPTIONS'))


class CallFailedError(Exception):
    """Raised when a call gives no answer that can be passed on.

    Parameters
    ----------
    reason : str
        What went wrong, for the log.
    may_have_run : bool
        Whether the server may have started to run the request.
    was_refused : bool
        Whether the server that was asked for stated that it did not run the
        request.
    is_cut : bool
        Whether the connection broke while the server may have been at work.
    is_unreached : bool
        Whether no connection to the server could be opened.
    is_blameless : bool
        Whether the server is not to blame.
    """

    def __init__(
        self,
        reason,
        *,
        may_have_run,
        was_refused=False,
        is_cut=False,
        is_unreached=False,
        is_blameless=False,
    ):
        self.reason = reason
        self.may_have_run = may_have_run
        self.was_refused = was_refused
        self.is_cut = is_cut
        self.is_unreached = is_unreached
        self.is_blameless = is_blameless
        super().__init__(reason)


class ServerLimitedError(CallFailedError):
    """Raised when a server's own limit leaves no place for a request.

    Nothing was sent, and the server has not failed.

    Parameters
    ----------
    server : str
        Name of the server.
    retry_after_ms : int
        Milliseconds after which another try is worth while.
    """

    def __init__(self, server, *, retry_after_ms):
        self.server = server
        self.retry_after_ms = retry_after_ms
        super().__init__(
            'the server takes no further request now, by its own word',
            may_have_run=False,
            is_blameless=True,
        )


@attrs.define
class OpenCall:
    """A call of which the head of the answer has been read."""

    head: _http_messages.AnswerHead
    exchange: _server_exchange.ServerExchange

    async def close(self):
        """Return the connection to the pool, or close it."""
        with trio.CancelScope(shield=True):
            await self.exchange.close(
                keep_alive=''
                if self._ends_connection()
                else self.head.header(b'keep-alive')
            )

    def _ends_connection(self):
        return 'close' in self.head.header(b'connection').lower()


def _ignore(*_):
    """Take the place of `note_load` where no load is tracked."""


class ServerCaller:
    """Makes calls to backend servers.

    Parameters
    ----------
    connections : ServerConnections
        The pool of connections to them.
    dialect : Dialect
        Header names of the platform.
    limits : ServerLimits
        Admits requests to servers that name limits.
    paths : PathWatch
        Learns which servers are reached.
    note_leaving : callable
        Takes a server that says that it leaves.
    note_wrong_server : callable
        Takes a server at whose address another one answers.
    note_load : callable
        Takes a server, its `LoadReport`, and whether the server has refused
        the request.
    """

    def __init__(
        self,
        *,
        connections,
        dialect,
        limits,
        paths,
        note_leaving,
        note_wrong_server,
        note_load=_ignore,
    ):
        self._connections = connections
        self._dialect = dialect
        self._limits = limits
        self._paths = paths
        self._note_leaving = note_leaving
        self._note_wrong_server = note_wrong_server
        self._note_load = note_load

    async def admit(self, server):
        """Return the `Admission` of one request to a server.

        Raises
        ------
        ServerLimitedError
            If the server takes no further request now.
        """
        return await self._limits.admit(server)

    def check_pause(self, server):
        """Raise if a server wants no request for some time.

        Raises
        ------
        ServerLimitedError
            If it has said so when it refused one.
        """
        self._limits.check_pause(server)

    def find_pauses_ms(self, servers):
        """Return how long servers want no request, by name, if they do."""
        pauses_ms = {
            server.name: self._limits.find_pause_ms(server)
            for server in servers
        }
        return {
            name: wait_ms for name, wait_ms in pauses_ms.items() if wait_ms
        }

    async def connect(self, server, request, *, is_retryable):
        """Return an exchange with a server over an open connection.

        Raises
        ------
        CallFailedError
            If the server can't be reached; nothing was sent.
        """
        request_id = request.header(self._dialect.request_id)
        return await self._connect(server, request_id, is_retryable)

    async def open(
        self,
        server,
        work,
        *,
        deadline_ms,
        is_retryable,
        extra=(),
        exchange=None,
        admission=None,
    ):
        """Send a caller's request to a server and read the answer's head.

        Parameters
        ----------
        server : ListedServer
            The server to call.
        work : Work
            Holds the caller's request.
        deadline_ms : int
            When the caller gives up; the server is sent the time left.
        is_retryable : bool
            Whether the request is idempotent.
        extra : iterable of (bytes, bytes)
            Further headers; they replace the caller's of the same name.
        exchange : ServerExchange or None
            An exchange from `connect`; None to open one.
        admission : Admission or None
            From `admit`; None to ask for one.

        Raises
        ------
        CallFailedError
            If there is no answer, or the server did not run the request.
        """
        request = work.request
        if admission is None:
            admission = await self.admit(server)
        if exchange is None:
            exchange = await self.connect(
                server, request, is_retryable=is_retryable
            )
        try:
            if not admission.is_valid(_clock.read_clock_ms()):
                # The process or the connection stood still meanwhile.
                await self.admit(server)
            sent_ms = _clock.read_clock_ms()
            with self._paths.waiting(server):
                head = await exchange.open(
                    request.method,
                    request.target,
                    self._make_headers(server, work, deadline_ms, extra),
                    request.body,
                )
            self._observe(server, head, sent_ms)
            call = OpenCall(head=head, exchange=exchange)
            await self._check_refusal(call, server)
        except _server_exchange.AnswerBrokenError as error:
            await close(exchange)
            raise CallFailedError(
                str(error), may_have_run=exchange.sent, is_cut=exchange.sent
            ) from error
        except BaseException:
            await close(exchange)
            raise
        return call

    async def call_control(self, server, call, *, timeout_s):
        """Make a call of the router's own; return the status of the answer.

        Parameters
        ----------
        server : ListedServer
            The server to call.
        call : ControlCall
            The request to send.
        timeout_s : float
            Longest time for the whole exchange.

        Raises
        ------
        CallFailedError
            If there is no answer in time.
        """
        headers = [
            (b'host', f'{server.host}:{server.port}'.encode()),
            (self._dialect.expected_server, server.name.encode()),
        ]
        if call.body:
            length = str(len(call.body)).encode()
            headers.append((b'content-type', b'application/json'))
            headers.append((b'content-length', length))
        exchange = await self._connect(server, '', True)
        try:
            with trio.fail_after(timeout_s):
                head = await exchange.open(
                    call.method, call.target, headers, call.body
                )
                if head.status != WRONG_SERVER_STATUS:
                    self._observe_leaving(server, head)
                await exchange.read_all()
                return head.status
        except (
            _server_exchange.AnswerBrokenError,
            trio.TooSlowError,
        ) as error:
            raise CallFailedError(
                str(error), may_have_run=exchange.sent
            ) from error
        finally:
            await close(exchange)

    async def _connect(self, server, request_id, is_retryable):
        try:
            connection = await self._connections.acquire(
                (server.host, server.port),
                idle_max_ms=IDLE_RETRYABLE_MS
                if is_retryable
                else IDLE_ONCE_MS,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                request_id=request_id,
            )
        except _server_connection.ServerUnreachableError as error:
            self._paths.note_failed(server)
            raise CallFailedError(
                str(error), may_have_run=False, is_unreached=True
            ) from error
        if connection.is_new:
            self._paths.note_connected(server)
        return _server_exchange.ServerExchange(
            connections=self._connections,
            connection=connection,
            request_id=request_id,
            request_id_header=self._dialect.request_id,
        )

    def _make_headers(self, server, work, deadline_ms, extra):
        dialect = self._dialect
        request = work.request
        headers = _http_messages.keep_end_to_end(
            request.headers, drop=_customer_lookup.list_withheld(work, dialect)
        )
        replaced = {name for name, _ in extra}
        headers = [item for item in headers if item[0] not in replaced]
        remaining_ms = max(1, deadline_ms - _clock.read_clock_ms())
        headers.append((dialect.remaining_ms, str(remaining_ms).encode()))
        headers.append((dialect.expected_server, server.name.encode()))
        headers.extend(_customer_lookup.make_sender_headers(work, dialect))
        headers.extend(extra)
        if request.body or request.method not in BODYLESS_METHODS:
            length = str(len(request.body)).encode()
            headers.append((b'content-length', length))
        return headers

    def _observe(self, server, head, sent_ms):
        """Note what an answer says of its server, and of no other one."""
        if head.status == WRONG_SERVER_STATUS:
            return
        is_refusal = self._is_refusal(head)
        self._limits.observe(server, head, sent_ms, is_refusal=is_refusal)
        report = self._dialect.read_load(head.header(self._dialect.load))
        if report is not None:
            self._note_load(server, report, is_refusal)
        self._observe_leaving(server, head)

    def _observe_leaving(self, server, head):
        if self._dialect.read_leaving(head.header(self._dialect.leaving)):
            self._note_leaving(server)

    def _is_refusal(self, head):
        return bool(head.header(self._dialect.not_run))

    async def _check_refusal(self, call, server):
        """Raise if the server states that it did not run the request."""
        head = call.head
        is_wrong_server = head.status == WRONG_SERVER_STATUS
        if not is_wrong_server and not self._is_refusal(head):
            return
        if is_wrong_server:
            self._note_wrong_server(server)
        await call.exchange.read_all()
        raise CallFailedError(
            f'the server refused the request with status {head.status}',
            may_have_run=False,
            was_refused=not is_wrong_server,
        )


async def close(exchange):
    """Return the connection of an exchange to the pool, or close it."""
    with trio.CancelScope(shield=True):
        await exchange.close()
