"""VMs beside a store that comes back from a copy, in simulated time."""

import contextlib
import unittest

import trio

from bluebellthread.core.routing import _directory
from tests.integration import _entry_site as sites
from tests.unit import _shared_link

SERVER = {
    'service': 'plain',
    'address': '10.0.0.1:80',
    'zone': 'cluj-a',
    'version': 'v1',
    'state': 'ready',
    'born': 1700000000000,
}
START_S = 5
READ_S = 1.5
"""Time within which a change or a restore is read: a pause of 0.5 s and two
calls that take milliseconds, with a margin."""


@contextlib.asynccontextmanager
async def running_region():
    region = _shared_link.Region(
        vm_counts={'cluj-a': 3}, region_mbps=1000, vm_mbps=1000
    )
    region.store.put('op/config', sites.make_configuration(1))
    async with trio.open_nursery() as nursery:
        region.start(nursery)
        await trio.sleep(START_S)
        yield region
        nursery.cancel_scope.cancel()


def list_usable(region):
    """Return the names that each VM may use, or the one answer of all."""
    found = {
        tuple(sorted(s.name for s in vm.state.directory.usable('plain')))
        for vm in region.vms
    }
    return ' '.join(found.pop()) if len(found) == 1 else found


class TestServers(unittest.TestCase):
    def test_server_that_left_is_held_back_until_it_must_be_renewed(self):
        async def use_again():
            usable = []
            async with running_region() as region:
                region.store.put('servers/a', SERVER)
                region.store.put('servers/b', SERVER)
                copy = region.store.snapshot()
                await trio.sleep(READ_S)
                region.store.remove('servers/a')
                await trio.sleep(READ_S)
                usable.append(list_usable(region))
                region.store.restore(copy)
                await trio.sleep(READ_S)
                usable.append(list_usable(region))
                await trio.sleep(
                    _directory.RESTORE_HOLD_MS / 1000 - 2 * READ_S
                )
                usable.append(list_usable(region))
                await trio.sleep(2 * READ_S)
                usable.append(list_usable(region))
            return usable

        self.assertEqual(
            ['b', 'b', 'b', 'a b'], _shared_link.run_simulated(use_again)
        )

    def test_lost_entry_is_kept_until_it_should_be_back(self):
        async def lose_entries():
            usable = []
            async with running_region() as region:
                copy = region.store.snapshot()
                region.store.put('servers/a', SERVER)
                region.store.put('servers/b', SERVER)
                await trio.sleep(READ_S)
                region.store.restore(copy)
                await trio.sleep(READ_S)
                usable.append(list_usable(region))
                region.store.put('servers/b', SERVER)
                await trio.sleep(_directory.LAPSE_RETURN_MS / 1000)
                usable.append(list_usable(region))
                region.store.put('servers/a', SERVER)
                await trio.sleep(READ_S)
                usable.append(list_usable(region))
            return usable

        self.assertEqual(
            ['a b', 'b', 'a b'], _shared_link.run_simulated(lose_entries)
        )


class TestConfiguration(unittest.TestCase):
    def test_version_stays_until_a_newer_one_is_published(self):
        async def publish_again():
            versions = []
            async with running_region() as region:
                copy = region.store.snapshot()
                region.store.put('op/config', sites.make_configuration(2))
                await trio.sleep(READ_S)
                for version in (None, 2, 3):
                    if version is None:
                        region.store.restore(copy)
                    else:
                        region.store.put(
                            'op/config', sites.make_configuration(version)
                        )
                    await trio.sleep(READ_S)
                    versions.append(
                        {vm.state.table.version for vm in region.vms}
                    )
            return versions

        self.assertEqual(
            [{2}, {2}, {3}], _shared_link.run_simulated(publish_again)
        )
