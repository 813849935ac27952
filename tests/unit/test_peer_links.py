import unittest
import unittest.mock

import trio
import trio.testing

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _mailboxes
from bluebellthread.daemon import _peers
from bluebellthread import wire

TCP = trio.socket.IPPROTO_TCP
TEST_TIMEOUT_S = 10


class TestSilentPeer(unittest.TestCase):
    # Guards against an idle connection whose other side has gone silent: the
    # next announcement would vanish in it without notice.
    def test_both_ends_of_a_connection_notice_silence(self):
        ends = trio.run(read_socket_options)
        self.assertEqual(2, len(ends))
        for options in ends:
            self.assertEqual(1, options['SO_KEEPALIVE'])
            self.assertEqual(1, options['TCP_NODELAY'])
            self.assertLess(0, options['TCP_USER_TIMEOUT'])
            self.assertLessEqual(options['TCP_USER_TIMEOUT'], 3000)
            found_after_s = (
                options['TCP_KEEPIDLE']
                + options['TCP_KEEPINTVL'] * options['TCP_KEEPCNT']
            )
            self.assertLessEqual(found_after_s, 4)


class TestStop(unittest.TestCase):
    # Guards against a call that fails otherwise than by its cancellation if
    # it begins when the tasks of the links have ended already.
    def test_call_of_a_task_that_is_being_cancelled_is_cancelled(self):
        trio.run(self.call_after_the_end)

    async def call_after_the_end(self):
        links = _peers.PeerLinks(
            vm='a',
            host='127.0.0.1',
            incarnation=1,
            mailboxes=_mailboxes.Mailboxes(),
            traffic=_Traffic(),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(links.run)
            nursery.cancel_scope.cancel()
            with trio.CancelScope(shield=True):
                await trio.testing.wait_all_tasks_blocked()
            await links.call(
                _make_member(1),
                core.StatusRequest(),
                deadline_ms=_clock.read_clock_ms() + 1000 * TEST_TIMEOUT_S,
            )
            self.fail('the call was not cancelled')
        self.assertTrue(nursery.cancel_scope.cancelled_caught)


class _Traffic:
    def count(self, size_bytes, *, messages=1):
        """Ignore a count of sent messages."""


async def read_socket_options():
    """Return the options of both sockets of a connection between two VMs."""
    streams = []

    class FrameReader(wire.FrameReader):
        def __init__(self, stream):
            streams.append(stream)
            super().__init__(stream)

    shared = {
        'incarnation': 1,
        'mailboxes': _mailboxes.Mailboxes(),
        'traffic': _Traffic(),
    }
    server = _peers.PeerServer(vm='b', **shared)
    links = _peers.PeerLinks(vm='a', host='127.0.0.1', **shared)
    with (
        unittest.mock.patch.object(wire, 'FrameReader', FrameReader),
        trio.fail_after(TEST_TIMEOUT_S),
    ):
        async with trio.open_nursery() as nursery:
            await nursery.start(links.run)
            listeners = await nursery.start(server.serve, '127.0.0.1', 0)
            member = _make_member(listeners[0].socket.getsockname()[1])
            # The answer, here a rejection, shows that both ends are open.
            await links.call(
                member,
                core.StatusRequest(),
                deadline_ms=_clock.read_clock_ms() + 1000 * TEST_TIMEOUT_S,
            )
            ends = [_options_of(stream) for stream in streams]
            nursery.cancel_scope.cancel()
    return ends


def _make_member(peer_port):
    return core.Member(
        name='b',
        data_centre='cluj-a',
        region='north',
        host='127.0.0.1',
        peer_port=peer_port,
        caller_port=2,
    )


def _options_of(stream):
    options = {
        name: stream.getsockopt(TCP, getattr(trio.socket, name))
        for name in (
            'TCP_KEEPCNT',
            'TCP_KEEPIDLE',
            'TCP_KEEPINTVL',
            'TCP_NODELAY',
            'TCP_USER_TIMEOUT',
        )
    }
    options['SO_KEEPALIVE'] = stream.getsockopt(
        trio.socket.SOL_SOCKET, trio.socket.SO_KEEPALIVE
    )
    return options
