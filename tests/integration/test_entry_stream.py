import unittest

import trio

from standin.site import _backend
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

ENGINES = ('p1', 'd1', 'd2')
ALL_EVENTS = b''.join(_backend.make_event(number) for number in range(1, 5))


def running_engines(engines=ENGINES):
    return sites.running_site(plain=(), engines=engines)


def runs_of(site):
    return [
        (name, request)
        for name, server in site.servers.items()
        for request in server.runs
    ]


class TestStreams(unittest.TestCase):
    @run
    async def test_prefill_and_decode_run_at_different_engines(self):
        async with running_engines() as site:
            answer = await site.call('POST', '/ask/x', b'a crack')
            self.assertEqual((200, ALL_EVENTS), (answer.status, answer.body))
            self.assertTrue(answer.whole)
            ((_, request),) = runs_of(site)
            self.assertIn('/p1-1', request.headers['x-kv-source'])
            self.assertEqual(1, len(site.servers['p1'].prefills))

    @run
    async def test_events_are_passed_on_as_they_arrive(self):
        async with running_engines() as site:
            for name in ('d1', 'd2'):
                site.servers[name].last_event_gate = trio.Event()
            async with await site.connect() as caller:
                await caller.send('POST', '/ask/x', b'a crack')
                await caller.read_head()
                received = b''
                # The engines delay the last event until
                # `last_event_gate` is set.
                while received != ALL_EVENTS[: -len(_backend.make_event(4))]:
                    received += await caller.read_chunk()
                for name in ('d1', 'd2'):
                    site.servers[name].last_event_gate.set()
                self.assertEqual(
                    _backend.make_event(4), await caller.read_chunk()
                )

    @run
    async def test_broken_stream_is_resumed_at_another_engine(self):
        async with running_engines() as site:
            for name in ('d1', 'd2'):
                site.servers[name].break_after = [2]
            site.servers['d2'].break_after = []
            site.servers['d1'].entry('model')
            answers = [
                await site.call('POST', '/ask/x', b'a', request_id=f'i{n}')
                for n in range(2)
            ]
            for answer in answers:
                self.assertEqual(ALL_EVENTS, answer.body)
                self.assertTrue(answer.whole)
            resumed = [
                request.headers['last-event-id']
                for _, request in runs_of(site)
                if 'last-event-id' in request.headers
            ]
            self.assertIn(resumed, ([], ['2']))

    @run
    async def test_silent_stream_is_resumed_at_another_engine(self):
        async with running_engines() as site:
            engines = [site.servers[name] for name in ('d1', 'd2')]
            for engine in engines:
                engine.last_event_gate = trio.Event()
            async with await site.connect() as caller:
                await caller.send('POST', '/ask/x', b'a crack')
                await sites.wait_until(lambda: runs_of(site))
                for engine in engines:
                    if not engine.runs:
                        engine.last_event_gate = None
                answer = await caller.read_answer()
            self.assertEqual(ALL_EVENTS, answer.body)
            self.assertTrue(answer.whole)
            resumed = [
                request.headers.get('last-event-id')
                for _, request in runs_of(site)
            ]
            self.assertCountEqual([None, '3'], resumed)

    @run
    async def test_failed_unresumable_stream_ends_after_a_whole_event(self):
        async with running_engines(('p1', 'd1')) as site:
            site.servers['d1'].break_after = [2]
            answer = await site.call('POST', '/once/x', b'a crack')
            self.assertFalse(answer.whole)
            expected = _backend.make_event(1) + _backend.make_event(2)
            self.assertEqual(expected, answer.body)
            self.assertEqual(1, len(runs_of(site)))

    @run
    async def test_decode_server_prefills_if_the_kv_cache_is_lost(self):
        async with running_engines(('p1', 'd1')) as site:
            site.servers['d1'].rejects_kv_source = True
            answer = await site.call('POST', '/once/x', b'a crack')
            self.assertEqual(ALL_EVENTS, answer.body)
            self.assertEqual(1, len(site.servers['p1'].prefills))

    @run
    async def test_no_prefill_is_wasted_on_an_unreachable_decode_server(self):
        async with running_engines() as site:
            unreachable = site.servers['d1'].entry('model')
            unreachable['address'] = '127.0.0.1:1'
            site.store.put('servers/d1', unreachable)
            await sites.wait_until(
                lambda: site.entry.state.directory.find('d1').port == 1
            )
            for number in range(4):
                answer = await site.call(
                    'POST', '/once/x', b'a', request_id=f'i{number}'
                )
                self.assertEqual(ALL_EVENTS, answer.body)
            self.assertEqual(4, len(site.servers['p1'].prefills))

    @run
    async def test_decode_server_prefills_without_a_prefill_server(self):
        async with running_engines(('d1',)) as site:
            answer = await site.call('POST', '/ask/x', b'a crack')
            self.assertEqual(ALL_EVENTS, answer.body)
            ((_, request),) = runs_of(site)
            self.assertNotIn('x-kv-source', request.headers)

    @run
    async def test_request_is_refused_at_once_without_engines(self):
        async with running_engines(()) as site:
            answer = await site.call('POST', '/ask/x', b'a crack')
            self.assertEqual(503, answer.status)
            self.assertIn('retry-after', answer.headers)

    @run
    async def test_placement_is_freed_after_the_caller_has_left(self):
        async with running_engines(('p1', 'd1')) as site:
            site.servers['d1'].last_event_gate = trio.Event()
            async with await site.connect() as caller:
                await caller.send('POST', '/ask/x', b'a crack')
                await caller.read_head()
            counts = site.entry._placement_task
            await sites.wait_until(
                lambda: counts.counts.get('model') == (0, 0)
            )
