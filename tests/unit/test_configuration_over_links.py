import functools
import random
import unittest

import trio

from bluebellthread import core
from bluebellthread.platform import _store_client
from tests.integration import _entry_site as sites
from tests.unit import _shared_link

CONFIGURATION_MS = 4000
"""Time within which a published version must be in force on every VM."""
SMALL_CONFIGURATION_MS = 2500
"""The same for a small version, in the users' deployments."""
REGION_MBPS = 30
VM_MBPS = 5
VM_COUNTS = {'bucuresti-a': 17, 'ploiesti-b': 13, 'pitesti-c': 14}
"""A region of the largest deployment, and its links."""
START_S = 12
"""Time between the start of the VMs and the first request."""


def make_configuration(version, *, route_count, timeout_ms=8000):
    rng = random.Random(7)
    routes = [
        sites.make_route(
            f'/{rng.randbytes(4).hex()}/',
            'safe',
            'plain',
            name=f'route-{rng.randbytes(4).hex()}',
            timeoutMs=timeout_ms,
        )
        for _ in range(route_count)
    ]
    return sites.make_configuration(version, routes)


class TestLargeConfiguration(unittest.TestCase):
    # Guards against a 404 for a route that one VM of many doesn't have yet.
    def test_large_configuration_is_in_force_in_time_in_a_distant_region(self):
        behind = _shared_link.run_simulated(publish_large_versions)
        self.assertEqual({2: [], 3: [], 4: []}, behind)


async def publish_large_versions():
    """Return the VMs that each version reaches too late, by version."""
    region = _shared_link.Region(
        vm_counts=VM_COUNTS, region_mbps=REGION_MBPS, vm_mbps=VM_MBPS
    )
    region.store.put('op/config', make_configuration(1, route_count=10))
    behind = {}
    async with trio.open_nursery() as nursery:
        region.start(nursery)
        await trio.sleep(START_S)
        for version, timeout_ms in ((2, 8000), (3, 7000), (4, 6000)):
            region.store.put(
                'op/config',
                make_configuration(
                    version, route_count=1610, timeout_ms=timeout_ms
                ),
            )
            await trio.sleep(CONFIGURATION_MS / 1000)
            behind[version] = region.list_behind(version)
        nursery.cancel_scope.cancel()
    return behind


class TestStorm(unittest.TestCase):
    # Guards against watches whose answers carry each of several large
    # versions whole, so that they fall behind further with each answer.
    def test_last_of_many_large_versions_is_in_force_in_time(self):
        behind = _shared_link.run_simulated(publish_storm)
        self.assertEqual([], behind)


async def publish_storm():
    """Return the VMs that the last of eight versions reaches too late."""
    region = _shared_link.Region(
        vm_counts=VM_COUNTS, region_mbps=REGION_MBPS, vm_mbps=VM_MBPS
    )
    region.store.put('op/config', make_configuration(1, route_count=10))
    async with trio.open_nursery() as nursery:
        region.start(nursery)
        await trio.sleep(START_S)
        for version in range(2, 10):
            await trio.sleep(0.5)
            region.store.put(
                'op/config',
                make_configuration(
                    version, route_count=1610, timeout_ms=9000 - version
                ),
            )
        await trio.sleep(CONFIGURATION_MS / 1000)
        behind = region.list_behind(9)
        nursery.cancel_scope.cancel()
    return behind


class TestSlowLink(unittest.TestCase):
    # Guards against a read whose timeout ends each try before the value can
    # have arrived.
    def test_largest_value_arrives_over_the_slowest_link(self):
        # The change comes at different times of a watch, whose wait must not
        # be taken off the time for the value.
        versions = [
            _shared_link.run_simulated(
                functools.partial(publish_largest_value, start_s)
            )
            for start_s in (12.0, 13.0, 14.0, 15.0)
        ]
        self.assertEqual([2, 2, 2, 2], versions)

    def test_vm_that_starts_reads_the_largest_value(self):
        version = _shared_link.run_simulated(start_with_largest_value)
        self.assertEqual(1, version)


async def start_with_largest_value():
    """Return the version that a VM has in force some time after its start."""
    region = _shared_link.Region(
        vm_counts={'bucuresti-a': 1}, region_mbps=REGION_MBPS, vm_mbps=VM_MBPS
    )
    region.store.put('op/config', make_configuration(1, route_count=4400))
    async with trio.open_nursery() as nursery:
        region.start(nursery)
        await trio.sleep(START_S)
        version = region.vms[0].state.table.version
        nursery.cancel_scope.cancel()
    return version


async def publish_largest_value(start_s):
    """Return the version that a VM has in force when the second is due."""
    region = _shared_link.Region(
        vm_counts={'bucuresti-a': 1}, region_mbps=REGION_MBPS, vm_mbps=VM_MBPS
    )
    region.store.put('op/config', make_configuration(1, route_count=10))
    async with trio.open_nursery() as nursery:
        region.start(nursery)
        await trio.sleep(start_s)
        region.store.put('op/config', make_configuration(2, route_count=4400))
        await trio.sleep(CONFIGURATION_MS / 1000)
        version = region.vms[0].state.table.version
        nursery.cancel_scope.cancel()
    return version


class TestWatchers(unittest.TestCase):
    OUTER_BOUND_MS = 8000
    """Additional time while the store turns some VMs away."""

    WATCHERS_PER_DATA_CENTRE = 2

    def make_region(self):
        region = _shared_link.Region(
            vm_counts=VM_COUNTS, region_mbps=REGION_MBPS, vm_mbps=VM_MBPS
        )
        region.store.put('op/config', make_configuration(1, route_count=10))
        return region

    # Guards against a 404 at VMs that the store serves all the while.
    def test_versions_are_in_time_while_the_store_refuses_all_chosen(self):
        region = self.make_region()
        behind = _shared_link.run_simulated(
            functools.partial(self.publish_as_watchers_are_refused, region)
        )
        self.assertEqual([], behind)

    async def publish_as_watchers_are_refused(self, region):
        """Return the VMs that a small version reaches too late."""
        async with trio.open_nursery() as nursery:
            region.start(nursery)
            await trio.sleep(START_S)
            self.refuse_chosen(region)
            # Watches that are open already would still be answered.
            await trio.sleep(_store_client.TABLE_WATCH_MS / 1000 + 0.5)
            region.store.put(
                'op/config', make_configuration(2, route_count=11)
            )
            await trio.sleep(SMALL_CONFIGURATION_MS / 1000)
            behind = region.list_behind(2)
            nursery.cancel_scope.cancel()
        return behind

    def refuse_chosen(self, region):
        """Have the store refuse the chosen watchers of all data centres."""
        for data_centre in VM_COUNTS:
            names = [
                vm.name
                for vm in region.vms
                if vm.state.settings.data_centre == data_centre
            ]
            chosen = core.choose_watchers(data_centre, names)
            for vm in region.vms:
                vm.is_refused = vm.is_refused or vm.name in chosen

    def test_versions_arrive_while_the_store_refuses_all_chosen_watchers(self):
        region = self.make_region()
        self.refuse_chosen(region)
        behind = _shared_link.run_simulated(
            functools.partial(self.publish_once, region)
        )
        self.assertEqual([], behind)

    async def publish_once(self, region):
        async with trio.open_nursery() as nursery:
            region.start(nursery)
            await trio.sleep(START_S)
            region.store.put(
                'op/config', make_configuration(2, route_count=1610)
            )
            await trio.sleep((CONFIGURATION_MS + self.OUTER_BOUND_MS) / 1000)
            behind = region.list_behind(2)
            nursery.cancel_scope.cancel()
        return behind

    def test_others_do_not_watch_while_the_chosen_watchers_read(self):
        region = self.make_region()
        duration_s = 60
        watch_s = _store_client.TABLE_WATCH_MS / 1000
        calls = _shared_link.run_simulated(
            functools.partial(self.count_watches, region, duration_s)
        )
        watchers = self.WATCHERS_PER_DATA_CENTRE * len(VM_COUNTS)
        self.assertLessEqual(calls, watchers * duration_s / watch_s)

    async def count_watches(self, region, duration_s):
        async with trio.open_nursery() as nursery:
            region.start(nursery)
            await trio.sleep(duration_s)
            nursery.cancel_scope.cancel()
        return sum(
            call.startswith('/-/kv-watch?prefix=op')
            for call in region.store.calls
        )


class TestStart(unittest.TestCase):
    """All VMs of a region start at the same time and don't know each other."""

    ALONE_S = 0.8

    # Guards against callers refused by VMs that wait for peers before they
    # read a configuration of a few kilobytes.
    def test_small_configuration_is_read_before_peers_are_known(self):
        behind = _shared_link.run_simulated(
            functools.partial(start_together, route_count=10)
        )
        self.assertEqual([], behind[self.ALONE_S])

    def test_large_configuration_is_in_force_in_time(self):
        behind = _shared_link.run_simulated(
            functools.partial(start_together, route_count=1610)
        )
        self.assertEqual([], behind[CONFIGURATION_MS / 1000])


async def start_together(*, route_count):
    """Return the VMs without a version, by the time since the start."""
    region = _shared_link.Region(
        vm_counts=VM_COUNTS,
        region_mbps=REGION_MBPS,
        vm_mbps=VM_MBPS,
        seed_hosts=('10.1.0.1',),
    )
    region.store.put(
        'op/config', make_configuration(1, route_count=route_count)
    )
    behind = {}
    async with trio.open_nursery() as nursery:
        region.start(nursery, alone_s=TestStart.ALONE_S)
        for checked_s in (TestStart.ALONE_S, CONFIGURATION_MS / 1000):
            await trio.sleep(checked_s - trio.current_time())
            behind[checked_s] = region.list_behind(1)
        nursery.cancel_scope.cancel()
    return behind


class TestOlderBuilds(unittest.TestCase):
    """VMs beside others of a build without messages about versions."""

    DATA_CENTRE = 'bucuresti-a'

    def follow(self, *, vm_count, is_deaf):
        """Return the VMs that each version reaches too late, by version.

        Parameters
        ----------
        vm_count : int
            Number of VMs.
        is_deaf : callable
            Takes a VM's rank among the watchers, from 0; returns whether the
            VM is of the older build.
        """
        region = _shared_link.Region(
            vm_counts={self.DATA_CENTRE: vm_count},
            region_mbps=REGION_MBPS,
            vm_mbps=VM_MBPS,
        )
        ranked = core.choose_watchers(
            self.DATA_CENTRE, [vm.name for vm in region.vms], vm_count
        )
        for vm in region.vms:
            vm.is_deaf = is_deaf(ranked.index(vm.name))
        return _shared_link.run_simulated(
            functools.partial(publish_often, region)
        )

    def test_versions_arrive_where_all_watchers_are_of_an_older_build(self):
        behind = self.follow(vm_count=8, is_deaf=lambda rank: rank < 2)
        self.assertEqual({}, behind)

    def test_versions_arrive_where_all_substitutes_are_too(self):
        behind = self.follow(vm_count=9, is_deaf=lambda rank: rank < 6)
        self.assertEqual({}, behind)

    def test_versions_arrive_at_the_only_vm_of_the_new_build(self):
        behind = self.follow(vm_count=3, is_deaf=lambda rank: rank < 2)
        self.assertEqual({}, behind)

    def test_versions_arrive_where_every_other_vm_is_of_an_older_build(self):
        for parity in (0, 1):
            behind = self.follow(
                vm_count=17, is_deaf=lambda rank, p=parity: rank % 2 == p
            )
            self.assertEqual({}, behind)


async def publish_often(region):
    """Return the VMs that each version reaches too late, by version.

    The versions span the times for which other VMs stand in for watchers.
    Version 1 is there at the start.
    """
    region.store.put('op/config', make_configuration(1, route_count=10))
    behind = {}
    async with trio.open_nursery() as nursery:
        region.start(nursery)
        for version in range(2, 17):
            await trio.sleep(CONFIGURATION_MS / 1000)
            behind[version - 1] = region.list_behind(version - 1)
            region.store.put(
                'op/config', make_configuration(version, route_count=10)
            )
        nursery.cancel_scope.cancel()
    return {version: names for version, names in behind.items() if names}
