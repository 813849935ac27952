"""Passes the answers of decode servers on to the caller of a stream."""

import attrs

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_exchange
from bluebellthread.entry import _stream_context
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events

SILENCE_MIN_S = 1.2
SILENCE_FACTOR = 4
"""A server counts as silent after this many times the longest allowed pause
between the events of a stream: callers disconnect after eight times that
pause."""

EVENT_STREAM_TYPES = ('text/event-stream', '')
"""Content types of streams; an answer may have none."""


@attrs.define(kw_only=True)
class RunAnswer:
    """The answer of one run.

    Parameters
    ----------
    server : str
        Name of the server, or of the VM, that answers.
    call : OpenCall
        The open call.
    software_version : str
        Software version of the server.
    silence_s : float
        Time without a byte after which the server counts as silent.
    ended_unmarked : bool
        Whether the answer ended with its connection, so that its server may
        have ended then.
    """

    server: str
    call: object
    software_version: str
    silence_s: float
    ended_unmarked: bool = False


class StreamRelay:
    """Passes on the events of one request, which several runs may make.

    The answer to the caller starts with the first event, with the headers of
    the run that has brought it.

    Parameters
    ----------
    work : Work
        The request.
    context : StreamContext
        Objects that all streams of the process use.

    Attributes
    ----------
    has_events : bool
        Whether an event was passed on.
    resume_after : str
        Id of the last event that was passed on; empty before the first.
    begun_version : str
        Software version that the stream must go on at; empty while it may
        begin at any.
    begun_attempt : str
        Id of the caller's attempt that brings, or brought, the first event.
    """

    def __init__(self, *, work, context):
        self._work = work
        self._origins = context.origins
        self._dialect = context.dialect
        self._stats = context.stats
        self.has_events = False
        self.resume_after = ''
        self.begun_version = ''
        self.began_ms = None
        self.begun_by = None
        self.begun_attempt = work.request_id

    async def pass_on(self, attempt, answer):
        """Pass on the answer of one run.

        Parameters
        ----------
        attempt : Attempt
            The attempt that the run belongs to.
        answer : RunAnswer
            The answer, of which the head has been read.

        Raises
        ------
        StreamBrokenError
            If the answer is broken off.
        OvertakenError
            If another attempt has passed something on meanwhile.
        """
        head = answer.call.head
        try:
            self._work.check_answer(head)
        except _server_calls.CallFailedError as error:
            self._raise_run_failed(answer, error)
        if not 200 <= head.status < 300:
            await self._pass_on_error_answer(attempt, answer)
            return
        attempt.note_accepted()
        if _is_event_stream(head):
            await self._pass_on_events(attempt, answer)
        else:
            await self._pass_on_document(attempt, answer)

    async def _pass_on_document(self, attempt, answer):
        """Pass on a success that is no event stream once it is complete."""
        try:
            with attempt.waiting(answer.server, answer.silence_s):
                body = await answer.call.exchange.read_all(
                    self._work.exchange.memory
                )
        except _server_exchange.AnswerBrokenError as error:
            self._raise_run_failed(answer, error)
        if self._work.exchange.is_started:
            self._raise_run_failed(
                answer,
                _server_exchange.AnswerBrokenError(
                    'the stream can only be resumed by events'
                ),
            )
        attempt.take()
        await self._work.pass_on(
            _http_messages.Answer(head=answer.call.head, body=body)
        )

    def _raise_run_failed(self, answer, error):
        """Log and raise the failure of a run that `note_run` has counted."""
        emit(
            events.STREAM_BROKEN,
            request_id=self._work.request_id,
            server=answer.server,
            last_event=self.resume_after,
            reason=str(error),
        )
        self._stats.count_failure(_work.STAGE_RUN)
        raise _stream_context.StreamBrokenError(
            answer.server, 2, is_cut=True
        ) from error

    async def _pass_on_error_answer(self, attempt, answer):
        """Pass on a server's error answer, unless the request is retried."""
        error = _stream_context.StreamBrokenError(answer.server, 2)
        work = self._work
        if (
            work.exchange.is_started
            or (work.route.is_retryable and work.has_runs_left)
            or attempt.others
        ):
            raise error
        try:
            body = await answer.call.exchange.read_all(
                self._work.exchange.memory
            )
        except _server_exchange.AnswerBrokenError:
            raise error from None
        attempt.take()
        await work.pass_on(
            _http_messages.Answer(head=answer.call.head, body=body)
        )

    async def _pass_on_events(self, attempt, answer):
        work = self._work
        exchange = work.exchange
        splitter = core.EventSplitter()
        try:
            while True:
                with attempt.waiting(answer.server, answer.silence_s):
                    whole_events = await self._read_events(answer, splitter)
                if not whole_events:
                    break
                await self._pass_on_piece(
                    attempt, answer, whole_events, splitter
                )
        except (
            core.EventTooLongError,
            _server_exchange.AnswerBrokenError,
        ) as error:
            self._raise_run_failed(answer, error)
        self._check_end(answer, splitter)
        attempt.take()
        await self._start(answer)
        if splitter.rest:
            await exchange.send(splitter.rest)
        await exchange.finish()
        work.outcome = 'answered'

    async def _read_events(self, answer, splitter):
        """Return the next whole events; no bytes at the answer's end.

        Bytes that complete no event, or comments only, are no sign that the
        stream goes on: a stalled server may send them without end. Comments
        go to a caller whose answer has started, else with the first event.
        """
        comments = b''
        while (data := await answer.call.exchange.read()) is not None:
            whole = comments + splitter.push(data)
            splitter.check_size(held_bytes=len(comments))
            self._work.exchange.hold_events(len(whole) + splitter.held_bytes)
            if core.holds_event(whole):
                return whole
            if whole and self._work.exchange.is_started:
                await self._work.exchange.send(whole)
                whole = b''
            comments = whole
        return comments

    async def _start(self, answer):
        """Start the answer to the caller, unless it has been started."""
        work = self._work
        if work.exchange.is_started:
            return
        head = answer.call.head
        headers = work.answer_headers(head)
        if work.is_handed_on:
            version = answer.software_version.encode('latin-1', 'replace')
            headers.append((_http_messages.SOFTWARE_HEADER, version))
        await work.exchange.start(head.status, headers)

    def _check_end(self, answer, splitter):
        """Raise if the end of an answer's body isn't the end of its stream.

        A body that is framed by its connection also ends if its server dies.
        """
        framing = answer.call.exchange.framing
        by_connection = framing == core.FRAMED_BY_CONNECTION
        answer.ended_unmarked = by_connection
        if by_connection or splitter.rest:
            emit(
                events.STREAM_END_UNMARKED,
                request_id=self._work.request_id,
                server=answer.server,
                framing=framing,
                rest_bytes=len(splitter.rest),
                last_event=self.resume_after,
            )
        problem = ''
        if splitter.is_inside_event:
            problem = 'the stream ended inside an event'
        elif by_connection and not splitter.has_events:
            problem = 'the connection ended before the first event'
        if problem:
            self._raise_run_failed(
                answer, _server_exchange.AnswerBrokenError(problem)
            )

    async def _pass_on_piece(self, attempt, answer, whole_events, splitter):
        attempt.take()
        await self._start(answer)
        if not self.has_events:
            self.has_events = True
            self.began_ms = _clock.read_clock_ms()
            self.begun_by = attempt
            self._work.first_event_ms = self._work.age_ms
            self._stats.observe_first_event(self._work.first_event_ms)
            self.begun_version = answer.software_version
            self._origins.note_began(
                self.begun_attempt, self._work.service, self.begun_version
            )
        self._work.event_count += 1
        self.resume_after = splitter.last_id or self.resume_after
        await self._work.exchange.send(whole_events)

    def resume_headers(self):
        """Return the headers of a call that goes on after the last event."""
        if not self.resume_after:
            return []
        value = self.resume_after.encode('latin-1')
        return [(self._dialect.resume_after, value)]

    @property
    def silence_s(self):
        """Time without a byte after which a server counts as silent."""
        gap_s = self._work.route.gap_target_ms / _clock.MS_PER_S
        return max(SILENCE_MIN_S, SILENCE_FACTOR * gap_s)

    @property
    def may_go_on(self):
        """Whether another run can follow what was passed on."""
        return bool(self.resume_after) or not self.has_events


def _is_event_stream(head):
    content_type = head.header(b'content-type').partition(';')[0]
    return content_type.strip().lower() in EVENT_STREAM_TYPES
