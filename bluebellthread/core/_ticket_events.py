"""What the keeper of tickets takes in and what it asks for."""

import attrs

from bluebellthread.core import _ticket_book
from bluebellthread.core import _ticket_outcomes as outcomes
from bluebellthread.core import _ticket_token


@attrs.frozen(kw_only=True)
class TicketAsked:
    """A caller wants a ticket.

    Parameters
    ----------
    waiter : object
        Returned in the reply.
    """

    waiter: object
    caller: str
    serves: str
    check_path: str = ''


@attrs.frozen(kw_only=True)
class CallArrived:
    """A call with a verified ticket.

    Parameters
    ----------
    deadline_ms : int
        When its caller wants to hear something at the latest.
    """

    waiter: object
    ticket: _ticket_token.Ticket
    caller: str
    call_digest: str
    deadline_ms: int
    check_path: str = ''


@attrs.frozen(kw_only=True)
class LookupArrived:
    """Somebody asks about a ticket; an empty caller is an operator."""

    waiter: object
    ticket_id: str
    caller: str = ''


@attrs.frozen(kw_only=True)
class NothingSent:
    """The sender gave up before the first byte went out."""

    ticket_id: str
    kind: str


@attrs.frozen(kw_only=True)
class AnswerArrived:
    """The backend server's whole answer is here.

    Parameters
    ----------
    refused : bool
        Whether the answer means by the service's contract that nothing
        ran.
    whole : bool
        False if the answer was too large to be read.
    """

    ticket_id: str
    answer: outcomes.ServerAnswer
    refused: bool = False
    whole: bool = True


@attrs.frozen(kw_only=True)
class AnswerLost:
    """Bytes went out, and no whole answer will come."""

    ticket_id: str


@attrs.frozen(kw_only=True)
class StopRequested:
    """The process is to stop: start no call, hand the records over."""


@attrs.frozen(kw_only=True)
class RecordsOffered:
    """A stopping peer hands records over."""

    waiter: object
    records: tuple[_ticket_book.TicketRecord, ...]


@attrs.frozen(kw_only=True)
class RecordsTaken:
    """A peer acknowledged a batch of records."""

    batch: int


@attrs.frozen(kw_only=True)
class RecordsNotTaken:
    """A peer refused a batch, or its acknowledgement did not come."""

    batch: int


@attrs.frozen(kw_only=True)
class TicketTick:
    """Time has passed; deadlines may be over."""


@attrs.frozen(kw_only=True)
class TicketReply:
    """Command: give a waiter its result."""

    waiter: object
    result: object


@attrs.frozen(kw_only=True)
class StartSend:
    """Command: send the waiter's call to a backend server, once.

    The sender compares the clock with the deadline immediately before
    its first byte, and sends nothing from then on.
    """

    waiter: object
    ticket_id: str
    deadline_ms: int


@attrs.frozen(kw_only=True)
class HandOver:
    """Command: send records to a peer and report how that went."""

    batch: int
    records: tuple[_ticket_book.TicketRecord, ...]


@attrs.frozen(kw_only=True)
class HandOverFinished:
    """Command: nothing runs any more and every record has been taken."""
