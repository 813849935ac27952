"""Requests that are handed on to a VM whose servers fall silent."""

import unittest

import trio

from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run
from tests.integration import test_entry_server_cuts as server_cuts

ENGINES = ('p1', 'd1', 'd2')
PLAIN = ('s1', 's2')
HOP_SILENCE_S = 3.0
"""Longer than another VM may be silent before an attempt follows."""


def note_helpers(fleet, vm):
    """Return a list that gets the names of the VMs that a VM asks."""
    helpers = []
    choice = fleet.vms[vm].entry._hand_on._choice
    begin = choice.begin

    def note(name):
        helpers.append(name)
        begin(name)

    choice.begin = note
    return helpers


def note_spent(fleet, vm):
    """Return a list that gets the retries that a VM spends."""
    counts = []
    budgets = fleet.vms[vm].entry._hand_on._budgets
    spend = budgets.spend

    def note(service, count=1):
        is_spent = spend(service, count)
        if is_spent:
            counts.append(count)
        return is_spent

    budgets.spend = note
    return counts


class TestSilenceBehindAnotherVm(unittest.TestCase):
    async def check_handed_on_once(self, path, **options):
        """Check that a VM gets no request that it is at work on already."""
        async with server_cuts.running_fleet(vms=2, **options) as (
            fleet,
            cuts,
        ):
            routes = [
                sites.make_route(
                    '/read/', 'safe', 'plain', targetLatencyMs=250
                ),
                sites.make_route('/ask/', 'stream', 'model'),
            ]
            fleet.store.put('op/config', sites.make_configuration(2, routes))
            await sites.wait_until(
                lambda: all(
                    vm.entry.state.table.version == 2
                    for vm in fleet.vms.values()
                )
            )
            cuts.cut_off((1,), 'refused')
            answer = await server_cuts.ask(fleet, 1, path, 'before')
            self.assertEqual(200, answer.status)
            helpers = note_helpers(fleet, 1)
            spent_counts = note_spent(fleet, 1)
            async with trio.open_nursery() as nursery:
                for server in fleet.servers.values():
                    nursery.start_soon(server.be_silent, HOP_SILENCE_S)
                answer = await server_cuts.ask(fleet, 1, path, 'once')
            self.assertEqual(200, answer.status)
            self.assertEqual(['vm2'], helpers)
            self.assertEqual([], spent_counts)

    @run
    async def test_stream_is_not_handed_twice_to_one_vm(self):
        await self.check_handed_on_once('/ask/x', engines=ENGINES)

    @run
    async def test_call_is_not_handed_twice_to_one_vm(self):
        await self.check_handed_on_once('/read/x', plain=PLAIN)


if __name__ == '__main__':
    unittest.main()
