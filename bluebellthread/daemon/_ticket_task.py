"""The task that keeps ticket records and sends the at-most-once calls."""

import json

import attrs
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _one_shot
from bluebellthread.daemon import _peers
from bluebellthread.daemon import _tasks
from bluebellthread.daemon import _ticket_finder
from bluebellthread.observe import emit
from bluebellthread.observe import events

QUEUE_LENGTH = 1024

TICK_INTERVAL_S = 0.1
"""Interval at which the deadlines of tickets are checked."""

HAND_OVER_TIMEOUT_MS = 2000
"""Timeout of a peer's answer to a hand-over message."""

HAND_OVER_ROUNDS = 3
"""Attempts to hand a batch of records over to each peer."""

HOLDER_KEEP_MS = 900000
"""How long VMs remember which VM took an issuer's records over.

It is longer than any record is kept.
"""

HAND_OVER_PEERS = 4
"""Largest number of peers that are asked to take records over."""

MESSAGE_CLASSES = (
    core.TicketRequest,
    core.TicketCall,
    core.TicketLookup,
    core.TicketRecords,
    core.TicketsMoved,
)


class TicketTask:
    """Keeps ticket records, sends calls and hands records over at a stop.

    Parameters
    ----------
    vm, data_centre, incarnation : str, str, int
        Name and data centre of this VM, and incarnation of this process.
    keeper : TicketKeeper
        State machine of the ticket records.
    fleet : Fleet
        Provides the configuration and the membership view.
    links : PeerLinks
        Connections to other VMs.
    """

    def __init__(self, *, vm, data_centre, incarnation, keeper, fleet, links):
        self._vm = vm
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._keeper = keeper
        self._fleet = fleet
        self._links = links
        self._holders = core.TicketHolders()
        self._nursery = None
        self._send_scopes = {}
        self._hand_over_attempts = {}
        self._announced = set()
        self._call_count = 0
        self.handed_over = trio.Event()
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)
        self._command_handlers = {
            core.TicketReply: self._reply,
            core.StartSend: self._start_send,
            core.HandOver: self._start_hand_over,
            core.HandOverFinished: self._finish_hand_over,
        }

    def knows(self, ticket_id):
        """Return whether this VM holds the record of a ticket."""
        return self._keeper.store.find(ticket_id) is not None

    def find_holders(self, ticket_id):
        """Return the VMs that took over the records of a ticket's issuer.

        The latest one comes first.
        """
        return self._holders.find(
            core.parse_issuer(ticket_id), now_ms=_clock.read_clock_ms()
        )

    def set_address(self, host, port):
        """Set the peer address that new tickets name as their issuer's."""
        self._keeper.host = host
        self._keeper.peer_port = port

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Handle messages until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            _tasks.start_lasting(nursery, self._tick)
            task_status.started()
            async for item in self._receive:
                if isinstance(item, _mailboxes.InboundMessage):
                    self._handle_inbound(item)
                else:
                    self._handle(item)

    async def stop(self, *, end_deadline_ms):
        """Hand every record over; return when done or timed out.

        Calls in progress may finish until the deadline. Those still running
        then are cancelled, and their records are handed over with the outcome
        unknown.
        """
        await self.inbox.send(core.StopRequested())
        with trio.move_on_after(_clock.read_remaining_s(end_deadline_ms)):
            await self.handed_over.wait()
            return
        for scope in self._send_scopes.values():
            scope.cancel()
        with trio.move_on_after(HAND_OVER_TIMEOUT_MS / _clock.MS_PER_S):
            await self.handed_over.wait()

    async def _tick(self):
        while True:
            await trio.sleep(TICK_INTERVAL_S)
            self._handle(core.TicketTick())

    def _handle(self, event):
        for command in self._keeper.handle(event, _clock.read_clock_ms()):
            self._command_handlers[type(command)](command)

    def _handle_inbound(self, inbound):
        message = inbound.message
        if isinstance(message, core.TicketCall):
            self._handle_call(inbound)
        elif isinstance(message, core.TicketsMoved):
            self._record_holder(message)
            inbound.answer(core.Done())
        elif isinstance(message, core.TicketRecords):
            records = tuple(copy.to_record() for copy in message.records)
            self._handle(core.RecordsOffered(inbound=inbound, records=records))
        elif isinstance(message, core.TicketLookup):
            self._handle(
                core.LookupArrived(
                    inbound=inbound,
                    ticket_id=message.ticket_id,
                    caller=message.caller,
                )
            )
        else:
            self._handle(
                core.TicketAsked(
                    inbound=inbound,
                    caller=message.caller,
                    serves=message.serves,
                    check_path=message.check_path,
                )
            )

    def _handle_call(self, inbound):
        call = inbound.message
        try:
            ticket = self._verify(call)
        except core.InvalidTicketError:
            rejected = core.AttemptRejected(kind='invalid-ticket')
            inbound.answer(core.TicketResult.of(rejected))
            return
        if ticket.serves != call.serves:
            rejected = core.AttemptRejected(kind='other-call')
            inbound.answer(core.TicketResult.of(rejected))
            return
        self._handle(
            core.CallArrived(
                inbound=inbound,
                ticket=ticket,
                caller=call.caller,
                call_digest=core.digest_call(
                    call.method, call.path, call.body
                ),
                deadline_ms=call.deadline_ms,
                check_path=call.check_path,
            )
        )

    def _verify(self, call):
        if self._keeper.signer is None:
            raise core.InvalidTicketError
        return self._keeper.signer.verify(call.ticket, call.caller)

    def _record_holder(self, message):
        holder = core.Member(
            name=message.holder,
            data_centre=self._data_centre,
            region='',
            host=message.holder_host,
            peer_port=message.holder_peer_port,
            caller_port=0,
        )
        self._holders.register(
            (message.issuer, message.issuer_incarnation),
            holder,
            keep_deadline_ms=message.keep_deadline_ms,
        )

    def _reply(self, command):
        inbound = command.inbound
        if command.result is None:
            inbound.answer(core.Done())
            return
        result = core.TicketResult.of(command.result)
        is_lookup = isinstance(inbound.message, core.TicketLookup)
        if is_lookup and not inbound.message.caller:
            # A lookup without a caller comes from an operator, who may see
            # how a call ended but not the content of its answer.
            result = attrs.evolve(result, headers=(), body=b'')
        inbound.answer(result)

    def _start_send(self, command):
        scope = trio.CancelScope()
        self._send_scopes[command.ticket_id] = scope
        _tasks.start_isolated(
            self._nursery,
            self._send,
            command,
            scope,
            subject=f'ticket {command.ticket_id}',
        )

    async def _send(self, command, scope):
        call = command.inbound.message
        servers = self._list_servers(call.serves)
        if not servers:
            ended = _one_shot.NothingSent(kind='no-backend')
        else:
            ended = await _one_shot.send_once(
                servers,
                method=call.method,
                path=call.path,
                headers=[*call.headers, ('x-request-id', command.ticket_id)],
                body=call.body,
                deadline_ms=command.deadline_ms,
                cancel_scope=scope,
            )
        self._send_scopes.pop(command.ticket_id, None)
        self._report_late(command.ticket_id, getattr(ended, 'late_ms', 0))
        self._handle(_to_event(command.ticket_id, ended, call))

    def _list_servers(self, serves):
        """Return the servers of a service, the one whose turn it is first."""
        servers = [
            server
            for server in self._fleet.configuration.servers_of(
                serves, self._data_centre
            )
            if server.role == core.ROLE_SERVICE and not server.leaving
        ]
        self._call_count += 1
        first = self._call_count % max(1, len(servers))
        return servers[first:] + servers[:first]

    def _report_late(self, ticket_id, late_ms):
        if late_ms > self._keeper.options.check_margin_ms:
            emit(
                events.TICKET_CALL_SENT_LATE,
                ticket_id=ticket_id,
                late_ms=late_ms,
            )

    def _start_hand_over(self, command):
        _tasks.start_isolated(
            self._nursery,
            self._hand_over,
            command,
            subject=f'batch {command.batch} of tickets',
        )

    async def _hand_over(self, command):
        copies = tuple(core.TicketCopy.of(r) for r in command.records)
        peers = self._rank_peers()
        count = self._hand_over_attempts.get(command.batch, 0)
        self._hand_over_attempts[command.batch] = count + 1
        if count >= len(peers) * HAND_OVER_ROUNDS:
            # Every peer has been tried; callers will get the outcome
            # "unknown" for these tickets.
            emit(events.TICKETS_NOT_HANDED_OVER, count=len(copies))
            self._handle(core.RecordsTaken(batch=command.batch))
            return
        peer = peers[count % len(peers)]
        try:
            answer = await self._links.call(
                peer,
                core.TicketRecords(records=copies),
                deadline_ms=_clock.read_clock_ms() + HAND_OVER_TIMEOUT_MS,
            )
        except _peers.PeerUnreachableError:
            answer = None
        if not isinstance(answer, core.Done):
            self._handle(core.RecordsNotTaken(batch=command.batch))
            return
        await self._announce_holder(peer, copies)
        self._handle(core.RecordsTaken(batch=command.batch))

    def _rank_peers(self):
        peers = self._find_peers()
        key = _ticket_finder.hand_over_key(self._vm, self._incarnation)
        names = core.rank_by_rendezvous(key, peers)
        return [peers[name] for name in names[:HAND_OVER_PEERS]]

    def _find_peers(self):
        members = self._fleet.view.in_data_centre(self._data_centre)
        return {m.name: m for m in members if m.name != self._vm}

    async def _announce_holder(self, holder, copies):
        """Announce to all peers, once per issuer, who holds its records."""
        now_ms = _clock.read_clock_ms()
        for origin in {core.parse_issuer(copy.ticket_id) for copy in copies}:
            emit(
                events.TICKETS_HANDED_OVER,
                count=len(copies),
                issuer=origin[0],
                holder=holder.name,
            )
            if (origin, holder.name) in self._announced:
                continue
            self._announced.add((origin, holder.name))
            moved = core.TicketsMoved(
                issuer=origin[0],
                issuer_incarnation=origin[1],
                holder=holder.name,
                holder_host=holder.host,
                holder_peer_port=holder.peer_port,
                keep_deadline_ms=now_ms + HOLDER_KEEP_MS,
            )
            self._record_holder(moved)
            await self._send_to_all(moved)

    async def _send_to_all(self, message):
        deadline_ms = _clock.read_clock_ms() + HAND_OVER_TIMEOUT_MS
        async with trio.open_nursery() as nursery:
            for member in self._find_peers().values():
                _tasks.start_joined(
                    nursery, self._notify, member, message, deadline_ms
                )

    async def _notify(self, member, message, deadline_ms):
        try:
            await self._links.call(member, message, deadline_ms=deadline_ms)
        except _peers.PeerUnreachableError:
            # The unreachable peer will answer "unknown" for these tickets,
            # which is correct.
            return

    def _finish_hand_over(self, command):
        self.handed_over.set()


def _to_event(ticket_id, ended, call):
    if isinstance(ended, _one_shot.NothingSent):
        return core.NothingSent(ticket_id=ticket_id, kind=ended.kind)
    if isinstance(ended, _one_shot.MaybeSent):
        return core.AnswerLost(ticket_id=ticket_id)
    return core.AnswerArrived(
        ticket_id=ticket_id,
        answer=ended.answer,
        refused=_is_refusal(ended.answer, call.refusal_kinds),
        whole=ended.whole,
    )


def _is_refusal(answer, refusal_kinds):
    if answer.status != 503 or not refusal_kinds:
        return False
    try:
        return json.loads(answer.body)['error']['kind'] in refusal_kinds
    except (ValueError, KeyError, TypeError):
        return False
