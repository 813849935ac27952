"""Membership by pings, suspicion and gossip, at a constant cost per VM.

In each period a VM pings one peer of its data centre. If no answer comes,
it asks other VMs to ping that peer, then suspects it, and only then
declares it dead. Updates are forwarded in a bounded number of datagrams.
Two delegates of each data centre compare tables with the other data
centres.
"""

import random

import attrs

from bluebellthread.core import _failure_detector
from bluebellthread.core import _member_prober
from bluebellthread.core import _member_table as tables
from bluebellthread.core import _membership_context
from bluebellthread.core import _membership_events as events
from bluebellthread.core import _membership_messages as messages
from bluebellthread.core import _membership_options
from bluebellthread.core import _model
from bluebellthread.core import _scheduler_events
from bluebellthread.core import _table_exchange
from bluebellthread.core import _update_disseminator
from bluebellthread.core import _view_confirmation

CONFIRM_FANOUT = 5
"""Peers that a VM with an unconfirmed view pings in each period."""


class Membership:
    """Maintain one VM's view of all VMs, as a pure state machine.

    Parameters
    ----------
    member : Member
        This VM process.
    options : MembershipOptions
        Periods, timeouts and counts.
    rng : random.Random
        The only source of randomness.

    Examples
    --------
    >>> vm = _model.Member(name='vm1', data_centre='cluj-a', region='t',
    ...     host='127.0.0.1', peer_port=1, caller_port=2, incarnation=5)
    >>> membership = Membership(member=vm)
    >>> commands = membership.handle(events.PlatformListed(members=(vm,)), 0)
    >>> commands[-1].view.confirmed
    True
    """

    def __init__(self, *, member, options=None, rng=None):
        context = _membership_context.MembershipContext(
            member=member,
            options=options or _membership_options.MembershipOptions(),
            rng=rng or random.Random(0),
        )
        self._context = context
        self._prober = _member_prober.MemberProber()
        self._disseminator = _update_disseminator.UpdateDisseminator(
            context=context, prober=self._prober
        )
        self._detector = _failure_detector.FailureDetector(
            context=context,
            prober=self._prober,
            disseminator=self._disseminator,
        )
        self._exchange = _table_exchange.TableExchange(
            context=context, disseminator=self._disseminator
        )
        self._confirmation = _view_confirmation.ViewConfirmation()
        self._published = None
        self._published_version = None
        self._handlers = {
            _scheduler_events.Tick: self._on_tick,
            events.DatagramReceived: self._on_datagram,
            events.PlatformListed: self._on_platform_listed,
            events.SeedsProvided: self._on_seeds_provided,
            events.PauseNoticed: self._on_pause,
            events.LeaveStarted: self._on_leave,
            events.Stopped: self._on_stopped,
            messages.Ping: self._on_ping,
            messages.Ack: self._on_ack,
            messages.IndirectPing: self._detector.relay_ping,
            messages.Gossip: self._on_gossip,
            messages.TableDigests: self._exchange.on_digests,
        }

    @property
    def view(self):
        """The latest published view, or None."""
        return self._published

    def handle(self, event, now_ms):
        """Process one event and return the resulting commands."""
        self._context.commands = []
        self._detect_pause(now_ms)
        self._context.now_ms = now_ms
        self._handlers[type(event)](event)
        self._disseminator.forward_updates()
        self._publish()
        return self._context.commands

    def _detect_pause(self, now_ms):
        options = self._context.options
        if self._context.now_ms is None:
            deadline_ms = now_ms + options.join_timeout_ms
            self._confirmation.join(deadline_ms=deadline_ms)
            return
        gap_ms = now_ms - self._context.now_ms
        if gap_ms > options.deadline_extension_pause_ms:
            # Answers may be waiting unread in the socket.
            self._detector.extend_deadlines(gap_ms)
        if gap_ms > options.lease_timeout_ms and options.detects_pauses:
            self._context.now_ms = now_ms
            self._begin_confirmation()

    def _begin_confirmation(self):
        self._prober.clear()
        presumed_alive = set(self._presumed_alive())
        peers = [
            record.member.name
            for record in self._context.table
            if self._context.is_local(record)
            and record is not self._context.me
        ]
        self._confirmation.begin(
            [name for name in peers if name in presumed_alive],
            last_old_correlation=self._prober.last_correlation,
        )
        self._detector.restart_period()
        self._ping_unanswered()

    def _ping_unanswered(self):
        names = self._confirmation.unanswered()
        for name in self._context.sample(names, CONFIRM_FANOUT):
            record = self._context.table.find(name)
            if record is not None:
                self._request_table(record)

    def _request_table(self, record):
        correlation = self._prober.next_correlation()
        self._detector.ping(record, correlation, wants_table=True)

    def _on_tick(self, event):
        period_begins = self._detector.on_tick()
        if period_begins:
            self._ping_unanswered()
        self._exchange.on_tick()

    def _on_datagram(self, event):
        self._record_sender(event)
        self._handlers[type(event.message)](event)

    def _record_sender(self, event):
        context = self._context
        record = context.table.find(event.sender)
        if record is None or record is context.me:
            return
        if record.member.incarnation != event.sender_incarnation:
            if event.sender_incarnation == record.replaced_incarnation:
                return
            self._replace_process(record, event)
        record.heard_ms = context.now_ms
        self._prober.stop(event.sender)
        if record.member.state == tables.LEAVING:
            record.suspicion_deadline_ms = None

    def _replace_process(self, record, event):
        """Replace a VM's old process, which counts as dead at once."""
        self._context.table.replace_process(
            record,
            incarnation=event.sender_incarnation,
            host=event.host,
            port=event.port,
            now_ms=self._context.now_ms,
        )
        self._disseminator.announce(record)

    def _on_ping(self, event):
        ping = event.message
        self._disseminator.merge_all(ping.updates)
        record = self._context.table.find(event.sender)
        if ping.wants_table:
            updates = self._exchange.send_local_table(event)
        elif record is not None:
            updates = self._disseminator.updates_for(record)
        else:
            updates = (self._context.me.update(),)
        digest = self._context.table.digest()
        answer = messages.Ack(digest=digest, updates=updates)
        self._context.answer(event, answer)
        self._exchange.compare(event, ping.digest)

    def _on_ack(self, event):
        ack = event.message
        suspected = any(
            self._suspects_this_vm(update) for update in ack.updates
        )
        self._disseminator.merge_all(ack.updates)
        if ack.subject:
            self._prober.stop(ack.subject)
            return
        self._relay_ack(event)
        if not suspected:
            self._confirmation.note_answer(event.sender, event.correlation)
        self._exchange.compare(event, ack.digest)

    def _suspects_this_vm(self, update):
        me = self._context.me
        return (
            update.member.name == me.member.name
            and update.member.incarnation == me.member.incarnation
            and update.member.state in (tables.SUSPECT, tables.DEAD)
            and update.counter >= me.counter
        )

    def _relay_ack(self, event):
        relay = self._prober.pop_relay(event.correlation)
        if relay is None or relay.subject != event.sender:
            return
        digest = self._context.table.digest()
        answer = messages.Ack(digest=digest, subject=relay.subject)
        self._context.answer(relay, answer)

    def _on_gossip(self, event):
        self._disseminator.merge_all(event.message.updates)

    def _on_platform_listed(self, event):
        context = self._context
        listed = {member.name: member for member in event.members}
        for record in context.table:
            member = listed.pop(record.member.name, None)
            state = member.state if member else ''
            context.table.change(record, listed_state=state)
        for member in listed.values():
            self._add_seed(member)
        seeds = [
            record
            for record in context.table
            if record.member.incarnation == 0 and context.is_local(record)
        ]
        self._confirmation.add_seeds(record.member.name for record in seeds)
        for record in context.sample(seeds, CONFIRM_FANOUT):
            self._request_table(record)

    def _add_seed(self, member):
        # A seed counts as dead until it answers, since the platform may
        # list VMs that stopped long ago.
        seed = attrs.evolve(member, incarnation=0, state=tables.DEAD)
        record = tables.MemberRecord(
            member=seed,
            listed_state=member.state,
            died_ms=self._context.now_ms,
        )
        self._context.table.add(record)

    def _on_seeds_provided(self, event):
        ping = messages.Ping(
            digest=self._context.table.digest(),
            updates=(self._context.me.update(),),
            wants_table=True,
        )
        for host, port in event.addresses:
            correlation = self._prober.next_correlation()
            self._context.send_to(host, port, ping, correlation)

    def _on_pause(self, event):
        already_noticed = not self._confirmation.confirmed
        if self._context.options.detects_pauses and not already_noticed:
            self._begin_confirmation()

    def _on_leave(self, event):
        self._announce_state(tables.LEAVING)

    def _on_stopped(self, event):
        self._announce_state(tables.DEAD)

    def _announce_state(self, state):
        me = self._context.me
        self._context.table.change(me, counter=me.counter + 1)
        self._detector.set_state(me, state)

    def _presumed_alive(self):
        for record in self._context.table:
            listed = record.listed_state == tables.ALIVE
            if listed or record.member.state != tables.DEAD:
                yield record.member.name

    def _publish(self):
        context = self._context
        confirmed = self._confirmation.check(
            self._presumed_alive(), now_ms=context.now_ms
        )
        version = (context.table.version, confirmed)
        if version == self._published_version:
            return
        self._published_version = version
        shown = [_to_view_member(record) for record in context.table]
        shown.sort(key=lambda member: member.name)
        view = _model.MembershipView(members=tuple(shown), confirmed=confirmed)
        if view != self._published:
            self._published = view
            command = events.ViewChanged(view=view)
            context.commands.append(command)


def _to_view_member(record):
    """Return a member for the view, leaving if the platform lists it so."""
    member = record.member
    is_running = member.state in (tables.ALIVE, tables.SUSPECT)
    if is_running and record.listed_state == tables.LEAVING:
        return attrs.evolve(member, state=tables.LEAVING)
    return member
