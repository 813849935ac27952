"""Servers at whose addresses others answer, while the platform is away."""

import functools
import unittest

from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

REQUEST_COUNT = 8
ENGINES = ('p1', 'd1', 'd2')


async def refuse_as_another(server, request):
    """Answer as a server of another id does."""
    await server.refuse(request, 421)


def replace_server(server):
    """Let another server answer all further requests at a server's port."""
    server.arrivals.clear()
    server.script = 100 * [functools.partial(refuse_as_another, server)]


class TestWrongServer(unittest.TestCase):
    async def ask_all(self, site, path='/ask/x', method='POST'):
        for number in range(REQUEST_COUNT):
            answer = await site.call(
                method, path, b'a crack', request_id=f'i{number}'
            )
            self.assertEqual(200, answer.status)

    # Guards against prompts that are read in vain for an engine that has
    # ended, as long as its entry stays.
    @run
    async def test_engine_that_has_been_replaced_is_asked_once(self):
        for path in ('/ask/x', '/once/x'):
            with self.subTest(path):
                async with sites.running_site(
                    plain=(), engines=ENGINES
                ) as site:
                    replace_server(site.servers['d1'])
                    await self.ask_all(site, path)
                    self.assertLessEqual(len(site.servers['d1'].arrivals), 1)
                    self.assertLessEqual(
                        len(site.servers['p1'].prefills), REQUEST_COUNT + 1
                    )

    @run
    async def test_engine_is_used_again_once_its_entry_is_right(self):
        async with sites.running_site(plain=(), engines=ENGINES) as site:
            engine = site.servers['d1']
            replace_server(engine)
            await self.ask_all(site)
            engine.script.clear()
            site.list_server('d1', 'model', born=1_700_000_000_000)
            site.store.remove('servers/d2')
            directory = site.entry.state.directory
            await sites.wait_until(
                lambda: (
                    directory.find('d2') is None
                    and directory.find('d1').incarnation > 0
                )
            )
            await self.ask_all(site)
            self.assertEqual(REQUEST_COUNT, len(engine.runs))

    @run
    async def test_plain_server_that_has_been_replaced_is_asked_once(self):
        async with sites.running_site(plain=('s1', 's2')) as site:
            replace_server(site.servers['s1'])
            await self.ask_all(site, '/read/x', 'GET')
            self.assertLessEqual(len(site.servers['s1'].arrivals), 1)
