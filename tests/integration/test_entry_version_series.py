"""Versions of the configuration that come while requests are under way."""

import unittest

import trio

from standin.site import _backend
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

ENGINES = ('p1', 'd1', 'd2')
EVENT_COUNT = 12
EVENT_PAUSE_S = 0.1
VERSION_PAUSE_S = 0.12
SILENCE_S = 1.6
ALL_EVENTS = _backend.make_events(range(1, EVENT_COUNT + 1))
SMALL_LIMITS = {
    'idleTimeoutMs': 1,
    'headerTimeoutMs': 1,
    'maxBodyBytes': 1,
    'maxHeaderBytes': 200,
}


def make_versions():
    """Return configurations that leave less and less of the first one."""
    make, make_route = sites.make_configuration, sites.make_route
    elsewhere = [
        make_route('/ask/', 'unsafe', 'plain', maxAttempts=1),
        make_route('/once/', 'safe', 'plain', priority=0),
        make_route('/read/', 'stream', 'model', timeoutMs=200),
        make_route('/order/', 'stream', 'none', gapAimMs=1),
    ]
    other = [make_route('/other/', 'safe', 'plain')]
    bare = make(4, other)
    bare['services'] = []
    return [
        make(2, elsewhere, **SMALL_LIMITS),
        make(3, other, **SMALL_LIMITS),
        bare,
        make(5, elsewhere),
        make(6, [make_route('/', 'safe', 'none', timeoutMs=1)]),
        make(7),
        {**bare, 'version': 8},
    ]


class TestSeriesOfVersions(unittest.TestCase):
    @run
    async def test_requests_at_silent_servers_are_answered(self):
        async with sites.running_site(plain=('s1',), engines=ENGINES) as site:
            servers = site.servers
            servers['s1'].run_pause_s = 0.5
            for name in ('d1', 'd2'):
                servers[name].event_count = EVENT_COUNT
                servers[name].event_pause_s = EVENT_PAUSE_S
            answers = {}

            async def ask(method, path):
                async with await site.connect() as caller:
                    answers[path] = await caller.call(
                        method, path, b'a crack', request_id=path
                    )

            async with trio.open_nursery() as nursery:
                for path in ('/ask/1', '/once/1'):
                    nursery.start_soon(ask, 'POST', path)
                await sites.wait_until(
                    lambda: sum(len(servers[n].runs) for n in ENGINES) == 2
                )
                for server in servers.values():
                    nursery.start_soon(server.be_silent, SILENCE_S)
                for method, path in (
                    ('GET', '/read/1'),
                    ('POST', '/order/1'),
                    ('POST', '/ask/2'),
                    ('POST', '/once/2'),
                ):
                    nursery.start_soon(ask, method, path)
                await trio.sleep(0.1)
                for version in make_versions():
                    site.store.put('op/config', version)
                    await trio.sleep(VERSION_PAUSE_S)
                await sites.wait_until(
                    lambda: site.entry.state.table.version == 8
                )
            self.assertEqual(6, len(answers))
            for path, answer in answers.items():
                with self.subTest(path):
                    self.assertEqual(200, answer.status)
                    self.assertTrue(answer.whole)


class TestRequestsWithoutPlace(unittest.TestCase):
    @run
    async def test_requests_are_refused_if_their_service_is_removed(self):
        async with sites.running_site(plain=(), engines=('p1', 'd1')) as site:
            small, bare = sites.make_configuration(2), make_versions()[2]
            # Place for one request at a time.
            small['services'][1]['engine']['kvTokens'] = 2000
            site.store.put('op/config', small)
            await sites.wait_until(lambda: site.entry.state.table.version == 2)
            site.servers['d1'].event_count = EVENT_COUNT
            site.servers['d1'].event_pause_s = EVENT_PAUSE_S
            answers = []

            async def ask(number):
                answers.append(
                    await site.call('POST', '/ask/x', request_id=f'i{number}')
                )

            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(ask, number)
                await sites.wait_until(lambda: site.servers['d1'].runs)
                site.store.put('op/config', bare)
            self.assertEqual(
                [200, 503, 503], sorted(answer.status for answer in answers)
            )
            for answer in answers:
                self.assertTrue(answer.whole)
