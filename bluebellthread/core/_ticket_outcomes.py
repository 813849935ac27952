"""How a call that may not be repeated ended, and what its caller does next.

``NotRun`` claims that the ticket's call has not run and never will.
``AttemptRejected`` claims only that this attempt ran nothing.
``OutcomeUnknown`` claims nothing.
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
    """A whole HTTP answer of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Completed:
    """The backend server answered; each attempt gets this answer.

    Parameters
    ----------
    answer : ServerAnswer
        The answer, success or not.
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
        """What the caller does now."""
        return 'read the answer' if self.whole else ANSWER_LOST_STEP


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefusedByServer:
    """The backend server refused, which by its contract ran nothing."""

    tag: typing.ClassVar[str] = 'refused'
    next_step: typing.ClassVar[str] = (
        'nothing ran; take a new ticket and call again later'
    )
    answer: ServerAnswer


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """The call has not run and this ticket will never run it.

    Parameters
    ----------
    kind : str
        ``'expired'``, ``'stopping'``, ``'no-backend'``,
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
    """The call may have run.

    Parameters
    ----------
    kind : str
        ``'no-answer-yet'``, ``'answer-lost'``, ``'expired'``,
        ``'issuer-gone'``, ``'issuer-unreachable'`` or ``'no-record'``.
    check_path : str
        The idempotent read that settles it, or empty.
    check_after_ms : int
        How long from now the call might still start to run.
    may_renew : bool
        Whether this attempt certainly ran nothing, so that a caller that
        never sent the ticket before may take a new one.

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
        """What the caller does now."""
        return UNKNOWN_STEP + (RENEW_STEP if self.may_renew else '')


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptRejected:
    """An attempt that ran nothing; no more than that is claimed.

    Parameters
    ----------
    kind : str
        ``'invalid-ticket'``, ``'other-call'``, ``'ticket-needed'``,
        ``'full'`` or ``'stopping'``.
    ticket : str
        For ``'ticket-needed'``: a fresh ticket to send the call with.
    """

    tag: typing.ClassVar[str] = 'rejected'
    kind: str
    ticket: str = ''

    @property
    def next_step(self):
        """What the caller does now."""
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
"""What a caller does after each kind of rejected attempt."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TicketIssued:
    """A fresh ticket."""

    tag: typing.ClassVar[str] = 'issued'
    next_step: typing.ClassVar[str] = 'send the call with this ticket'
    ticket: str
    ticket_id: str
    remaining_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TicketPending:
    """A ticket without an outcome so far.

    Parameters
    ----------
    state : str
        ``'issued'`` or ``'running'``.
    """

    tag: typing.ClassVar[str] = 'pending'
    next_step: typing.ClassVar[str] = (
        'wait, or ask for the ticket again; the same ticket may be sent again'
    )
    state: str
    remaining_ms: int


def after_forward(outcome):
    """Return an outcome for an attempt that was sent on to another VM.

    A forwarded message may arrive twice, first at the issuer and then at
    the process that replaced it. So no such attempt may claim that it
    certainly ran nothing.

    Examples
    --------
    >>> unknown = OutcomeUnknown(kind='issuer-gone', may_renew=True)
    >>> after_forward(unknown).may_renew
    False
    """
    if not isinstance(outcome, OutcomeUnknown):
        return outcome
    return dataclasses.replace(outcome, may_renew=False)
