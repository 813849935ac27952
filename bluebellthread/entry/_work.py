"""One caller's request on its way through the router."""

from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _refusals
from bluebellthread.entry import _server_calls
from bluebellthread.observe import emit
from bluebellthread.observe import events

DEFAULT_TIMEOUT_MS = 30000
"""For requests without a deadline on routes without a timeout: as long as
callers commonly wait."""

UNSERVED_RETRY_MS = 500
"""Told to callers whose time ran out before a server had room."""

STAGE_RUN = 'run'
STAGE_PREFILL = 'prefill'
"""Which part of the work a call to a server asked for."""


class Work:
    """A request, what has been tried, and how it ended.

    Parameters
    ----------
    exchange : CallerExchange
    route : Route
    service : str
    table_version : int
        The configuration that decided both.
    dialect : Dialect
    stats : EntryStats
        Told how the request ends.
    """

    def __init__(
        self, *, exchange, route, service, table_version, dialect, stats
    ):
        self.exchange = exchange
        self.request = exchange.request
        self.route = route
        self.service = service
        self.request_id = self.request.header(dialect.request_id)
        self.run_count = 0
        self.may_have_run = False
        self.outcome = ''
        self.waited_ms = 0
        self.prefill_ms = None
        self.first_event_ms = None
        self._servers = []
        self._in_flight = False
        self._table_version = table_version
        self._dialect = dialect
        self._stats = stats
        self.patience_ms = self._read_patience_ms()
        self.deadline_ms = self._find_deadline_ms()

    def _read_patience_ms(self):
        """Return how long the caller said it would wait, or None."""
        text = self.request.header(self._dialect.remaining_ms)
        return int(text) if text.isdigit() else None

    def _find_deadline_ms(self):
        bounds_ms = []
        if self.patience_ms is not None:
            bounds_ms.append(self.patience_ms)
        if self.route.timeout_ms:
            bounds_ms.append(self.route.timeout_ms)
        longest_ms = min(bounds_ms, default=DEFAULT_TIMEOUT_MS)
        return self.request.received_ms + longest_ms

    @property
    def age_ms(self):
        """Milliseconds since the request's first byte."""
        return _clock.read_clock_ms() - self.request.received_ms

    # What is tried

    def note_sent(self, server):
        """Note that a server is being sent the request to run it."""
        self._servers.append(server)
        self._in_flight = True

    def note_run(self):
        """Note that a server has begun to work on the request."""
        self._in_flight = False
        self.run_count += 1
        self.may_have_run = True

    def note_failed(self, server, stage, error, *, begun_ms):
        """Note that a server gave no answer that can be passed on.

        Parameters
        ----------
        begun_ms : int
            When it was asked.
        """
        now_ms = _clock.read_clock_ms()
        if stage == STAGE_RUN:
            self._in_flight = False
            if error.may_have_run:
                self.note_run()
        self._stats.count_failure(stage)
        emit(
            events.ATTEMPT_FAILED,
            request_id=self.request_id,
            server=server,
            stage=stage,
            reason=error.reason,
            may_have_run=error.may_have_run,
            took_ms=now_ms - begun_ms,
            remaining_ms=self.deadline_ms - now_ms,
        )

    def check_answer(self, head):
        """Raise if an answer's head can't be a server's own.

        Raises
        ------
        CallFailedError
        """
        is_success = 200 <= head.status < 300
        if head.header(b'content-encoding'):
            problem = 'the answer is encoded, which was not asked for'
        elif is_success and not head.header(self._dialect.proof):
            problem = 'the success bears no proof of its server'
        elif head.status in _server_calls.PROMISES_NOT_RUN:
            problem = f'the server answered {head.status} without a promise'
        else:
            return
        raise _server_calls.CallFailedError(problem, may_have_run=True)

    # How it ends

    def answer_headers(self, head):
        """Return the headers of a server's answer that are passed on."""
        return _http_messages.keep_end_to_end(head.headers)

    async def pass_on(self, answer):
        """Send a server's whole answer to the caller."""
        self.outcome = 'answered'
        await self.exchange.respond(
            answer.head.status, self.answer_headers(answer.head), answer.body
        )

    async def refuse(self, kind, retry_after_ms):
        """Tell the caller that its request has not run."""
        await self._send_own(_refusals.refuse_not_run(kind, retry_after_ms))

    async def fail(self, kind):
        """Tell the caller that its request may have run."""
        await self._send_own(_refusals.fail_unknown(kind))

    async def end_late(self):
        """Answer at the deadline, by what has been tried."""
        if self.may_have_run or self._in_flight:
            await self._send_own(_refusals.fail_timeout())
        else:
            await self.refuse('too-late', UNSERVED_RETRY_MS)

    async def _send_own(self, answer):
        self.outcome = answer.kind
        await _refusals.send_own_answer(self.exchange, answer)

    def log_end(self):
        """Write the line that tells how the request ended."""
        exchange = self.exchange
        outcome = self.outcome
        if not exchange.is_complete:
            outcome = 'caller-gone' if exchange.caller_gone else 'broken-off'
        self._stats.count_request(
            kind=self.route.kind, outcome=outcome, took_ms=self.age_ms
        )
        emit(
            events.REQUEST_ENDED,
            request_id=self.request_id,
            route=self.route.name,
            version=self._table_version,
            service=self.service,
            servers=','.join(self._servers),
            runs=self.run_count,
            waited_ms=self.waited_ms,
            prefill_ms=self.prefill_ms,
            first_event_ms=self.first_event_ms,
            took_ms=self.age_ms,
            status=exchange.status,
            outcome=outcome,
        )
