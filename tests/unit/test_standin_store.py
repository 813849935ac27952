import json
import unittest

import httpcore
import trio

from standin import site
from tests.integration.test_entry_plain import run


class Caller:
    """Calls a store without the entry's client."""

    def __init__(self, store):
        self._store = store
        self._pool = httpcore.AsyncConnectionPool()

    async def get(self, target):
        """Return the status, the era as text or None, and the fields."""
        url = f'http://127.0.0.1:{self._store.port}{target}'
        response = await self._pool.request('GET', url)
        headers = {name.lower(): value for name, value in response.headers}
        era = headers.get(b'store-era')
        fields = json.loads(response.content) if response.content else None
        return response.status, era.decode() if era else None, fields

    async def watch(self, after, *, wait_ms=0):
        status, _, fields = await self.get(
            f'/-/kv-watch?prefix=a&after={after}&waitMs={wait_ms}'
        )
        return status, fields and [item['key'] for item in fields['events']]


class TestStoreEra(unittest.TestCase):
    TARGETS = (
        ('/-/kv-key?key=a1', 200),
        ('/-/kv-key?key=absent', 404),
        ('/-/kv-range?prefix=a', 200),
        ('/-/kv-watch?prefix=a&after=1&waitMs=0', 200),
        ('/-/kv-watch?prefix=a&after=99&waitMs=0', 410),
        ('/-/unknown', 404),
    )

    @run
    async def test_all_answers_carry_the_era(self):
        store = site.Store()
        store.put('a1', {})
        async with trio.open_nursery() as nursery:
            await store.start(nursery)
            caller = Caller(store)
            for target, expected in self.TARGETS:
                status, era, _ = await caller.get(target)
                self.assertEqual((expected, '1'), (status, era), target)
            store.refuse_status = 503
            status, era, _ = await caller.get('/-/kv-key?key=a1')
            self.assertEqual((503, '1'), (status, era))
            nursery.cancel_scope.cancel()

    @run
    async def test_store_without_eras_sends_no_header(self):
        store = site.Store(era=None)
        async with trio.open_nursery() as nursery:
            await store.start(nursery)
            _, era, _ = await Caller(store).get('/-/kv-range?prefix=a')
            self.assertIsNone(era)
            nursery.cancel_scope.cancel()


class TestRestore(unittest.TestCase):
    @run
    async def test_restored_store_reuses_revisions(self):
        store = site.Store()
        store.put('a1', {'n': 1})
        copy = store.snapshot()
        store.put('a1', {'n': 2})
        lost_revision = store.revision
        store.put('a2', {})
        async with trio.open_nursery() as nursery:
            await store.start(nursery)
            caller = Caller(store)
            store.restore(copy)
            _, era, fields = await caller.get('/-/kv-range?prefix=a')
            self.assertEqual('2', era)
            self.assertEqual(['a1'], [i['key'] for i in fields['items']])
            self.assertEqual(copy.revision, fields['storeRevision'])
            store.put('a3', {})
            self.assertEqual(lost_revision, store.revision)
            self.assertEqual((200, ['a3']), await caller.watch(copy.revision))
            nursery.cancel_scope.cancel()

    @run
    async def test_watch_from_a_revision_of_the_future_gets_410(self):
        store = site.Store()
        copy = store.snapshot()
        store.put('a1', {})
        after = store.revision
        async with trio.open_nursery() as nursery:
            await store.start(nursery)
            store.restore(copy)
            self.assertEqual((410, None), await Caller(store).watch(after))
            nursery.cancel_scope.cancel()

    @run
    async def test_watch_that_waits_across_a_restore_gets_410(self):
        store = site.Store()
        store.put('a1', {})
        answers = []

        async def watch():
            answers.append(
                await Caller(store).watch(store.revision, wait_ms=20000)
            )

        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                await store.start(nursery)
                async with trio.open_nursery() as watches:
                    watches.start_soon(watch)
                    while not store.calls:
                        await trio.sleep(0.005)
                    store.restore(store.snapshot())
                nursery.cancel_scope.cancel()
        self.assertEqual([(410, None)], answers)
