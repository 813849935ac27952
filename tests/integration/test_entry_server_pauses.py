"""Servers that refuse requests and name a time for the next one."""

import unittest

from tests.integration import _entry_fleet as fleets
from tests.integration.test_entry_leaving_words import ask
from tests.integration.test_entry_leaving_words import ask_until
from tests.integration.test_entry_plain import run

ENGINES = ('p1', 'p2', *(f'd{number}' for number in range(1, 8)))
PLAIN = ('s1', 's2')
REQUEST_COUNT = 12


class TestServerPauses(unittest.TestCase):
    async def pause(self, fleet, names, path):
        """Have servers refuse until each has told the first VM."""
        for name in names:
            fleet.servers[name].retry_after = '600'
        for name in names:
            server = fleet.servers[name]
            await ask_until(
                fleet, 1, path, lambda server=server: server.arrivals
            )
            server.arrivals.clear()

    async def check_paused(self, fleet, names, path, status=200):
        """Check that the first VM sends nothing more to paused servers."""
        await self.pause(fleet, names, path)
        for number in range(REQUEST_COUNT):
            answer = await ask(fleet, 1, path, f'i{number}')
            self.assertEqual(status, answer.status)
            if status == 503:
                self.assertIn('retry-after', answer.headers)
        for name in names:
            self.assertEqual([], fleet.servers[name].arrivals, name)

    @run
    async def test_idempotent_calls_spare_a_server_that_named_a_time(self):
        async with fleets.running_fleet(vms=1, plain=PLAIN) as fleet:
            await self.check_paused(fleet, ('s1',), '/read/x')

    @run
    async def test_calls_at_most_once_spare_a_server_that_named_a_time(self):
        async with fleets.running_fleet(vms=1, plain=PLAIN) as fleet:
            await self.check_paused(fleet, ('s1',), '/order/x')

    @run
    async def test_calls_are_refused_if_all_servers_named_a_time(self):
        async with fleets.running_fleet(vms=1, plain=PLAIN) as fleet:
            await self.check_paused(fleet, PLAIN, '/read/x', status=503)

    @run
    async def test_prompts_spare_a_prefill_server_that_named_a_time(self):
        async with fleets.running_fleet(vms=2, engines=ENGINES) as fleet:
            await self.check_paused(fleet, ('p1',), '/ask/x')

    @run
    async def test_streams_spare_decode_servers_that_named_a_time(self):
        async with fleets.running_fleet(vms=2, engines=ENGINES) as fleet:
            names = [f'd{number}' for number in range(1, 7)]
            await self.check_paused(fleet, names, '/ask/x')

    @run
    async def test_streams_are_refused_if_all_engines_named_a_time(self):
        async with fleets.running_fleet(
            vms=2, engines=('p1', 'd1', 'd2')
        ) as fleet:
            await self.check_paused(fleet, ('d1', 'd2'), '/ask/x', status=503)
            self.assertEqual([], fleet.servers['p1'].prefills[2:])

    # Only the VM that was answered is bound, and only to that process.
    @run
    async def test_other_vms_and_new_processes_are_not_bound(self):
        async with fleets.running_fleet(vms=2, plain=PLAIN) as fleet:
            await fleet.list_processes()
            await self.pause(fleet, ('s1',), '/read/x')
            server = fleet.servers['s1']
            server.retry_after = ''
            await ask_until(fleet, 2, '/read/x', lambda: server.arrivals)
            server.crash()
            server.arrivals.clear()
            await ask_until(fleet, 1, '/read/x', lambda: server.arrivals)


if __name__ == '__main__':
    unittest.main()
