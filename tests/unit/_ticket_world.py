"""Model of two VMs, a backend server and a caller, for state searches.

Every step that could happen next is a successor. A message that is never
delivered models a lost message, and a VM that takes no step models a paused
one. The caller receives an answer as soon as there is one and may still act
as if it had not; receiving it later or never would only allow it fewer
actions.
"""

import copy
import functools
import typing

import attrs

from bluebellthread import core

LIFETIME_MS = 10
MARGIN_MS = 10
KEEP_MS = 20
MOMENTS_MS = (0, 10, 20, 40)  # issue, deadline, end of margin, drop
KEY = core.TicketKey(key_id='k', secret=b's' * 32)
SIGNER = core.TicketSigner((KEY,))
OPTIONS = core.TicketOptions(
    lifetime_timeout_ms=LIFETIME_MS,
    keep_timeout_ms=KEEP_MS,
    check_margin_ms=MARGIN_MS,
)


class NaiveKeeper(core.TicketKeeper):
    """A faulty keeper that runs every call whose ticket it has no record of.

    It stands for a design in which a hash chooses the VM that runs a call.
    """

    def _on_call(self, event, now_ms):
        ticket_id = event.ticket.ticket_id
        if self.store.find(ticket_id) is None:
            record = core.TicketRecord(
                ticket_id=ticket_id,
                caller=event.caller,
                serves=event.ticket.serves,
                deadline_ms=event.ticket.deadline_ms,
                keep_deadline_ms=event.ticket.deadline_ms + KEEP_MS,
            )
            self.store.add(record)
        return super()._on_call(event, now_ms)

    _HANDLERS = {**core.TicketKeeper._HANDLERS, core.CallArrived: _on_call}


@attrs.frozen(kw_only=True)
class Node:
    """One VM; its keeper is None while its process does not run.

    ``sends`` holds pairs of a ticket id and the stage of its send, and
    ``forwards`` the numbers of the attempts forwarded to the other VM.
    """

    keeper: object
    sends: frozenset = frozenset()
    forwards: frozenset = frozenset()

    @functools.cached_property
    def key(self):
        if self.keeper is None:
            return None
        keeper = self.keeper
        waiters = [(k, tuple(v)) for k, v in keeper._waiters.items() if v]
        return (
            keeper.incarnation,
            keeper.stopping,
            keeper.store.all(),
            tuple(waiters),
            tuple(keeper._batches.items()),
            self.sends,
            self.forwards,
        )


class World(typing.NamedTuple):
    """One state of the model.

    Each message in ``network`` may be delivered at any later time. It is a
    tuple of its kind and its contents: ``order`` is the call on its way to
    the backend server, ``ran`` its answer, ``forward`` an attempt forwarded
    from VM 1 to VM 0, ``records`` a hand-over and ``ack`` its
    acknowledgement. ``ticket_runs`` counts the runs with the first ticket,
    and ``order_runs`` also counts the run with a renewed one.
    """

    keeper_class: type
    ticket: object
    nodes: tuple
    longest_pause_ms: int
    now_ms: int = 0
    network: frozenset = frozenset()
    attempts_left: int = 2
    may_renew: bool = False
    check_from_ms: int = 1000
    renewed: bool = False
    not_run_reported: bool = False
    ticket_runs: int = 0
    order_runs: int = 0
    crashes_left: int = 1
    stops_left: int = 1
    copies_left: int = 1

    def key(self):
        return (
            tuple(node.key for node in self.nodes),
            self.now_ms,
            frozenset(m for m in self.network if self._has_effect(m)),
            self.attempts_left,
            self.may_renew,
            self.check_from_ms,
            self.renewed,
            self.not_run_reported,
            self.ticket_runs,
            self.order_runs,
            self.crashes_left,
            self.stops_left,
            self.copies_left,
        )

    def _has_effect(self, message):
        if message[0] == 'ran':
            send = (message[1], 'sent')
            return any(send in node.sends for node in self.nodes)
        return True

    def fault(self):
        """Return the violated invariant, or None."""
        if self.ticket_runs > 1 or self.order_runs > 1:
            return 'second run'
        if self.not_run_reported and self.ticket_runs:
            return 'false not run'
        return None

    # Generators of successors, each a (label, world) pair.

    def successors(self):
        yield from self._advance_time()
        yield from self._act_as_caller()
        for index, node in enumerate(self.nodes):
            if node.keeper is not None:
                yield from self._act_as_vm(index, node)
            yield from self._crash_or_restart(index, node)
        for message in self.network:
            for label, world in self._deliver(message):
                yield label, world._without(message)
                if message[0] in ('forward', 'records') and self.copies_left:
                    copied = world._replace(copies_left=0)
                    yield label + ' and keep a copy', copied

    def _advance_time(self):
        later = [m for m in MOMENTS_MS if m > self.now_ms]
        if not later:
            return
        sends = {send for node in self.nodes for send in node.sends}
        paused = any(stage == 'checked' for _, stage in sends)
        if paused and later[0] > self.longest_pause_ms:
            return
        network = self.network
        if later[0] == LIFETIME_MS + MARGIN_MS:
            # The kernel discards unacknowledged bytes within the margin, so
            # a call that is still in flight is lost.
            network = frozenset(m for m in network if m[0] != 'order')
        yield 'time', self._replace(now_ms=later[0], network=network)

    def _act_as_caller(self):
        if self.renewed:
            return
        if self.attempts_left:
            number = self.attempts_left
            world = self._replace(attempts_left=number - 1, may_renew=False)
            yield f'try {number} at 0', world._receive(number, 0)
            yield f'try {number} at 1', world._receive(number, 1)
        if self.not_run_reported or self.may_renew:
            yield 'renew', self._renew()
        if self.check_from_ms <= self.now_ms and not self.ticket_runs:
            yield 'read finds nothing', self._renew()

    def _act_as_vm(self, index, node):
        for number in node.forwards:
            event = self._call(('caller', number))
            world = self._set(index, forwards=node.forwards - {number})
            yield (
                'forward timed out',
                world._handle(index, event, forwarded=True),
            )
        for ticket_id, stage in node.sends:
            yield from self._advance_send(index, node, ticket_id, stage)
        if self.stops_left and index == 0:
            world = self._replace(stops_left=0)
            yield 'stop', world._handle(0, core.StopRequested())
        for batch, records in node.keeper._batches.items():
            if ('records', batch, records) in self.network:
                continue
            event = core.RecordsNotTaken(batch=batch)
            yield 'hand over again', self._handle(index, event)

    def _advance_send(self, index, node, ticket_id, stage):
        def end_send(event):
            others = node.sends - {(ticket_id, stage)}
            return self._set(index, sends=others)._handle(index, event)

        def set_stage(new_stage):
            others = node.sends - {(ticket_id, stage)}
            return self._set(index, sends=others | {(ticket_id, new_stage)})

        nothing_sent = core.NothingSent(
            ticket_id=ticket_id, kind='unreachable'
        )
        if stage == 'connecting':
            yield 'no connection', end_send(nothing_sent)
            if self.now_ms >= LIFETIME_MS:
                yield 'too late to send', end_send(nothing_sent)
            else:
                yield 'clock read', set_stage('checked')
        elif stage == 'checked':
            yield 'write', set_stage('sent')._send(('order', ticket_id))
        else:
            yield 'answer lost', end_send(core.AnswerLost(ticket_id=ticket_id))

    def _crash_or_restart(self, index, node):
        if node.keeper is not None and self.crashes_left:
            world = self._replace(crashes_left=0)
            yield f'crash {index}', world._set(index, keeper=None)
        if node.keeper is None:
            keeper = make_keeper(self.keeper_class, index, incarnation=2)
            nodes = list(self.nodes)
            nodes[index] = Node(keeper=keeper)
            world = self._replace(nodes=tuple(nodes))
            yield f'restart {index}', world

    def _deliver(self, message):
        kind, subject, *rest = message
        if kind == 'order':
            runs = self.ticket_runs + 1
            world = self._replace(
                ticket_runs=runs, order_runs=self.order_runs + 1
            )
            yield 'run', world._send(('ran', subject))
        elif kind == 'ran':
            answer = core.ServerAnswer(status=200)
            event = core.AnswerArrived(ticket_id=subject, answer=answer)
            for index, node in enumerate(self.nodes):
                if (subject, 'sent') in node.sends:
                    sends = node.sends - {(subject, 'sent')}
                    world = self._set(index, sends=sends)
                    yield 'answer', world._handle(index, event)
        elif kind == 'forward' and self.nodes[0].keeper:
            event = self._call(('forward', subject))
            yield 'forwarded', self._handle(0, event)
        elif kind == 'records' and self.nodes[1].keeper:
            event = core.RecordsOffered(
                inbound=('ack', subject), records=rest[0]
            )
            yield 'records taken', self._handle(1, event)
        elif kind == 'ack' and self.nodes[0].keeper:
            yield 'ack', self._handle(0, core.RecordsTaken(batch=subject))

    def _receive(self, number, index):
        if self.nodes[index].keeper is None:
            return self
        event = self._call(('caller', number))
        known = self.nodes[1].keeper
        known = known and known.store.find(self.ticket.ticket_id)
        if index == 0 or known or self.nodes[0].keeper is None:
            return self._handle(index, event)
        forwards = self.nodes[1].forwards | {number}
        return self._set(1, forwards=forwards)._send(('forward', number))

    def _receive_outcome(self, outcome):
        if isinstance(outcome, core.NotRun):
            return self._replace(not_run_reported=True)
        if not isinstance(outcome, core.OutcomeUnknown):
            return self
        check_from_ms = self.now_ms + outcome.check_after_ms
        return self._replace(
            may_renew=outcome.may_renew and self.attempts_left == 1,
            check_from_ms=min(self.check_from_ms, check_from_ms),
        )

    def _renew(self):
        # Assume the worst case: the call with the new ticket runs at once.
        runs = self.order_runs + 1
        return self._replace(renewed=True, order_runs=runs)

    def _call(self, inbound):
        return core.CallArrived(
            inbound=inbound,
            ticket=self.ticket,
            caller='c',
            call_digest='d',
            deadline_ms=LIFETIME_MS * 10,
            check_path='/orders',
        )

    def _handle(self, index, event, *, forwarded=False):
        node = self.nodes[index]
        keeper = copy_keeper(node.keeper)
        world = self._set(index, keeper=keeper)
        for command in keeper.handle(event, self.now_ms):
            world = world._execute(index, command, forwarded)
        return world

    def _execute(self, index, command, forwarded):
        if isinstance(command, core.StartSend):
            sends = self.nodes[index].sends | {
                (command.ticket_id, 'connecting')
            }
            return self._set(index, sends=sends)
        if isinstance(command, core.HandOver):
            return self._send(('records', command.batch, command.records))
        if isinstance(command, core.HandOverFinished):
            return self._set(index, keeper=None)
        kind, number = command.inbound
        if kind == 'ack':
            return self if command.result else self._send(('ack', number))
        result = command.result
        if forwarded or kind == 'forward':
            result = core.limit_forwarded_outcome(result)
        if kind == 'caller':
            return self._receive_outcome(result)
        forwards = self.nodes[1].forwards
        if number not in forwards:
            return self
        return self._set(1, forwards=forwards - {number})._receive_outcome(
            result
        )

    def _set(self, index, **changes):
        nodes = list(self.nodes)
        nodes[index] = attrs.evolve(nodes[index], **changes)
        if nodes[index].keeper is None:
            nodes[index] = Node(keeper=None)
        return self._replace(nodes=tuple(nodes))

    def _send(self, message):
        return self._replace(network=self.network | {message})

    def _without(self, message):
        return self._replace(network=self.network - {message})


def make_keeper(keeper_class, index, incarnation=1):
    return keeper_class(
        vm=f'vm{index}',
        incarnation=incarnation,
        host='127.0.0.1',
        peer_port=7000 + index,
        signer=SIGNER,
        options=OPTIONS,
    )


def copy_keeper(keeper):
    """Return a copy that shares only immutable state."""
    keeper = copy.copy(keeper)
    keeper.store = copy.copy(keeper.store)
    keeper.store._records = dict(keeper.store._records)
    keeper.store._heap = list(keeper.store._heap)
    keeper._batches = dict(keeper._batches)
    keeper._waiters = {k: list(v) for k, v in keeper._waiters.items()}
    return keeper


def make_world(keeper_class, *, longest_pause_ms=1000):
    """Return the initial state, in which VM 0 has issued a ticket."""
    keepers = [make_keeper(keeper_class, index) for index in (0, 1)]
    asked = core.TicketAsked(inbound=0, caller='c', serves='ledger')
    text = keepers[0].handle(asked, 0)[0].result.ticket
    return World(
        keeper_class=keeper_class,
        ticket=SIGNER.verify(text, 'c'),
        nodes=tuple(Node(keeper=keeper) for keeper in keepers),
        longest_pause_ms=longest_pause_ms,
    )
