"""Tells what a VM that is being stopped still begins, and logs it.

Each way by which a request comes or goes on asks here: its connection while
it is read, the gateway once it is whole, and each attempt before servers work
on it.
"""

import math

import attrs

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _refusals
from bluebellthread.entry import _request_limits
from bluebellthread.entry import _state
from bluebellthread.observe import emit
from bluebellthread.observe import events

START_MS = 1200
"""Time in which a VM whose process has ended takes callers again."""


STAGE_READING = 'reading'
STAGE_ARRIVAL = 'arrival'
STAGE_WAITING = 'waiting'
STAGE_ATTEMPT = 'attempt'
STAGE_END = 'end'
"""What asked whether a request may begin: its connection, the gateway, a wait
for servers, an attempt, or the end of the time for all requests."""

DECISION_TAKEN = 'taken'
DECISION_REFUSED = 'refused'
DECISION_FAILED = 'failed, it may have run'
DECISION_CUT = 'cut within its answer'
DECISION_RETURNED = 'returned to the VM that handed it on'
"""What follows for a request."""


class StopTooNearError(Exception):
    """Raised when a request would outlast the stop of its VM."""


@attrs.define(kw_only=True)
class StopAdmission:
    """Compares the time that is left with what requests take.

    Parameters
    ----------
    state : EntryState
        Supplies the schedule of the stop, the routes and the other VMs.
    dialect : Dialect
        Header names of the platform.
    """

    state: _state.EntryState
    dialect: object
    _times: routing.RunTimes = attrs.field(
        factory=routing.RunTimes, init=False
    )
    _seen_table: object = attrs.field(default=None, init=False)
    _running: set = attrs.field(factory=set, init=False)

    @property
    def schedule(self):
        """The `StopSchedule` of the process."""
        return self.state.stop_schedule

    def find_begin_deadline_ms(
        self, request, route, service, deadline_ms, *, is_prefilled=False
    ):
        """Return until when a request may begin; infinite without a stop.

        Parameters
        ----------
        request : Request
            The request, which may lack its body.
        route : Route
            Its route.
        service : str
            The service chosen by the route.
        deadline_ms : int
            When it must have been answered.
        is_prefilled : bool
            Whether its prompt has been read by a prefill server.
        """
        if not self.schedule.is_begun:
            return math.inf
        return self.schedule.find_begin_deadline_ms(
            need_ms=self._find_need_ms(
                request, route, service, is_prefilled=is_prefilled
            ),
            likely_ms=self._times.find_likely_ms(
                service, risk=self._find_stopping_share()
            ),
            deadline_ms=deadline_ms,
        )

    def _find_need_ms(self, request, route, service, *, is_prefilled=False):
        return self._times.find_need_ms(
            service,
            output_tokens=self._read_output_tokens(request, route),
            now_ms=_clock.read_clock_ms(),
            is_prefilled=is_prefilled,
        )

    def find_need_ms(self, work):
        """Return how long a request may still take; None if unknown."""
        remaining_ms = work.deadline_ms - _clock.read_clock_ms()
        need_ms = self._find_need_ms(work.request, work.route, work.service)
        longest_ms = min(need_ms, remaining_ms)
        is_bounded = work.deadline_ms <= self.schedule.end_deadline_ms
        return longest_ms if is_bounded or need_ms < math.inf else None

    def find_read_deadline_ms(self, request):
        """Return until when a request may be read whole.

        Parameters
        ----------
        request : Request or None
            The request without its body; None while its head is being read.
        """
        route = self._find_route(request)
        if route is None:
            return self.schedule.end_deadline_ms
        service = route.choose_service(request.header(self.dialect.request_id))
        deadline_ms = _request_limits.find_deadline_ms(
            request, route, self.dialect
        )
        return min(
            self.schedule.end_deadline_ms,
            self.find_begin_deadline_ms(request, route, service, deadline_ms),
        )

    def find_deadline_ms(self, request):
        """Return when a request must have been answered; infinite if unknown.

        Parameters
        ----------
        request : Request
            The request, which may lack its body.
        """
        route = self._find_route(request)
        if route is None:
            return math.inf
        return _request_limits.find_deadline_ms(request, route, self.dialect)

    def _find_route(self, request):
        if request is None:
            return None
        return self.state.table.find(request.host, request.path)

    def find_stage(self):
        """Return what ends a request while servers or a wait keep it."""
        is_over = not self.schedule.find_remaining_ms(_clock.read_clock_ms())
        return STAGE_END if is_over else STAGE_WAITING

    def find_retry_ms(self):
        """Return after which time callers that are refused find a VM.

        While most other VMs are being stopped, a caller that comes back
        earlier is likely refused again.
        """
        if self._find_stopping_share() <= 0.5:
            return 0
        exit_deadline_ms = self.schedule.exit_deadline_ms
        left_ms = max(0, exit_deadline_ms - _clock.read_clock_ms())
        return left_ms + START_MS

    def refuse_unread(self, request, *, is_of_vm=False):
        """Refuse a request that is not read whole in time.

        Parameters
        ----------
        request : Request or None
            The request without its body; None if its head is not whole.
        is_of_vm : bool
            Whether another VM hands it on.

        Returns
        -------
        status : int
            Status of the refusal.
        headers : list of (bytes, bytes)
            Its headers.
        body : bytes
            Its body.
        """
        request_id, remaining_ms = '', _request_limits.DEFAULT_TIMEOUT_MS
        if request is not None:
            request_id = request.header(self.dialect.request_id)
            patience_ms = _request_limits.read_patience_ms(
                request, self.dialect
            )
            if patience_ms is not None:
                remaining_ms = patience_ms
        self.log_decision(
            request_id=request_id,
            stage=STAGE_READING,
            decision=DECISION_RETURNED if is_of_vm else DECISION_REFUSED,
            need_ms=None,
        )
        if is_of_vm:
            return 503, [(_http_messages.NOT_TAKEN_HEADER, b'stopping')], b''
        answer = _refusals.make_not_run_refusal(
            'stopping', self.find_retry_ms(), remaining_ms
        )
        return answer.status, *_refusals.encode_router_answer(answer)

    def note_begun(self, work):
        """Note that servers begin to work on a request."""
        self._running.add(work)

    def note_running(self):
        """Learn from the requests under way that others may take as long."""
        for work in self._running:
            self._note_bounds(work, is_answered=False, is_whole=False)

    def note_ended(self, work):
        """Learn how long a request took, at least if it was not answered."""
        exchange = work.exchange
        self._running.discard(work)
        if work.begun_ms is None:
            return
        is_answered = exchange.is_complete and exchange.status < 400
        # The rest of a stream is shorter than its tokens tell.
        is_whole = is_answered and not self._is_taken_up(work.request)
        table = self.state.table
        if self._seen_table is not table:
            self._seen_table = table
            self._times.keep_only(table.services)
        self._times.note_whole(
            work.service,
            _clock.read_clock_ms() - work.begun_ms,
            is_answered=is_whole,
        )
        self._note_bounds(work, is_answered=is_answered, is_whole=is_whole)

    def _note_bounds(self, work, *, is_answered, is_whole):
        now_ms = _clock.read_clock_ms()
        first_ms = now_ms
        if work.first_event_ms is not None:
            first_ms = work.request.received_ms + work.first_event_ms
            if work.event_count:
                self._times.note_rest(
                    work.service,
                    now_ms - first_ms,
                    event_count=work.event_count,
                    now_ms=now_ms,
                    is_answered=is_whole,
                )
        self._times.note_first(
            work.service,
            max(0, first_ms - work.begun_ms),
            now_ms=now_ms,
            is_answered=is_answered,
        )

    def log_decision(self, *, request_id, stage, decision, need_ms):
        """Log what was decided on a request while the VM is being stopped.

        Parameters
        ----------
        request_id : str
            Id of the request; empty if it was not read.
        stage : str
            What asked: the reading, the arrival, an attempt, or the end.
        decision : str
            What follows for the request.
        need_ms : int or None
            How long it may take; None if unknown.
        """
        schedule = self.schedule
        now_ms = _clock.read_clock_ms()
        emit(
            events.STOP_DECISION,
            request_id=request_id,
            stage=stage,
            decision=decision,
            since_stop_ms=now_ms - schedule.begun_ms,
            left_ms=schedule.find_remaining_ms(now_ms),
            need_ms=need_ms,
        )

    def _read_output_tokens(self, request, route):
        """Return the most output tokens; 0 for no stream, None if unknown."""
        if route.kind != routing.KIND_STREAM:
            return 0
        counts = self.dialect.read_token_counts(
            request.header(self.dialect.token_counts)
        )
        return counts[1] or None if counts else None

    def _is_taken_up(self, request):
        """Return whether the caller has events of the stream already."""
        return bool(
            request.header(self.dialect.resume_after)
            or request.header(self.dialect.resumed_attempt)
        )

    def _find_stopping_share(self):
        return routing.find_stopping_share(
            member.state
            for member in self.state.view.members
            if member.name != self.state.settings.vm
        )
