import contextlib
import unittest
from unittest import mock

import attrs
import trio

from bluebellthread.entry import HistoryLostError
from bluebellthread.entry import PlatformUnavailableError
from bluebellthread.platform import _store_client
from standin import site
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

CONTACT_MS = 4000
CONFIGURATION_MS = 2500
"""After the platform has been without faults for `CONTACT_MS`, a change must
be in force within `CONFIGURATION_MS` (the platform's settings)."""


class TestWatch(unittest.TestCase):
    def test_lost_watch_times_out_before_the_next_change_is_due(self):
        longest_ms = _store_client.WATCH_MS + int(
            1000 * _store_client.WATCH_MARGIN_S
        )
        # The remaining time is needed to read all entries again.
        rest_ms = CONTACT_MS + CONFIGURATION_MS - longest_ms
        self.assertGreaterEqual(rest_ms, 500)


SERVER = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'cluj-a',
    'version': 'v1',
    'state': 'ready',
}


@contextlib.asynccontextmanager
async def connected_store(*, make_store=site.Store, **fields):
    """Serve a stand-in store; yield it and a client of it."""
    store = make_store(**fields)
    with trio.fail_after(sites.TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            await store.start(nursery)
            client = _store_client.StoreClient(
                host='127.0.0.1', port=store.port
            )
            yield store, client
            await client.close()
            nursery.cancel_scope.cancel()


class RestoredBetweenPages(site.Store):
    """Store that is restored once, before the second page of a range."""

    async def handle(self, request):
        if 'after' in request.query and self.era == 1:
            self.restore(self.snapshot())
        await super().handle(request)


class TestEra(unittest.TestCase):
    @run
    async def test_position_holds_era_and_revision(self):
        async with connected_store(era=7) as (store, client):
            store.put('op/config', sites.make_configuration())
            _, position = await client.read_table()
            self.assertEqual(
                (7, store.revision), (position.era, position.revision)
            )
            _, position = await client.read_servers()
            self.assertEqual(
                (7, store.revision), (position.era, position.revision)
            )
            store.put('servers/a', SERVER)
            changes, position = await client.watch_servers(position)
            self.assertEqual(['a'], [change.name for change in changes])
            self.assertEqual(
                (7, store.revision), (position.era, position.revision)
            )

    @run
    async def test_read_of_an_absent_configuration_holds_the_era(self):
        async with connected_store(era=7) as (_, client):
            change, position = await client.read_table()
            self.assertIsNone(change)
            self.assertEqual((7, 0), (position.era, position.revision))

    @run
    async def test_watch_across_a_reused_revision_is_lost_history(self):
        async with connected_store() as (store, client):
            copy = store.snapshot()
            store.put('op/config', sites.make_configuration(2))
            _, servers_position = await client.read_servers()
            _, table_position = await client.read_table()
            store.restore(copy)
            # The first change gets the revision from which is watched, the
            # second a later one, so that the store accepts the watches.
            store.put('servers/a', SERVER)
            store.put('op/config', sites.make_configuration(3))
            store.put('servers/b', SERVER)
            with self.assertRaises(HistoryLostError):
                await client.watch_servers(servers_position)
            with self.assertRaises(HistoryLostError):
                await client.watch_table(table_position)
            changes, _ = await client.read_servers()
            self.assertEqual(['a', 'b'], [change.name for change in changes])

    @run
    async def test_pages_of_two_eras_are_lost_history(self):
        async with connected_store(
            make_store=RestoredBetweenPages, page_size=1
        ) as (store, client):
            for name in 'abc':
                store.put(f'servers/{name}', SERVER)
            with self.assertRaises(HistoryLostError):
                await client.read_servers()
            changes, position = await client.read_servers()
            self.assertEqual(3, len(changes))
            self.assertEqual(2, position.era)

    @run
    async def test_missing_or_unreadable_era_is_era_0(self):
        for era in (None, 'x', '-1', '', '1' * 5000):
            async with connected_store(era=era) as (store, client):
                _, position = await client.read_servers()
                self.assertEqual(0, position.era)
                store.put('servers/a', SERVER)
                changes, position = await client.watch_servers(position)
                self.assertEqual(1, len(changes))
                self.assertEqual(0, position.era)

    @run
    async def test_refused_watch_after_a_restore_is_no_lost_history(self):
        async with connected_store() as (store, client):
            _, position = await client.read_servers()
            store.restore(store.snapshot())
            store.refuse_status = 503
            with self.assertRaises(PlatformUnavailableError):
                await client.watch_servers(position)


class NestedAnswers(site.Store):
    """Store whose answers nest too deep for the JSON library."""

    async def handle(self, request):
        await request.answer(200, 100_000 * b'[' + 100_000 * b']')


class TestUnreadableAnswers(unittest.TestCase):
    @run
    async def test_nested_answer_is_no_usable_answer(self):
        async with connected_store(make_store=NestedAnswers) as (_, client):
            with self.assertRaises(PlatformUnavailableError):
                await client.read_servers()

    # Guards against a key that ends the process as it is sent back to the
    # store to ask for the next page.
    @run
    async def test_key_that_is_no_unicode_does_not_hide_other_servers(self):
        async with connected_store(page_size=1) as (store, client):
            for name in ('a', '\ud800', '\uffff'):
                store.put(f'servers/{name}', SERVER)
            changes, _ = await client.read_servers()
            problems = {
                change.name: bool(change.problem) for change in changes
            }
            self.assertEqual(
                {'a': False, '\ud800': True, '\uffff': False}, problems
            )


class TestLongAnswers(unittest.TestCase):
    # Guards against a watch that never gets beyond changes that are too long.
    @run
    async def test_changes_that_are_too_long_lead_to_a_whole_read(self):
        async with connected_store() as (store, client):
            for _ in range(4):
                store.put('servers/i-1', SERVER)
            _, position = await client.read_servers()
            first = attrs.evolve(position, revision=1)
            with mock.patch.object(_store_client, 'ANSWER_MAX_BYTES', 600):
                with self.assertRaises(HistoryLostError):
                    await client.watch_servers(first)
                changes, _ = await client.read_servers()
            self.assertEqual(1, len(changes))
