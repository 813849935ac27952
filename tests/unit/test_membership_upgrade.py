import random
import unittest

import attrs

from bluebellthread.core import routing
from tests.unit import _membership_net

RELAY_PORT = 7381
PAUSE_MS = 3000
"""Time between the replacements of two VMs."""


class MixedNet(_membership_net.Net):
    """Some VMs run a build that knows no relay ports, named by `old`."""

    def __init__(self, members, *, seed):
        self.old = {member.name for member in members}
        super().__init__(members, seed=seed)

    def handle(self, name, event):
        message = getattr(event, 'message', None)
        if name in self.old and hasattr(message, 'updates'):
            # Such a build skips the field, and leaves it out of what it tells.
            updates = tuple(
                attrs.evolve(
                    update, member=attrs.evolve(update.member, relay_port=0)
                )
                for update in message.updates
            )
            message = attrs.evolve(message, updates=updates)
            event = attrs.evolve(event, message=message)
        super().handle(name, event)

    def replace(self, name):
        """Replace an old VM by one that knows relay ports."""
        member = self.members[name]
        self.kill(name)
        self.run(200)
        self.old.remove(name)
        self.start(
            attrs.evolve(
                member,
                incarnation=member.incarnation + 100,
                relay_port=RELAY_PORT,
            )
        )

    def list_helpers(self, name):
        """Return the addresses that a VM would ask to serve a request."""
        member = self.members[name]
        choice = routing.HelperChoice(
            vm=name,
            data_centre=member.data_centre,
            region=member.region,
            relay_port=RELAY_PORT,
            rng=random.Random(1),
        )
        members = self.vms[name].view.members
        asked = {}
        while helper := choice.choose(members, 's', 0, avoid=asked):
            asked[helper.name] = (helper.host, helper.relay_port)
        return asked


class TestHelpers(unittest.TestCase):
    def make_net(self, seed, count):
        members = [
            _membership_net.make_member(
                f'vm{number}',
                data_centre='ab'[number % 2],
                incarnation=100 + number,
            )
            for number in range(1, count + 1)
        ]
        net = MixedNet(members, seed=seed)
        net.run(PAUSE_MS)
        return net

    def test_all_vms_may_be_asked_after_an_upgrade(self):
        for seed in range(10):
            for count in (3, 6):
                with self.subTest(seed=seed, count=count):
                    net = self.make_net(seed, count)
                    for name in sorted(net.members):
                        net.replace(name)
                        net.run(PAUSE_MS)
                    for name in net.members:
                        others = {
                            member.name: (member.host, RELAY_PORT)
                            for member in net.members.values()
                            if member.name != name
                        }
                        self.assertEqual(others, net.list_helpers(name))
