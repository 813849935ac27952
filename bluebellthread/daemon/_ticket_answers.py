"""Converts the outcomes of at-most-once calls to HTTP answers."""

import base64

from bluebellthread import core
from bluebellthread.daemon import _http

CHECK_PATH_HEADER = 'x-check-path'
CHECK_AFTER_HEADER = 'x-check-after-ms'

RETRY_AFTER_MS = 1000

NOT_RUN_STATUSES = {'expired': 410, 'bad-request': 400}
"""HTTP statuses of `NotRun` outcomes by kind; other kinds get 503."""

REJECTED_STATUSES = {
    'invalid-ticket': 403,
    'other-call': 409,
    'ticket-needed': 428,
    'full': 503,
    'stopping': 503,
}
"""HTTP statuses of `AttemptRejected` outcomes by kind."""

MAYBE_RUN_BEFORE_KINDS = ('invalid-ticket', 'other-call')
"""Kinds of rejection that do not rule out that an earlier attempt ran.

The rejected attempt carried a ticket, so the answer says only that this
attempt ran nothing.
"""

answers = core.Registry('outcome')
"""Coroutine functions that send an outcome to the caller, by outcome tag."""


async def answer_outcome(responder, outcome):
    """Send an outcome to the caller, or raise it as a `Refusal`."""
    await answers.get(outcome.tag)(responder, outcome)


@answers.register('done')
async def _answer_done(responder, outcome):
    if not outcome.whole:
        raise _http.TicketRefusal(
            status=502,
            kind='answer-too-large',
            remedy=outcome.next_step,
            run=_http.RUN_DONE,
        )
    await _forward_answer(responder, outcome.answer, _http.RUN_DONE)


@answers.register('refused')
async def _answer_refused(responder, outcome):
    await _forward_answer(responder, outcome.answer, _http.RUN_NOT_RUN)


async def _forward_answer(responder, answer, run):
    headers = [
        (name, value)
        for name, value in answer.headers
        if name not in _http.UNFORWARDED_HEADERS and name != 'x-request-id'
    ]
    headers.append(('x-run', run))
    await responder.answer(answer.status, headers, answer.body)


@answers.register('not-run')
async def _answer_not_run(responder, outcome):
    raise _http.TicketRefusal(
        status=NOT_RUN_STATUSES.get(outcome.kind, 503),
        kind=outcome.kind,
        remedy=outcome.next_step,
        retry_after_ms=RETRY_AFTER_MS,
    )


@answers.register('unknown')
async def _answer_unknown(responder, outcome):
    headers = [(CHECK_AFTER_HEADER, str(outcome.check_after_ms))]
    if outcome.check_path:
        headers.append((CHECK_PATH_HEADER, outcome.check_path))
    raise _http.TicketRefusal(
        status=504,
        kind=outcome.kind,
        remedy=outcome.next_step,
        run=_http.RUN_UNKNOWN,
        headers=tuple(headers),
    )


@answers.register('rejected')
async def _answer_rejected(responder, outcome):
    headers = (
        ((_http.TICKET_HEADER, outcome.ticket),) if outcome.ticket else ()
    )
    raise _http.TicketRefusal(
        status=REJECTED_STATUSES[outcome.kind],
        kind=outcome.kind,
        remedy=outcome.next_step,
        run=(
            _http.RUN_NOT_THIS_TIME
            if outcome.kind in MAYBE_RUN_BEFORE_KINDS
            else _http.RUN_NOT_RUN
        ),
        headers=headers,
    )


def describe_ticket(result):
    """Return the state of a ticket as the fields of a JSON answer."""
    if isinstance(result, core.TicketPending):
        return {'state': result.state, 'remaining_ms': result.remaining_ms}
    fields = {'state': result.tag, 'next_step': result.next_step}
    if isinstance(result, (core.Completed, core.RefusedByServer)):
        fields['answer'] = {
            'status': result.answer.status,
            'headers': [list(pair) for pair in result.answer.headers],
            'body_base64': base64.b64encode(result.answer.body).decode(),
        }
        fields['whole'] = getattr(result, 'whole', True)
    for name in ('kind', 'check_path', 'check_after_ms'):
        if hasattr(result, name):
            fields[name] = getattr(result, name)
    return fields
