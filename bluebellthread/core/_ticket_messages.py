"""Messages between VMs about tickets."""

import dataclasses

import attrs

from bluebellthread.core import _ticket_book
from bluebellthread.core import _ticket_outcomes as outcomes

_FIELDS = ('kind', 'ticket', 'check_path', 'check_after_ms', 'may_renew')
_FIELDS += ('ticket_id', 'state', 'remaining_ms', 'whole')
_CLASSES = {
    cls.tag: cls
    for cls in (
        outcomes.Completed,
        outcomes.RefusedByServer,
        outcomes.NotRun,
        outcomes.OutcomeUnknown,
        outcomes.AttemptRejected,
        outcomes.TicketIssued,
        outcomes.TicketPending,
    )
}


@attrs.frozen(kw_only=True)
class TicketRequest:
    """The gateway asks for a ticket; never travels between VMs."""

    caller: str
    serves: str
    check_path: str = ''


@attrs.frozen(kw_only=True)
class TicketCall:
    """Another VM forwards a call to the issuer of its ticket.

    Parameters
    ----------
    path : str
        Below the service's name, with its query.
    check_path : str
        The route's idempotent read.
    refusal_kinds : tuple of str
        The route's refusals that mean that nothing ran.
    """

    ticket: str
    caller: str
    serves: str
    method: str
    path: str
    deadline_ms: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    check_path: str = ''
    refusal_kinds: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class TicketLookup:
    """Another VM, or an operator, asks what is known of a ticket.

    Parameters
    ----------
    caller : str
        Who asks; empty for an operator, who is not shown the answer.
    """

    ticket_id: str
    caller: str = ''


@attrs.frozen(kw_only=True)
class TicketResult:
    """An outcome, or what else is known of a ticket, as flat fields.

    Examples
    --------
    >>> TicketResult.of(outcomes.NotRun(kind='expired')).kind
    'expired'
    """

    tag: str
    kind: str = ''
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    whole: bool = True
    check_path: str = ''
    check_after_ms: int = 0
    may_renew: bool = False
    ticket: str = ''
    ticket_id: str = ''
    state: str = ''
    remaining_ms: int = 0

    @classmethod
    def of(cls, result):
        """Return the message for an outcome or a ticket's state."""
        values = {
            name: getattr(result, name)
            for name in _FIELDS
            if hasattr(result, name)
        }
        answer = getattr(result, 'answer', None)
        if answer is not None:
            values['status'] = answer.status
            values['headers'] = answer.headers
            values['body'] = answer.body
        return cls(tag=result.tag, **values)

    def to_result(self):
        """Return the outcome or state that the message stands for."""
        result_class = _CLASSES[self.tag]
        names = [field.name for field in dataclasses.fields(result_class)]
        values = {name: getattr(self, name) for name in _FIELDS}
        values['answer'] = outcomes.ServerAnswer(
            status=self.status, headers=self.headers, body=self.body
        )
        return result_class(**{name: values[name] for name in names})


@attrs.frozen(kw_only=True)
class TicketCopy:
    """A final record on its way to a peer."""

    ticket_id: str
    caller: str
    serves: str
    deadline_ms: int
    keep_deadline_ms: int
    check_path: str
    call_digest: str
    result: TicketResult

    @classmethod
    def of(cls, record):
        """Return the copy of a final record."""
        return cls(
            ticket_id=record.ticket_id,
            caller=record.caller,
            serves=record.serves,
            deadline_ms=record.deadline_ms,
            keep_deadline_ms=record.keep_deadline_ms,
            check_path=record.check_path,
            call_digest=record.call_digest,
            result=TicketResult.of(record.outcome),
        )

    def to_record(self):
        """Return the record; nothing but a final one ever travels."""
        return _ticket_book.TicketRecord(
            ticket_id=self.ticket_id,
            caller=self.caller,
            serves=self.serves,
            deadline_ms=self.deadline_ms,
            keep_deadline_ms=self.keep_deadline_ms,
            check_path=self.check_path,
            call_digest=self.call_digest,
            state=_ticket_book.STATE_FINAL,
            outcome=self.result.to_result(),
        )


@attrs.frozen(kw_only=True)
class TicketRecords:
    """A stopping VM hands final records to a peer.

    The answer is ``Done``, or ``Rejected`` where the peer has no room or
    stops itself.
    """

    records: tuple[TicketCopy, ...]


@attrs.frozen(kw_only=True)
class TicketsMoved:
    """A VM tells the others who answers for a process's tickets now.

    Parameters
    ----------
    holder : str
        The VM that took the records.
    keep_deadline_ms : int
        When the last of the records is dropped.
    """

    issuer: str
    issuer_incarnation: int
    holder: str
    holder_host: str
    holder_peer_port: int
    keep_deadline_ms: int
