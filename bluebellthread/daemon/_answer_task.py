"""The task of one model request: executes its `AnswerMachine`'s commands."""

import contextlib

import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _http
from bluebellthread.daemon import _tasks
from bluebellthread import engines
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread.observe import metrics

WRITE_GRACE_S = 5
"""How long after the deadline a slow caller may still read the answer."""

_DEFAULT_REMEDY = 'come back after the time in Retry-After'

_REFUSALS = {
    'caller-limit': (429, 'send fewer requests at a time'),
    'deadline': (504, 'allow more time'),
    'retries-spent': (502, 'send the request again'),
    'superseded': (409, 'read the answer of the newer request of this id'),
}
"""HTTP status and remedy by kind of refusal.

Other kinds get status 503 and the default remedy.
"""


class AnswerTask:
    """Makes the engine calls of one model request and answers its caller.

    Parameters
    ----------
    machine : AnswerMachine
        State machine that decides the next commands.
    completion_request : CompletionRequest
        The caller's request, parsed.
    exchange : Exchange
        The caller's HTTP request, with its request id and trace context.
    writer : AnswerWriter
        Sends the answer to the caller.
    scheduler : SchedulerLink
        Requests, updates and releases permits.
    engine : object
        Engine adapter that makes the prefill and decode calls.
    find_server : callable
        Returns the backend server with a given name, or None.
    tracer : bluebellthread.observe.Tracer
        Makes the spans of the engine calls.
    metrics : bluebellthread.observe.Metrics
        Counts retries and wasted prefill tokens.
    stop_admission : StopAdmission
        Tells whether the request may begin, and learns how long it took.
    releases : bool
        Whether a request that ends releases its permits; only tests turn
        this off.
    """

    def __init__(
        self,
        *,
        machine,
        completion_request,
        exchange,
        writer,
        scheduler,
        engine,
        find_server,
        tracer,
        metrics,
        stop_admission,
        releases=True,
    ):
        self.machine = machine
        self._completion_request = completion_request
        self._exchange = exchange
        self._writer = writer
        self._scheduler = scheduler
        self._engine = engine
        self._find_server = find_server
        self._tracer = tracer
        self._metrics = metrics
        self._stop_admission = stop_admission
        self._releases = releases
        self._begun_ms = None
        self._first_output_ms = None
        self._piece_count = 0
        self._nursery = None
        self._scopes = {}
        self._permit_request_scope = trio.CancelScope()
        self._send, self._receive = trio.open_memory_channel(float('inf'))
        self._executors = {
            core.AskPermit: self._request_permit,
            core.WithdrawPermitRequest: self._withdraw_permit_request,
            core.StartPrefill: self._start_prefill,
            core.StartDecode: self._start_decode,
            core.StopRun: self._stop_run,
            core.EmitPiece: self._emit_piece,
            core.FinishAnswer: self._finish,
            core.RefuseAnswer: self._refuse,
            core.TellScheduler: self._notify_scheduler,
            core.CountWastedPrefill: self._count_wasted_prefill,
            core.CountRetry: self._count_retry,
        }

    def end_if_late(self):
        """Refuse a request that waits and would outlast a stop."""
        if self.machine.is_waiting and not self._stop_admission.may_begin(
            self._completion_request.model,
            output_tokens=self._completion_request.output_tokens,
            deadline_ms=self.machine.deadline_ms,
        ):
            self.post(core.StopEnding())

    def post(self, event):
        """Pass an event to the state machine; never blocks."""
        if self.machine.ended:
            # The event queue is no longer read, but a permit granted after
            # the end must still be released.
            self._step(event)
        else:
            self._send.send_nowait(event)

    async def run(self):
        """Answer the caller; raise `Refusal` if the request is refused."""
        refusal = None
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                _tasks.start_joined(nursery, self._decide)
                refusal = await self._write_answer()
        finally:
            if self._releases:
                self._release_all()
        if refusal is not None:
            raise refusal

    async def _write_answer(self):
        remaining_s = _clock.read_remaining_s(self.machine.deadline_ms)
        with trio.move_on_after(remaining_s + WRITE_GRACE_S):
            return await self._writer.run()
        self.post(core.CallerGone())
        return None

    async def _decide(self):
        self._step(core.AnswerAsked())
        while not self.machine.ended:
            remaining_s = _clock.read_remaining_s(self.machine.next_tick_ms)
            event = core.Tick()
            with trio.move_on_after(remaining_s):
                event = await self._receive.receive()
            self._step(event)

    def _release_all(self):
        """Stop the request and release every permit that it holds.

        Nothing here awaits, so this also works during cancellation.
        """
        self._permit_request_scope.cancel()
        self._step(core.CallerGone())
        while True:
            try:
                # A permit may have been granted since the last step.
                self._step(self._receive.receive_nowait())
            except trio.WouldBlock:
                return

    def _step(self, event):
        commands = self.machine.handle(event, _clock.read_clock_ms())
        for command in commands:
            self._executors[type(command)](command)

    def _request_permit(self, command):
        self._permit_request_scope = self._scheduler.request_permit(
            command.request,
            self.post,
            traceparent=self._exchange.traceparent,
        )

    def _withdraw_permit_request(self, command):
        self._permit_request_scope.cancel()

    def _notify_scheduler(self, command):
        self._scheduler.report(command.message)

    def _start_prefill(self, command):
        if self._begun_ms is None:
            self._begun_ms = _clock.read_clock_ms()
        self._start_run(command, self._prefill, command.permit.prefill_server)

    def _start_decode(self, command):
        self._start_run(command, self._decode, command.permit.decode_server)

    def _start_run(self, command, call, server_name):
        scope = trio.CancelScope()
        self._scopes[command.run] = scope
        _tasks.start_joined(
            self._nursery, self._run, command, call, server_name, scope
        )

    def _stop_run(self, command):
        scope = self._scopes.pop(command.run, None)
        if scope is not None:
            scope.cancel()

    async def _run(self, command, call, server_name, scope):
        server = self._find_server(server_name)
        with scope:
            try:
                if server is None:
                    raise engines.EngineError(
                        kind='refused',
                        server=server_name,
                        detail='the server is no longer in the configuration',
                    )
                if not self._scheduler.is_current(command.permit):
                    raise engines.EngineError(
                        kind='permit-lost',
                        server=server_name,
                        detail='the permit was granted before this VM paused',
                    )
                await call(command, server)
            except engines.EngineError as error:
                emit(
                    events.REQUEST_FAILED,
                    request_id=self._exchange.request_id,
                    hop=server_name,
                    error=error,
                )
                self.post(core.RunFailed(run=command.run, kind=error.kind))
        self._scopes.pop(command.run, None)

    async def _prefill(self, command, server):
        with self._open_span('prefill') as span:
            prefilled = await self._engine.prefill(
                server,
                command.permit.permit_id,
                self._make_parameters(command.prompt, 0),
                traceparent=self._tracer.traceparent_of(span),
            )
        self.post(
            core.PrefillEnded(
                run=command.run,
                transfer=prefilled.transfer,
                prompt_tokens=prefilled.prompt_tokens,
                cached_tokens=prefilled.cached_tokens,
            )
        )

    async def _decode(self, command, server):
        parameters = self._make_parameters(
            command.prompt, command.resume_offset
        )
        resumed = command.transfer is None
        with contextlib.ExitStack() as spans:
            span = spans.enter_context(
                self._open_span('decode' if resumed else 'transfer')
            )
            items = self._engine.decode(
                server,
                command.permit.permit_id,
                parameters,
                command.transfer,
                traceparent=self._tracer.traceparent_of(span),
            )
            async with contextlib.aclosing(items):
                async for item in items:
                    if isinstance(item, core.AnswerPiece):
                        self._post_piece(command.run, item)
                    elif not resumed:
                        spans.close()
                        spans.enter_context(self._open_span('decode'))
                        self.post(core.ImportEnded(run=command.run))
        self.post(core.StreamEnded(run=command.run))

    def _post_piece(self, run, item):
        self.post(
            core.PieceArrived(
                run=run,
                offset=item.offset,
                text=item.text,
                finish_reason=item.finish_reason,
            )
        )

    def _make_parameters(self, prompt, resume_offset):
        return engines.GenerationParameters(
            model=self._completion_request.model,
            prompt=prompt,
            output_tokens=self._completion_request.output_tokens,
            resume_offset=resume_offset,
        )

    def _open_span(self, hop):
        return self._tracer.span(hop, parent=self._exchange.traceparent)

    def _emit_piece(self, command):
        if self._first_output_ms is None:
            self._first_output_ms = _clock.read_clock_ms()
        self._piece_count += 1
        if not self._writer.add(command.piece):
            self.post(core.CallerGone())

    def _note_ended(self, *, is_answered):
        if self._begun_ms is not None:
            self._stop_admission.note_ended(
                self._completion_request.model,
                begun_ms=self._begun_ms,
                first_output_ms=self._first_output_ms,
                piece_count=self._piece_count,
                is_answered=is_answered,
            )

    def _finish(self, command):
        self._note_ended(is_answered=True)
        self._writer.finish(command.finish_reason)

    def _refuse(self, command):
        self._note_ended(is_answered=False)
        status, remedy = _REFUSALS.get(command.kind, (503, _DEFAULT_REMEDY))
        if command.kind == 'stopping':
            self._writer.refuse(
                _http.make_stop_refusal(
                    command.ran, retry_after_ms=command.retry_after_ms
                )
            )
            return
        self._writer.refuse(
            _http.Refusal(
                status=status,
                kind=command.kind,
                remedy=remedy,
                run=command.ran,
                retry_after_ms=command.retry_after_ms,
            )
        )

    def _count_wasted_prefill(self, command):
        self._metrics.count(
            metrics.PREFILL_WASTED_TOKENS, command.tokens, kind=command.kind
        )

    def _count_retry(self, command):
        self._metrics.count(metrics.RETRIES, kind=command.kind)
