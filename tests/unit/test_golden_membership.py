import unittest

from bluebellthread import core
from bluebellthread.core import _membership_messages as messages
from tests.unit import _golden
from tests.unit import _membership_net

ME = _membership_net.make_member('vm1', incarnation=11)
PEER = _membership_net.make_member('vm2', incarnation=22)


def say(message, *, sender=PEER, correlation=0):
    return core.DatagramReceived(
        sender=sender.name,
        sender_incarnation=sender.incarnation,
        host=sender.host,
        port=sender.peer_port,
        correlation=correlation,
        message=message,
    )


def ack(correlation, *updates, digest=0):
    return say(
        messages.Ack(digest=digest, updates=updates), correlation=correlation
    )


class TestGoldenMembership(unittest.TestCase):
    def start(self):
        session = _golden.Session(core.Membership(member=ME))
        session.note('The platform lists one peer, which then answers.')
        session.feed(0, core.PlatformListed(members=(ME, PEER)))
        session.feed(2, ack(1, messages.MemberUpdate(member=PEER)))
        return session

    def test_peer_falls_silent(self):
        session = self.start()
        session.note('Ping, ping again, suspicion, death.')
        for now_ms in range(100, 1200, 100):
            session.feed(now_ms, core.Tick())
        session.check(self, 'membership_peer_dies')

    def test_paused_process_wakes_up(self):
        session = self.start()
        session.feed(100, core.Tick())
        session.note('A pause of 900 ms: the view is unconfirmed at once.')
        commands = session.feed(1000, core.Tick())
        session.note('The peer took this VM for dead: it refutes.')
        dead = _membership_net.make_member('vm1', incarnation=11, state='dead')
        number = next(c.correlation for c in commands if c.correlation)
        session.feed(1002, ack(number, messages.MemberUpdate(member=dead)))
        commands = session.feed(1100, core.Tick())
        session.note('Asked again, the peer no longer doubts.')
        commands = session.feed(1250, core.Tick()) or commands
        number = max(
            c.correlation for c in commands if isinstance(c, core.SendDatagram)
        )
        session.feed(1252, ack(number))
        session.check(self, 'membership_pause')

    def test_peer_restarts(self):
        session = self.start()
        session.note('Another process answers: the old one is dead at once.')
        reborn = _membership_net.make_member('vm2', incarnation=33)
        session.feed(100, say(messages.Ping(digest=0), sender=reborn))
        session.note('Old news of the old process change nothing.')
        session.feed(
            110,
            say(
                messages.Gossip(
                    updates=(messages.MemberUpdate(member=PEER, counter=9),)
                ),
                sender=reborn,
            ),
        )
        session.check(self, 'membership_restart')
