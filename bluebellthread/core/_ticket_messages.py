"""Messages between VMs about tickets."""

import dataclasses

import attrs

from bluebellthread.core import _ticket_outcomes as outcomes
from bluebellthread.core import _ticket_store

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
    """Request a ticket inside one process; never sent between VMs."""

    caller: str
    serves: str
    check_path: str = ''


@attrs.frozen(kw_only=True)
class TicketCall:
    """Forward a call to the VM that issued its ticket.

    Parameters
    ----------
    path : str
        Path of the call below the service's name, with its query.
    check_path : str
        Path of the route's idempotent read that shows whether the call
        ran, or empty.
    refusal_kinds : tuple of str
        Kinds of refusal by which, on this route, the service guarantees
        that nothing ran.
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
    """Ask a VM for the state or outcome of a ticket.

    Other VMs and operators send this message.

    Parameters
    ----------
    caller : str
        Name of the caller, or empty for an operator. An operator gets the
        outcome without the body and headers of the answer.
    """

    ticket_id: str
    caller: str = ''


@attrs.frozen(kw_only=True)
class TicketResult:
    """Encode an outcome or the state of a ticket as flat fields.

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
        """Return the message that encodes an outcome or a ticket's state."""
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
        """Return the outcome or ticket state that the message encodes."""
        result_class = _CLASSES[self.tag]
        names = [field.name for field in dataclasses.fields(result_class)]
        values = {name: getattr(self, name) for name in _FIELDS}
        values['answer'] = outcomes.ServerAnswer(
            status=self.status, headers=self.headers, body=self.body
        )
        return result_class(**{name: values[name] for name in names})


@attrs.frozen(kw_only=True)
class TicketCopy:
    """Encode a final ticket record, to hand it over to a peer."""

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
        """Return the message that encodes a final ticket record."""
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
        """Return the decoded record; only final records are handed over."""
        return _ticket_store.TicketRecord(
            ticket_id=self.ticket_id,
            caller=self.caller,
            serves=self.serves,
            deadline_ms=self.deadline_ms,
            keep_deadline_ms=self.keep_deadline_ms,
            check_path=self.check_path,
            call_digest=self.call_digest,
            state=_ticket_store.STATE_FINAL,
            outcome=self.result.to_result(),
        )


@attrs.frozen(kw_only=True)
class TicketRecords:
    """Hand final records of a stopping VM over to a peer.

    The reply is ``Done``, or a `TicketResult` with the tag ``'rejected'``
    if the peer has no memory left or is itself stopping.
    """

    records: tuple[TicketCopy, ...]


@attrs.frozen(kw_only=True)
class TicketsMoved:
    """Announce which VM now holds the ticket records of a stopped process.

    Parameters
    ----------
    holder : str
        Name of the VM that took the records over.
    keep_deadline_ms : int
        Time at which the last of the records is dropped.
    """

    issuer: str
    issuer_incarnation: int
    holder: str
    holder_host: str
    holder_peer_port: int
    keep_deadline_ms: int
