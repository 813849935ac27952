"""Links to other VMs: framed envelopes over TCP.

A request and its answer carry the same correlation number; many requests
share one connection.
"""

import functools
import itertools

import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.observe import emit
from bluebellthread.observe import events
from bluebellthread import wire

LONGEST_SEND_QUEUE = 4096
CONNECT_TIMEOUT_S = 1.0
UNACKNOWLEDGED_TIMEOUT_MS = 3000
"""How long the other side's kernel may leave sent bytes unacknowledged."""


class PeerUnreachableError(core.BluebellthreadError):
    """A VM could not be reached, or its link broke before the answer.

    Parameters
    ----------
    peer, reason : str
        Which VM, and what happened.
    maybe_sent : bool
        False if no byte of the message has gone out.
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

    What has gathered goes out in one call.
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
    """Accepts other VMs and the operators' tool.

    Parameters
    ----------
    vm, incarnation : str, int
        This process.
    mailboxes : Mailboxes
        Where messages go.
    traffic : Traffic
        Counts what is sent.
    """

    def __init__(self, *, vm, incarnation, mailboxes, traffic):
        self._vm = vm
        self._incarnation = incarnation
        self._mailboxes = mailboxes
        self._traffic = traffic

    async def serve(self, host, port, *, task_status=trio.TASK_STATUS_IGNORED):
        """Listen until cancelled."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        await trio.serve_listeners(
            self._serve_connection, listeners, task_status=task_status
        )

    async def _serve_connection(self, stream):
        _limit_silence(stream)
        send, receive = trio.open_memory_channel(LONGEST_SEND_QUEUE)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    write_frames, stream, receive, self._traffic
                )
                await self._read_requests(stream, send)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The other side went away; it finds out by itself.
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _read_requests(self, stream, send):
        reader = wire.FrameReader(stream)
        while True:
            try:
                frame = await reader.read()
                if frame is None:
                    return
                envelope = wire.decode(frame, now_ms=_clock.read_clock_ms())
            except wire.WireError as error:
                address = stream.socket.getpeername()[0]
                emit(events.PEER_BAD_FRAME, address=address, error=error)
                return
            answer = functools.partial(
                self._answer, send, envelope.correlation
            )
            self._mailboxes.deliver(
                _mailboxes.Inbound(envelope=envelope, answer=answer)
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
            # A link this far behind is lost; the asker's deadline ends it.
            return


class PeerLinks:
    """Connections from this VM to others, opened when first needed.

    Parameters
    ----------
    vm, incarnation : str, int
        This process.
    host : str
        This VM's IP number, the source of its connections.
    mailboxes : Mailboxes
        Takes messages to this VM itself, without a socket.
    traffic : Traffic
        Counts what is sent.
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
        """Keep the links alive until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def call(self, member, message, *, deadline_ms, traceparent=''):
        """Send a message and return its answer.

        Raises
        ------
        PeerUnreachableError
            If there is no answer by the deadline.
        """
        with trio.move_on_after(_clock.read_remaining_s(deadline_ms)):
            if member.name == self._vm:
                return await self._call_self(message, traceparent)
            link = await self._link_to(member)
            return await link.call(
                self._wrap(message, next(self._correlations), traceparent)
            )
        raise PeerUnreachableError(member.name, 'no answer in time')

    async def send(self, member, message):
        """Send a message that wants no answer.

        Raises
        ------
        PeerUnreachableError
            If it could not be handed to the connection.
        """
        if member.name == self._vm:
            self._deliver_to_self(message, '', _ignore_answer)
            return
        link = await self._link_to(member)
        link.send(self._wrap(message, 0, ''))

    def _wrap(self, message, correlation, traceparent):
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
            _mailboxes.Inbound(
                envelope=self._wrap(message, 0, traceparent), answer=answer
            )
        )

    async def _link_to(self, member):
        address = (member.host, member.peer_port)
        link = self._links.get(address)
        if link is None or link.closed:
            link = _Link(peer=member.name, traffic=self._traffic)
            self._links[address] = link
            self._nursery.start_soon(self._run_link, link, address)
        await link.opened.wait()
        if link.closed:
            raise PeerUnreachableError(
                member.name, link.reason, maybe_sent=False
            )
        return link

    async def _run_link(self, link, address):
        await link.run(address, self._host)
        # VMs are replaced all day; keep no entry for one that is gone.
        if self._links.get(address) is link:
            del self._links[address]


class _AnswerSlot:
    """One answer that somebody waits for."""

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
    """One connection to another VM."""

    def __init__(self, *, peer, traffic):
        self._peer = peer
        self._traffic = traffic
        self._slots = {}
        self._send, self._receive = trio.open_memory_channel(
            LONGEST_SEND_QUEUE
        )
        self.opened = trio.Event()
        self.closed = False
        self.reason = ''

    async def run(self, address, source_host):
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(
                    *address, local_address=source_host
                )
        except (OSError, trio.TooSlowError) as error:
            self._close(f'connecting failed: {error or "timeout"}')
            return
        _limit_silence(stream)
        self.opened.set()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    write_frames, stream, self._receive, self._traffic
                )
                await self._read_answers(stream)
                nursery.cancel_scope.cancel()
            self._close('the connection ended')
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._close(f'the connection broke: {error.exceptions[0]}')
        finally:
            self._close('the link was closed')
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
                self._peer, 'its send queue is full'
            ) from None

    def _close(self, reason):
        if self.closed:
            return
        self.closed = True
        self.reason = reason
        self.opened.set()
        emit(events.PEER_UNREACHABLE, peer=self._peer, error=reason)
        for slot in self._slots.values():
            slot.fill(None)


def _ignore_answer(message):
    """Take an answer that nobody waits for."""


def _limit_silence(stream):
    # Else a link that was cut for minutes would wait for as long again
    # before the kernel's next try. A frozen process still acknowledges.
    stream.setsockopt(
        trio.socket.IPPROTO_TCP,
        trio.socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT_MS,
    )
