"""How long two servers are at work on one request."""

import unittest

import trio

from standin.site import _backend
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

HOLD_S = 3.0
"""Longer than engines are kept side by side after the silence of one."""


class _Spans:
    """Notes when servers are at work on a call, until its connection ends.

    Attributes
    ----------
    begun, ended : list of str
        Names of the servers, in turn.
    """

    def __init__(self):
        self.begun = []
        self.ended = []

    async def hold(self, server, request, head_s):
        self.begun.append(server.name)
        server.runs.append(request)
        try:
            # A closed connection ends the work, as at most servers.
            await trio.sleep(head_s)
        finally:
            self.ended.append(server.name)


class TestOverlap(unittest.TestCase):
    @run
    async def test_streams_of_engines_that_begin_late(self):
        work = _Spans()
        async with fleets.running_fleet(
            vms=1, engines=('p1', 'd1', 'd2')
        ) as fleet:
            for name in ('d1', 'd2'):
                engine = fleet.servers[name]

                async def begin_late(request, engine=engine):
                    await work.hold(engine, request, HOLD_S)
                    await engine._stream(request)

                engine.script = [begin_late]
            async with await fleet.connect(1) as caller:
                answer = await caller.call('POST', '/ask/x', request_id='o')
            self.assertTrue(answer.whole)
            # The later engine has stopped before the earlier one answers.
            first, later = work.begun
            self.assertEqual([later, first], work.ended)

    @run
    async def test_stream_that_goes_on_at_another_engine(self):
        work = _Spans()
        async with fleets.running_fleet(
            vms=1, engines=('p1', 'd1', 'd2')
        ) as fleet:

            async def fall_silent_after_two(engine, request):
                await request.begin_chunks(
                    200,
                    [
                        *engine.answer_headers(request),
                        ('content-type', 'text/event-stream'),
                    ],
                )
                await request.send_chunk(_backend.make_events((1, 2)))
                await work.hold(engine, request, sites.TEST_TIMEOUT_S)

            async def go_on(engine, request):
                engine.event_pause_s = 0.5
                work.begun.append(engine.name)
                await engine.run(request)
                work.ended.append(engine.name)

            scripts = [fall_silent_after_two, go_on]
            for name in ('d1', 'd2'):
                engine = fleet.servers[name]

                async def run_next(request, engine=engine):
                    await scripts.pop(0)(engine, request)

                engine.script = [run_next]
            async with await fleet.connect(1) as caller:
                answer = await caller.call('POST', '/ask/x', request_id='o')
            self.assertTrue(answer.whole)
            self.assertEqual(_backend.make_events(range(1, 5)), answer.body)
            await sites.wait_until(lambda: len(work.ended) == 2)
            # The earlier engine has stopped while the later one goes on.
            self.assertEqual(work.begun, work.ended)

    @run
    async def test_plain_calls_end_with_the_first_answer(self):
        # They may run at several servers, but not for nobody.
        work = _Spans()
        async with sites.running_site(plain=('s1', 's2')) as site:
            route = sites.make_route(
                '/read/', 'safe', 'plain', targetLatencyMs=250
            )
            site.store.put('op/config', sites.make_configuration(2, [route]))
            await sites.wait_until(lambda: site.entry.state.table.version == 2)
            holds_s = [1.5, sites.TEST_TIMEOUT_S]
            for server in site.servers.values():

                async def answer_late(request, server=server):
                    await work.hold(server, request, holds_s.pop(0))
                    await server.run(request)

                server.script = [answer_late]
            answer = await site.call('GET', '/read/x')
            self.assertEqual(200, answer.status)
            await sites.wait_until(lambda: len(work.ended) == 2)
            self.assertEqual(2, len(work.begun))


if __name__ == '__main__':
    unittest.main()
