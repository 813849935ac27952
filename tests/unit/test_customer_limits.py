"""Customers' rate limits over all VMs, replayed without a network."""

import unittest

import attrs

from bench import _customer_world as worlds
from bluebellthread.core import routing

RATE = worlds.LIMIT.rate_per_s
USUAL = 0.6 * RATE
"""Usual demand: 7.5 times as much is 4.5 times the limit."""

ALLOWED = RATE * 8 + worlds.LIMIT.burst
REPORTS_BOUND = worlds.LIMIT.burst
"""Bound on what is admitted beyond the limit in a window while the owner is
reached: reports in flight, and requests that a granted rate pays afterwards.
The platform's check allows 25 % and 140,000 tokens more, 2.8 bursts."""

CHECK_SLACK = 0.25 * ALLOWED + 140_000


class TestOneCustomerOverItsLimit(unittest.TestCase):
    # Guards against VMs that admit too much together, and against parts of
    # the limit that VMs without requests keep unused.
    def test_limit_is_kept_and_used(self):
        for vm_count in (70, 390):
            for seed in (1, 2, 3):
                with self.subTest(vm_count=vm_count, seed=seed):
                    world = worlds.World(vm_count, seed=seed)
                    world.run(8000, {'a': USUAL})
                    self.assertEqual([], world.refused)
                    world.run(40_000, {'a': 7.5 * USUAL})
                    self.assertLessEqual(
                        world.find_most(), ALLOWED + REPORTS_BOUND
                    )
                    self.assertGreaterEqual(world.find_rate(8000), 0.95 * RATE)

    def test_limit_is_used_if_little_more_is_asked_for(self):
        for vm_count in (70, 390):
            with self.subTest(vm_count=vm_count):
                world = worlds.World(vm_count)
                world.run(40_000, {'a': 1.5 * RATE})
                self.assertLessEqual(
                    world.find_most(), ALLOWED + REPORTS_BOUND
                )
                self.assertGreaterEqual(world.find_rate(0), 0.95 * RATE)

    # Guards against a customer that is refused long after it is below its
    # limit again.
    def test_refusals_end_with_the_overload(self):
        world = worlds.World(70)
        world.run(10_000, {'a': 7.5 * USUAL})
        world.run(10_000, {'a': USUAL})
        late = [at_ms for at_ms, *_ in world.refused if at_ms >= 14_000]
        self.assertEqual([], late)

    # Guards against a refusal of each large request where the rate of one VM
    # is low.
    def test_streams_are_served_as_often_as_small_requests(self):
        world = worlds.World(390)
        world.run(30_000, {'a': 7.5 * USUAL})
        streams = [c for _, c in world.admitted if c == worlds.STREAM_COST]
        self.assertGreater(len(streams), len(world.admitted) / 4)

    def test_wait_is_never_zero(self):
        credits = routing.CustomerCredits(rng=worlds.World(1).rng)
        limit = routing.CustomerLimit(rate_per_s=1, burst=1)

        def admit():
            return credits.admit('a', 1, limit, 1, 0, vm_count=1, is_new=False)

        grant = routing.CustomerGrant(
            customer='a', used=0, credit=0, is_near=True, ask_ms=100
        )
        admit()
        credits.note_grant(grant, credits.make_use('a', 0, 0), 1, 0)
        self.assertGreater(admit(), 0)


class TestCustomersBelowTheirLimits(unittest.TestCase):
    # Guards against refusals below the limit: they count as lost service.
    def test_none_is_refused(self):
        for vm_count in (70, 390):
            with self.subTest(vm_count=vm_count):
                world = worlds.World(vm_count)
                loads = {f'c{n}': USUAL for n in range(8)}
                world.run(20_000, loads)
                self.assertEqual([], world.refused)

    def test_limits_of_requests_hold_too(self):
        limit = routing.CustomerLimit(rate_per_s=20, burst=40)
        world = worlds.World(70, limit)
        world.run(20_000, {'a': 10})
        self.assertEqual([], world.refused)
        world.run(40_000, {'a': 75})
        self.assertLessEqual(world.find_most(), 20 * 8 + 40 + 70)
        self.assertGreaterEqual(world.find_rate(20_000), 0.95 * 20)

    # Guards against a limit without a burst that refuses half of what it
    # allows.
    def test_limit_without_a_burst_can_be_used(self):
        limit = routing.CustomerLimit(rate_per_s=100, burst=0)
        world = worlds.World(5, limit)
        world.run(20_000, {'a': 50})
        self.assertEqual([], world.refused)
        world.run(20_000, {'a': 400})
        # The platform's check allows a quarter more than 800 in 8 s, and its
        # slack beside that.
        self.assertLessEqual(world.find_most(), 1.25 * 800)


class TestOwners(unittest.TestCase):
    # Guards against a new owner that grants the burst and the window anew.
    def test_new_owner_learns_what_was_admitted(self):
        for vm_count in (70, 390):
            with self.subTest(vm_count=vm_count):
                world = worlds.World(vm_count)
                world.run(12_000, {'a': 7.5 * USUAL})
                del world.owners[0]
                world.run(1500, {'a': 7.5 * USUAL})
                self.change_owner(world, 1)
                world.run(20_000, {'a': 7.5 * USUAL})
                self.assertLessEqual(world.find_most(), ALLOWED + CHECK_SLACK)
                self.assertGreaterEqual(world.find_rate(22_000), 0.95 * RATE)

    @staticmethod
    def change_owner(world, number):
        world.owners[number] = routing.CustomerAccounts()
        world.owner_of = lambda vm, name: number
        for vm, credits in enumerate(world.vms):
            credits.change_owners(
                lambda name: number, world.now_ms + world.jumps_ms[vm]
            )

    # Guards against refusals below the limit when a VM is replaced.
    def test_new_owner_refuses_nobody_below_the_limit(self):
        world = worlds.World(70)
        world.run(12_000, {'a': USUAL})
        self.change_owner(world, 1)
        world.run(12_000, {'a': USUAL})
        self.assertEqual([], world.refused)

    # Guards against VMs beyond a cut that admit as if they were alone.
    def test_cut_off_vms_keep_to_their_shares(self):
        for vm_count in (70, 390):
            with self.subTest(vm_count=vm_count):
                world = worlds.World(vm_count)
                world.run(12_000, {'a': 7.5 * USUAL})
                world.cut = set(range(0, vm_count, 3))
                world.run(20_000, {'a': 7.5 * USUAL})
                world.cut = set()
                world.run(20_000, {'a': 7.5 * USUAL})
                self.assertLessEqual(world.find_most(), ALLOWED + CHECK_SLACK)

    # Guards against two owners that each grant the whole limit.
    def test_owners_of_a_parted_fleet_grant_their_shares(self):
        world = worlds.World(70)
        world.run(12_000, {'a': 7.5 * USUAL})
        world.owners[1] = routing.CustomerAccounts()
        world.owner_of = lambda vm, name: int(vm < 20)
        world.share_of = {1: 20 / 70}
        world.run(20_000, {'a': 7.5 * USUAL})
        self.assertLessEqual(world.find_most(), ALLOWED + CHECK_SLACK)

    # All VMs at once lose what they know: the burst is granted once more.
    def test_restart_of_all_vms_grants_one_burst_more(self):
        world = worlds.World(70)
        world.run(12_000, {'a': 7.5 * USUAL})
        for vm in range(70):
            world.replace_vm(vm)
        world.owners[0] = routing.CustomerAccounts()
        world.run(20_000, {'a': 7.5 * USUAL})
        self.assertLessEqual(
            world.find_most(), ALLOWED + worlds.LIMIT.burst + REPORTS_BOUND
        )


class TestChanges(unittest.TestCase):
    # Guards against units of the old limit that are used after the change.
    def test_lowered_limit_is_kept_and_raised_one_is_used(self):
        world = worlds.World(70)
        world.run(12_000, {'a': 7.5 * USUAL})
        world.limit = attrs.evolve(
            worlds.LIMIT, rate_per_s=RATE / 4, burst=RATE / 4
        )
        world.run(20_000, {'a': 7.5 * USUAL})
        self.assertLessEqual(
            world.find_most(12_500), (ALLOWED + CHECK_SLACK) / 4
        )
        self.assertGreaterEqual(world.find_rate(16_000), 0.95 * RATE / 4)
        world.limit = worlds.LIMIT
        begin_ms = world.now_ms
        world.run(20_000, {'a': 7.5 * USUAL})
        self.assertGreaterEqual(world.find_rate(begin_ms), 0.95 * RATE)
        self.assertLessEqual(world.find_most(), ALLOWED + REPORTS_BOUND)

    def test_vm_that_starts_late_is_served(self):
        world = worlds.World(70)
        world.starts_ms[9] = 12_000
        world.run(24_000, {'a': USUAL})
        self.assertEqual([], world.refused)
        world.run(12_000, {'a': 7.5 * USUAL})
        self.assertLessEqual(world.find_most(), ALLOWED + REPORTS_BOUND)

    # Guards against units that are counted twice, or not at all.
    def test_lost_and_repeated_messages_change_nothing(self):
        world = worlds.World(70, loss=0.05)
        world.run(40_000, {'a': 7.5 * USUAL})
        self.assertLessEqual(world.find_most(), ALLOWED + REPORTS_BOUND)
        self.assertGreaterEqual(world.find_rate(10_000), 0.95 * RATE)

    def test_jump_of_a_clock_grants_nothing(self):
        for jump_ms in (-5000, 3_600_000):
            with self.subTest(jump_ms=jump_ms):
                world = worlds.World(70)
                world.run(12_000, {'a': 7.5 * USUAL})
                world.jumps_ms = [jump_ms if vm % 2 else 0 for vm in range(70)]
                world.run(20_000, {'a': 7.5 * USUAL})
                self.assertLessEqual(
                    world.find_most(), ALLOWED + REPORTS_BOUND
                )
                self.assertGreaterEqual(world.find_rate(20_000), 0.95 * RATE)

    def test_refunded_units_can_be_used_again(self):
        world = worlds.World(1)
        world.run(4000, {'a': USUAL})
        for at_ms, cost in world.admitted:
            world.vms[0].refund('a', cost, world.now_ms)
            del at_ms
        use = world.vms[0].make_use('a', 0, world.now_ms)
        self.assertEqual((0, 0), (use.used, use.window_used))

    def test_idle_customers_are_forgotten(self):
        world = worlds.World(2)
        world.run(2000, {'a': USUAL, 'b': USUAL})
        world.owners[0].keep_only(lambda name: name == 'a', world.now_ms)
        self.assertEqual(1, len(world.owners[0]))
        world.vms[0].forget_idle(world.now_ms + 60_000)
        world.owners[0].keep_only(lambda name: True, world.now_ms + 60_000)
        self.assertEqual((0, 0), (len(world.vms[0]), len(world.owners[0])))


if __name__ == '__main__':
    unittest.main()
