"""The records of tickets within a bounded memory."""

import heapq

import attrs

from bluebellthread.core import _ticket_outcomes as outcomes

RECORD_BYTES = 1280
"""Memory counted for a record besides its answer."""

HEADER_BYTES = 160
"""Memory counted for a header besides its characters."""

ANSWER_RESERVE_BYTES = 2816
"""Memory held for an answer's body and headers from the issue on."""

STATE_ISSUED = 'issued'
STATE_RUNNING = 'running'
STATE_FINAL = 'final'


@attrs.frozen(kw_only=True)
class TicketRecord:
    """What a VM knows of one ticket.

    Parameters
    ----------
    state : str
        ``'issued'``, ``'running'`` from the moment that its sender is
        started, or ``'final'``.
    deadline_ms : int
        No send starts from then on.
    keep_deadline_ms : int
        Until when the record is kept at least.
    call_digest : str
        Of the call that first used the ticket.
    outcome : object
        One of the outcomes, once final.
    """

    ticket_id: str
    caller: str
    serves: str
    deadline_ms: int
    keep_deadline_ms: int
    state: str = STATE_ISSUED
    check_path: str = ''
    call_digest: str = ''
    outcome: object = None


class TicketBook:
    """Records by ticket id, never more than fit the given memory.

    Parameters
    ----------
    limit_bytes : int
        Memory that all records may take.

    Examples
    --------
    >>> book = TicketBook(limit_bytes=5000)
    >>> record = TicketRecord(ticket_id='vm1-7-1', caller='c',
    ...     serves='ledger', deadline_ms=10, keep_deadline_ms=20)
    >>> book.add(record), book.add(attrs.evolve(record, ticket_id='x'))
    (True, False)
    >>> book.drop_expired(20)
    >>> len(book)
    0
    """

    def __init__(self, *, limit_bytes):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._records = {}
        self._heap = []

    def __len__(self):
        return len(self._records)

    def find(self, ticket_id):
        """Return the record of a ticket, or None."""
        return self._records.get(ticket_id)

    def all(self):
        """Return every record."""
        return tuple(self._records.values())

    def add(self, record):
        """Add a record and return True, or return False if it is full."""
        cost = cost_bytes(record)
        if self.used_bytes + cost > self.limit_bytes:
            return False
        self.used_bytes += cost
        self._records[record.ticket_id] = record
        entry = (record.keep_deadline_ms, record.ticket_id)
        heapq.heappush(self._heap, entry)
        return True

    def replace(self, record):
        """Put a newer version of a record in its place.

        Returns False, with no change, if it needs more memory than there
        is.
        """
        old = self._records[record.ticket_id]
        used_bytes = self.used_bytes - cost_bytes(old) + cost_bytes(record)
        if used_bytes > max(self.limit_bytes, self.used_bytes):
            return False
        self.used_bytes = used_bytes
        self._records[record.ticket_id] = record
        return True

    def drop_expired(self, now_ms):
        """Forget the records that need not be kept; never a running one."""
        while self._heap and self._heap[0][0] <= now_ms:
            _, ticket_id = heapq.heappop(self._heap)
            record = self._records.get(ticket_id)
            if record is None:
                continue
            if record.state == STATE_RUNNING:
                # A running record moves on with its final deadline.
                continue
            if record.keep_deadline_ms > now_ms:
                heapq.heappush(
                    self._heap, (record.keep_deadline_ms, ticket_id)
                )
                continue
            del self._records[ticket_id]
            self.used_bytes -= cost_bytes(record)

    def watch(self, record):
        """Have a record dropped after its present keep deadline."""
        heapq.heappush(self._heap, (record.keep_deadline_ms, record.ticket_id))


def cost_bytes(record):
    """Return the memory that a record counts for."""
    if record.state != STATE_FINAL:
        return RECORD_BYTES + ANSWER_RESERVE_BYTES
    if isinstance(
        record.outcome, (outcomes.Completed, outcomes.RefusedByServer)
    ):
        return RECORD_BYTES + answer_bytes(record.outcome.answer)
    return RECORD_BYTES


def answer_bytes(answer):
    """Return the memory that an answer's headers and body count for.

    Examples
    --------
    >>> answer_bytes(outcomes.ServerAnswer(status=200, body=b'abc',
    ...                                    headers=(('a', 'bc'),)))
    166
    """
    headers = sum(
        HEADER_BYTES + len(name) + len(value) for name, value in answer.headers
    )
    return headers + len(answer.body)
