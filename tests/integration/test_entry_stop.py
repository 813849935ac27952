"""Callers that come during a planned stop."""

import unittest
import unittest.mock

import trio

from bluebellthread.entry import _service
from standin.site import _backend
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

LAG_S = 0.2
EVENT_COUNT = 12
ALL_EVENTS = _backend.make_events(range(1, EVENT_COUNT + 1))


class TestStop(unittest.TestCase):
    # Guards against streams that are accepted late in a stop and cut off at
    # the end of its grace period.
    @run
    async def test_callers_are_not_accepted_once_the_balancer_knows(self):
        lag = unittest.mock.patch.object(_service, 'BALANCER_LAG_S', LAG_S)
        with lag:
            async with sites.running_site(
                plain=('s1',), engines=('p1', 'd1'), stop_grace_ms=8000
            ) as site:
                engine = site.servers['d1']
                engine.event_count = EVENT_COUNT
                engine.last_event_gate = trio.Event()
                answers = []

                async def ask():
                    answers.append(await site.call('POST', '/once/x'))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask)
                    await sites.wait_until(lambda: engine.runs)
                    site.entry.stop()
                    # Callers still arrive at first.
                    answer = await site.call('GET', '/read/x')
                    self.assertEqual(200, answer.status)
                    with self.assertRaises(OSError):
                        while True:
                            stream = await site.connect()
                            await trio.aclose_forcefully(stream.stream)
                    self.assertEqual([], answers)
                    engine.last_event_gate.set()
            # What was accepted before is served to its end.
            [answer] = answers
            self.assertTrue(answer.whole)
            self.assertEqual(ALL_EVENTS, answer.body)
