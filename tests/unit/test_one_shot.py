import contextlib
import socket
import unittest

import trio
from trio import testing

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _one_shot

REDIRECT = b'HTTP/1.1 302 Found\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n'
CUT_OFF_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf'


def make_server(port):
    return core.BackendServer(
        name='s1',
        host='127.0.0.1',
        port=port,
        data_centre='cluj-a',
        serves='ledger',
        role=core.ROLE_SERVICE,
    )


class TestSendOnce(unittest.TestCase):
    def send(self, reply, *, remaining_ms=60000, listening=True):
        """Make a call; return its result and the bytes of each connection."""
        return trio.run(self._send, reply, remaining_ms, listening)

    async def _send(self, reply, remaining_ms, listening):
        received = []

        async def serve(stream):
            try:
                data = await stream.receive_some()
            except trio.BrokenResourceError:
                # The sender resets a connection that it gives up.
                data = b''
            received.append(data)
            if data and reply:
                await stream.send_all(reply)
            await stream.aclose()

        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        if not listening:
            await listeners[0].aclose()
        async with trio.open_nursery() as nursery:
            if listening:
                nursery.start_soon(trio.serve_listeners, serve, listeners)
            result = await _one_shot.send_once(
                [make_server(port)],
                method='POST',
                path='/orders',
                headers=[],
                body=b'',
                deadline_ms=_clock.read_clock_ms() + remaining_ms,
                cancel_scope=trio.CancelScope(),
            )
            await testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        return result, received

    def test_nothing_is_sent_once_the_deadline_has_passed(self):
        result, received = self.send(REDIRECT, remaining_ms=0)
        self.assertEqual(_one_shot.NothingSent(kind='expired'), result)
        self.assertEqual(b'', b''.join(received))

    def test_refused_connection_sends_nothing(self):
        result, _ = self.send(b'', listening=False)
        self.assertEqual(_one_shot.NothingSent(kind='unreachable'), result)

    def test_call_with_a_lost_answer_is_not_repeated(self):
        for reply in (b'', CUT_OFF_ANSWER):
            result, received = self.send(reply)
            self.assertIsInstance(result, _one_shot.MaybeSent)
            self.assertEqual(1, len(received))

    def test_redirect_is_returned_and_not_followed(self):
        result, received = self.send(REDIRECT)
        self.assertEqual(302, result.answer.status)
        self.assertEqual(1, len(received))

    def test_call_outlasts_a_server_that_accepts_nothing_for_a_while(self):
        result, received = trio.run(self._send_to_silent, 1.5, 1)
        self.assertIsInstance(result, _one_shot.Answered)
        self.assertEqual(302, result.answer.status)
        self.assertEqual([0], received)

    def test_call_goes_to_the_server_that_accepts_a_connection(self):
        result, received = trio.run(self._send_to_silent, 60, 2)
        self.assertIsInstance(result, _one_shot.Answered)
        self.assertEqual([1], received)

    def test_call_to_servers_that_accept_nothing_expires(self):
        result, received = trio.run(self._send_to_silent, 60, 1, 2500)
        self.assertEqual(_one_shot.NothingSent(kind='expired'), result)
        self.assertEqual([], received)

    async def _send_to_silent(self, silence_s, count, remaining_ms=30000):
        """Call the first of some servers; it accepts nothing for a while.

        Returns the result and the numbers of the servers that got bytes.
        """
        received = []

        async def serve(number, listener, silence_s):
            await trio.sleep(silence_s)
            while True:
                sock, _ = await listener.accept()
                nursery.start_soon(reply, number, trio.SocketStream(sock))

        async def reply(number, stream):
            if await stream.receive_some():
                received.append(number)
                await stream.send_all(REDIRECT)

        with contextlib.ExitStack() as stack:
            listeners = []
            for _ in range(count):
                listener = stack.enter_context(trio.socket.socket())
                await listener.bind(('127.0.0.1', 0))
                listener.listen(0)
                listeners.append(listener)
            # The kernel accepts one connection beyond the backlog. It repeats
            # a request for a connection 1 s and 3 s after the first one.
            for _ in range(2):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(listeners[0].getsockname())
            async with trio.open_nursery() as nursery:
                for number, listener in enumerate(listeners):
                    nursery.start_soon(
                        serve, number, listener, 0 if number else silence_s
                    )
                result = await _one_shot.send_once(
                    [make_server(item.getsockname()[1]) for item in listeners],
                    method='POST',
                    path='/orders',
                    headers=[],
                    body=b'',
                    deadline_ms=_clock.read_clock_ms() + remaining_ms,
                    cancel_scope=trio.CancelScope(),
                )
                nursery.cancel_scope.cancel()
        return result, received
