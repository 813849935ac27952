import time

from tests.integration import _configuration_fleet as config_fleet
from tests.integration import _fleet

ALL = (
    config_fleet.VMS_BY_DATA_CENTRE['a'] + config_fleet.VMS_BY_DATA_CENTRE['b']
)
SEVEN_VMS = {'a': tuple(f'a{number}' for number in range(1, 8))}
FAILED_READ = 'unreachable: reading the configuration'
READS_OF_WATCHERS = 4
"""Reads of two watchers per change: each ends one read and starts the next."""


class TestChange(_fleet.FleetTestCase):
    def test_a_change_reaches_every_vm(self):
        self.run_fleet(self.check_change)

    async def check_change(self, fleet):
        await config_fleet.start(fleet)
        for revision in (2, 3):
            started_s = time.monotonic()
            await fleet.publish_config(
                config_fleet.make_configuration(revision)
            )
            await config_fleet.until_in_force(fleet, revision, ALL)
            elapsed_s = time.monotonic() - started_s
            print(
                f'revision {revision} at the last VM after {elapsed_s:.2f} s'
            )
            self.assertLess(elapsed_s, config_fleet.IN_FORCE_LIMIT_S)

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
            fleet,
            disabled_mechanisms=('shared-watch',),
            least_count=len(SEVEN_VMS['a']),
        )

    async def count_reads_of_change(
        self, fleet, *, disabled_mechanisms=(), least_count=0
    ):
        """Publish a change and return the reads that it causes.

        Waits until there are at least ``least_count`` reads.
        """
        await config_fleet.start(
            fleet,
            vms_by_data_centre=SEVEN_VMS,
            disabled_mechanisms=disabled_mechanisms,
        )
        expected = len(SEVEN_VMS['a']) if disabled_mechanisms else 2
        await _fleet.until(
            lambda: (
                len(config_fleet.watchers_of(fleet, SEVEN_VMS['a']))
                == expected
            ),
            what=f'{expected} watchers',
        )
        before = await config_fleet.count_reads(fleet)
        await fleet.publish_config(config_fleet.make_configuration(2))
        await config_fleet.until_in_force(fleet, 2, SEVEN_VMS['a'])

        async def are_enough():
            return (
                await config_fleet.count_reads(fleet) - before >= least_count
            )

        # A VM may get the change from a peer before its own read ends.
        await _fleet.until(are_enough, what=f'{least_count} reads')
        reads = await config_fleet.count_reads(fleet) - before
        print(
            f'{len(SEVEN_VMS["a"])} VMs: {reads} reads for a change, '
            f'disabled {disabled_mechanisms}'
        )
        return reads

    def test_other_vms_watch_when_both_watchers_are_killed(self):
        self.run_fleet(self.check_watchers_killed)

    async def check_watchers_killed(self, fleet):
        vms = SEVEN_VMS['a'][:4]
        await config_fleet.start(fleet, vms_by_data_centre={'a': vms})
        await _fleet.until(
            lambda: len(config_fleet.watchers_of(fleet, vms)) == 2,
            what='two watchers',
        )
        dead = config_fleet.watchers_of(fleet, vms)
        for vm in dead:
            fleet.process_of(vm).kill()
        remaining = [vm for vm in vms if vm not in dead]
        started_s = time.monotonic()
        await fleet.publish_config(config_fleet.make_configuration(2))
        await config_fleet.until_in_force(fleet, 2, remaining)
        print(f'after two deaths in {time.monotonic() - started_s:.2f} s')


class TestStalePlatform(_fleet.FleetTestCase):
    async def start_at_revision_2(self, fleet, disabled_mechanisms=()):
        await config_fleet.start(
            fleet,
            vms_by_data_centre={'a': ('a1', 'a2', 'a3')},
            disabled_mechanisms=disabled_mechanisms,
        )
        await fleet.publish_config(config_fleet.make_configuration(2))
        await config_fleet.until_in_force(fleet, 2, ('a1', 'a2', 'a3'))

    async def restart(self, fleet, vm, disabled_mechanisms=()):
        fleet.process_of(vm).kill()
        seeds = [
            f'{daemon.peers.host}:{daemon.peers.port}'
            for name, daemon in fleet.daemons.items()
            if name != vm
        ]
        await config_fleet.start_vm(
            fleet, vm, disabled_mechanisms=disabled_mechanisms, seeds=seeds
        )
        await _fleet.until(
            lambda: config_fleet.revisions_of(fleet, vm),
            what=f'a configuration at {vm}',
        )

    def test_a_restarted_vm_takes_the_peers_revision(self):
        self.run_fleet(self.check_restart_stale)

    async def check_restart_stale(self, fleet):
        await self.start_at_revision_2(fleet)
        await fleet.control('platform', stale_revision=1)
        await self.restart(fleet, 'a1')
        self.assertEqual([2], config_fleet.revisions_of(fleet, 'a1'))

    def test_without_start_hold_a_vm_starts_with_the_stale_revision(self):
        self.run_fleet(self.check_no_start_hold)

    async def check_no_start_hold(self, fleet):
        await self.start_at_revision_2(fleet)
        await fleet.control('platform', stale_revision=1)
        await self.restart(fleet, 'a1', disabled_mechanisms=('start-hold',))
        self.assertEqual(1, config_fleet.revisions_of(fleet, 'a1')[0])

    def test_a_vm_restarts_while_the_platform_is_down(self):
        self.run_fleet(self.check_restart_down)

    async def check_restart_down(self, fleet):
        await self.start_at_revision_2(fleet)
        await fleet.control('platform', down=True)
        await self.restart(fleet, 'a1')
        self.assertEqual([2], config_fleet.revisions_of(fleet, 'a1'))

    def test_an_older_revision_does_not_replace_a_newer_one(self):
        self.run_fleet(self.check_no_revert)

    async def check_no_revert(self, fleet):
        await self.start_at_revision_2(fleet)
        await self.restore_stale_platform(fleet)
        await _fleet.until(
            lambda: any(
                ' E3004 the platform serves revision 1' in log
                for log in self.read_logs(fleet)
            ),
            what='the report of the stale platform',
        )
        await fleet.control('platform', stale_revision=0)
        await fleet.publish_config(config_fleet.make_configuration(3))
        await config_fleet.until_in_force(fleet, 3, fleet.daemons)
        for vm in fleet.daemons:
            found = config_fleet.revisions_of(fleet, vm)
            self.assertEqual(sorted(found), found)

    def test_without_revision_order_an_older_revision_replaces_a_newer_one(
        self,
    ):
        self.run_fleet(self.check_revert)

    async def check_revert(self, fleet):
        await self.start_at_revision_2(
            fleet, disabled_mechanisms=('revision-order',)
        )
        await self.restore_stale_platform(fleet)
        await _fleet.until(
            lambda: any(
                config_fleet.revisions_of(fleet, vm).count(1) > 1
                for vm in fleet.daemons
            ),
            what='a VM that went back',
        )

    async def restore_stale_platform(self, fleet):
        await fleet.control('platform', down=True, stale_revision=1)
        await _fleet.until(
            lambda: any(FAILED_READ in log for log in self.read_logs(fleet)),
            what='a failed read of the configuration',
        )
        await fleet.control('platform', down=False)

    def read_logs(self, fleet):
        return [fleet.process_of(vm).stderr for vm in fleet.daemons]


class TestCutDataCentre(_fleet.FleetTestCase):
    def test_data_centre_without_platform_gets_changes_from_peers(self):
        self.run_fleet(self.check_cut_from_platform)

    async def check_cut_from_platform(self, fleet):
        await self.publish_while_cut(fleet)
        started_s = time.monotonic()
        await config_fleet.until_in_force(
            fleet, 2, config_fleet.VMS_BY_DATA_CENTRE['b']
        )
        print(f'cut off: in force after {time.monotonic() - started_s:.2f} s')

    def test_without_digest_exchange_a_cut_off_data_centre_stays_behind(self):
        self.run_fleet(self.check_no_exchange)

    async def check_no_exchange(self, fleet):
        await self.publish_while_cut(
            fleet, disabled_mechanisms=('digest-exchange',)
        )
        with self.assertRaisesRegex(AssertionError, 'revision 2 at b1'):
            await config_fleet.until_in_force(
                fleet, 2, config_fleet.VMS_BY_DATA_CENTRE['b']
            )

    async def publish_while_cut(self, fleet, disabled_mechanisms=()):
        await config_fleet.start(
            fleet,
            platforms={'b': 'pb'},
            disabled_mechanisms=disabled_mechanisms,
        )
        await fleet.set_rules('pb', {'*': {'cut': True}})
        await fleet.publish_config(config_fleet.make_configuration(2))
        await config_fleet.until_in_force(
            fleet, 2, config_fleet.VMS_BY_DATA_CENTRE['a']
        )

    def test_data_centre_catches_up_when_only_peers_are_reachable_again(self):
        self.run_fleet(self.check_cut_and_restored)

    async def check_cut_and_restored(self, fleet):
        await self.check_catching_up(fleet, {'cut': True})

    def test_data_centre_catches_up_after_stalled_connections(self):
        self.run_fleet(self.check_stalled_and_restored)

    async def check_stalled_and_restored(self, fleet):
        await self.check_catching_up(fleet, {'stall': True})

    async def check_catching_up(self, fleet, fault):
        await config_fleet.start(fleet, platforms={'b': 'pb'}, proxied=ALL)
        await fleet.set_rules('pb', {'*': {'cut': True}})
        await self.set_fault(fleet, fault)
        await fleet.publish_config(config_fleet.make_configuration(2))
        await config_fleet.until_in_force(
            fleet, 2, config_fleet.VMS_BY_DATA_CENTRE['a']
        )
        self.assertTrue(config_fleet.is_in_force(fleet, 'b1', 1))
        await self.set_fault(fleet, None)
        started_s = time.monotonic()
        await config_fleet.until_in_force(
            fleet, 2, config_fleet.VMS_BY_DATA_CENTRE['b']
        )
        print(f'came back in {time.monotonic() - started_s:.2f} s')
        for vm in ALL:
            self.assertEqual([1, 2], config_fleet.revisions_of(fleet, vm))

    async def set_fault(self, fleet, fault):
        for vm in ALL:
            others = [name for name in ALL if name[0] != vm[0]]
            rules = {
                config_fleet.HOSTS[name[0]] + name[1:]: fault
                for name in others
            }
            await fleet.set_rules(f'x-{vm}', rules if fault else {})
