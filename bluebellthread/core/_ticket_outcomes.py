"""Outcomes of at-most-once calls, and what their callers do next.

``NotRun`` guarantees that the ticket's call has not run and never will.
``AttemptRejected`` guarantees only that this attempt ran nothing.
``OutcomeUnknown`` guarantees nothing.
"""

import dataclasses
import typing

ANSWER_LOST_STEP = (
    'the call ran, but its answer is too large to be kept; read the result '
    'from the service'
)
UNKNOWN_STEP = (
    'do not send the call again; once check_after_ms have passed, the '
    'idempotent read at check_path tells whether it ran'
)
RENEW_STEP = (
    '; a caller that had never sent this ticket before may take a new one'
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerAnswer:
    """Hold a complete HTTP response of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Completed:
    """Report that the call ran; every attempt with its ticket gets the answer.

    Parameters
    ----------
    answer : ServerAnswer
        The backend server's answer, which may be an error.
    whole : bool
        False if the body was too large to be kept.

    Examples
    --------
    >>> Completed(answer=ServerAnswer(status=201)).next_step
    'read the answer'
    """

    tag: typing.ClassVar[str] = 'done'
    answer: ServerAnswer
    whole: bool = True

    @property
    def next_step(self):
        """Return the instruction to the caller."""
        return 'read the answer' if self.whole else ANSWER_LOST_STEP


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefusedByServer:
    """Report a refusal by which the service guarantees that nothing ran."""

    tag: typing.ClassVar[str] = 'refused'
    next_step: typing.ClassVar[str] = (
        'nothing ran; take a new ticket and call again later'
    )
    answer: ServerAnswer


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """Guarantee that the call has not run and never will with this ticket.

    Parameters
    ----------
    kind : str
        Reason: ``'expired'``, ``'stopping'``, ``'no-backend'``,
        ``'unreachable'``, ``'refused'`` or ``'bad-request'``.

    Examples
    --------
    >>> NotRun(kind='stopping').next_step
    'nothing ran; take a new ticket and call again'
    """

    tag: typing.ClassVar[str] = 'not-run'
    next_step: typing.ClassVar[str] = (
        'nothing ran; take a new ticket and call again'
    )
    kind: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutcomeUnknown:
    """Report that the call may have run or may still run.

    Parameters
    ----------
    kind : str
        Reason: ``'no-answer-yet'``, ``'answer-lost'``, ``'expired'``,
        ``'issuer-gone'``, ``'issuer-unreachable'`` or ``'no-record'``.
    check_path : str
        Path of the idempotent read that shows whether the call ran, or
        empty.
    check_after_ms : int
        Time from now during which the call may still start to run.
    may_renew : bool
        Whether this attempt certainly ran nothing, so that a caller that
        has never sent the ticket before may request a new one.

    Examples
    --------
    >>> 'never sent' in OutcomeUnknown(kind='issuer-gone').next_step
    False
    """

    tag: typing.ClassVar[str] = 'unknown'
    kind: str
    check_path: str = ''
    check_after_ms: int = 0
    may_renew: bool = False

    @property
    def next_step(self):
        """Return the instruction to the caller."""
        return UNKNOWN_STEP + (RENEW_STEP if self.may_renew else '')


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptRejected:
    """Guarantee that this attempt ran nothing; other attempts may have run.

    Parameters
    ----------
    kind : str
        Reason: ``'invalid-ticket'``, ``'other-call'``,
        ``'ticket-needed'``, ``'full'`` or ``'stopping'``.
    ticket : str
        For ``'ticket-needed'``, a new ticket to send the call with; else
        empty.
    """

    tag: typing.ClassVar[str] = 'rejected'
    kind: str
    ticket: str = ''

    @property
    def next_step(self):
        """Return the instruction to the caller."""
        return REJECTION_STEPS[self.kind]


REJECTION_STEPS = {
    'invalid-ticket': 'this attempt ran nothing; send the ticket as issued',
    'other-call': (
        'this attempt ran nothing; the ticket belongs to another call, take '
        'a new one for this call'
    ),
    'ticket-needed': (
        'this attempt ran nothing; send the call again with the ticket'
    ),
    'full': 'no ticket was issued; ask again later, or at another VM',
    'stopping': 'no ticket was issued; ask at another VM',
}
"""Instruction to the caller for each kind of rejected attempt."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TicketIssued:
    """Hold a newly issued ticket.

    Parameters
    ----------
    ticket : str
        Signed text of the ticket.
    remaining_ms : int
        Time until the ticket's deadline.
    """

    tag: typing.ClassVar[str] = 'issued'
    next_step: typing.ClassVar[str] = 'send the call with this ticket'
    ticket: str
    ticket_id: str
    remaining_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TicketPending:
    """Report that a ticket has no outcome yet.

    Parameters
    ----------
    state : str
        ``'issued'`` or ``'running'``.
    remaining_ms : int
        Time until the ticket's deadline.
    """

    tag: typing.ClassVar[str] = 'pending'
    next_step: typing.ClassVar[str] = (
        'wait, or ask for the ticket again; the same ticket may be sent again'
    )
    state: str
    remaining_ms: int


def limit_forwarded_outcome(outcome):
    """Return the outcome to report for an attempt forwarded to another VM.

    A forwarded message may arrive twice, first at the issuer and then at
    the process that replaced it. An unknown outcome of a forwarded attempt
    therefore never allows the caller to renew its ticket.

    Examples
    --------
    >>> unknown = OutcomeUnknown(kind='issuer-gone', may_renew=True)
    >>> limit_forwarded_outcome(unknown).may_renew
    False
    """
    if not isinstance(outcome, OutcomeUnknown):
        return outcome
    return dataclasses.replace(outcome, may_renew=False)
