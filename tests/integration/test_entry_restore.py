"""The platform's store comes back from a copy that is some seconds old."""

import unittest

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
