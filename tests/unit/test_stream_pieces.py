import types
import unittest

import trio
import trio.testing

from bluebellthread.entry import _stream_context
from bluebellthread.entry import _stream_relay

EVENTS = [f'id: {n}\ndata: piece {n}\n\n'.encode() for n in (1, 2, 3)]


class _Server:
    """A server's answer whose events are sent by the test."""

    framing = 'chunks'

    def __init__(self):
        self.send, self._receive = trio.open_memory_channel(10)

    async def read(self):
        return await self._receive.receive()


class _Caller:
    """A caller that records the bytes that it is sent."""

    is_started = True

    def __init__(self):
        self.received = b''

    async def send(self, data):
        await trio.lowlevel.checkpoint()
        self.received += data

    async def finish(self):
        await trio.lowlevel.checkpoint()
        self.received += b'end'


class _Stats:
    def observe_first_event(self, first_event_ms):
        del first_event_ms

    def count_failure(self, stage):
        del stage


class _Origins:
    def note_began(self, attempt_id, service, software_version):
        del attempt_id, service, software_version


def make_stream(caller):
    work = types.SimpleNamespace(
        exchange=caller,
        request_id='r',
        service='m',
        age_ms=1,
        first_event_ms=None,
        outcome='',
        route=types.SimpleNamespace(is_resumable=True, gap_target_ms=300),
    )
    context = _stream_context.StreamContext(
        state=None,
        caller=None,
        placements=None,
        origins=_Origins(),
        budgets=None,
        shut_outs=None,
        server_watch=None,
        paths=None,
        hand_on=None,
        dialect=None,
        stats=_Stats(),
    )
    return _stream_relay.StreamRelay(work=work, context=context)


async def pass_events_on(stream, server):
    placement = types.SimpleNamespace(decode_server='d1')
    call = types.SimpleNamespace(exchange=server)
    await stream._pass_on_events(placement, call)


def run(clock, function, *arguments):
    trio.run(function, *arguments, clock=clock)


class TestStreamPieces(unittest.TestCase):
    def test_event_that_arrives_with_the_silence_timeout_is_passed_on(self):
        """After a pause, the event and the expired timeout come together.

        The event must not be dropped.
        """
        clock = trio.testing.MockClock()
        caller = _Caller()

        async def scenario():
            server = _Server()
            stream = make_stream(caller)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pass_events_on, stream, server)
                await trio.testing.wait_all_tasks_blocked()
                server.send.send_nowait(EVENTS[0])
                await trio.testing.wait_all_tasks_blocked()
                # The event and the end of the timeout are noticed together.
                server.send.send_nowait(EVENTS[1])
                clock.jump(10)
                await trio.testing.wait_all_tasks_blocked()
                server.send.send_nowait(EVENTS[2])
                server.send.send_nowait(None)

        run(clock, scenario)
        self.assertEqual(b''.join(EVENTS) + b'end', caller.received)

    def test_silent_server_fails_with_the_last_event_id_known(self):
        clock = trio.testing.MockClock()
        caller = _Caller()
        streams = []

        async def scenario():
            server = _Server()
            stream = make_stream(caller)
            streams.append(stream)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.expect_broken, stream, server)
                await trio.testing.wait_all_tasks_blocked()
                server.send.send_nowait(EVENTS[0])
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(10)

        run(clock, scenario)
        self.assertEqual(EVENTS[0], caller.received)
        self.assertEqual('1', streams[0].resume_after)

    async def expect_broken(self, stream, server):
        with self.assertRaises(_stream_context.StreamBrokenError):
            await pass_events_on(stream, server)
