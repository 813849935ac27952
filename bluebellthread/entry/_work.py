"""Tracks one caller's request from its first byte to its answer."""

import contextlib

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _refusals
from bluebellthread.entry import _request_limits
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _stop_admission
from bluebellthread.observe import emit
from bluebellthread.observe import events

UNSERVED_RETRY_MS = 500
"""Retry delay sent to callers whose deadline passed before a server could run
their request."""

STAGE_RUN = 'run'
STAGE_PREFILL = 'prefill'
"""Stage of a request that one call to a server runs: the answer itself, or the
prefill before it."""

RUNS_ONCE = 'it may run once only'
NO_RUNS_LEFT = 'its route allows no more runs'
NO_EVENT_ID = 'its events have no ids to go on after'
NO_BUDGET = 'the retry budget is spent'
NO_PATH = 'no server can be reached'
NO_OTHER_SERVER = 'no server is known that is not silent'
SHUT_OUT = 'its prompt is shut out'
NO_TIME = 'too little time is left'
STOPPING = 'this VM stops too soon'
AT_OTHER_VM = 'the VM that it was handed on to makes the other runs'
"""Why no run follows one that has brought no whole answer."""


class Work:
    """Holds a caller's request, its attempts at servers and its outcome.

    Parameters
    ----------
    exchange : CallerExchange
        Supplies the request and sends the answer.
    route : Route
        The route that matches the request.
    service : str
        The service chosen by the route.
    table_version : int
        Version of the configuration that the route comes from.
    dialect : Dialect
        Header names of the platform.
    stats : EntryStats
        Counts the outcome of the request.
    admission : StopAdmission
        Knows what this VM still begins once it is being stopped.
    is_handed_on : bool
        Whether another VM has handed the request on to this one.
    run_count : int
        Servers that may have run the request before.
    customer : Customer or None
        Who sends the request; None if that is unknown.
    has_customers : bool
        Whether the configuration has customers.
    sends_priority : bool
        Whether servers are sent the priority of the request.

    Attributes
    ----------
    customer : Customer or None
        As the parameter.
    has_customers, sends_priority : bool
        As the parameters.
    table_version : int
        As the parameter.
    is_admitted : bool
        Whether the request counts towards the limit of its customer, on this
        VM or the one that has handed it on.
    is_refused : bool
        Whether it was refused with the promise that it has not run.
    is_counted_elsewhere : bool
        Whether another VM counts the request for its retry budget.
    run_count : int
        Servers that may have run the request.
    in_flight_count : int
        Servers that it was sent to and that have not answered yet.
    may_have_run : bool
        Whether any server may have run the request.
    outcome : str
        How the request was answered, for the log; empty before that.
    waited_ms : int
        Time spent waiting for placements.
    begun_ms : int or None
        When servers first began to work on it; None before that.
    prefill_ms : int or None
        How long the last successful prefill took.
    first_event_ms : int or None
        Age of the request at its first event.
    event_count : int
        Events that were passed on; fewer if some came together.
    patience_ms : int or None
        How long the caller waits by its own header; None without the header.
    deadline_ms : int
        When the request must have been answered, on the boot-time clock.
    parts : tuple of str
        Ids by which requests that end servers are known: those of the parts of
        the prompt, and that of the request as a whole.
    """

    def __init__(
        self,
        *,
        exchange,
        route,
        service,
        table_version,
        dialect,
        stats,
        admission,
        is_handed_on=False,
        run_count=0,
        customer=None,
        has_customers=False,
        sends_priority=False,
    ):
        self.exchange = exchange
        self.request = exchange.request
        self.route = route
        self.service = service
        self.customer = customer
        self.has_customers = has_customers
        self.sends_priority = sends_priority
        self.request_id = self.request.header(dialect.request_id)
        self.parts = (
            *dialect.read_prompt_parts(
                self.request.header(dialect.prompt_parts)
            ),
            self._identify(dialect),
        )
        self.run_count = run_count
        self.may_have_run = run_count > 0
        self._earlier_run_count = run_count
        self.outcome = ''
        self.waited_ms = 0
        self.prefill_ms = None
        self.first_event_ms = None
        self.event_count = 0
        self._servers = []
        self.in_flight_count = 0
        self.table_version = table_version
        self.is_handed_on = is_handed_on
        self.is_counted_elsewhere = False
        self.is_admitted = False
        self.is_refused = False
        self._dialect = dialect
        self._stats = stats
        self._admission = admission
        self._attempt_count = 0
        self.begun_ms = None
        self.patience_ms = _request_limits.read_patience_ms(
            self.request, dialect
        )
        self.deadline_ms = _request_limits.find_deadline_ms(
            self.request, route, dialect
        )

    def _identify(self, dialect):
        request = self.request
        return routing.identify_request(
            method=request.method,
            host=request.host,
            target=request.target,
            headers=[
                header
                for header in request.headers
                if header[0] in dialect.identity
            ],
            body=request.body,
        )

    @property
    def age_ms(self):
        """Milliseconds since the request's first byte was read."""
        return _clock.read_clock_ms() - self.request.received_ms

    @property
    def priority(self):
        """The customer's priority, else the route's; 0 the most urgent."""
        customer = self.customer
        return routing.find_priority(
            self.route, customer.priority if customer is not None else None
        )

    @property
    def last_server(self):
        """The server that it was sent to last; empty before that."""
        return self._servers[-1] if self._servers else ''

    @property
    def has_not_run(self):
        """Whether certainly no server has run the request or will."""
        return self.is_refused or not (
            self.may_have_run or self.in_flight_count
        )

    @property
    def has_runs_left(self):
        """Whether one more server may run the request."""
        return self.run_count + self.in_flight_count < self.route.run_max

    @property
    def repeat_count(self):
        """How many calls one more attempt at a stream repeats."""
        return 2 if self.run_count or self.in_flight_count else 1

    @property
    def may_have_run_here(self):
        """Whether a server may have run it that this VM has called."""
        return self.run_count > self._earlier_run_count

    # A planned stop

    def find_begin_deadline_ms(self, *, is_prefilled=False):
        """Return until when servers may begin to work on the request.

        Parameters
        ----------
        is_prefilled : bool
            Whether a prefill server has read its prompt.
        """
        return self._admission.find_begin_deadline_ms(
            self.request,
            self.route,
            self.service,
            self.deadline_ms,
            is_prefilled=is_prefilled,
        )

    def may_begin(self, *, is_prefilled=False):
        """Return whether the request surely ends before this VM does."""
        deadline_ms = self.find_begin_deadline_ms(is_prefilled=is_prefilled)
        return _clock.read_clock_ms() <= deadline_ms

    def find_stop_end_ms(self):
        """Return when a stop ends the request; called only during a stop.

        A request that no server works on ends as soon as none may begin,
        unless its answer is being sent.
        """
        end_deadline_ms = self._admission.schedule.end_deadline_ms
        if self._attempt_count or self.outcome:
            return end_deadline_ms
        return min(end_deadline_ms, self.find_begin_deadline_ms())

    @contextlib.contextmanager
    def at_servers(self):
        """Have servers work on an attempt in the ``with`` body."""
        if self.begun_ms is None:
            self.begun_ms = _clock.read_clock_ms()
            self._admission.note_begun(self)
        self._attempt_count += 1
        try:
            yield
        finally:
            self._attempt_count -= 1

    def log_stop_decision(self, stage, decision):
        """Log what a stop means for the request, if there is one."""
        if not self._admission.schedule.is_begun:
            return
        self._admission.log_decision(
            request_id=self.request_id,
            stage=stage,
            decision=decision,
            need_ms=self._admission.find_need_ms(self),
        )

    async def end_at_stop(self, stage):
        """End the request, as this VM has no time left to serve it.

        Parameters
        ----------
        stage : str
            What found that out.
        """
        if self.exchange.is_complete:
            return
        may_have_run = self.may_have_run or self.in_flight_count
        may_have_run_here = self.may_have_run_here or self.in_flight_count
        if self.exchange.is_started or (
            self.is_handed_on and may_have_run_here
        ):
            # The VM that has handed a request on may repeat it elsewhere.
            self.log_stop_decision(stage, _stop_admission.DECISION_CUT)
            await self.exchange.abort()
        elif self.is_handed_on:
            self.log_stop_decision(stage, _stop_admission.DECISION_RETURNED)
            await self.refuse_hand_on('stopping')
        elif may_have_run:
            self.log_stop_decision(stage, _stop_admission.DECISION_FAILED)
            await self.fail('stopping')
        else:
            self.log_stop_decision(stage, _stop_admission.DECISION_REFUSED)
            await self.refuse('stopping', self._admission.find_retry_ms())

    # Attempts

    def note_sent(self, server):
        """Note that the request is about to be sent to a server."""
        self._servers.append(server)
        self.in_flight_count += 1

    @contextlib.contextmanager
    def sending(self, server):
        """Have a server run the request in the ``with`` body.

        If the body is cancelled, the server may have run it.
        """
        self.note_sent(server)
        try:
            yield
        except Exception:
            # A failure of the call; `note_failed` tells whether it has run.
            raise
        except BaseException:
            # A nursery in the body may have wrapped the cancellation.
            self.note_run()
            raise

    def note_run(self):
        """Note that a server may have started to run the request."""
        self._note_not_in_flight()
        self.run_count += 1
        self.may_have_run = True

    def note_not_taken(self):
        """Note that the VM that it was sent to has not taken the request."""
        self._note_not_in_flight()

    def _note_not_in_flight(self):
        self.in_flight_count = max(0, self.in_flight_count - 1)

    def note_failed(self, server, stage, error, *, started_ms, was_sent=True):
        """Note that a server gave no answer that can be passed on.

        Parameters
        ----------
        server : str
            Name of the server.
        stage : str
            `STAGE_RUN` or `STAGE_PREFILL`.
        error : CallFailedError
            Why the call failed.
        started_ms : int
            When the call started.
        was_sent : bool
            Whether `note_sent` has counted the call.
        """
        now_ms = _clock.read_clock_ms()
        if stage == STAGE_RUN and was_sent:
            if error.may_have_run:
                self.note_run()
            else:
                self._note_not_in_flight()
        self._stats.count_failure(stage)
        emit(
            events.ATTEMPT_FAILED,
            request_id=self.request_id,
            server=server,
            stage=stage,
            reason=error.reason,
            may_have_run=error.may_have_run,
            took_ms=now_ms - started_ms,
            remaining_ms=self.deadline_ms - now_ms,
        )

    def log_not_retried(self, server, reason):
        """Log why no run follows the one at a server."""
        emit(
            events.REQUEST_NOT_RETRIED,
            request_id=self.request_id,
            server=server,
            reason=reason,
            runs=self.run_count,
            runs_max=self.route.run_max,
            remaining_ms=self.deadline_ms - _clock.read_clock_ms(),
        )

    def check_answer(self, head):
        """Raise if an answer can't be passed on, judged by its head.

        Raises
        ------
        CallFailedError
            If the answer is encoded, is a success without its server's
            signature, or has a status that promises that the request has
            not run.
        """
        is_success = 200 <= head.status < 300
        if head.header(b'content-encoding'):
            problem = (
                'the answer has a content encoding that was not requested'
            )
        elif is_success and not head.header(self._dialect.server_signature):
            problem = 'the successful answer lacks the signature of its server'
        elif head.status in _server_calls.NOT_RUN_STATUSES:
            problem = (
                f'the server answered {head.status} without stating that '
                'it did not run the request'
            )
        else:
            return
        raise _server_calls.CallFailedError(problem, may_have_run=True)

    # The answer to the caller

    def answer_headers(self, head):
        """Return the headers of a server's answer that the caller gets."""
        return _http_messages.keep_end_to_end(
            head.headers, drop=_http_messages.HOP_HEADERS
        )

    async def pass_on(self, answer, *, outcome='answered'):
        """Send a whole answer of a server, or of another VM, to the caller."""
        self.outcome = outcome
        if answer.head.status in _server_calls.NOT_RUN_STATUSES:
            # Only another VM answers so; servers are not believed.
            self.is_refused = True
        await self.exchange.respond(
            answer.head.status, self.answer_headers(answer.head), answer.body
        )

    async def refuse(self, kind, retry_after_ms):
        """Send a refusal: the request has not run."""
        self.is_refused = True
        await self._send_router_answer(
            _refusals.make_not_run_refusal(
                kind,
                retry_after_ms,
                self.deadline_ms - _clock.read_clock_ms(),
            )
        )

    async def refuse_over_limit(self, retry_after_ms):
        """Send a refusal of a request over the limit of its customer."""
        await self._send_router_answer(
            _refusals.make_over_limit_refusal(
                retry_after_ms, self.deadline_ms - _clock.read_clock_ms()
            )
        )

    async def refuse_hand_on(self, reason):
        """Tell the VM that has handed the request on that it is not taken."""
        self.outcome = 'not-taken'
        header = (_http_messages.NOT_TAKEN_HEADER, reason.encode())
        await self.exchange.respond(503, [header], b'')

    async def refuse_shut_out(self, shut_out):
        """Send a refusal of a request that ends servers."""
        self.is_refused = True
        emit(
            events.SHUT_OUT_REFUSED,
            request_id=self.request_id,
            service=self.service,
            parts=','.join(shut_out.parts),
        )
        await self._send_router_answer(
            _refusals.make_shut_out_refusal(
                shut_out.keep_deadline_ms - _clock.read_clock_ms()
            )
        )

    async def fail(self, kind):
        """Send a failure: the request may have run."""
        await self._send_router_answer(
            _refusals.make_may_have_run_failure(kind)
        )

    async def answer_at_deadline(self):
        """Answer at the deadline; refuse only if no server may have run it."""
        if self.may_have_run or self.in_flight_count:
            await self._send_router_answer(_refusals.make_timeout_failure())
        else:
            await self.refuse('too-late', UNSERVED_RETRY_MS)

    async def _send_router_answer(self, answer):
        self.outcome = answer.kind
        await _refusals.send_router_answer(self.exchange, answer)

    def log_end(self):
        """Log and count the outcome of the request."""
        exchange = self.exchange
        outcome = self.outcome
        if not exchange.is_complete:
            outcome = 'caller-gone' if exchange.caller_gone else 'broken-off'
        self._admission.note_ended(self)
        self._stats.count_request(
            kind=self.route.kind, outcome=outcome, took_ms=self.age_ms
        )
        if self.has_customers:
            self._stats.count_customer(self.customer)
        emit(
            events.REQUEST_ENDED,
            request_id=self.request_id,
            route=self.route.name,
            version=self.table_version,
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
