"""Connections between VMs that carry framed envelopes over TCP.

Many requests share one connection; an answer carries the correlation number of
its request.
"""

import functools
import itertools

import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _socket_options
from bluebellthread.daemon import _tasks
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread import wire

MAX_SEND_QUEUE_LENGTH = 4096
CONNECT_TIMEOUT_S = 1.0


class PeerUnreachableError(core.BluebellthreadError):
    """A VM can't be reached, or its connection broke before it answered.

    Parameters
    ----------
    peer, reason : str
        Name of the VM, and why it is unreachable.
    maybe_sent : bool
        False if no byte of the message was sent.
    """

    def __init__(self, peer, reason, *, maybe_sent=True):
        self.peer = peer
        self.maybe_sent = maybe_sent
        super().__init__(
            f'VM {peer} is unreachable ({reason}); check that it runs and '
            'that its peer port is open'
        )


async def write_frames(stream, receive_channel, traffic):
    """Send frames from a channel until it closes.

    Frames that are queued together are sent in one call.
    """
    async for frame in receive_channel:
        gathered = bytearray(frame)
        messages = 1
        while True:
            try:
                gathered += receive_channel.receive_nowait()
                messages += 1
            except (trio.WouldBlock, trio.EndOfChannel):
                break
        traffic.count(len(gathered), messages=messages)
        await stream.send_all(gathered)


class PeerServer:
    """Serves requests of other VMs and of the operators' command line.

    Parameters
    ----------
    vm, incarnation : str, int
        This VM's name and this process's incarnation.
    mailboxes : Mailboxes
        Delivers received messages to tasks.
    traffic : Traffic
        Counts the messages and bytes sent.
    """

    def __init__(self, *, vm, incarnation, mailboxes, traffic):
        self._vm = vm
        self._incarnation = incarnation
        self._mailboxes = mailboxes
        self._traffic = traffic

    async def serve(self, host, port, *, task_status=trio.TASK_STATUS_IGNORED):
        """Accept connections of peers until cancelled."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        await trio.serve_listeners(
            self._serve_connection, listeners, task_status=task_status
        )

    async def _serve_connection(self, stream):
        _socket_options.set_silence_timeouts(stream.socket)
        send, receive = trio.open_memory_channel(MAX_SEND_QUEUE_LENGTH)
        try:
            async with trio.open_nursery() as nursery:
                _tasks.start_joined(
                    nursery, write_frames, stream, receive, self._traffic
                )
                await self._read_requests(stream, send)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The peer detects the broken connection itself.
            pass
        except* Exception as group:
            # A bug hit by one connection must not end the process.
            emit(events.CONNECTION_CRASHED, error=repr(group.exceptions))
        finally:
            await trio.aclose_forcefully(stream)

    async def _read_requests(self, stream, send):
        address = _socket_options.find_peer(stream.socket)
        reader = wire.FrameReader(stream)
        while True:
            try:
                frame = await reader.read()
                if frame is None:
                    return
                envelope = wire.decode(frame, now_ms=_clock.read_clock_ms())
            except wire.WireError as error:
                emit(events.PEER_BAD_FRAME, address=address, error=error)
                return
            answer = functools.partial(
                self._answer, send, envelope.correlation
            )
            self._mailboxes.deliver(
                _mailboxes.InboundMessage(envelope=envelope, answer=answer)
            )

    def _answer(self, send, correlation, message):
        if not correlation:
            return
        envelope = wire.Envelope(
            message=message,
            sender=self._vm,
            sender_incarnation=self._incarnation,
            correlation=correlation,
        )
        try:
            send.send_nowait(
                wire.encode_frame(envelope, now_ms=_clock.read_clock_ms())
            )
        except (trio.WouldBlock, trio.BrokenResourceError):
            # The connection is broken or its send queue full. The answer is
            # dropped, and the peer's call ends at its deadline.
            return


class PeerLinks:
    """Connections from this VM to other VMs, opened on first use.

    Parameters
    ----------
    vm, incarnation : str, int
        This VM's name and this process's incarnation.
    host : str
        This VM's IP address, used as source of its connections.
    mailboxes : Mailboxes
        Delivers messages from this VM to itself without a socket.
    traffic : Traffic
        Counts the messages and bytes sent.
    """

    def __init__(self, *, vm, incarnation, host, mailboxes, traffic):
        self._vm = vm
        self._incarnation = incarnation
        self._host = host
        self._mailboxes = mailboxes
        self._traffic = traffic
        self._nursery = None
        self._links = {}
        self._correlations = itertools.count(1)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run the tasks of the connections until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def call(self, member, message, *, deadline_ms, traceparent=''):
        """Send a message and return its answer.

        Raises
        ------
        PeerUnreachableError
            If no answer arrives by the deadline or the connection breaks.
        """
        with trio.move_on_after(_clock.read_remaining_s(deadline_ms)):
            if member.name == self._vm:
                return await self._call_self(message, traceparent)
            link = await self._link_to(member)
            return await link.call(
                self._make_envelope(
                    message, next(self._correlations), traceparent
                )
            )
        raise PeerUnreachableError(
            member.name, 'no answer before the deadline'
        )

    async def send(self, member, message):
        """Send a message without waiting for an answer.

        Raises
        ------
        PeerUnreachableError
            If the connection can't be opened or its send queue is full.
        """
        if member.name == self._vm:
            self._deliver_to_self(message, '', _ignore_answer)
            return
        link = await self._link_to(member)
        link.send(self._make_envelope(message, 0, ''))

    def _make_envelope(self, message, correlation, traceparent):
        return wire.Envelope(
            message=message,
            sender=self._vm,
            sender_incarnation=self._incarnation,
            correlation=correlation,
            traceparent=traceparent,
        )

    async def _call_self(self, message, traceparent):
        slot = _AnswerSlot()
        self._deliver_to_self(message, traceparent, slot.fill)
        return await slot.wait()

    def _deliver_to_self(self, message, traceparent, answer):
        self._mailboxes.deliver(
            _mailboxes.InboundMessage(
                envelope=self._make_envelope(message, 0, traceparent),
                answer=answer,
            )
        )

    async def _link_to(self, member):
        # At a stop the nursery may have ended before this task has.
        await trio.lowlevel.checkpoint_if_cancelled()
        address = (member.host, member.peer_port)
        link = self._links.get(address)
        if link is None or link.closed:
            link = _Link(peer=member.name, traffic=self._traffic)
            self._links[address] = link
            _tasks.start_isolated(
                self._nursery,
                self._run_link,
                link,
                address,
                subject=f'VM {member.name}',
            )
        await link.opened.wait()
        if link.closed:
            raise PeerUnreachableError(
                member.name, link.reason, maybe_sent=False
            )
        return link

    async def _run_link(self, link, address):
        try:
            await link.run(address, self._host)
        finally:
            link.close('this VM closed the connection')
            # VMs are replaced often; entries of removed ones would pile up.
            if self._links.get(address) is link:
                del self._links[address]


class _AnswerSlot:
    """Future for the answer to one call."""

    def __init__(self):
        self._event = trio.Event()
        self._message = None

    def fill(self, message):
        self._message = message
        self._event.set()

    async def wait(self):
        await self._event.wait()
        return self._message


class _Link:
    """One connection to another VM, shared by many calls."""

    def __init__(self, *, peer, traffic):
        self._peer = peer
        self._traffic = traffic
        self._slots = {}
        self._send, self._receive = trio.open_memory_channel(
            MAX_SEND_QUEUE_LENGTH
        )
        self.opened = trio.Event()
        self.closed = False
        self.reason = ''

    async def run(self, address, source_host):
        try:
            with (
                trio.fail_after(CONNECT_TIMEOUT_S),
                _socket_options.raising_os_errors(),
            ):
                stream = await trio.open_tcp_stream(
                    *address, local_address=source_host
                )
        except (OSError, trio.TooSlowError) as error:
            self.close(f'connecting failed: {error or "timeout"}')
            return
        _socket_options.set_silence_timeouts(stream.socket)
        self.opened.set()
        try:
            async with trio.open_nursery() as nursery:
                _tasks.start_joined(
                    nursery, write_frames, stream, self._receive, self._traffic
                )
                await self._read_answers(stream)
                nursery.cancel_scope.cancel()
            self.close('the connection ended')
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.close(f'the connection broke: {error.exceptions[0]}')
        finally:
            self.close('this VM closed the connection')
            await trio.aclose_forcefully(stream)

    async def _read_answers(self, stream):
        reader = wire.FrameReader(stream)
        while True:
            try:
                frame = await reader.read()
                if frame is None:
                    return
                envelope = wire.decode(frame, now_ms=_clock.read_clock_ms())
            except wire.WireError as error:
                emit(events.PEER_BAD_FRAME, address=self._peer, error=error)
                return
            slot = self._slots.pop(envelope.correlation, None)
            if slot is not None:
                slot.fill(envelope.message)

    async def call(self, envelope):
        slot = _AnswerSlot()
        self._slots[envelope.correlation] = slot
        try:
            self.send(envelope)
            answer = await slot.wait()
        finally:
            self._slots.pop(envelope.correlation, None)
        if answer is None:
            raise PeerUnreachableError(self._peer, self.reason)
        return answer

    def send(self, envelope):
        if self.closed:
            raise PeerUnreachableError(self._peer, self.reason)
        try:
            self._send.send_nowait(
                wire.encode_frame(envelope, now_ms=_clock.read_clock_ms())
            )
        except trio.WouldBlock:
            raise PeerUnreachableError(
                self._peer, 'the send queue of the connection is full'
            ) from None

    def close(self, reason):
        """End all calls, and note why there will be no more."""
        if self.closed:
            return
        self.closed = True
        self.reason = reason
        self.opened.set()
        emit(events.PEER_UNREACHABLE, peer=self._peer, error=reason)
        for slot in self._slots.values():
            slot.fill(None)


def _ignore_answer(message):
    """Discard the answer to a message sent without waiting for one."""
