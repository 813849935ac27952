"""The task that owns the datagram socket and the membership view."""

import socket

import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _scheduler_task
from bluebellthread.daemon import _socket_options
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread import wire

QUEUE_LENGTH = 1024
DATAGRAM_BYTES = 1400
"""Largest datagram that is sent; it fits into one Ethernet frame."""

RECEIVE_BYTES = 2048
FLUSH_PERIOD_MS = 1000
"""Interval at which the traffic counters are flushed to the metrics."""

SEED_PERIOD_MS = 1000
"""Interval of pings to the seeds.

The seeds are pinged while this VM knows no live peer in its data centre.
"""

EARLY_SEED_TICKS = (1, 3, 6)
"""Ticks after the start at which the seeds are pinged as well. VMs that start
together may not listen yet when the first ping arrives."""


class MembershipTask:
    """Runs the membership state machine over UDP.

    Parameters
    ----------
    fleet : Fleet
        Stores each new membership view.
    guard : PauseGuard
        Checked for a pause of this process before each event is handled.
    options : MembershipOptions
        Periods, timeouts and counts of the membership protocol.
    scheduler_inbox : trio.MemorySendChannel
        Receives each new view.
    seeds : tuple of (str, int)
        Hosts and ports to ping while the view has no live peer in this data
        centre.
    traffic : Traffic
        Counts the datagrams sent and their bytes.
    """

    def __init__(
        self, *, fleet, guard, options, scheduler_inbox, seeds, traffic
    ):
        self._fleet = fleet
        self._guard = guard
        self._options = options
        self._scheduler_inbox = scheduler_inbox
        self._seeds = seeds
        self._traffic = traffic
        self._member = None
        self._membership = None
        self._socket = None
        self._tick_count = 0
        self._outgoing, self._outgoing_receive = trio.open_memory_channel(
            QUEUE_LENGTH
        )
        self.inbox, self._receive = trio.open_memory_channel(QUEUE_LENGTH)
        guard.add_listener(self._note_pause)

    async def run(
        self, member, *, address, task_status=trio.TASK_STATUS_IGNORED
    ):
        """Take part in the membership protocol until cancelled.

        Parameters
        ----------
        member : Member
            This VM as it is announced to the other VMs.
        address : (str, int)
            IP address and port that the datagram socket is bound to.
        """
        self._member = member
        self._membership = core.Membership(
            member=member, options=self._options
        )
        family = socket.AF_INET6 if ':' in address[0] else socket.AF_INET
        with trio.socket.socket(family, socket.SOCK_DGRAM) as sock:
            await sock.bind(address)
            self._socket = sock
            self._handle(core.Tick())
            async with trio.open_nursery() as nursery:
                _tasks.start_lasting(nursery, self._read_datagrams)
                _tasks.start_lasting(nursery, self._send_datagrams)
                _tasks.start_lasting(nursery, self._send_ticks)
                task_status.started()
                async for event in self._receive:
                    self._handle(event)

    def set_seeds(self, seeds):
        """Replace the seeds, which are pinged while no live peer is known."""
        self._seeds = seeds

    def leave(self):
        """Announce to the other VMs that this VM is leaving."""
        if self._membership is not None:
            self._handle(core.LeaveStarted())

    async def close(self):
        """Announce to the other VMs that this process ends now."""
        if self._socket is None:
            return
        commands = self._membership.handle(
            core.Stopped(), self._guard.check_for_pause()
        )
        for command in commands:
            if isinstance(command, core.SendDatagram):
                await self._send(command)

    def _note_pause(self):
        if self._membership is not None:
            self._handle(core.PauseNoticed())

    def _handle(self, event):
        now_ms = self._guard.check_for_pause()
        for command in self._membership.handle(event, now_ms):
            if isinstance(command, core.ViewChanged):
                self._publish(command.view)
            else:
                self._queue_datagram(command)

    def _publish(self, view):
        _log_changes(self._fleet.view, view)
        self._fleet.publish_view(view)
        try:
            self._scheduler_inbox.send_nowait(
                _scheduler_task.ViewChanged(view=view)
            )
        except trio.WouldBlock:
            # The inbox is full; the scheduler task reads the published view
            # at its next tick.
            return

    def _queue_datagram(self, command):
        try:
            self._outgoing.send_nowait(command)
        except trio.WouldBlock:
            # The queue is full; the protocol tolerates lost datagrams.
            return

    async def _send_ticks(self):
        tick_ms = self._options.tick_period_ms
        flush_ticks = FLUSH_PERIOD_MS // tick_ms
        seed_ticks = SEED_PERIOD_MS // tick_ms
        while True:
            await trio.sleep(tick_ms / _clock.MS_PER_S)
            self._handle(core.Tick())
            self._tick_count += 1
            if self._tick_count % flush_ticks == 0:
                self._traffic.flush()
            is_seed_tick = (
                self._tick_count in EARLY_SEED_TICKS
                or self._tick_count % seed_ticks == 0
            )
            if is_seed_tick and self._is_alone():
                self._handle(core.SeedsProvided(addresses=self._seeds))

    def _is_alone(self):
        live = self._fleet.view.in_data_centre(self._member.data_centre)
        return len(live) <= 1

    async def _send_datagrams(self):
        async for command in self._outgoing_receive:
            await self._send(command)

    async def _send(self, command):
        envelope = wire.Envelope(
            message=command.message,
            sender=self._member.name,
            sender_incarnation=self._member.incarnation,
            correlation=command.correlation,
        )
        data = wire.encode(envelope, now_ms=0)
        if len(data) > DATAGRAM_BYTES:
            emit(events.DATAGRAM_TOO_LONG, size_bytes=len(data))
            return
        self._traffic.count(len(data))
        try:
            with _socket_options.raising_os_errors():
                await self._socket.sendto(data, (command.host, command.port))
        except OSError as error:
            emit(events.PEER_UNREACHABLE, peer=command.host, error=error)

    async def _read_datagrams(self):
        while True:
            try:
                data, address = await self._socket.recvfrom(RECEIVE_BYTES)
                envelope = wire.decode(data, now_ms=0)
            except wire.WireError as error:
                emit(events.PEER_BAD_FRAME, address=address[0], error=error)
                continue
            except ConnectionError:
                # The kernel reports that no process listens on the port to
                # which an earlier datagram was sent.
                continue
            if isinstance(envelope.message, core.MEMBERSHIP_MESSAGES):
                self._handle_datagram(envelope, address)

    def _handle_datagram(self, envelope, address):
        try:
            self._handle(_to_event(envelope, address))
        except _tasks.FATAL_ERRORS:
            raise
        except Exception as error:
            # A bug hit by one datagram must not end the process.
            _mailboxes.log_crash(envelope.message, envelope.sender, error)


def _to_event(envelope, address):
    return core.DatagramReceived(
        sender=envelope.sender,
        sender_incarnation=envelope.sender_incarnation,
        host=address[0],
        port=address[1],
        correlation=envelope.correlation,
        message=envelope.message,
    )


def _log_changes(old, new):
    if old.confirmed != new.confirmed:
        event = (
            events.VIEW_CONFIRMED
            if new.confirmed
            else (events.VIEW_UNCONFIRMED)
        )
        emit(event)
    for member in new.members:
        known = old.find(member.name)
        state = known.state if known else 'unknown'
        if state != member.state:
            emit(
                events.MEMBER_CHANGED,
                peer=member.name,
                old=state,
                new=member.state,
            )
