"""State machine of one model request at its gateway.

It covers the request from the first permit request to the complete answer.
A failure before the first piece of the answer is retried within the retry
budget. Once pieces have been sent to the caller, the answer is resumed: on
the same engine while that engine still holds the request, otherwise on
another engine, whose prompt is the original prompt plus the text already
sent. Resumes are not charged to the retry budget, because giving up would
waste the tokens already generated. They are limited by the number of
consecutive failures without a new piece, by the back-off and by the
request's deadline. A run whose server is silent before the first piece goes
on until another attempt has its permit, or until the deadline if none may
follow.
"""

import random

import attrs

from bluebellthread.core import _answer_commands as actions
from bluebellthread.core import _answer_events as events
from bluebellthread.core import _answer_options
from bluebellthread.core import _answer_retries
from bluebellthread.core import _assembler
from bluebellthread.core import _messages
from bluebellthread.core import _model
from bluebellthread.core import _prefix
from bluebellthread.core import _scheduler_events

SILENCE_CHECK_MS = 500
"""Time after which another attempt beside a silent run is considered again."""

_FINAL_KINDS = ('superseded', 'deadline')


class AnswerMachine:
    """Decide each step of one model request; perform no I/O.

    Parameters
    ----------
    request : PermitRequest
        Template of every permit request that is sent to the scheduler.
        Its deadline is also the deadline of the whole answer.
    prompt : str
        Full text of the caller's prompt.
    budget : RetryBudget
        Retry budget that this request shares with others of the gateway.
    next_attempt : callable
        Returns an attempt number larger than any that this process has
        used before.
    options : AnswerOptions
        Timeouts of the steps.
    rng : random.Random
        The only source of randomness, used for the back-off.

    Examples
    --------
    >>> from bluebellthread import core
    >>> request = core.PermitRequest(
    ...     request_id='r1', gateway='vm1', gateway_incarnation=7,
    ...     caller='c', pool=core.PoolKey(serves='m', data_centre='a'),
    ...     prompt_tokens=3, output_tokens=9, deadline_ms=9000,
    ...     first_output_deadline_ms=780)
    >>> machine = AnswerMachine(
    ...     request=request, prompt='a lost wig',
    ...     budget=core.RetryBudget(percent=10), next_attempt=lambda: 1)
    >>> [command] = machine.handle(core.AnswerAsked(), 0)
    >>> command.request.prompt_tokens
    3
    """

    def __init__(
        self, *, request, prompt, budget, next_attempt, options=None, rng=None
    ):
        self._request = request
        self._prompt = prompt
        self._next_attempt = next_attempt
        self._options = options or _answer_options.AnswerOptions()
        self._retries = _answer_retries.AnswerRetries(
            budget=budget, options=self._options, rng=rng or random.Random(0)
        )
        self._assembler = _assembler.Assembler(
            ordered=self._options.reorders_pieces
        )
        self._step = 'new'
        self._step_deadline_ms = None
        self._permit = None
        self._permit_ids = set()
        self._pending_request = None
        self._run = 0
        self._transfer = None
        self._transfer_tokens = 0
        self._decode_started_ms = 0
        self._may_have_run = False
        self._has_left_silent = False
        self._replacement = None
        self._answered = False
        self._handlers = {
            events.AnswerAsked: self._ask_permit,
            _messages.PermitGranted: self._on_granted,
            _messages.PermitRefused: self._on_refused,
            _messages.PermitCancelled: self._on_permit_cancelled,
            events.SchedulerUnreachable: self._on_unreachable,
            events.PrefillEnded: self._on_prefill_ended,
            events.ImportEnded: self._on_import_ended,
            events.PieceArrived: self._on_piece,
            events.StreamEnded: self._on_stream_ended,
            events.RunFailed: self._on_run_failed,
            events.CallerGone: self._on_caller_gone,
            events.Superseded: self._on_superseded,
            events.StopEnding: self._on_stop_ending,
            _scheduler_events.Tick: self._on_tick,
        }

    @property
    def ended(self):
        """Return whether the request has ended.

        It then holds no permit, and no reply is pending.
        """
        return self._step == 'ended'

    @property
    def deadline_ms(self):
        """Return the deadline of the whole answer."""
        return self._request.deadline_ms

    @property
    def permit(self):
        """Return the permit that the request holds, or None."""
        return self._permit

    @property
    def is_waiting(self):
        """Return whether no server works on the request.

        An answer whose pieces the caller already has doesn't count: only a
        resume can end it.
        """
        has_begun = self._permit is not None or self._output_started
        return not has_begun and not self.ended

    def has_held_permit(self, permit_id):
        """Return whether this request holds or has held a permit."""
        return permit_id in self._permit_ids

    @property
    def next_tick_ms(self):
        """Return the time by which the next `Tick` event is due."""
        deadline_ms = self._request.deadline_ms
        return min(self._step_deadline_ms or deadline_ms, deadline_ms)

    def handle(self, event, now_ms):
        """Handle one event and return the commands to execute."""
        if hasattr(event, 'run') and not self._is_current_run(event.run):
            return []
        return self._handlers[type(event)](event, now_ms)

    def _on_granted(self, event, now_ms):
        permit = event.permit
        if not self._answers_pending_request(permit):
            # The request no longer waits for this permit.
            return [actions.report_release(permit, clean=True)]
        replaced = self._release_permit(clean=False, kind='stalled')
        self._replacement = None
        self._pending_request = None
        self._permit = permit
        self._permit_ids.add(permit.permit_id)
        self._retries.note_permit_granted()
        return replaced + self._start_prefill(now_ms)

    def _on_refused(self, event, now_ms):
        if not self._answers_pending_request(event):
            return []
        self._pending_request = None
        has_given_up_work = self._output_started or self._has_left_silent
        if has_given_up_work and event.kind not in _FINAL_KINDS:
            return self._back_off(event.kind, now_ms)
        return self._refuse(event.kind, event.retry_after_ms)

    def _on_unreachable(self, event, now_ms):
        if not self._answers_pending_request(event):
            return []
        return self._back_off('no-scheduler', now_ms)

    def _on_permit_cancelled(self, event, now_ms):
        is_current = event.permit_id == getattr(self._permit, 'permit_id', '')
        if self._answered or self.ended:
            return self._end(clean=False) if is_current else []
        if is_current and self._is_replaced_after(event.kind):
            return self._lose_replaced_run(event.kind, now_ms)
        if event.kind == 'superseded' and self.has_held_permit(
            event.permit_id
        ):
            # The stream may have ended and the permit may have been
            # released before this message arrived.
            return self._refuse(event.kind, actions.RETRY_AFTER_MS)
        if not is_current:
            return []
        if event.kind in _FINAL_KINDS:
            return self._refuse(event.kind, actions.RETRY_AFTER_MS)
        # For any other reason the scheduler withdrew only the permit, so the
        # request is retried under another one.
        avoid_server = event.kind == 'backend-lost'
        return self._try_elsewhere(
            event.kind, now_ms, avoid_server=avoid_server
        )

    def _on_prefill_ended(self, event, now_ms):
        if self._step != 'prefilling':
            return []
        self._may_have_run = True
        commands = self._withdraw_replacement()
        self._transfer = event.transfer
        self._transfer_tokens = event.prompt_tokens - event.cached_tokens
        commands.append(self._progress('transferring'))
        return commands + self._start_decode(now_ms)

    def _on_import_ended(self, event, now_ms):
        if self._step != 'transferring':
            return []
        commands = self._withdraw_replacement()
        self._transfer = None
        self._set_step('decoding', now_ms + self._options.piece_timeout_ms)
        return [*commands, self._progress('decoding')]

    def _on_piece(self, event, now_ms):
        commands = self._on_import_ended(event, now_ms)
        if self._step != 'decoding':
            return []
        piece = _assembler.AnswerPiece(
            offset=event.offset,
            text=event.text,
            finish_reason=event.finish_reason,
        )
        try:
            ready = self._assembler.add(piece)
        except _assembler.TooManyHeldPiecesError:
            return self._resume('lost-pieces', now_ms)
        if not ready:
            return commands
        commands += self._withdraw_replacement()
        self._retries.note_piece()
        self._set_step('decoding', now_ms + self._options.piece_timeout_ms)
        commands += [actions.EmitPiece(piece=item) for item in ready]
        if self._assembler.whole:
            commands.append(self._finish(now_ms))
        return commands

    def _on_stream_ended(self, event, now_ms):
        if self._step == 'closing':
            return self._end(clean=True)
        if self._replacement is not None:
            return self._lose_replaced_run('early-end', now_ms)
        return self._resume('early-end', now_ms)

    def _on_run_failed(self, event, now_ms):
        if self._step == 'closing':
            return self._end(clean=False)
        if event.kind != 'refused':
            self._may_have_run = True
        if self._replacement is not None:
            return self._lose_replaced_run(event.kind, now_ms)
        if self._step == 'decoding' and event.kind == 'broken-stream':
            return self._resume(event.kind, now_ms)
        if self._step == 'transferring' and event.kind == 'kv-evicted':
            return self._repeat_prefill(now_ms)
        avoid_server = event.kind not in ('permit-lost', 'cancelled')
        return self._try_elsewhere(
            event.kind, now_ms, avoid_server=avoid_server
        )

    def _on_caller_gone(self, event, now_ms):
        return [] if self.ended else self._end(clean=False)

    def _on_superseded(self, event, now_ms):
        if self._answered or self.ended:
            return []
        return self._refuse('superseded', 0)

    def _on_stop_ending(self, event, now_ms):
        if self._answered or self.ended:
            return []
        return self._refuse('stopping', actions.RETRY_AFTER_MS)

    def _on_tick(self, event, now_ms):
        if self.ended or now_ms < self.next_tick_ms:
            return []
        if self._step == 'closing':
            return self._end(clean=False)
        if now_ms >= self._request.deadline_ms:
            return self._refuse('deadline', actions.RETRY_AFTER_MS)
        if 'backing-off' in (self._step, self._replacement):
            return self._ask_permit(event, now_ms)
        if self._step == 'resuming':
            return self._start_decode(now_ms)
        return self._on_silence(now_ms)

    def _on_silence(self, now_ms):
        """Look for a replacement of a silent run if one may follow.

        A silent server may be sound, so a run is not given up for nothing:
        before its first piece it goes on until its replacement is granted.
        """
        if self._may_resume_on_same_engine():
            return self._resume('stalled', now_ms)
        if not self._may_retry():
            self._set_step(self._step, now_ms + SILENCE_CHECK_MS)
            return []
        self._may_have_run = True
        self._has_left_silent = True
        if self._output_started:
            return self._leave_server('stalled', now_ms)
        self._retries.note_failure(self._current_server())
        self._replacement = 'backing-off'
        return self._back_off('stalled', now_ms)

    def _withdraw_replacement(self):
        """Withdraw the replacement of a run that is no longer silent."""
        is_asked = self._replacement == 'asking'
        self._replacement = None
        self._pending_request = None
        return [actions.WithdrawPermitRequest()] if is_asked else []

    def _is_replaced_after(self, kind):
        """Return whether a request outlives the cancel of its silent run.

        A scheduler that doesn't know `PermitRequest.replaces_silent` cancels
        the run as superseded when its replacement is asked for. If a newer
        request of the same id is the cause, the replacement is refused.
        """
        if kind == 'superseded':
            return self._replacement == 'asking'
        return self._replacement is not None and kind != 'deadline'

    def _lose_replaced_run(self, kind, now_ms):
        """Release a silent run that has ended before its replacement began."""
        step, step_deadline_ms = self._replacement, self._step_deadline_ms
        self._replacement = None
        commands = self._release_permit(clean=False, kind=kind)
        self._set_step(step, step_deadline_ms)
        return commands

    def _ask_permit(self, event, now_ms):
        if self._replacement is None:
            self._set_step('asking', None)
        else:
            self._replacement = 'asking'
            self._set_step(self._step, None)
        self._retries.note_permit_request()
        text = self._prompt_so_far()
        sent_count = self._assembler.first_gap
        self._pending_request = attrs.evolve(
            self._request,
            attempt_number=self._next_attempt(),
            prompt_tokens=_model.estimate_tokens(text),
            output_tokens=self._request.output_tokens - sent_count,
            prefix_hashes=_prefix.hash_prefixes(text),
            avoid_servers=self._retries.avoid_servers,
            replaces_silent=self._replacement is not None,
        )
        return [actions.AskPermit(request=self._pending_request)]

    def _start_prefill(self, now_ms):
        self._run += 1
        self._set_step('prefilling', now_ms + self._options.prefill_timeout_ms)
        start = actions.StartPrefill(
            run=self._run, permit=self._permit, prompt=self._prompt_so_far()
        )
        return [self._progress('prefilling'), start]

    def _start_decode(self, now_ms):
        """Start decoding, or resume a request that the server still holds."""
        self._run += 1
        self._decode_started_ms = now_ms
        if self._transfer is None:
            self._set_step('decoding', now_ms + self._options.piece_timeout_ms)
        else:
            self._set_step(
                'transferring', now_ms + self._options.transfer_timeout_ms
            )
        return [
            actions.StartDecode(
                run=self._run,
                permit=self._permit,
                prompt=self._prompt_so_far(),
                resume_offset=self._assembler.first_gap,
                transfer=self._transfer,
            )
        ]

    def _resume(self, kind, now_ms):
        """Resume an interrupted answer, on the same engine if possible."""
        if not self._may_resume_on_same_engine():
            return self._try_elsewhere(kind, now_ms)
        stop = actions.StopRun(run=self._run)
        self._run += 1
        wait_ms = self._retries.choose_wait_ms(kind)
        self._retries.note_failure()
        self._set_step('resuming', now_ms + wait_ms)
        return [stop, actions.CountRetry(kind=kind)]

    def _may_resume_on_same_engine(self):
        return (
            self._step == 'decoding'
            and self._retries.may_resume_on_same_engine()
        )

    def _may_retry(self):
        """Return whether a retry may follow; takes it from the budget."""
        return self._retries.may_retry(output_started=self._output_started)

    def _repeat_prefill(self, now_ms):
        """Repeat the prefill under the same permit.

        The permit still reserves memory on the decode server.
        """
        if not self._retries.may_repeat_prefill(
            output_started=self._output_started,
            fetch_ms=now_ms - self._decode_started_ms,
        ):
            return self._try_elsewhere('kv-evicted', now_ms)
        self._retries.note_failure()
        waste = self._count_waste('kv-evicted')
        retry = actions.CountRetry(kind='kv-evicted')
        return [*waste, retry, *self._start_prefill(now_ms)]

    def _try_elsewhere(self, kind, now_ms, *, avoid_server=True):
        """Retry a run that has ended, or refuse the request."""
        if kind != 'refused':
            self._may_have_run = True
        if self._may_retry():
            return self._leave_server(kind, now_ms, avoid_server=avoid_server)
        commands = self._release_permit(clean=False, kind=kind)
        return commands + self._refuse('retries-spent', actions.RETRY_AFTER_MS)

    def _leave_server(self, kind, now_ms, *, avoid_server=True):
        """Release the permit and request another one after a back-off."""
        failed_server = self._current_server() if avoid_server else ''
        commands = self._release_permit(clean=False, kind=kind)
        self._assembler.drop_held()
        self._retries.note_failure(failed_server)
        return commands + self._back_off(kind, now_ms)

    def _back_off(self, kind, now_ms):
        """Request a permit after a back-off.

        This step limits its repetitions only by the request's deadline.
        """
        self._pending_request = None
        wait_ms = self._retries.choose_wait_ms(kind)
        if self._replacement is None:
            self._set_step('backing-off', now_ms + wait_ms)
        else:
            self._replacement = 'backing-off'
            self._set_step(self._step, now_ms + wait_ms)
        return [actions.CountRetry(kind=kind)]

    def _finish(self, now_ms):
        # The engine frees its memory before it closes the stream. Hold the
        # permit until the stream ends, so that the scheduler does not
        # grant the memory too early.
        self._answered = True
        self._set_step('closing', now_ms + self._options.piece_timeout_ms)
        return actions.FinishAnswer(
            finish_reason=self._assembler.finish_reason
        )

    def _refuse(self, kind, retry_after_ms):
        ran = actions.RAN_UNKNOWN
        if not self._may_have_run and self._permit is None:
            ran = actions.RAN_NOT
        self._answered = True
        refusal = actions.RefuseAnswer(
            kind=kind, ran=ran, retry_after_ms=retry_after_ms
        )
        return [refusal, *self._end(clean=False)]

    def _end(self, *, clean):
        commands = self._release_permit(clean=clean, kind='abandoned')
        self._replacement = None
        self._pending_request = None
        self._set_step('ended', None)
        return commands

    def _release_permit(self, *, clean, kind):
        """Release the permit and, unless the run ended cleanly, stop it."""
        if self._permit is None:
            return []
        commands = [] if clean else [actions.StopRun(run=self._run)]
        self._run += 1
        commands += self._count_waste(kind)
        commands.append(actions.report_release(self._permit, clean=clean))
        self._permit = None
        return commands

    def _count_waste(self, kind):
        tokens = self._transfer_tokens if self._transfer is not None else 0
        self._transfer = None
        if tokens <= 0:
            return []
        return [actions.CountWastedPrefill(tokens=tokens, kind=kind)]

    def _progress(self, stage):
        self._permit = attrs.evolve(self._permit, stage=stage)
        return actions.report_progress(self._permit, stage)

    @property
    def _output_started(self):
        return self._assembler.first_gap > 0

    def _current_server(self):
        if self._step == 'prefilling':
            return self._permit.prefill_server
        return self._permit.decode_server

    def _is_current_run(self, run):
        return self._permit is not None and run == self._run

    def _answers_pending_request(self, event):
        return self._pending_request is not None and (
            self._pending_request.attempt_number == event.attempt_number
        )

    def _prompt_so_far(self):
        return self._prompt + self._assembler.text

    def _set_step(self, step, step_deadline_ms):
        self._step = step
        self._step_deadline_ms = step_deadline_ms
