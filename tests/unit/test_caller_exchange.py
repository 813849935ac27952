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
