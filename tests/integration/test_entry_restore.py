"""The platform's store comes back from a copy that is some seconds old."""

import unittest
import unittest.mock

from bluebellthread.core.routing import _directory
from standin import site
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run


class TestReusedRevisions(unittest.TestCase):
    """The store passes the last revision that the entry has read.

    It is restored while the entry pauses after a change, so no watch waits
    and would be answered with 410.
    """

    @run
    async def test_server_with_a_reused_revision_is_not_missed(self):
        async with sites.running_site(plain=('s1', 's2', 's3')) as entry_site:
            store = entry_site.store
            directory = entry_site.entry.state.directory
            copy = store.snapshot()
            entry_site.list_server('s1', 'plain', state='draining')
            await sites.wait_until(lambda: directory.find('s1').is_draining)
            last_revision = store.revision
            store.restore(copy)
            entry_site.list_server('s2', 'plain', state='draining')
            self.assertEqual(last_revision, store.revision)
            entry_site.list_server('s3', 'plain', slots=7)
            await sites.wait_until(
                lambda: directory.find('s3').slot_count == 7
            )
            self.assertTrue(directory.find('s2').is_draining)

    @run
    async def test_configuration_with_a_reused_revision_is_not_missed(self):
        async with sites.running_site() as entry_site:
            store = entry_site.store
            state = entry_site.entry.state
            copy = store.snapshot()
            store.put('op/config', sites.make_configuration(2))
            await sites.wait_until(lambda: state.table.version == 2)
            last_revision = store.revision
            store.restore(copy)
            store.put('op/config', sites.make_configuration(3))
            self.assertEqual(last_revision, store.revision)
            store.put('other', {})
            await sites.wait_until(lambda: state.table.version == 3)


class TestServersOfTheCopy(unittest.TestCase):
    async def restore(self, entry_site, copy):
        """Restore the store; wait until the entry has read its list."""
        entry_site.store.restore(copy)
        entry_site.list_server('s2', 'plain', slots=7)
        directory = entry_site.entry.state.directory
        await sites.wait_until(lambda: directory.find('s2').slot_count == 7)

    async def call_all(self, entry_site):
        """Make several calls; return the names of the servers that ran."""
        for number in range(8):
            answer = await entry_site.call(
                'GET', '/read/x', request_id=f'i{number}'
            )
            self.assertEqual(200, answer.status)
        return {
            name for name, server in entry_site.servers.items() if server.runs
        }

    async def drain(self, entry_site, *names):
        """Have servers drain; wait until the entry has seen it."""
        directory = entry_site.entry.state.directory
        for name in names:
            entry_site.list_server(name, 'plain', state='draining')
        await sites.wait_until(
            lambda: all(directory.find(name).is_draining for name in names)
        )

    @run
    async def test_server_that_left_gets_no_requests(self):
        for born in (0, 1700000000000):
            await self.check_server_that_left(born)

    async def check_server_that_left(self, born):
        async with sites.running_site() as entry_site:
            directory = entry_site.entry.state.directory
            entry_site.list_server('s1', 'plain', born=born)
            await sites.wait_until(
                lambda: directory.find('s1').incarnation == born
            )
            copy = entry_site.store.snapshot()
            entry_site.store.remove('servers/s1')
            await sites.wait_until(lambda: directory.find('s1') is None)
            await self.restore(entry_site, copy)
            self.assertEqual({'s2'}, await self.call_all(entry_site))

    @run
    async def test_draining_server_gets_no_requests(self):
        for born in (0, 1700000000000):
            await self.check_draining_server(born)

    async def check_draining_server(self, born):
        async with sites.running_site() as entry_site:
            directory = entry_site.entry.state.directory
            entry_site.list_server('s1', 'plain', born=born)
            copy = entry_site.store.snapshot()
            entry_site.list_server('s1', 'plain', born=born, state='draining')
            await sites.wait_until(lambda: directory.find('s1').is_draining)
            await self.restore(entry_site, copy)
            self.assertEqual({'s2'}, await self.call_all(entry_site))

    @run
    async def test_server_whose_entry_was_unusable_gets_requests(self):
        async with sites.running_site() as entry_site:
            directory = entry_site.entry.state.directory
            copy = entry_site.store.snapshot()
            entry_site.store.put('servers/s1', b'no JSON')
            await sites.wait_until(lambda: directory.find('s1') is None)
            # The whole list is read with the unusable entry, too.
            calls = entry_site.store.calls
            calls.clear()
            entry_site.store.put('other', {})
            entry_site.store.compact()
            await sites.wait_until(
                lambda: any('/-/kv-range' in call for call in calls)
            )
            await self.restore(entry_site, copy)
            await self.drain(entry_site, 's2')
            self.assertEqual({'s1'}, await self.call_all(entry_site))

    @run
    async def test_new_start_of_a_server_that_left_gets_requests(self):
        async with sites.running_site() as entry_site:
            directory = entry_site.entry.state.directory
            copy = entry_site.store.snapshot()
            entry_site.store.remove('servers/s1')
            await sites.wait_until(lambda: directory.find('s1') is None)
            await self.restore(entry_site, copy)
            entry_site.list_server('s1', 'plain', born=1700000000000)
            await sites.wait_until(lambda: directory.find('s1') is not None)
            await self.drain(entry_site, 's2')
            self.assertEqual({'s1'}, await self.call_all(entry_site))

    async def lose_entry(self, entry_site):
        """Restore the store from a copy without the entry of s3."""
        directory = entry_site.entry.state.directory
        copy = entry_site.store.snapshot()
        server = site.PlainServer(name='s3')
        await server.start(entry_site.nursery)
        entry_site.servers['s3'] = server
        entry_site.list_server('s3', 'plain')
        await sites.wait_until(lambda: directory.find('s3') is not None)
        await self.restore(entry_site, copy)

    @run
    async def test_server_whose_entry_was_lost_keeps_serving(self):
        # The test must not depend on how fast it runs.
        with unittest.mock.patch.object(
            _directory, 'LAPSE_RETURN_MS', 600_000
        ):
            async with sites.running_site() as entry_site:
                await self.lose_entry(entry_site)
                await self.drain(entry_site, 's1', 's2')
                self.assertEqual({'s3'}, await self.call_all(entry_site))

    @run
    async def test_server_whose_entry_was_lost_is_gone_after_the_limit(self):
        async with sites.running_site() as entry_site:
            directory = entry_site.entry.state.directory
            await self.lose_entry(entry_site)
            await sites.wait_until(lambda: directory.find('s3') is None)
            self.assertNotIn('s3', await self.call_all(entry_site))


class TestConfigurationOfTheCopy(unittest.TestCase):
    @run
    async def test_configuration_does_not_go_back(self):
        async with sites.running_site() as entry_site:
            store = entry_site.store
            state = entry_site.entry.state
            store.put('op/config', sites.make_configuration(2))
            copy = store.snapshot()
            store.put('op/config', sites.make_configuration(3))
            await sites.wait_until(lambda: state.table.version == 3)
            store.calls.clear()
            store.restore(copy)
            await sites.wait_until(
                lambda: any('/-/kv-key' in call for call in store.calls)
            )
            store.put('op/config', sites.make_configuration(4))
            seen = []

            def is_newest_in_force():
                seen.append(state.table.version)
                return seen[-1] == 4

            await sites.wait_until(is_newest_in_force)
            self.assertEqual({3, 4}, {*seen, 3})
