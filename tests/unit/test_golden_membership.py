import unittest

from bluebellthread import core
from bluebellthread.core import _membership_messages as messages
from tests.unit import _golden
from tests.unit import _membership_net

ME = _membership_net.make_member('vm1', incarnation=11)
PEER = _membership_net.make_member('vm2', incarnation=22)


def make_datagram(message, *, sender=PEER, correlation=0):
    return core.DatagramReceived(
        sender=sender.name,
        sender_incarnation=sender.incarnation,
        host=sender.host,
        port=sender.peer_port,
        correlation=correlation,
        message=message,
    )


def make_ack(correlation, *updates, digest=0):
    return make_datagram(
        messages.Ack(digest=digest, updates=updates), correlation=correlation
    )


class TestGoldenMembership(unittest.TestCase):
    def start(self):
        session = _golden.Session(core.Membership(member=ME))
        session.note(
            'The platform lists one peer, and the peer answers a ping.'
        )
        session.feed(0, core.PlatformListed(members=(ME, PEER)))
        session.feed(2, make_ack(1, messages.MemberUpdate(member=PEER)))
        return session

    def test_silent_peer_is_declared_dead(self):
        session = self.start()
        session.note('A ping, a second ping, suspicion, then death.')
        for now_ms in range(100, 1200, 100):
            session.feed(now_ms, core.Tick())
        session.check(self, 'membership_peer_dies')

    def test_paused_process_refutes_and_confirms_its_view(self):
        session = self.start()
        session.feed(100, core.Tick())
        session.note('A pause of 900 ms makes the view unconfirmed at once.')
        commands = session.feed(1000, core.Tick())
        session.note('The peer has declared this VM dead; this VM refutes.')
        dead = _membership_net.make_member('vm1', incarnation=11, state='dead')
        number = next(c.correlation for c in commands if c.correlation)
        session.feed(
            1002, make_ack(number, messages.MemberUpdate(member=dead))
        )
        commands = session.feed(1100, core.Tick())
        session.note(
            'Pinged again, the peer no longer counts this VM as dead.'
        )
        commands = session.feed(1250, core.Tick()) or commands
        number = max(
            c.correlation for c in commands if isinstance(c, core.SendDatagram)
        )
        session.feed(1252, make_ack(number))
        session.check(self, 'membership_pause')

    def test_restarted_peer_replaces_its_old_process(self):
        session = self.start()
        session.note(
            'A new process of the peer pings and replaces the old one at once.'
        )
        restarted_peer = _membership_net.make_member('vm2', incarnation=33)
        session.feed(
            100, make_datagram(messages.Ping(digest=0), sender=restarted_peer)
        )
        session.note('A late update about the old process changes nothing.')
        session.feed(
            110,
            make_datagram(
                messages.Gossip(
                    updates=(messages.MemberUpdate(member=PEER, counter=9),)
                ),
                sender=restarted_peer,
            ),
        )
        session.check(self, 'membership_restart')
