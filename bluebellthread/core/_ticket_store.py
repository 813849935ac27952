"""Ticket records, stored within a bounded amount of memory."""

import heapq

import attrs

from bluebellthread.core import _ticket_outcomes as outcomes

RECORD_BYTES = 1280
"""Memory counted for a record, excluding its answer."""

HEADER_BYTES = 160
"""Memory counted for a header, excluding its characters."""

ANSWER_RESERVE_BYTES = 2816
"""Memory reserved for an answer's body and headers when a ticket is issued."""

STATE_ISSUED = 'issued'
STATE_RUNNING = 'running'
STATE_FINAL = 'final'


@attrs.frozen(kw_only=True)
class TicketRecord:
    """Hold what a VM knows about one ticket.

    Parameters
    ----------
    state : str
        ``'issued'``; ``'running'`` as soon as the sender of its call is
        started; or ``'final'``.
    deadline_ms : int
        Time from which the call is no longer sent.
    keep_deadline_ms : int
        Earliest time at which the record may be dropped.
    check_path : str
        Path of the route's idempotent read that shows whether the call
        ran, or empty.
    call_digest : str
        Digest of the call that first used the ticket, or empty.
    outcome : object
        An outcome of `_ticket_outcomes` if the state is final, else None.
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


class TicketStore:
    """Store ticket records by ticket id within a memory limit.

    Parameters
    ----------
    limit_bytes : int
        Memory that all records together may use.

    Examples
    --------
    >>> store = TicketStore(limit_bytes=5000)
    >>> record = TicketRecord(ticket_id='vm1-7-1', caller='c',
    ...     serves='ledger', deadline_ms=10, keep_deadline_ms=20)
    >>> store.add(record), store.add(attrs.evolve(record, ticket_id='x'))
    (True, False)
    >>> store.drop_expired(20)
    >>> len(store)
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
        """Return the record of a ticket, or None if there is none."""
        return self._records.get(ticket_id)

    def all(self):
        """Return all records as a tuple."""
        return tuple(self._records.values())

    def add(self, record):
        """Add a record and return True, or return False if it does not fit."""
        cost = cost_bytes(record)
        if self.used_bytes + cost > self.limit_bytes:
            return False
        self.used_bytes += cost
        self._records[record.ticket_id] = record
        entry = (record.keep_deadline_ms, record.ticket_id)
        heapq.heappush(self._heap, entry)
        return True

    def replace(self, record):
        """Replace a record by a newer version and return True.

        Returns False and changes nothing if the newer version does not fit
        into the memory limit.
        """
        old = self._records[record.ticket_id]
        used_bytes = self.used_bytes - cost_bytes(old) + cost_bytes(record)
        if used_bytes > max(self.limit_bytes, self.used_bytes):
            return False
        self.used_bytes = used_bytes
        self._records[record.ticket_id] = record
        return True

    def drop_expired(self, now_ms):
        """Drop records past their keep deadline, except running ones."""
        while self._heap and self._heap[0][0] <= now_ms:
            _, ticket_id = heapq.heappop(self._heap)
            record = self._records.get(ticket_id)
            if record is None:
                continue
            if record.state == STATE_RUNNING:
                # `schedule_expiry` queues the record again once it is final.
                continue
            if record.keep_deadline_ms > now_ms:
                heapq.heappush(
                    self._heap, (record.keep_deadline_ms, ticket_id)
                )
                continue
            del self._records[ticket_id]
            self.used_bytes -= cost_bytes(record)

    def schedule_expiry(self, record):
        """Schedule a record to be dropped at its current keep deadline."""
        heapq.heappush(self._heap, (record.keep_deadline_ms, record.ticket_id))


def cost_bytes(record):
    """Return the memory counted for a record, in bytes."""
    if record.state != STATE_FINAL:
        return RECORD_BYTES + ANSWER_RESERVE_BYTES
    if isinstance(
        record.outcome, (outcomes.Completed, outcomes.RefusedByServer)
    ):
        return RECORD_BYTES + answer_bytes(record.outcome.answer)
    return RECORD_BYTES


def answer_bytes(answer):
    """Return the memory counted for an answer's headers and body, in bytes.

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
