import random
import unittest

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.core.routing import _helper_choice


def make_member(name, data_centre='a', region='r', relay_port=5):
    return core.Member(
        name=name,
        data_centre=data_centre,
        region=region,
        host='127.0.0.1',
        peer_port=1,
        caller_port=2,
        incarnation=3,
        relay_port=relay_port,
    )


class TestHelperChoice(unittest.TestCase):
    def setUp(self):
        self.choice = routing.HelperChoice(
            vm='vm0', data_centre='a', region='r', rng=random.Random(1)
        )

    def choose(self, members, now_ms=0, **options):
        member = self.choice.choose(members, 's', now_ms, **options)
        return member.name if member is not None else None

    def test_nearest_vm_is_asked_first(self):
        members = [
            make_member('far', data_centre='c', region='q'),
            make_member('near', data_centre='b'),
            make_member('here'),
            make_member('vm0'),
        ]
        asked = []
        while (name := self.choose(members, avoid=asked)) is not None:
            asked.append(name)
        self.assertEqual(['here', 'near', 'far'], asked)

    def test_vm_without_a_port_is_not_asked(self):
        self.assertIsNone(self.choose([make_member('vm1', relay_port=0)]))

    def test_vm_of_unknown_port_is_asked_last_at_the_own_port(self):
        choice = routing.HelperChoice(
            vm='vm0',
            data_centre='a',
            region='r',
            relay_port=6,
            rng=random.Random(1),
        )
        members = [
            make_member('vm1', relay_port=0),
            make_member('far', region='q', data_centre='c'),
        ]
        first = choice.choose(members, 's', 0)
        self.assertEqual(('far', 5), (first.name, first.relay_port))
        second = choice.choose(members, 's', 0, avoid=('far',))
        self.assertEqual(('vm1', 6), (second.name, second.relay_port))

    def test_least_busy_vm_is_asked(self):
        members = [make_member('vm1'), make_member('vm2')]
        self.choice.begin('vm1')
        self.assertEqual('vm2', self.choose(members))
        self.choice.begin('vm2')
        self.choice.end('vm1')
        self.assertEqual('vm1', self.choose(members))

    def test_vm_without_a_path_is_passed_over_for_its_service_for_a_while(
        self,
    ):
        member = make_member('vm1')
        self.choice.note_lost(member, 's', 0)
        self.assertIsNone(self.choose([member]))
        self.assertIsNotNone(self.choice.choose([member], 'other', 0))
        self.assertEqual('vm1', self.choose([member], _helper_choice.LOST_MS))

    # Guards against a data centre without paths whose VMs only ask others
    # of the same data centre.
    def test_other_data_centres_go_first_after_one_has_no_path(self):
        here = [make_member(f'vm{number}') for number in range(1, 9)]
        far = make_member('far', data_centre='c', region='q')
        self.choice.note_lost(here[0], 's', 0)
        self.assertEqual('far', self.choose([*here, far]))

    def test_vm_that_is_busy_is_passed_over_for_a_moment(self):
        member = make_member('vm1')
        self.choice.note_busy(member, 's', 0)
        self.assertIsNone(self.choose([member]))
        self.assertEqual('vm1', self.choose([member], _helper_choice.BUSY_MS))

    def test_vm_that_was_not_reached_is_passed_over_for_all_services(self):
        member = make_member('vm1')
        self.choice.note_unreached('vm1', 0)
        self.assertIsNone(self.choose([member]))
        self.assertIsNone(self.choice.choose([member], 'other', 0))
        self.assertEqual(
            'vm1', self.choose([member], _helper_choice.UNREACHED_MS)
        )


if __name__ == '__main__':
    unittest.main()
