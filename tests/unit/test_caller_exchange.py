"""Answers to a caller that two attempts send at a time."""

import unittest

import trio
import trio.testing

from bluebellthread import core
from bluebellthread.entry import _caller_exchange


class _Conn:
    """Stand-in for an h11 connection that frames nothing."""

    def send_with_data_passthrough(self, event):
        return [bytes(event.data)]


class _Stream:
    """A caller's connection that takes one piece at a time, in steps."""

    def __init__(self):
        self.received = b''
        self._is_sending = False

    async def send_all(self, *pieces):
        if self._is_sending:
            raise trio.BusyResourceError
        self._is_sending = True
        await trio.lowlevel.checkpoint()
        self.received += b''.join(pieces)
        self._is_sending = False


class TestSend(unittest.TestCase):
    # Guards against a stream that is broken off with an internal error, since
    # a comment of a silent server is sent as its follower's first event comes.
    def test_attempts_that_send_at_once_take_turns(self):
        stream = _Stream()
        memory = core.ClientMemory(1000)
        exchange = _caller_exchange.CallerExchange(
            request=None,
            conn=_Conn(),
            parser=None,
            stream=stream,
            control=None,
            share=memory.open(lambda held_bytes: None, now_ms=0),
        )

        async def send_both():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(exchange.send, b'comment')
                nursery.start_soon(exchange.send, b'event')

        trio.run(send_both)
        self.assertIn(stream.received, (b'commentevent', b'eventcomment'))
        self.assertEqual(0, memory.used_bytes)


class TestAnswerMemory(unittest.TestCase):
    def setUp(self):
        self.memory = core.ClientMemory(1000)
        self.other = self.memory.open(lambda held_bytes: None, now_ms=0)
        self.other.hold(core.KIND_ANSWER, 700, now_ms=0)
        self.share = self.memory.open(lambda held_bytes: None, now_ms=0)
        self.answer = _caller_exchange.AnswerMemory(self.share)

    def run_waiting(self, *, wait_s):
        """Wait for room that another client leaves after a time."""

        async def release():
            await trio.sleep(wait_s)
            self.other.release(core.KIND_ANSWER)

        async def wait():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(release)
                await self.answer.wait_for_room(600)
                reserved = self.answer.reserve(600)
                nursery.cancel_scope.cancel()
            return reserved

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(wait, clock=clock)

    # Guards against answers that are lost, and clients that are cut off, while
    # others are about to read theirs (review/10).
    def test_answer_waits_until_another_client_has_read(self):
        self.assertTrue(self.run_waiting(wait_s=1.0))
        self.assertEqual(600, self.memory.used_bytes)
        self.answer.release(600)
        self.assertEqual(0, self.memory.used_bytes)

    def test_answer_does_not_wait_for_long(self):
        self.assertFalse(self.run_waiting(wait_s=99.0))
        self.assertEqual(700, self.memory.used_bytes)

    def test_memory_is_held_once_by_attempts_side_by_side(self):
        async def wait():
            self.other.release(core.KIND_ANSWER)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.answer.wait_for_room, 300)
                nursery.start_soon(self.answer.wait_for_room, 300)

        trio.run(wait)
        self.assertTrue(self.answer.reserve(300))
        self.assertTrue(self.answer.reserve(300))
        self.assertEqual(600, self.memory.used_bytes)
