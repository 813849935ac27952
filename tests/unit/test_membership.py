import unittest

from bluebellthread import core
from tests.unit import _membership_net

SEED = 7
DEATH_DETECTED_MAX_MS = 1200


def make_net(count, *, data_centres=('cluj-a',), seed=SEED, options=None):
    members = [
        _membership_net.make_member(
            f'vm{number}',
            data_centre=data_centres[number % len(data_centres)],
            incarnation=100 + number,
        )
        for number in range(1, count + 1)
    ]
    net = _membership_net.Net(members, seed=seed, options=options)
    net.run_until(lambda: all_alive(net), at_most_ms=5000)
    return net


def all_alive(net):
    return all(
        vm.view.confirmed
        and len(vm.view.members) == len(net.members)
        and all(member.state == 'alive' for member in vm.view.members)
        for vm in net.vms.values()
    )


def all_see(net, name, state):
    return all(
        net.state(observer, name) == state
        for observer in net.vms
        if observer != name and observer not in net.frozen
    )


class TestDeaths(unittest.TestCase):
    def test_all_vms_detect_a_death_within_the_limit(self):
        for seed in range(10):
            for count, data_centre_count in ((3, 1), (6, 3), (8, 3)):
                with self.subTest(seed=seed, count=count):
                    net = make_net(
                        count,
                        data_centres=('a', 'b', 'c')[:data_centre_count],
                        seed=seed,
                    )
                    net.run(seed * 97)
                    net.kill('vm2')
                    net.run_until(
                        lambda: all_see(net, 'vm2', 'dead'),  # noqa: B023
                        at_most_ms=DEATH_DETECTED_MAX_MS,
                    )

    def test_without_pings_no_death_is_detected(self):
        options = core.MembershipOptions(probes=False)
        net = make_net(3, options=options)
        net.kill('vm2')
        net.run(5000)
        self.assertTrue(all_see(net, 'vm2', 'alive'))

    def test_a_blocked_link_between_two_vms_suspects_nobody(self):
        net = make_net(3)
        net.partitioned.add(frozenset(('vm1', 'vm2')))
        net.run(10000)
        seen = {
            member.state
            for views in net.views.values()
            for now_ms, view in views
            for member in view.members
            if now_ms > 1000
        }
        self.assertLessEqual(seen, {'alive'})
        self.assertTrue(all_alive(net))

    def test_an_isolated_vm_returns_with_the_same_incarnation(self):
        net = make_net(3)
        links = {frozenset(('vm3', 'vm1')), frozenset(('vm3', 'vm2'))}
        net.partitioned |= links
        net.run_until(
            lambda: net.state('vm1', 'vm3') == 'dead', at_most_ms=2000
        )
        net.partitioned -= links
        net.run_until(lambda: all_alive(net), at_most_ms=4000)
        self.assertEqual(103, net.vms['vm1'].view.find('vm3').incarnation)

    def test_a_restarted_process_replaces_the_old_one_at_once(self):
        net = make_net(3)
        net.kill('vm2')
        net.start(_membership_net.make_member('vm2', incarnation=999))
        net.run_until(
            lambda: all(
                vm.view.find('vm2').incarnation == 999
                for vm in net.vms.values()
            ),
            at_most_ms=300,
        )
        net.run(5000)
        self.assertTrue(all_alive(net))

    def test_leaving_and_stopping_are_announced_at_once(self):
        net = make_net(6, data_centres=('a', 'b'))
        net.handle('vm2', core.LeaveStarted())
        net.run_until(lambda: all_see(net, 'vm2', 'leaving'), at_most_ms=100)
        net.handle('vm2', core.Stopped())
        net.kill('vm2')
        net.run_until(lambda: all_see(net, 'vm2', 'dead'), at_most_ms=100)


class TestPlatformList(unittest.TestCase):
    def publish(self, net, members):
        for name in net.vms:
            net.handle(name, core.PlatformListed(members=tuple(members)))

    def test_the_list_alone_changes_no_vm_to_dead_or_alive(self):
        net = make_net(3)
        net.kill('vm2')
        net.run_until(lambda: all_see(net, 'vm2', 'dead'), at_most_ms=2000)
        self.publish(net, [net.members['vm2']])
        net.run(3000)
        self.assertTrue(all_see(net, 'vm2', 'dead'))
        self.assertTrue(all_see(net, 'vm3', 'alive'))

    def test_a_vm_listed_as_leaving_is_leaving_in_the_view(self):
        net = make_net(3)
        leaving = _membership_net.make_member('vm2', state='leaving')
        self.publish(net, [leaving])
        self.assertTrue(all_see(net, 'vm2', 'leaving'))


class TestPauses(unittest.TestCase):
    def pause_and_resume(self, net, pause_ms=2000):
        net.run(3000)
        net.freeze('vm1')
        net.run(pause_ms)
        net.views['vm1'].clear()
        net.frozen['vm1'].clear()
        del net.frozen['vm1']
        net.handle('vm1', core.Tick())

    def test_view_is_unconfirmed_after_a_pause_until_peers_answer(self):
        net = make_net(3)
        self.pause_and_resume(net)
        _, first = net.views['vm1'][0]
        self.assertFalse(first.confirmed)
        net.run_until(lambda: all_alive(net), at_most_ms=600)

    def test_confirmed_view_after_a_pause_has_the_missed_updates(self):
        net = make_net(6)
        net.run(3000)
        net.freeze('vm1')
        net.kill('vm6')
        net.run_until(lambda: all_see(net, 'vm6', 'dead'), at_most_ms=2000)
        net.run(8000)
        net.thaw('vm1')
        net.handle('vm1', core.Tick())
        views = net.views['vm1']
        net.run_until(lambda: views[-1][1].confirmed, at_most_ms=600)
        self.assertEqual('dead', views[-1][1].find('vm6').state)

    def test_view_stays_confirmed_if_pauses_are_not_detected(self):
        net = make_net(3, options=core.MembershipOptions(detects_pauses=False))
        self.pause_and_resume(net)
        self.assertTrue(net.vms['vm1'].view.confirmed)

    def test_isolated_vm_stays_unconfirmed_while_peers_are_listed(self):
        net = make_net(3)
        net.partitioned |= {
            frozenset(('vm1', 'vm2')),
            frozenset(('vm1', 'vm3')),
        }
        self.pause_and_resume(net)
        net.run(10000)
        self.assertFalse(net.vms['vm1'].view.confirmed)
        listed = core.PlatformListed(members=(net.members['vm1'],))
        net.handle('vm1', listed)
        self.assertTrue(net.vms['vm1'].view.confirmed)


class TestCost(unittest.TestCase):
    def test_bytes_sent_per_vm_do_not_grow_with_the_fleet(self):
        rates = {}
        for count in (6, 24):
            net = make_net(count, data_centres=('a', 'b', 'c'))
            net.run(8000)
            net.sent_bytes.clear()
            net.run(5000)
            rates[count] = sum(net.sent_bytes.values()) / 5 / count
            self.assertLessEqual(net.largest_bytes, 1400)
        self.assertLess(rates[24], 1000, rates)
        self.assertLess(rates[24], 2 * rates[6], rates)
