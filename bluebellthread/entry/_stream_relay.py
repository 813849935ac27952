"""Passes the answers of decode servers on to the caller of a stream."""

import math

import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.entry import _hand_on
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_calls
from bluebellthread.entry import _server_connection
from bluebellthread.entry import _stream_context
from bluebellthread.entry import _work
from bluebellthread.observe import emit
from bluebellthread.observe import events

SILENCE_MIN_S = 1.2
SILENCE_FACTOR = 4
"""A resumable stream is treated as lost after this many times the longest
allowed pause between its events: callers disconnect after eight times
that pause."""

EVENT_STREAM_TYPES = ('text/event-stream', '')
"""Content types of streams; an answer may have none."""


class StreamRelay:
    """Passes on the events of one request, which several runs may make.

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
    running_version : str
        Software version of the server that runs the request now.
    begun_version : str
        Software version that the stream must go on at; empty while it may
        begin at any.
    begun_attempt : str
        Id of the caller's attempt that brings, or brought, the first event.
    ended_unmarked : bool
        Whether the answer that was passed on ended with its connection, so
        that its server may have ended then.
    """

    def __init__(self, *, work, context):
        self._work = work
        self._origins = context.origins
        self._dialect = context.dialect
        self._stats = context.stats
        self.has_events = False
        self.resume_after = ''
        self.running_version = ''
        self.begun_version = ''
        self.begun_attempt = work.request_id
        self.ended_unmarked = False

    async def pass_on(self, placement, call):
        """Pass on the answer of an open call.

        Raises
        ------
        StreamBrokenError
            If the answer is broken off.
        """
        try:
            self._work.check_answer(call.head)
        except _server_calls.CallFailedError as error:
            self._raise_run_failed(placement, error)
        if not 200 <= call.head.status < 300:
            await self._pass_on_error_answer(placement, call)
            return
        if _is_event_stream(call.head):
            await self._pass_on_events(placement, call)
        else:
            await self._pass_on_document(placement, call)

    async def _pass_on_document(self, placement, call):
        """Pass on a success that is no event stream once it is complete."""
        try:
            body = await call.exchange.read_all()
        except _server_connection.AnswerBrokenError as error:
            self._raise_run_failed(placement, error)
        if self._work.exchange.is_started:
            self._raise_run_failed(
                placement,
                _server_connection.AnswerBrokenError(
                    'the stream can only be resumed by events'
                ),
            )
        await self._work.pass_on(
            _http_messages.Answer(head=call.head, body=body)
        )

    def _raise_run_failed(self, placement, error):
        """Log and raise the failure of a run that `note_run` has counted."""
        emit(
            events.STREAM_BROKEN,
            request_id=self._work.request_id,
            server=placement.decode_server,
            last_event=self.resume_after,
            reason=str(error),
        )
        self._stats.count_failure(_work.STAGE_RUN)
        raise _stream_context.StreamBrokenError(
            placement.decode_server, 2, is_cut=True
        ) from error

    async def _pass_on_error_answer(self, placement, call):
        """Pass on a server's error answer, unless the request is retried."""
        error = _stream_context.StreamBrokenError(placement.decode_server, 2)
        if self._work.exchange.is_started or (
            self._work.route.is_retryable and self.has_runs_left
        ):
            raise error
        try:
            body = await call.exchange.read_all()
        except _server_connection.AnswerBrokenError:
            raise error from None
        await self._work.pass_on(
            _http_messages.Answer(head=call.head, body=body)
        )

    async def _pass_on_events(self, placement, call):
        work = self._work
        exchange = work.exchange
        splitter = core.EventSplitter()
        if not exchange.is_started:
            await exchange.start(
                call.head.status, self._make_answer_headers(call.head)
            )
        try:
            while True:
                data = await self._read_piece(placement, call)
                if data is None:
                    break
                whole_events = splitter.push(data)
                if whole_events:
                    await self._pass_on_piece(whole_events, splitter)
                splitter.check_size()
        except (
            core.EventTooLongError,
            _server_connection.AnswerBrokenError,
        ) as error:
            self._raise_run_failed(placement, error)
        self._check_end(placement, call, splitter)
        if splitter.rest:
            await exchange.send(splitter.rest)
        await exchange.finish()
        work.outcome = 'answered'

    def _make_answer_headers(self, head):
        headers = self._work.answer_headers(head)
        if self._work.is_handed_on:
            version = self.running_version.encode('latin-1', 'replace')
            headers.append((_http_messages.SOFTWARE_HEADER, version))
        return headers

    def _check_end(self, placement, call, splitter):
        """Raise if the end of an answer's body isn't the end of its stream.

        A body that is framed by its connection also ends if its server dies.
        """
        framing = call.exchange.framing
        by_connection = framing == core.FRAMED_BY_CONNECTION
        self.ended_unmarked = by_connection
        if by_connection or splitter.rest:
            emit(
                events.STREAM_END_UNMARKED,
                request_id=self._work.request_id,
                server=placement.decode_server,
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
                placement, _server_connection.AnswerBrokenError(problem)
            )

    async def _read_piece(self, placement, call):
        """Return the next bytes of an answer, or None at its end.

        The timeout applies to the read only. After a pause of the process,
        a timeout that also covered the sending would drop an event that was
        read but not yet passed on.
        """
        silence_s = self.silence_timeout_s
        if isinstance(placement, _hand_on.HandedOn):
            # The other VM goes on at another engine after such a silence.
            silence_s *= 2
        with trio.move_on_after(silence_s):
            return await call.exchange.read()
        raise _server_connection.AnswerBrokenError(
            f'nothing came for {silence_s:g} s'
        )

    async def _pass_on_piece(self, whole_events, splitter):
        if not self.has_events:
            self.has_events = True
            self._work.first_event_ms = self._work.age_ms
            self._stats.observe_first_event(self._work.first_event_ms)
            self.begun_version = self.running_version
            self._origins.note_began(
                self.begun_attempt, self._work.service, self.begun_version
            )
        self.resume_after = splitter.last_id or self.resume_after
        await self._work.exchange.send(whole_events)

    def resume_headers(self):
        """Return the headers of a call that goes on after the last event."""
        if not self.resume_after:
            return []
        value = self.resume_after.encode('latin-1')
        return [(self._dialect.resume_after, value)]

    @property
    def silence_timeout_s(self):
        """How long to wait for the next bytes of a server.

        Only resumable streams have a limit; the request's deadline ends
        every other wait.
        """
        route = self._work.route
        if not route.is_resumable:
            return math.inf
        gap_s = route.gap_target_ms / _clock.MS_PER_S
        return max(SILENCE_MIN_S, SILENCE_FACTOR * gap_s)

    @property
    def may_go_on(self):
        """Whether another run can follow what was passed on."""
        return bool(self.resume_after) or not self.has_events

    @property
    def has_runs_left(self):
        """Whether another server may run the request."""
        return self._work.run_count < self._work.route.run_max


def _is_event_stream(head):
    content_type = head.header(b'content-type').partition(';')[0]
    return content_type.strip().lower() in EVENT_STREAM_TYPES
