"""Servers that say in their answers that they leave.

The store turns all VMs away, so that only the server's own word tells them.
"""

import unittest

from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import refuse
from tests.integration.test_entry_plain import run

ENGINES = ('p1', 'p2', 'd1', 'd2')
PLAIN = ('s1', 's2')
REQUEST_COUNT = 12


def turn_all_away(fleet):
    for door in fleet.doors.values():
        door.turn_away('503')


async def ask_until(fleet, vm, path, condition):
    """Send requests to a VM until a condition holds."""
    number = 0
    while not condition():
        await ask(fleet, vm, path, f'first-{vm}-{number}')
        number += 1


async def ask(fleet, vm, path, request_id):
    async with await fleet.connect(vm) as caller:
        return await caller.call('POST', path, request_id=request_id)


def names_of(fleet, vm, service):
    directory = fleet.vms[vm].entry.state.directory
    return {server.name for server in directory.usable(service)}


class TestLeavingWords(unittest.TestCase):
    async def check_not_used_again(self, fleet, path, name, vms=(1, 2, 3)):
        """Check that a server gets nothing after its first answer."""
        server = fleet.servers[name]
        await ask_until(fleet, vms[0], path, lambda: server.arrivals)
        service = 'plain' if name in PLAIN else 'model'
        await sites.wait_until(
            lambda: all(name not in names_of(fleet, vm, service) for vm in vms)
        )
        server.arrivals.clear()
        for vm in vms:
            for number in range(REQUEST_COUNT):
                answer = await ask(fleet, vm, path, f'i{vm}-{number}')
                self.assertEqual(200, answer.status)
        self.assertEqual([], server.arrivals)

    async def check_plain(self, path):
        async with fleets.running_fleet(plain=PLAIN) as fleet:
            turn_all_away(fleet)
            fleet.servers['s1'].is_leaving = True
            await self.check_not_used_again(fleet, path, 's1')

    @run
    async def test_idempotent_calls_do_not_reach_a_server_that_leaves(self):
        await self.check_plain('/read/x')

    @run
    async def test_calls_at_most_once_do_not_reach_a_server_that_leaves(self):
        await self.check_plain('/order/x')

    @run
    async def test_refusal_of_a_server_that_leaves_is_its_word_too(self):
        async with fleets.running_fleet(plain=PLAIN) as fleet:
            turn_all_away(fleet)
            server = fleet.servers['s1']
            server.is_leaving = True
            server.script = [server.refuse] * 3 * REQUEST_COUNT
            await self.check_not_used_again(fleet, '/read/x', 's1')

    async def check_engine(self, name):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            turn_all_away(fleet)
            fleet.servers[name].is_leaving = True
            await self.check_not_used_again(fleet, '/ask/x', name)

    @run
    async def test_prompts_do_not_reach_a_prefill_server_that_leaves(self):
        await self.check_engine('p1')

    @run
    async def test_streams_do_not_reach_a_decode_server_that_leaves(self):
        await self.check_engine('d1')

    @run
    async def test_new_process_of_a_server_that_left_is_used(self):
        async with fleets.running_fleet(plain=PLAIN) as fleet:
            await fleet.list_processes()
            server = fleet.servers['s1']
            server.is_leaving = True
            await ask_until(fleet, 1, '/read/x', lambda: server.arrivals)
            await sites.wait_until(
                lambda: 's1' not in names_of(fleet, 1, 'plain')
            )
            server.is_leaving = False
            server.crash()
            await sites.wait_until(
                lambda: all(
                    's1' in names_of(fleet, vm, 'plain') for vm in fleet.vms
                )
            )

    # An address may be used again: another server's word is not this one's.
    @run
    async def test_word_of_another_server_at_the_address_is_ignored(self):
        async with fleets.running_fleet(vms=1, plain=PLAIN) as fleet:
            server = fleet.servers['s1']

            async def refuse_wrong(request):
                headers = [('x-not-executed', '1'), ('server-leaving', '1')]
                await request.answer(421, headers=headers)

            server.script = [refuse_wrong]
            await ask_until(fleet, 1, '/read/x', lambda: not server.script)
            self.assertIn('s1', names_of(fleet, 1, 'plain'))
            server.script = [refuse]
            await ask_until(fleet, 1, '/read/x', lambda: not server.script)
            self.assertIn('s1', names_of(fleet, 1, 'plain'))


if __name__ == '__main__':
    unittest.main()
