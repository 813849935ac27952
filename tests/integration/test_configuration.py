import time

from tests.integration import _fleet
from tests.integration import _place_fleet as places

ALL = places.PLACES['a'] + places.PLACES['b']
CROWD = {'a': tuple(f'a{number}' for number in range(1, 8))}
FAILED_READ = 'unreachable: reading the configuration'
READS_OF_WATCHERS = 4
"""Two watchers, each with at most a read that ended and one that waits."""


class TestChange(_fleet.FleetTestCase):
    def test_a_change_reaches_every_vm(self):
        self.run_fleet(self.check_change)

    async def check_change(self, fleet):
        await places.start(fleet)
        for revision in (2, 3):
            started_s = time.monotonic()
            await fleet.publish_config(places.make_value(revision))
            await places.until_in_force(fleet, revision, ALL)
            taken_s = time.monotonic() - started_s
            print(f'revision {revision} at the last VM after {taken_s:.2f} s')
            self.assertLess(taken_s, places.PROMISE_S)

    def test_reads_at_the_platform_do_not_grow_with_vms(self):
        self.run_fleet(self.check_reads)

    async def check_reads(self, fleet):
        self.assertLessEqual(
            await self.count_reads_of_change(fleet), READS_OF_WATCHERS
        )

    def test_without_shared_watches_reads_grow_with_vms(self):
        self.run_fleet(self.check_more_reads)

    async def check_more_reads(self, fleet):
        await self.count_reads_of_change(
            fleet, off=('shared-watch',), least_count=len(CROWD['a'])
        )

    async def count_reads_of_change(self, fleet, *, off=(), least_count=0):
        """Return the reads for a change, once there are so many at least."""
        await places.start(fleet, places=CROWD, off=off)
        expected = len(CROWD['a']) if off else 2
        await _fleet.until(
            lambda: len(places.watchers_of(fleet, CROWD['a'])) == expected,
            what=f'{expected} watchers',
        )
        before = await places.count_reads(fleet)
        await fleet.publish_config(places.make_value(2))
        await places.until_in_force(fleet, 2, CROWD['a'])

        async def are_enough():
            return await places.count_reads(fleet) - before >= least_count

        # A VM may have the change from a peer before its own read ends.
        await _fleet.until(are_enough, what=f'{least_count} reads')
        reads = await places.count_reads(fleet) - before
        print(f'{len(CROWD["a"])} VMs: {reads} reads for a change, off {off}')
        return reads

    def test_watching_is_handed_over_when_both_watchers_die(self):
        self.run_fleet(self.check_hand_over)

    async def check_hand_over(self, fleet):
        crowd = CROWD['a'][:4]
        await places.start(fleet, places={'a': crowd})
        await _fleet.until(
            lambda: len(places.watchers_of(fleet, crowd)) == 2,
            what='two watchers',
        )
        dead = places.watchers_of(fleet, crowd)
        for vm in dead:
            fleet.process_of(vm).kill()
        left = [vm for vm in crowd if vm not in dead]
        started_s = time.monotonic()
        await fleet.publish_config(places.make_value(2))
        await places.until_in_force(fleet, 2, left)
        print(f'after two deaths in {time.monotonic() - started_s:.2f} s')


class TestStalePlatform(_fleet.FleetTestCase):
    async def start_at_revision_2(self, fleet, off=()):
        await places.start(fleet, places={'a': ('a1', 'a2', 'a3')}, off=off)
        await fleet.publish_config(places.make_value(2))
        await places.until_in_force(fleet, 2, ('a1', 'a2', 'a3'))

    async def restart(self, fleet, vm, off=()):
        fleet.process_of(vm).kill()
        seeds = [
            f'{daemon.peers.host}:{daemon.peers.port}'
            for name, daemon in fleet.daemons.items()
            if name != vm
        ]
        await places.start_vm(fleet, vm, off=off, seeds=seeds)
        await _fleet.until(
            lambda: places.revisions_of(fleet, vm),
            what=f'a configuration at {vm}',
        )

    def test_a_restarted_vm_takes_the_peers_revision(self):
        self.run_fleet(self.check_restart_stale)

    async def check_restart_stale(self, fleet):
        await self.start_at_revision_2(fleet)
        await fleet.control('platform', stale_revision=1)
        await self.restart(fleet, 'a1')
        self.assertEqual([2], places.revisions_of(fleet, 'a1'))

    def test_without_the_hold_it_starts_with_the_stale_one(self):
        self.run_fleet(self.check_no_hold)

    async def check_no_hold(self, fleet):
        await self.start_at_revision_2(fleet)
        await fleet.control('platform', stale_revision=1)
        await self.restart(fleet, 'a1', off=('start-hold',))
        self.assertEqual(1, places.revisions_of(fleet, 'a1')[0])

    def test_a_vm_restarts_while_the_platform_is_down(self):
        self.run_fleet(self.check_restart_down)

    async def check_restart_down(self, fleet):
        await self.start_at_revision_2(fleet)
        await fleet.control('platform', down=True)
        await self.restart(fleet, 'a1')
        self.assertEqual([2], places.revisions_of(fleet, 'a1'))

    def test_an_older_revision_does_not_revert(self):
        self.run_fleet(self.check_no_revert)

    async def check_no_revert(self, fleet):
        await self.start_at_revision_2(fleet)
        await self.come_back_stale(fleet)
        await _fleet.until(
            lambda: any(
                ' E3004 the platform serves revision 1' in log
                for log in self.read_logs(fleet)
            ),
            what='the report of the stale platform',
        )
        await fleet.control('platform', stale_revision=0)
        await fleet.publish_config(places.make_value(3))
        await places.until_in_force(fleet, 3, fleet.daemons)
        for vm in fleet.daemons:
            found = places.revisions_of(fleet, vm)
            self.assertEqual(sorted(found), found)

    def test_without_the_order_it_reverts(self):
        self.run_fleet(self.check_revert)

    async def check_revert(self, fleet):
        await self.start_at_revision_2(fleet, off=('revision-order',))
        await self.come_back_stale(fleet)
        await _fleet.until(
            lambda: any(
                places.revisions_of(fleet, vm).count(1) > 1
                for vm in fleet.daemons
            ),
            what='a VM that went back',
        )

    async def come_back_stale(self, fleet):
        await fleet.control('platform', down=True, stale_revision=1)
        await _fleet.until(
            lambda: any(FAILED_READ in log for log in self.read_logs(fleet)),
            what='a failed read of the configuration',
        )
        await fleet.control('platform', down=False)

    def read_logs(self, fleet):
        return [fleet.process_of(vm).stderr for vm in fleet.daemons]


class TestCutDataCentre(_fleet.FleetTestCase):
    def test_cut_from_the_platform_it_follows_its_peers(self):
        self.run_fleet(self.check_cut_from_platform)

    async def check_cut_from_platform(self, fleet):
        await self.publish_while_cut(fleet)
        started_s = time.monotonic()
        await places.until_in_force(fleet, 2, places.PLACES['b'])
        print(f'cut off: in force after {time.monotonic() - started_s:.2f} s')

    def test_without_digest_exchange_it_stays_behind(self):
        self.run_fleet(self.check_no_exchange)

    async def check_no_exchange(self, fleet):
        await self.publish_while_cut(fleet, off=('digest-exchange',))
        with self.assertRaisesRegex(AssertionError, 'revision 2 at b1'):
            await places.until_in_force(fleet, 2, places.PLACES['b'])

    async def publish_while_cut(self, fleet, off=()):
        await places.start(fleet, platforms={'b': 'pb'}, off=off)
        await fleet.set_rules('pb', {'*': {'cut': True}})
        await fleet.publish_config(places.make_value(2))
        await places.until_in_force(fleet, 2, places.PLACES['a'])

    def test_it_catches_up_when_only_its_peers_come_back(self):
        self.run_fleet(self.check_refused_and_back)

    async def check_refused_and_back(self, fleet):
        await self.check_coming_back(fleet, {'cut': True})

    def test_it_catches_up_after_its_links_stood_still(self):
        self.run_fleet(self.check_stalled_and_back)

    async def check_stalled_and_back(self, fleet):
        await self.check_coming_back(fleet, {'stall': True})

    async def check_coming_back(self, fleet, fault):
        await places.start(fleet, platforms={'b': 'pb'}, proxied=ALL)
        await fleet.set_rules('pb', {'*': {'cut': True}})
        await self.strike(fleet, fault)
        await fleet.publish_config(places.make_value(2))
        await places.until_in_force(fleet, 2, places.PLACES['a'])
        self.assertTrue(places.has(fleet, 'b1', 1))
        await self.strike(fleet, None)
        started_s = time.monotonic()
        await places.until_in_force(fleet, 2, places.PLACES['b'])
        print(f'came back in {time.monotonic() - started_s:.2f} s')
        for vm in ALL:
            self.assertEqual([1, 2], places.revisions_of(fleet, vm))

    async def strike(self, fleet, fault):
        for vm in ALL:
            others = [name for name in ALL if name[0] != vm[0]]
            rules = {
                places.HOSTS[name[0]] + name[1:]: fault for name in others
            }
            await fleet.set_rules(f'x-{vm}', rules if fault else {})
