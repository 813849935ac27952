import functools
import unittest

import trio

from bluebellthread.core import routing
from tests.integration import _entry_site as sites


def run(test):
    """Run an ``async`` test method in an event loop of its own."""

    @functools.wraps(test)
    def wrapper(self):
        trio.run(test, self)

    return wrapper


class TestLoadReports(unittest.TestCase):
    @run
    async def test_estimates_are_used_once_a_server_reports_its_speed(self):
        """Services that don't must be served as before."""
        async with sites.running_site() as site:
            state, choices = site.entry.state, site.entry._choices
            await site.call('GET', '/read/x')
            self.assertFalse(state.reports_speed('plain'))
            self.assertEqual([], choices.list_estimates())
            for server in site.servers.values():
                server.load = '1,0,6,120'
            answer = await site.call('GET', '/read/x')
            self.assertEqual(200, answer.status)
            self.assertTrue(state.reports_speed('plain'))
            site.entry._collect()
            text = site.entry.stats.render()
            self.assertIn(b'bluebellthread_server_load{server="s1"}', text)
            self.assertIn(b'bluebellthread_load_report_age_seconds{', text)

    @run
    async def test_engines_report_their_speed_too(self):
        """The placement of streams depends on it, not this choice."""
        async with sites.running_site(engines=('p1', 'd1')) as site:
            for server in site.servers.values():
                server.load = '1,0,6,120'
            await site.call('POST', '/ask/x', b'a crack')
            self.assertTrue(site.entry.state.reports_speed('model'))
            self.assertFalse(site.entry.state.reports_speed('plain'))
            self.assertEqual([], site.entry._choices.list_estimates())

    @run
    async def test_request_that_no_server_answers_in_time_is_refused(self):
        async with sites.running_site() as site:
            site.entry._choices.judge = lambda work, servers: (
                routing.PlainVerdict(wait_ms=400, is_refused=True)
            )
            answer = await site.call('POST', '/order/x')
            self.assertEqual(503, answer.status)
            self.assertGreaterEqual(float(answer.headers['retry-after']), 0.3)
            for server in site.servers.values():
                self.assertEqual([], server.runs)

    @run
    async def test_request_waits_for_a_place(self):
        verdicts = [routing.PlainVerdict(wait_ms=1, is_refused=False)] * 2
        async with sites.running_site() as site:
            site.entry._choices.judge = lambda work, servers: (
                verdicts.pop() if verdicts else None
            )
            answer = await site.call('POST', '/order/x')
            self.assertEqual(200, answer.status)
            self.assertEqual([], verdicts)
