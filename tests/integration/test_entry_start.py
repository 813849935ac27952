"""Requests that arrive while an entry process starts."""

import contextlib
import unittest

import trio

from bluebellthread.entry import EntryService
from bluebellthread import platform
from standin import site as standins
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

HELD_CALLS = 20
"""More calls than a process makes of the store before it has an answer."""


@contextlib.asynccontextmanager
async def starting_site():
    """Start an entry process whose store keeps its calls waiting.

    Yields the site and an event; once that is set, the store answers.
    """
    store = standins.Store()
    answers = trio.Event()

    async def answer_later(request):
        await answers.wait()
        await store.handle(request)

    store.script = HELD_CALLS * [answer_later]
    server = standins.PlainServer(name='s1')
    with trio.fail_after(sites.TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            await store.start(nursery)
            await server.start(nursery)
            entry = EntryService(
                settings=sites.make_settings(store),
                dialect=platform.make_dialect(),
                platform_client=platform.StoreClient(
                    host='127.0.0.1', port=store.port
                ),
            )
            site = sites.Site(store, entry, {'s1': server}, nursery)
            store.put('op/config', sites.make_configuration())
            site.list_server('s1', 'plain')
            await nursery.start(entry.run)
            yield site, answers
            nursery.cancel_scope.cancel()


class TestStart(unittest.TestCase):
    # Guards against refusals in the moment between the first connection and
    # the first configuration, when all VMs start at once.
    @run
    async def test_request_waits_for_the_first_configuration(self):
        async with starting_site() as (site, store_answers):
            answers = []

            async def call():
                answers.append(await site.call('GET', '/read/x'))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await sites.wait_until(
                    lambda: site.entry.state.start_wait.waiting_count == 1
                )
                self.assertFalse(site.entry.state.is_ready)
                store_answers.set()
            [answer] = answers
            self.assertEqual(200, answer.status)
            self.assertEqual(1, len(site.servers['s1'].runs))

    @run
    async def test_request_is_refused_if_there_is_none_for_long(self):
        async with starting_site() as (site, _):
            answer = await site.call('GET', '/read/x', deadline_ms=800)
            self.assertEqual(503, answer.status)
            self.assertIn(b'no-configuration', answer.body)
            self.assertIn('retry-after', answer.headers)
