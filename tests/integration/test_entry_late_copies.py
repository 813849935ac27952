"""Servers that send an answer a second time, late."""

import unittest


from bluebellthread.entry import _dialect
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run
from tests.integration.test_entry_stream import ALL_EVENTS
from tests.integration.test_entry_stream import running_engines

CALLS = 6


def is_refused(request):
    return 'x-kv-source' in request.headers


def count_runs(site):
    """Return how often each request ran at the site's servers."""
    counts = {}
    for server in site.servers.values():
        for request in server.runs:
            request_id = request.headers['x-request-attempt-id']
            counts[request_id] = counts.get(request_id, 0) + 1
    return counts


class TestLateCopies(unittest.TestCase):
    # Guards against a stream that runs at two engines, since a late copy of a
    # refusal is taken for the answer to the second sending (review/1).
    @run
    async def test_late_copy_of_a_refusal_does_not_make_a_stream_run_twice(
        self,
    ):
        async with running_engines() as site:
            for name in ('d1', 'd2'):
                site.servers[name].rejects_kv_source = True
                site.servers[name].repeats = is_refused
            for number in range(CALLS):
                answer = await site.call(
                    'POST', '/once/x', b'a crack', request_id=f'i{number}'
                )
                self.assertEqual(ALL_EVENTS, answer.body)
            self.assertEqual(
                {f'i{number}': 1 for number in range(CALLS)}, count_runs(site)
            )

    # Guards against a request that is refused as not run, though it runs: the
    # only engine is at work on it when its earlier refusal arrives again.
    @run
    async def test_late_copy_of_a_refusal_promises_nothing(self):
        async with running_engines(('p1', 'd1')) as site:
            site.servers['d1'].rejects_kv_source = True
            site.servers['d1'].repeats = is_refused
            answer = await site.call('POST', '/once/x', b'a crack')
            self.assertEqual(ALL_EVENTS, answer.body)
            self.assertEqual({'id-1': 1}, count_runs(site))

    # Guards against copies that are taken for the answer to a later request
    # on the same connection, whatever they are copies of.
    @run
    async def test_late_copies_of_any_answer_are_left_out(self):
        async with sites.running_site(plain=('s1',)) as site:
            server = site.servers['s1']
            server.repeats = lambda request: True

            async def refuse(request):
                await server.refuse(request)

            for number in range(CALLS):
                if number % 3 == 2:
                    server.script.append(refuse)
                answer = await site.call(
                    'POST', '/order/x', b'%d' % number, request_id=f'i{number}'
                )
                if number % 3 == 2:
                    self.assertEqual(503, answer.status)
                else:
                    self.assertEqual(b'from s1: %d' % number, answer.body)
            self.assertGreater(server.repeat_count, 0)
            self.assertEqual({1}, set(count_runs(site).values()))

    # Guards against a refusal without an id that is believed on a connection
    # on which it may be a copy.
    @run
    async def test_refusal_that_names_no_request_promises_nothing(self):
        async with sites.running_site(plain=('s1',)) as site:

            async def refuse_unnamed(request):
                await request.answer(503, headers=[('x-not-executed', '1')])

            first = await site.call('POST', '/order/x', request_id='i1')
            self.assertEqual(200, first.status)
            site.servers['s1'].script.append(refuse_unnamed)
            second = await site.call('POST', '/order/x', request_id='i2')
            self.assertEqual(502, second.status)

    # Guards against a call of the router's own that takes the late answer to
    # an earlier one, and against a request that meets such an answer.
    @run
    async def test_calls_without_an_id_share_no_connection(self):
        async with running_engines(('p1',)) as site:
            engine = site.servers['p1']
            engine.repeats = lambda request: True
            streams = []

            async def answer(request):
                streams.append(request.stream)
                await request.answer(200 + len(streams))

            caller = site.entry._roles._caller
            listed = site.entry.state.directory.find('p1')
            for number in range(1, 4):
                engine.script.append(answer)
                status = await caller.call_control(
                    listed,
                    _dialect.ControlCall(method=b'DELETE', target=b'/x'),
                    timeout_s=5,
                )
                self.assertEqual(200 + number, status)
            self.assertEqual(3, len(set(streams)))
            self.assertEqual(0, engine.repeat_count)
