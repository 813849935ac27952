"""State machine of the tickets of one process, for at-most-once calls.

Only the process that issued a ticket may run its call, so two VMs never
have to agree about who runs it. All guarantees of this module rest on three
properties of that process: it loses all its state when it dies, it starts
at most one send per ticket, and it starts no send once the ticket's deadline
has passed or the process is stopping.
"""

import attrs

from bluebellthread.core import _ticket_events as events
from bluebellthread.core import _ticket_outcomes as outcomes
from bluebellthread.core import _ticket_store as store
from bluebellthread.core import _ticket_token

MAX_BATCH_RECORDS = 64
"""Largest number of records in one hand-over message."""

MAX_BATCH_BYTES = 256 * 1024
"""Largest memory of the records in one hand-over message.

A larger record is sent in a message of its own.
"""


CHECK_MARGIN_MS = 10000
"""Time after a ticket's deadline from which its call can no longer start.

A call that was sent just before the deadline has started to run by then.
"""


@attrs.frozen(kw_only=True)
class TicketOptions:
    """Set the time and memory limits of one ticket keeper.

    Parameters
    ----------
    lifetime_timeout_ms : int
        Time from the issue of a ticket to its deadline.
    keep_timeout_ms : int
        How long a record is kept after the ticket's deadline, or after its
        outcome became known if that is later.
    check_margin_ms : int
        Time after the deadline by which a call that was sent just before
        the deadline has started to run.
    limit_bytes : int
        Memory that all records together may use.
    """

    lifetime_timeout_ms: int = 30000
    keep_timeout_ms: int = 120000
    check_margin_ms: int = CHECK_MARGIN_MS
    limit_bytes: int = 8 * 1024 * 1024


class TicketKeeper:
    """Issue the tickets of one process and record their outcomes.

    This state machine performs no I/O. It also replies with the outcomes in
    records that stopping peers handed over, but never runs the calls of
    those records.

    Parameters
    ----------
    vm, incarnation, host, peer_port : str, int, str, int
        Name and incarnation of this process, and its address for peers.
    signer : TicketSigner
        Signs the tickets.
    options : TicketOptions
        Time and memory limits.

    Examples
    --------
    >>> key = _ticket_token.TicketKey(key_id='a', secret=b'x' * 32)
    >>> keeper = TicketKeeper(vm='vm1', incarnation=7, host='127.0.0.1',
    ...     peer_port=7000, signer=_ticket_token.TicketSigner((key,)))
    >>> asked = events.TicketAsked(inbound=1, caller='c', serves='ledger')
    >>> keeper.handle(asked, 0)[0].result.ticket_id
    'vm1-7-1'
    """

    def __init__(
        self, *, vm, incarnation, host, peer_port, signer, options=None
    ):
        self.vm = vm
        self.incarnation = incarnation
        self.host = host
        self.peer_port = peer_port
        self.signer = signer
        self.options = options or TicketOptions()
        self.store = store.TicketStore(limit_bytes=self.options.limit_bytes)
        self.stopping = False
        self._issued_count = 0
        self._running_count = 0
        self._waiters = {}
        self._batches = {}
        self._batch_count = 0

    def handle(self, event, now_ms):
        """Handle one event and return the commands to execute."""
        commands = self._HANDLERS[type(event)](self, event, now_ms)
        self.store.drop_expired(now_ms)
        return commands

    @property
    def running_count(self):
        """Return the number of started calls that have no outcome yet."""
        return self._running_count

    def issued_here(self, ticket):
        """Return whether this incarnation of the process issued a ticket."""
        return (self.vm, self.incarnation) == (
            ticket.issuer,
            ticket.issuer_incarnation,
        )

    def _on_ticket_asked(self, event, now_ms):
        if self.stopping:
            return [_reject(event.inbound, 'stopping')]
        self.store.drop_expired(now_ms)
        ticket = self._make_ticket(event, now_ms)
        record = store.TicketRecord(
            ticket_id=ticket.ticket_id,
            caller=event.caller,
            serves=event.serves,
            check_path=event.check_path,
            deadline_ms=ticket.deadline_ms,
            keep_deadline_ms=ticket.deadline_ms + self.options.keep_timeout_ms,
        )
        if not self.store.add(record):
            return [_reject(event.inbound, 'full')]
        self._issued_count += 1
        issued = outcomes.TicketIssued(
            ticket=self.signer.sign(ticket, event.caller),
            ticket_id=ticket.ticket_id,
            remaining_ms=ticket.lifetime_ms,
        )
        return [events.TicketReply(inbound=event.inbound, result=issued)]

    def _make_ticket(self, event, now_ms):
        return _ticket_token.Ticket(
            issuer=self.vm,
            issuer_incarnation=self.incarnation,
            number=self._issued_count + 1,
            host=self.host,
            peer_port=self.peer_port,
            serves=event.serves,
            deadline_ms=now_ms + self.options.lifetime_timeout_ms,
            lifetime_ms=self.options.lifetime_timeout_ms,
        )

    def _on_call(self, event, now_ms):
        record = self.store.find(event.ticket.ticket_id)
        if record is None or record.caller != event.caller:
            return [self._reply_without_record(event, now_ms)]
        if record.call_digest not in ('', event.call_digest):
            return [_reject(event.inbound, 'other-call')]
        if record.state == store.STATE_ISSUED:
            return self._start_call(record, event, now_ms)
        if record.state == store.STATE_RUNNING:
            waiting = self._waiters.setdefault(record.ticket_id, [])
            waiting.append((event.deadline_ms, event.inbound))
            return []
        return [self._reply_final(record, event.inbound, now_ms)]

    def _start_call(self, record, event, now_ms):
        record = attrs.evolve(
            record,
            call_digest=event.call_digest,
            check_path=event.check_path or record.check_path,
        )
        if now_ms >= record.deadline_ms:
            outcome = outcomes.NotRun(kind='expired')
            record = self._finish(record, outcome, now_ms)
            return [self._reply_final(record, event.inbound, now_ms)]
        self.store.replace(attrs.evolve(record, state=store.STATE_RUNNING))
        self._running_count += 1
        self._waiters[record.ticket_id] = [(event.deadline_ms, event.inbound)]
        return [
            events.StartSend(
                inbound=event.inbound,
                ticket_id=record.ticket_id,
                deadline_ms=record.deadline_ms,
            )
        ]

    def _reply_without_record(self, event, now_ms):
        # This process does not run the call now, whatever happened to the
        # ticket before. A caller that has never sent the ticket before can
        # therefore conclude that the call has not run.
        ticket = event.ticket
        if self.issued_here(ticket):
            kind = 'expired'
            check_after_ms = self._check_after_ms(ticket.deadline_ms, now_ms)
        else:
            kind = 'issuer-gone'
            check_after_ms = ticket.lifetime_ms + self.options.check_margin_ms
        unknown = outcomes.OutcomeUnknown(
            kind=kind,
            check_path=event.check_path,
            check_after_ms=check_after_ms,
            may_renew=True,
        )
        return events.TicketReply(inbound=event.inbound, result=unknown)

    def _on_lookup(self, event, now_ms):
        record = self.store.find(event.ticket_id)
        if record is None or event.caller not in ('', record.caller):
            unknown = outcomes.OutcomeUnknown(
                kind='no-record',
                check_after_ms=self.options.lifetime_timeout_ms
                + self.options.check_margin_ms,
            )
            return [events.TicketReply(inbound=event.inbound, result=unknown)]
        if record.state != store.STATE_FINAL:
            pending = outcomes.TicketPending(
                state=record.state,
                remaining_ms=max(0, record.deadline_ms - now_ms),
            )
            return [events.TicketReply(inbound=event.inbound, result=pending)]
        return [self._reply_final(record, event.inbound, now_ms)]

    def _on_nothing_sent(self, event, now_ms):
        outcome = outcomes.NotRun(kind=event.kind)
        return self._end_run(event.ticket_id, outcome, now_ms)

    def _on_answer(self, event, now_ms):
        if event.refused:
            outcome = outcomes.RefusedByServer(answer=event.answer)
        else:
            outcome = outcomes.Completed(
                answer=event.answer, whole=event.whole
            )
        return self._end_run(event.ticket_id, outcome, now_ms)

    def _on_answer_lost(self, event, now_ms):
        outcome = outcomes.OutcomeUnknown(kind='answer-lost')
        return self._end_run(event.ticket_id, outcome, now_ms)

    def _end_run(self, ticket_id, outcome, now_ms):
        record = self.store.find(ticket_id)
        if record is None or record.state != store.STATE_RUNNING:
            return []
        self._running_count -= 1
        record = self._finish(record, outcome, now_ms)
        commands = [
            self._reply_final(record, inbound, now_ms)
            for _, inbound in self._waiters.pop(ticket_id, ())
        ]
        if self.stopping:
            commands += self._hand_over([record])
            commands += self._finish_stop()
        return commands

    def _finish(self, record, outcome, now_ms):
        keep_from_ms = max(record.deadline_ms, now_ms)
        record = attrs.evolve(
            record,
            state=store.STATE_FINAL,
            outcome=outcome,
            keep_deadline_ms=keep_from_ms + self.options.keep_timeout_ms,
        )
        if not self.store.replace(record):
            record = attrs.evolve(record, outcome=_without_body(outcome))
            self.store.replace(record)
        self.store.schedule_expiry(record)
        return record

    def _reply_final(self, record, inbound, now_ms):
        outcome = record.outcome
        if isinstance(outcome, outcomes.OutcomeUnknown):
            outcome = self._make_unknown(record, outcome.kind, now_ms)
        return events.TicketReply(inbound=inbound, result=outcome)

    def _make_unknown(self, record, kind, now_ms):
        return outcomes.OutcomeUnknown(
            kind=kind,
            check_path=record.check_path,
            check_after_ms=self._check_after_ms(record.deadline_ms, now_ms),
        )

    def _check_after_ms(self, deadline_ms, now_ms):
        return max(0, deadline_ms + self.options.check_margin_ms - now_ms)

    def _on_tick(self, event, now_ms):
        commands = []
        for ticket_id, waiting in self._waiters.items():
            record = self.store.find(ticket_id)
            unknown = self._make_unknown(record, 'no-answer-yet', now_ms)
            commands += [
                events.TicketReply(inbound=inbound, result=unknown)
                for deadline_ms, inbound in waiting
                if deadline_ms <= now_ms
            ]
            waiting[:] = [entry for entry in waiting if entry[0] > now_ms]
        return commands

    def _on_stop(self, event, now_ms):
        if self.stopping:
            return []
        self.stopping = True
        final = [
            self._finish(record, outcomes.NotRun(kind='stopping'), now_ms)
            if record.state == store.STATE_ISSUED
            else record
            for record in self.store.all()
            if record.state != store.STATE_RUNNING
        ]
        return self._hand_over(final) + self._finish_stop()

    def _hand_over(self, records):
        commands = []
        for batch in _split_into_batches(records):
            self._batch_count += 1
            self._batches[self._batch_count] = batch
            commands.append(
                events.HandOver(batch=self._batch_count, records=batch)
            )
        return commands

    def _finish_stop(self):
        if self._running_count or self._batches:
            return []
        return [events.HandOverFinished()]

    def _on_records_taken(self, event, now_ms):
        if self._batches.pop(event.batch, None) is None:
            return []
        return self._finish_stop()

    def _on_records_not_taken(self, event, now_ms):
        records = self._batches.get(event.batch)
        if records is None:
            return []
        return [events.HandOver(batch=event.batch, records=records)]

    def _on_records_offered(self, event, now_ms):
        if self.stopping:
            return [_reject(event.inbound, 'stopping')]
        self.store.drop_expired(now_ms)
        for record in event.records:
            if self.store.find(record.ticket_id) is not None:
                continue
            if not self.store.add(record):
                return [_reject(event.inbound, 'full')]
        return [events.TicketReply(inbound=event.inbound, result=None)]

    _HANDLERS = {
        events.TicketAsked: _on_ticket_asked,
        events.CallArrived: _on_call,
        events.LookupArrived: _on_lookup,
        events.NothingSent: _on_nothing_sent,
        events.AnswerArrived: _on_answer,
        events.AnswerLost: _on_answer_lost,
        events.StopRequested: _on_stop,
        events.RecordsOffered: _on_records_offered,
        events.RecordsTaken: _on_records_taken,
        events.RecordsNotTaken: _on_records_not_taken,
        events.TicketTick: _on_tick,
    }


def max_check_after_ms(ticket):
    """Return an upper bound of the time in which a ticket's call may start.

    The bound holds without knowledge of the issuer's clock.

    Examples
    --------
    >>> max_check_after_ms(_ticket_token.Ticket(issuer='vm1',
    ...     issuer_incarnation=255, number=3, host='127.0.0.1',
    ...     peer_port=7000, serves='ledger', deadline_ms=60000,
    ...     lifetime_ms=30000))
    40000
    """
    return ticket.lifetime_ms + CHECK_MARGIN_MS


def _reject(inbound, kind):
    rejected = outcomes.AttemptRejected(kind=kind)
    return events.TicketReply(inbound=inbound, result=rejected)


def _without_body(outcome):
    if not isinstance(outcome, outcomes.Completed):
        return outcomes.NotRun(kind='refused')
    answer = outcomes.ServerAnswer(status=outcome.answer.status)
    return outcomes.Completed(answer=answer, whole=False)


def _split_into_batches(records):
    batch = []
    size_bytes = 0
    for record in records:
        cost = store.cost_bytes(record)
        too_large = batch and size_bytes + cost > MAX_BATCH_BYTES
        if too_large or len(batch) == MAX_BATCH_RECORDS:
            yield tuple(batch)
            batch = []
            size_bytes = 0
        batch.append(record)
        size_bytes += cost
    if batch:
        yield tuple(batch)
