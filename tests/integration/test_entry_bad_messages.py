"""Messages that make no sense, sent to the port for other VMs."""

import socket
import struct
import unittest
import unittest.mock

import trio

from bluebellthread import core
from bluebellthread.core import _membership_messages as messages
from bluebellthread.core import routing
from bluebellthread import wire
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
BAD_FRAMES = 20


def make_envelope(message, correlation=0):
    return wire.Envelope(
        message=message,
        sender='vm9',
        sender_incarnation=7,
        correlation=correlation,
    )


def make_update(state, counter):
    member = core.Member(
        name='vm9',
        data_centre='cluj-a',
        region='north',
        host='127.0.0.1',
        peer_port=1,
        caller_port=2,
        relay_port=3,
        incarnation=7,
        state=state,
    )
    return messages.MemberUpdate(member=member, counter=counter)


def connect(site):
    return trio.open_tcp_stream('127.0.0.1', site.entry.ports['peer_port'])


class TestBadMessages(unittest.TestCase):
    async def check_serves(self, site):
        answer = await site.call('GET', '/read/x')
        self.assertEqual(200, answer.status)

    @run
    async def test_unreadable_frames_and_resets_end_nothing_else(self):
        async with sites.running_site() as site:
            for _ in range(BAD_FRAMES):
                stream = await connect(site)
                stream.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                await stream.send_all(b'\x00\x00\x00\x04\x80abc')
                await stream.aclose()
                await self.check_serves(site)

    @run
    async def test_datagram_with_an_unknown_state_is_ignored(self):
        async with sites.running_site() as site:
            sender = trio.socket.socket(type=socket.SOCK_DGRAM)
            with sender:
                for number, state in enumerate(('alive', 'resting', '')):
                    gossip = messages.Gossip(
                        updates=(make_update(state, number),)
                    )
                    await sender.sendto(
                        wire.encode(make_envelope(gossip), now_ms=0),
                        ('127.0.0.1', site.entry.ports['peer_port']),
                    )
                await sites.wait_until(
                    lambda: site.entry.state.find_vm('vm9') is not None
                )
                await self.check_serves(site)
                await self.check_serves(site)
            self.assertIn(
                site.entry.state.find_vm('vm9').state,
                ('alive', 'suspect', 'dead'),
            )

    @run
    async def test_message_that_hits_a_bug_is_rejected(self):
        async with sites.running_site() as site:
            bug = unittest.mock.patch.object(
                routing.OwnedAllocator, 'register_held', side_effect=KeyError
            )
            held = routing.PlacementsHeld(
                serves='model', vm='vm9', vm_incarnation=7, places=()
            )
            stream = await connect(site)
            with bug:
                await stream.send_all(
                    wire.encode_frame(make_envelope(held, 1), now_ms=0)
                )
                frame = await wire.FrameReader(stream).read()
            answer = wire.decode(frame, now_ms=0).message
            self.assertEqual('internal', answer.kind)
            await self.check_serves(site)
            await stream.aclose()
