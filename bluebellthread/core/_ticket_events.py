"""Input events and output commands of the ticket keeper."""

import attrs

from bluebellthread.core import _ticket_outcomes as outcomes
from bluebellthread.core import _ticket_store
from bluebellthread.core import _ticket_token


@attrs.frozen(kw_only=True)
class TicketAsked:
    """Report that a caller requests a ticket.

    Parameters
    ----------
    inbound : object
        Identifies the requester; it is passed back in the reply.
    """

    inbound: object
    caller: str
    serves: str
    check_path: str = ''


@attrs.frozen(kw_only=True)
class CallArrived:
    """Report a call whose ticket has been verified.

    Parameters
    ----------
    inbound : object
        Identifies the requester; it is passed back in the reply.
    deadline_ms : int
        Time by which the caller wants a reply.
    """

    inbound: object
    ticket: _ticket_token.Ticket
    caller: str
    call_digest: str
    deadline_ms: int
    check_path: str = ''


@attrs.frozen(kw_only=True)
class LookupArrived:
    """Report a lookup of a ticket, by its caller or by an operator.

    Parameters
    ----------
    inbound : object
        Identifies the requester; it is passed back in the reply.
    caller : str
        Name of the caller, or empty for an operator.
    """

    inbound: object
    ticket_id: str
    caller: str = ''


@attrs.frozen(kw_only=True)
class NothingSent:
    """Report that the sender gave up before it sent the first byte."""

    ticket_id: str
    kind: str


@attrs.frozen(kw_only=True)
class AnswerArrived:
    """Report that the backend server has answered a call.

    Parameters
    ----------
    refused : bool
        Whether the service guarantees that a call with such an answer has
        run nothing.
    whole : bool
        False if the answer was too large to read completely.
    """

    ticket_id: str
    answer: outcomes.ServerAnswer
    refused: bool = False
    whole: bool = True


@attrs.frozen(kw_only=True)
class AnswerLost:
    """Report that a call was sent but no complete answer arrived."""

    ticket_id: str


@attrs.frozen(kw_only=True)
class StopRequested:
    """Report that the process must stop.

    The keeper then starts no more calls and hands over its records.
    """


@attrs.frozen(kw_only=True)
class RecordsOffered:
    """Report that a stopping peer hands over its final ticket records."""

    inbound: object
    records: tuple[_ticket_store.TicketRecord, ...]


@attrs.frozen(kw_only=True)
class RecordsTaken:
    """Report that a peer has acknowledged a batch of ticket records."""

    batch: int


@attrs.frozen(kw_only=True)
class RecordsNotTaken:
    """Report that a peer refused or did not acknowledge a batch of records."""

    batch: int


@attrs.frozen(kw_only=True)
class TicketTick:
    """Report that time has passed, so that deadlines are checked."""


@attrs.frozen(kw_only=True)
class TicketReply:
    """Command: answer an inbound message with its result."""

    inbound: object
    result: object


@attrs.frozen(kw_only=True)
class StartSend:
    """Command: send an inbound call to a backend server, once.

    The sender compares the clock with the deadline immediately before it
    sends the first byte, and sends nothing if the deadline has passed.
    """

    inbound: object
    ticket_id: str
    deadline_ms: int


@attrs.frozen(kw_only=True)
class HandOver:
    """Command: send records to a peer and report whether it accepted them."""

    batch: int
    records: tuple[_ticket_store.TicketRecord, ...]


@attrs.frozen(kw_only=True)
class HandOverFinished:
    """Command: finish the stop, since no call or hand-over is in progress."""
