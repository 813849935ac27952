"""Serves requests to models: requests a placement, runs prefill and decode."""

import math

import trio

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _placement_client
from bluebellthread.entry import _prefill_runner
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

DEFAULT_TOKEN_COUNTS = (4000, 200)
"""Prompt and output tokens assumed for requests that do not state them: those
of a long request of the users."""

EVENT_STREAM_TYPES = ('text/event-stream', '')
"""Content types of streams; an answer may have none."""


class StreamPath:
    """Serves the routes of kind `KIND_STREAM`.

    Parameters
    ----------
    context : StreamContext
        Objects that all streams of the process use.
    """

    def __init__(self, context):
        self._context = context
        self._ages = routing.CallerAges()
        self._ages_table = None

    async def serve(self, work):
        """Answer the request of one `Work`, at its deadline at the latest."""
        stream = _Stream(
            work=work,
            context=self._context,
            caller_age_ms=self._estimate_caller_age_ms(work),
        )
        with trio.move_on_after(_clock.read_remaining_s(work.deadline_ms)):
            await stream.run()
            return
        if not work.exchange.is_started:
            await work.answer_at_deadline()
        else:
            await work.exchange.abort()

    def _estimate_caller_age_ms(self, work):
        table = self._context.state.table
        if self._ages_table is not table:
            self._ages_table = table
            self._ages.keep_only({route.name for route in table.routes})
        if work.patience_ms is None:
            return 0
        return self._ages.estimate_ms(work.route.name, work.patience_ms)


class _Stream:
    """Makes the attempts to answer one request."""

    def __init__(self, *, work, context, caller_age_ms):
        self._caller_age_ms = caller_age_ms
        self._state = context.state
        self._caller = context.caller
        self._placements = context.placements
        self._origins = context.origins
        self._budgets = context.budgets
        self._dialect = context.dialect
        self._stats = context.stats
        self._work = work
        self._prefills = _prefill_runner.PrefillRunner(
            work=work, context=context
        )
        self._failed_servers = []
        self._resume_after = ''
        self._begun_version = ''
        self._begun_attempt = work.request_id
        self._running_version = ''

    async def run(self):
        if self._is_taken_up() and not await self._find_origin():
            return
        await self._run()

    def _is_taken_up(self):
        """Return whether the caller has events of the stream already."""
        request = self._work.request
        return bool(
            request.header(self._dialect.resume_after)
            or request.header(self._dialect.resumed_attempt)
        )

    async def _find_origin(self):
        """Find where the stream began; refuse the request if nobody knows."""
        work = self._work
        started_ms = _clock.read_clock_ms()
        resumes = work.request.header(self._dialect.resumed_attempt)
        services = tuple(share.service for share in work.route.shares)
        origin = await self._origins.find(resumes, services)
        took_ms = _clock.read_clock_ms() - started_ms
        if origin is None or origin.serves not in services:
            emit(
                events.STREAM_ORIGIN_UNKNOWN,
                request_id=work.request_id,
                resumes=resumes,
                service=origin.serves if origin is not None else '',
                took_ms=took_ms,
            )
            await work.refuse('unknown-origin', _work.UNSERVED_RETRY_MS)
            return False
        emit(
            events.STREAM_TAKEN_UP,
            request_id=work.request_id,
            resumes=resumes,
            version=origin.software_version,
            service=origin.serves,
            took_ms=took_ms,
        )
        work.service = origin.serves
        self._begun_version = origin.software_version
        self._begun_attempt = origin.attempt_id or work.request_id
        return True

    async def _run(self):
        work = self._work
        while True:
            try:
                placement = await self._request_placement()
            except _placement_client.PlacementRefusedError as error:
                self._log_refusal(error)
                refusal = error.refusal
                await self._end_failed(refusal.kind, refusal.retry_after_ms)
                return
            failed_server = ''
            try:
                await self._attempt(placement)
                return
            except _stream_context.StreamBrokenError as error:
                failed_server = error.server
                if not self._spend_retry(error):
                    await self._end_failed()
                    return
            finally:
                self._placements.release(
                    placement,
                    failed_server=failed_server or placement.failed_prefill,
                )
            self._failed_servers.append(failed_server)
            emit(
                events.STREAM_RETRIED,
                request_id=work.request_id,
                failed_server=failed_server,
                resume_after=self._resume_after,
                runs=work.run_count,
            )

    async def _request_placement(self):
        work = self._work
        counts = self._dialect.read_token_counts(
            work.request.header(self._dialect.token_counts)
        )
        prompt_tokens, output_tokens = counts or DEFAULT_TOKEN_COUNTS
        settings = self._state.settings
        placement_ask = routing.PlacementAsk(
            ask_id='',
            vm=settings.vm,
            vm_incarnation=self._placements.incarnation,
            data_centre=settings.data_centre,
            serves=work.service,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            target_deadline_ms=work.request.received_ms
            - self._caller_age_ms
            + work.route.target_ms,
            start_deadline_ms=self._compute_start_deadline_ms(),
            deadline_ms=work.deadline_ms,
            poll_deadline_ms=0,
            software_version=self._begun_version,
        )
        placement = await self._placements.request_placement(
            placement_ask, avoid=tuple(self._failed_servers)
        )
        work.waited_ms += placement.waited_ms
        emit(
            events.PLACEMENT_GRANTED,
            request_id=work.request_id,
            owner=placement.owner,
            prefill_server=placement.prefill_server,
            decode_server=placement.decode_server,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            caller_age_ms=self._caller_age_ms,
            waited_ms=placement.waited_ms,
            prefill_version=self._find_version(placement.prefill_server),
            decode_version=self._find_version(placement.decode_server),
            resumes=work.request.header(self._dialect.resumed_attempt),
            resume_after=self._resume_after
            or work.request.header(self._dialect.resume_after),
        )
        return placement

    def _find_version(self, name):
        server = self._state.directory.find(name)
        return server.software_version if server is not None else ''

    def _log_refusal(self, error):
        emit(
            events.PLACEMENT_REFUSED,
            request_id=self._work.request_id,
            owner=error.owner,
            kind=error.refusal.kind,
            age_ms=self._work.age_ms,
            caller_age_ms=self._caller_age_ms,
            waiting=error.refusal.waiting_count,
            places=error.refusal.place_count,
            retry_after_ms=error.refusal.retry_after_ms,
        )

    def _compute_start_deadline_ms(self):
        """Return when the caller disconnects if it has received no event."""
        work = self._work
        patience_ms = work.route.patience_ms
        if not patience_ms:
            return work.deadline_ms
        started_ms = (
            _clock.read_clock_ms()
            if work.exchange.is_started
            else work.request.received_ms
        )
        return min(work.deadline_ms, started_ms + patience_ms)

    async def _attempt(self, placement):
        # Connecting first saves the prefill if the decode server is
        # unreachable.
        exchange = await self._connect(placement)
        try:
            prompt = await self._run_prefill(placement)
            call = await self._open_answer_with_fallback(
                placement, prompt, exchange
            )
        finally:
            with trio.CancelScope(shield=True):
                await exchange.close_unused()
        try:
            await self._pass_on(placement, call)
        finally:
            await call.close()

    async def _run_prefill(self, placement):
        """Run the prefill; return None if the decode server runs it."""
        if not placement.prefill_server:
            return None
        server = self._find_server(placement.prefill_server)
        return await self._prefills.run(
            placement, server, self._resume_headers()
        )

    async def _connect(self, placement):
        server = self._find_decode_server(placement)
        started_ms = _clock.read_clock_ms()
        try:
            return await self._caller.connect(
                server,
                self._work.request,
                is_retryable=self._work.route.is_retryable,
            )
        except _server_calls.CallFailedError as error:
            self._note_run_failed(server.name, error, started_ms)
            raise _stream_context.StreamBrokenError(server.name, 0) from error

    async def _open_answer_with_fallback(self, placement, prompt, exchange):
        """Return the decode server's open call.

        If the server refuses, the request may be sent to it once more,
        without a KV cache, so that the server runs the prefill itself.
        """
        call = None
        try:
            call = await self._open_answer(placement, prompt, exchange)
        except _stream_context.StreamBrokenError as error:
            if prompt is None or not self._may_prefill_on_decode_server(error):
                raise
        finally:
            if call is None and prompt is not None:
                self._prefills.release_cache(prompt)
        if call is None:
            emit(
                events.KV_CACHE_NOT_FETCHED,
                request_id=self._work.request_id,
                prefill_server=placement.prefill_server,
                decode_server=placement.decode_server,
            )
            placement.failed_prefill = placement.prefill_server
            call = await self._open_answer(placement, None)
        return call

    def _may_prefill_on_decode_server(self, error):
        """Return whether the decode server may run the prefill itself.

        If so, one retry has been taken from the retry budget.

        The reservation on the server is still held, so a refusal mostly means
        that the prompt's KV cache could not be fetched.
        """
        return error.was_refused and self._budgets.spend(self._work.service, 1)

    # The answer

    async def _open_answer(self, placement, prompt, exchange=None):
        """Send the request to the decode server; return the open call."""
        work = self._work
        server = self._find_decode_server(placement)
        extra = self._resume_headers()
        if prompt is not None:
            source = self._dialect.write_cache_source(
                prompt.server.host, prompt.server.port, prompt.handle
            )
            extra.append((self._dialect.cache_source, source))
        started_ms = _clock.read_clock_ms()
        work.note_sent(server.name)
        try:
            with trio.fail_after(self._silence_timeout_s()):
                call = await self._caller.open(
                    server,
                    work.request,
                    deadline_ms=work.deadline_ms,
                    is_retryable=work.route.is_retryable,
                    extra=extra,
                    exchange=exchange,
                )
        except trio.TooSlowError:
            error = _server_calls.CallFailedError(
                'the decode server did not answer in time', may_have_run=True
            )
            self._note_run_failed(server.name, error, started_ms)
            raise _stream_context.StreamBrokenError(server.name, 2) from error
        except _server_calls.CallFailedError as error:
            self._note_run_failed(server.name, error, started_ms)
            raise _stream_context.StreamBrokenError(
                server.name, 2, was_refused=error.was_refused
            ) from error
        work.note_run()
        self._running_version = server.software_version
        return call

    def _note_run_failed(self, server, error, started_ms):
        self._work.note_failed(
            server, _work.STAGE_RUN, error, started_ms=started_ms
        )

    async def _pass_on(self, placement, call):
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
            last_event=self._resume_after,
            reason=str(error),
        )
        self._stats.count_failure(_work.STAGE_RUN)
        raise _stream_context.StreamBrokenError(
            placement.decode_server, 2
        ) from error

    async def _pass_on_error_answer(self, placement, call):
        """Pass on a server's error answer, unless the request is retried."""
        error = _stream_context.StreamBrokenError(placement.decode_server, 2)
        if self._work.exchange.is_started or (
            self._work.route.is_retryable and self._has_runs_left()
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
                call.head.status, work.answer_headers(call.head)
            )
        try:
            while True:
                data = await self._read_piece(call)
                if data is None:
                    break
                whole_events = splitter.push(data)
                if whole_events:
                    await self._pass_on_piece(whole_events, splitter)
                splitter.check_size()
        except (
            core.EventTooLongError,
            _server_connection.AnswerBrokenError,
            trio.TooSlowError,
        ) as error:
            self._raise_run_failed(placement, error)
        self._check_end(placement, call, splitter)
        if splitter.rest:
            await exchange.send(splitter.rest)
        await exchange.finish()
        work.outcome = 'answered'

    def _check_end(self, placement, call, splitter):
        """Raise if the end of an answer's body isn't the end of its stream.

        A body that is framed by its connection also ends if its server dies.
        """
        framing = call.exchange.framing
        by_connection = framing == core.FRAMED_BY_CONNECTION
        if by_connection or splitter.rest:
            emit(
                events.STREAM_END_UNMARKED,
                request_id=self._work.request_id,
                server=placement.decode_server,
                framing=framing,
                rest_bytes=len(splitter.rest),
                last_event=self._resume_after,
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

    async def _read_piece(self, call):
        """Return the next bytes of an answer, or None at its end.

        The timeout applies to the read only. After a pause of the process,
        a timeout that also covered the sending would drop an event that was
        read but not yet passed on.
        """
        silence_s = self._silence_timeout_s()
        if silence_s == math.inf:
            return await call.exchange.read()
        with trio.fail_after(silence_s):
            return await call.exchange.read()

    async def _pass_on_piece(self, whole_events, splitter):
        if not self._resume_after:
            self._work.first_event_ms = self._work.age_ms
            self._stats.observe_first_event(self._work.first_event_ms)
            self._begun_version = self._running_version
            self._origins.note_began(
                self._begun_attempt, self._work.service, self._begun_version
            )
        self._resume_after = splitter.last_id or self._resume_after
        await self._work.exchange.send(whole_events)

    def _resume_headers(self):
        if not self._resume_after:
            return []
        value = self._resume_after.encode('latin-1')
        return [(self._dialect.resume_after, value)]

    def _silence_timeout_s(self):
        """Return how long to wait for the next bytes of a server.

        Only resumable streams have a limit; the request's deadline ends
        every other wait.
        """
        route = self._work.route
        if not route.is_resumable:
            return math.inf
        gap_s = route.gap_target_ms / _clock.MS_PER_S
        return max(SILENCE_MIN_S, SILENCE_FACTOR * gap_s)

    # Failures

    def _has_runs_left(self):
        return self._work.run_count < self._work.route.run_max

    def _spend_retry(self, error):
        work = self._work
        if work.may_have_run and not (
            work.route.is_resumable and self._has_runs_left()
        ):
            return False
        return self._budgets.spend(work.service, error.retry_count)

    async def _end_failed(
        self, kind='servers-failed', retry_after_ms=_work.UNSERVED_RETRY_MS
    ):
        work = self._work
        if work.exchange.is_started:
            await work.exchange.abort()
        elif work.may_have_run:
            await work.fail('answer-lost')
        else:
            await work.refuse(kind, retry_after_ms)

    def _find_decode_server(self, placement):
        """Return the decode server, if the stream may go on at it.

        An owner of an older build, or with an older list of servers, may
        grant a server of another version.
        """
        server = self._find_server(placement.decode_server)
        begun_version = self._begun_version
        if begun_version and server.software_version != begun_version:
            emit(
                events.STREAM_VERSION_DIFFERS,
                request_id=self._work.request_id,
                server=server.name,
                version=server.software_version,
                begun_version=begun_version,
            )
            raise _stream_context.StreamBrokenError(server.name, 1)
        return server

    def _find_server(self, name):
        server = self._state.directory.find(name)
        if server is None:
            raise _stream_context.StreamBrokenError(name, 0)
        return server


def _is_event_stream(head):
    content_type = head.header(b'content-type').partition(';')[0]
    return content_type.strip().lower() in EVENT_STREAM_TYPES
