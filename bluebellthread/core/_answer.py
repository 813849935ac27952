"""One model request at a gateway, from the permit to the whole answer.

A failure before the first piece is retried within the retry budget. Once
pieces have gone out, the answer is resumed: on the same engine while it
still holds the request, else on another from the prompt and what was
sent. Resumes need no budget, as giving up would waste what is done; they
are bounded by a count without progress, the backoff and the deadline.
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

_FINAL_KINDS = ('superseded', 'deadline')


class AnswerMachine:
    """State machine of one model request.

    Parameters
    ----------
    request : PermitRequest
        What is asked of the scheduler; its deadline is the answer's.
    prompt : str
        The whole prompt.
    budget : RetryBudget
        Shared by the gateway's requests.
    next_attempt : callable
        Returns a number above all that this process has used.
    options : AnswerOptions
        Timeouts.
    rng : random.Random
        The only source of randomness.

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
            ordered=self._options.orders_pieces
        )
        self._step = 'new'
        self._step_deadline_ms = None
        self._permit = None
        self._held_ids = set()
        self._asked = None
        self._run = 0
        self._transfer = None
        self._transfer_tokens = 0
        self._may_have_run = False
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
            _scheduler_events.Tick: self._on_tick,
        }

    @property
    def ended(self):
        """Whether the request holds nothing and waits for nothing."""
        return self._step == 'ended'

    @property
    def deadline_ms(self):
        """When the whole answer is due."""
        return self._request.deadline_ms

    @property
    def permit(self):
        """The permit in use, or None."""
        return self._permit

    def has_held(self, permit_id):
        """Return whether a permit is or was this request's."""
        return permit_id in self._held_ids

    @property
    def wake_ms(self):
        """When the machine wants a `Tick` at the latest."""
        deadline_ms = self._request.deadline_ms
        return min(self._step_deadline_ms or deadline_ms, deadline_ms)

    def handle(self, event, now_ms):
        """Take one event in and return the commands that follow."""
        if hasattr(event, 'run') and not self._is_present(event.run):
            return []
        return self._handlers[type(event)](event, now_ms)

    def _on_granted(self, event, now_ms):
        permit = event.permit
        if not self._is_asked(permit):
            # It was granted too late to be of use.
            return [actions.tell_release(permit, clean=True)]
        self._asked = None
        self._permit = permit
        self._held_ids.add(permit.permit_id)
        self._retries.note_granted()
        return self._start_prefill(now_ms)

    def _on_refused(self, event, now_ms):
        if not self._is_asked(event):
            return []
        self._asked = None
        if self._begun and event.kind not in _FINAL_KINDS:
            return self._back_off(event.kind, now_ms)
        return self._refuse(event.kind, event.retry_after_ms)

    def _on_unreachable(self, event, now_ms):
        if not self._is_asked(event):
            return []
        return self._back_off('no-scheduler', now_ms)

    def _on_permit_cancelled(self, event, now_ms):
        present = self._permit is not None and (
            event.permit_id == self._permit.permit_id
        )
        if self._answered or self.ended:
            return self._end(clean=False) if present else []
        if event.kind == 'superseded' and self.has_held(event.permit_id):
            # Its stream may have ended, and the permit gone back, before.
            return self._refuse(event.kind, actions.RETRY_AFTER_MS)
        if not present:
            return []
        if event.kind in _FINAL_KINDS:
            return self._refuse(event.kind, actions.RETRY_AFTER_MS)
        # Else the scheduler took the permit back, for reasons of its own.
        blame = event.kind == 'backend-lost'
        return self._try_elsewhere(event.kind, now_ms, blame=blame)

    def _on_prefill_ended(self, event, now_ms):
        if self._step != 'prefilling':
            return []
        self._may_have_run = True
        self._transfer = event.transfer
        self._transfer_tokens = event.prompt_tokens - event.cached_tokens
        return [self._progress('transferring')] + self._start_decode(now_ms)

    def _on_import_ended(self, event, now_ms):
        if self._step != 'transferring':
            return []
        self._transfer = None
        self._set_step('decoding', now_ms + self._options.piece_timeout_ms)
        return [self._progress('decoding')]

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
        self._retries.note_piece()
        self._set_step('decoding', now_ms + self._options.piece_timeout_ms)
        commands += [actions.EmitPiece(piece=item) for item in ready]
        if self._assembler.whole:
            commands.append(self._finish(now_ms))
        return commands

    def _on_stream_ended(self, event, now_ms):
        if self._step == 'closing':
            return self._end(clean=True)
        return self._resume('early-end', now_ms)

    def _on_run_failed(self, event, now_ms):
        if self._step == 'closing':
            return self._end(clean=False)
        if event.kind != 'refused':
            self._may_have_run = True
        if self._step == 'decoding' and event.kind == 'broken-stream':
            return self._resume(event.kind, now_ms)
        if self._step == 'transferring' and event.kind == 'kv-evicted':
            return self._repeat_prefill(now_ms)
        blame = event.kind not in ('permit-lost', 'cancelled')
        return self._try_elsewhere(event.kind, now_ms, blame=blame)

    def _on_caller_gone(self, event, now_ms):
        return [] if self.ended else self._end(clean=False)

    def _on_superseded(self, event, now_ms):
        if self._answered or self.ended:
            return []
        return self._refuse('superseded', 0)

    def _on_tick(self, event, now_ms):
        if self.ended or now_ms < self.wake_ms:
            return []
        if self._step == 'closing':
            return self._end(clean=False)
        if now_ms >= self._request.deadline_ms:
            return self._refuse('deadline', actions.RETRY_AFTER_MS)
        if self._step == 'backing-off':
            return self._ask_permit(event, now_ms)
        if self._step == 'resuming':
            return self._start_decode(now_ms)
        if self._step == 'decoding':
            return self._resume('stalled', now_ms)
        return self._try_elsewhere('stalled', now_ms)

    def _ask_permit(self, event, now_ms):
        self._set_step('asking', None)
        self._retries.note_asked()
        text = self._prompt_so_far()
        sent_count = self._assembler.first_gap
        self._asked = attrs.evolve(
            self._request,
            attempt_number=self._next_attempt(),
            prompt_tokens=_model.estimate_tokens(text),
            output_tokens=self._request.output_tokens - sent_count,
            prefix_hashes=_prefix.hash_prefixes(text),
            avoid_servers=self._retries.avoid_servers,
        )
        return [actions.AskPermit(request=self._asked)]

    def _start_prefill(self, now_ms):
        self._run += 1
        self._set_step('prefilling', now_ms + self._options.prefill_timeout_ms)
        start = actions.StartPrefill(
            run=self._run, permit=self._permit, prompt=self._prompt_so_far()
        )
        return [self._progress('prefilling'), start]

    def _start_decode(self, now_ms):
        """Start a stream, or go on with one that the server holds."""
        self._run += 1
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
        """Go on with a broken answer on the engine that holds it."""
        if self._step != 'decoding' or not self._retries.may_resume_here():
            return self._try_elsewhere(kind, now_ms)
        stop = actions.StopRun(run=self._run)
        self._run += 1
        wait_ms = self._retries.choose_wait_ms(kind)
        self._retries.note_failure()
        self._set_step('resuming', now_ms + wait_ms)
        return [stop, actions.CountRetry(kind=kind)]

    def _repeat_prefill(self, now_ms):
        """Prefill again under the same permit; its memory is reserved."""
        if not self._retries.may_repeat_prefill(begun=self._begun):
            return self._try_elsewhere('kv-evicted', now_ms)
        self._retries.note_failure()
        waste = self._count_waste('kv-evicted')
        retry = actions.CountRetry(kind='kv-evicted')
        return [*waste, retry, *self._start_prefill(now_ms)]

    def _try_elsewhere(self, kind, now_ms, *, blame=True):
        """Give the permit back and ask for another after a while."""
        if kind != 'refused':
            self._may_have_run = True
        failed_server = self._present_server() if blame else ''
        commands = self._let_go(clean=False, kind=kind)
        self._assembler.drop_held()
        if not self._retries.may_retry(begun=self._begun):
            return commands + self._refuse(
                'retries-spent', actions.RETRY_AFTER_MS
            )
        self._retries.note_failure(failed_server)
        return commands + self._back_off(kind, now_ms)

    def _back_off(self, kind, now_ms):
        """Ask for a permit after a while, until the deadline if need be."""
        self._asked = None
        wait_ms = self._retries.choose_wait_ms(kind)
        self._set_step('backing-off', now_ms + wait_ms)
        return [actions.CountRetry(kind=kind)]

    def _finish(self, now_ms):
        # The engine frees its memory before it ends the stream, so the
        # permit is given back only then.
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
        commands = self._let_go(clean=clean, kind='abandoned')
        self._asked = None
        self._set_step('ended', None)
        return commands

    def _let_go(self, *, clean, kind):
        """Give up the permit and whatever runs under it."""
        if self._permit is None:
            return []
        commands = [] if clean else [actions.StopRun(run=self._run)]
        self._run += 1
        commands += self._count_waste(kind)
        commands.append(actions.tell_release(self._permit, clean=clean))
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
        return actions.tell_progress(self._permit, stage)

    @property
    def _begun(self):
        return self._assembler.first_gap > 0

    def _present_server(self):
        if self._step == 'prefilling':
            return self._permit.prefill_server
        return self._permit.decode_server

    def _is_present(self, run):
        return self._permit is not None and run == self._run

    def _is_asked(self, event):
        return self._asked is not None and (
            self._asked.attempt_number == event.attempt_number
        )

    def _prompt_so_far(self):
        return self._prompt + self._assembler.text

    def _set_step(self, step, step_deadline_ms):
        self._step = step
        self._step_deadline_ms = step_deadline_ms
