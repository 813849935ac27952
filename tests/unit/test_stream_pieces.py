import contextlib
import types
import unittest

import trio
import trio.testing

from bluebellthread.entry import _attempt_race
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

    def hold_events(self, size_bytes):
        del size_bytes

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


class _Silences:
    """Records what is told of silent servers."""

    def __init__(self):
        self.told = []

    def __getattr__(self, name):
        return lambda *arguments: self.told.append(name)

    def is_unreached(self, name):
        return False


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
        event_count=0,
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
        silences=None,
        hand_on=None,
        dialect=None,
        stats=_Stats(),
    )
    return _stream_relay.StreamRelay(work=work, context=context)


def make_race(silences, obstacle=''):
    async def ends_with(error):
        del error
        return False

    return _attempt_race.AttemptRace(
        work=types.SimpleNamespace(
            may_begin=lambda is_prefilled: True,
            at_servers=contextlib.nullcontext,
        ),
        silences=silences,
        runs_once=False,
        may_overlap=False,
        find_obstacle=lambda attempt: obstacle,
        ends_with=ends_with,
        failures=(_stream_context.StreamBrokenError,),
    )


async def pass_events_on(stream, attempt, server):
    answer = _stream_relay.RunAnswer(
        server='d1',
        call=types.SimpleNamespace(exchange=server, head=None),
        software_version='v1',
        silence_s=stream.silence_s,
    )
    attempt.send()
    attempt.note_accepted()
    await stream._pass_on_events(attempt, answer)


def run(clock, function, *arguments):
    trio.run(function, *arguments, clock=clock)


class TestStreamPieces(unittest.TestCase):
    def test_event_that_arrives_as_its_server_counts_as_silent(self):
        """After a pause, the event and the expired time come together.

        The event must not be dropped, nor come twice.
        """
        clock = trio.testing.MockClock()
        caller = _Caller()

        async def scenario():
            server, other = _Server(), _Server()
            servers = [server, other]
            stream = make_stream(caller)

            async def make(attempt):
                await pass_events_on(stream, attempt, servers.pop(0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_race(_Silences()).run, make)
                await trio.testing.wait_all_tasks_blocked()
                server.send.send_nowait(EVENTS[0])
                await trio.testing.wait_all_tasks_blocked()
                # The event and the end of the time are noticed together.
                server.send.send_nowait(EVENTS[1])
                clock.jump(10)
                await trio.testing.wait_all_tasks_blocked()
                for data in (EVENTS[2], None):
                    server.send.send_nowait(data)

        run(clock, scenario)
        self.assertEqual(b''.join(EVENTS) + b'end', caller.received)

    def check_silence(self, *, follower_answers):
        """Let a server fall silent after an event; return what was told.

        The first server goes on if the second one does not answer.
        """
        clock = trio.testing.MockClock()
        caller = _Caller()
        silences = _Silences()
        resumed_after = []

        async def scenario():
            server, other = _Server(), _Server()
            servers = [server, other]
            stream = make_stream(caller)

            async def make(attempt):
                resumed_after.append(stream.resume_after)
                await pass_events_on(stream, attempt, servers.pop(0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_race(silences).run, make)
                await trio.testing.wait_all_tasks_blocked()
                server.send.send_nowait(EVENTS[0])
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(1.3)
                await trio.testing.wait_all_tasks_blocked()
                answering = other if follower_answers else server
                for data in (*EVENTS[1:], None):
                    answering.send.send_nowait(data)

        run(clock, scenario)
        self.assertEqual(b''.join(EVENTS) + b'end', caller.received)
        self.assertEqual(['', '1'], resumed_after)
        return silences.told

    def test_silent_server_is_followed_after_the_last_event(self):
        told = self.check_silence(follower_answers=True)
        self.assertIn('note_overtaken', told)

    def test_silent_server_that_goes_on_first_keeps_the_stream(self):
        told = self.check_silence(follower_answers=False)
        self.assertIn('note_overtaken', told)

    def test_silence_leaves_time_to_go_on_within_the_patience_of_callers(self):
        # Callers leave after 2 s, or eight times the allowed pause.
        for gap_ms in (0, 100, 300, 500, 2000):
            stream = make_stream(_Caller())
            stream._work.route.gap_target_ms = gap_ms
            patience_s = max(2.0, 8 * gap_ms / 1000)
            self.assertLess(
                stream.silence_s + _attempt_race.FOLLOW_PAUSE_S, patience_s
            )

    def test_silent_server_is_waited_for_if_nothing_may_follow(self):
        clock = trio.testing.MockClock()
        caller = _Caller()

        async def scenario():
            server = _Server()
            stream = make_stream(caller)

            async def make(attempt):
                await pass_events_on(stream, attempt, server)

            async with trio.open_nursery() as nursery:
                race = make_race(_Silences(), obstacle='no budget')
                nursery.start_soon(race.run, make)
                await trio.testing.wait_all_tasks_blocked()
                server.send.send_nowait(EVENTS[0])
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(10)
                await trio.testing.wait_all_tasks_blocked()
                for data in (*EVENTS[1:], None):
                    server.send.send_nowait(data)

        run(clock, scenario)
        self.assertEqual(b''.join(EVENTS) + b'end', caller.received)

    def test_run_that_has_sent_nothing_ends_after_a_later_one_began(self):
        clock = trio.testing.MockClock()
        caller = _Caller()
        silences = _Silences()

        async def scenario():
            server, other = _Server(), _Server()
            servers = [server, other]
            stream = make_stream(caller)

            async def make(attempt):
                await pass_events_on(stream, attempt, servers.pop(0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_race(silences).run, make)
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(1.3)
                await trio.testing.wait_all_tasks_blocked()
                self.assertNotIn('note_overtaken', silences.told)
                clock.jump(_attempt_race.OVERLAP_S)
                await trio.testing.wait_all_tasks_blocked()
                self.assertIn('note_overtaken', silences.told)
                for data in (*EVENTS, None):
                    other.send.send_nowait(data)

        run(clock, scenario)
        self.assertEqual(b''.join(EVENTS) + b'end', caller.received)
