"""Servers that leave while the store turns some VMs away.

What a VM knows of a server goes before what another VM, which knows less,
tells it.
"""

import unittest

import trio

from standin.site import _backend
from standin.site import _store
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

ALL_EVENTS = _backend.make_events(range(1, 5))
ENGINES = ('p1', 'p2', 'd1', 'd2')
LEAVING = ('p1', 'd1')
REQUEST_COUNT = 6


def owner_of(fleet):
    """Return the number of the VM that places requests to the engines."""
    (entry, *_) = [vm.entry for vm in fleet.vms.values()]
    owner = entry._placements.find_owner('model').name
    return int(owner.removeprefix('vm'))


def others_of(fleet, number):
    return [other for other in fleet.vms if other != number]


def names_of(fleet, vm, service):
    directory = fleet.vms[vm].entry.state.directory
    return {server.name for server in directory.usable(service)}


async def drain(fleet, names, vms):
    """Have engines say that they leave; wait until some VMs know it."""
    for name in names:
        fleet.list_engine(name, state='draining')
    await sites.wait_until(
        lambda: all(
            not names_of(fleet, vm, 'model') & set(names) for vm in vms
        )
    )


async def ask(fleet, vm, request_id):
    async with await fleet.connect(vm) as caller:
        return await caller.call('POST', '/ask/x', request_id=request_id)


class TestLeavingEngines(unittest.TestCase):
    async def check_not_reached(self, fleet, vms):
        """Check that requests at VMs are served without leaving engines."""
        for vm in vms:
            for number in range(REQUEST_COUNT):
                answer = await ask(fleet, vm, f'i{vm}-{number}')
                self.assertEqual(200, answer.status)
                self.assertEqual(ALL_EVENTS, answer.body)
        for name in LEAVING:
            self.assertEqual([], fleet.servers[name].arrivals, name)

    # Guards against a grant by an owner whose list of servers is old.
    @run
    async def test_engine_known_to_leave_is_not_used_by_an_owners_grant(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            owner = owner_of(fleet)
            fleet.doors[owner].turn_away('503')
            vms = others_of(fleet, owner)
            await drain(fleet, LEAVING, vms)
            await self.check_not_reached(fleet, vms)

    @run
    async def test_broken_stream_does_not_go_on_at_a_leaving_engine(self):
        async with fleets.running_fleet(engines=(*ENGINES, 'd3')) as fleet:
            owner = owner_of(fleet)
            fleet.doors[owner].turn_away('503')
            vms = others_of(fleet, owner)
            await drain(fleet, LEAVING, vms)
            breaks = []
            for engine in fleet.servers.values():
                engine.break_after = breaks
            for number in range(REQUEST_COUNT):
                breaks[:] = [2]
                answer = await ask(fleet, vms[number % 2], f'i{number}')
                self.assertEqual(ALL_EVENTS, answer.body)
            for name in LEAVING:
                self.assertEqual([], fleet.servers[name].arrivals, name)

    @run
    async def test_waiting_stream_is_not_placed_at_a_leaving_engine(self):
        async with fleets.running_fleet(engines=('p1', 'd1')) as fleet:
            owner = owner_of(fleet)
            gate = trio.Event()
            first = fleet.servers['d1']
            first.last_event_gate = gate
            fleet.list_engine('d1', slots=1)
            await sites.wait_until(
                lambda: all(
                    vm.entry.state.directory.find('d1').slot_count == 1
                    for vm in fleet.vms.values()
                )
            )
            vm = others_of(fleet, owner)[0]
            async with await fleet.connect(vm) as caller:
                await caller.send('POST', '/ask/x', request_id='first')
                await caller.read_head()
                fleet.doors[owner].turn_away('503')
                answers = []

                async def wait_for_place():
                    answers.append(await ask(fleet, vm, 'second'))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(wait_for_place)
                    await sites.wait_until(
                        lambda: fleet.vms[owner].entry._placement_task.counts[
                            'model'
                        ][0]
                    )
                    await fleet.add_engine('d2')
                    await drain(fleet, ('d1',), others_of(fleet, owner))
                    gate.set()
            self.assertEqual(ALL_EVENTS, answers[0].body)
            self.assertEqual(1, len(first.runs))
            self.assertEqual(1, len(fleet.servers['d2'].runs))

    # Guards against a KV cache that nobody frees.
    @run
    async def test_prompt_is_freed_if_its_decode_server_leaves_meanwhile(self):
        async with fleets.running_fleet(
            vms=1, engines=('p1', 'd1', 'd2')
        ) as fleet:
            prefill = fleet.servers['p1']
            read = trio.Event()

            async def read_slowly(request):
                read.set()
                await drain(fleet, ('d1',), (1,))
                await prefill.run(request)

            # The next request is granted the engine that is less busy, the
            # first by name.
            prefill.script = [read_slowly]
            answer = await ask(fleet, 1, 'i1')
            self.assertTrue(read.is_set())
            self.assertEqual(ALL_EVENTS, answer.body)
            self.assertEqual([], fleet.servers['d1'].runs)
            await sites.wait_until(lambda: prefill.freed)

    # Guards against an owner that knows no engines and refuses everything.
    @run
    async def test_owner_without_a_list_of_servers_refuses_nobody(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            owner = owner_of(fleet)
            vms = others_of(fleet, owner)
            fleet.kill_vm(owner)
            fleet.doors[owner].turn_away('503')
            await fleet.start_vm(owner)
            await sites.wait_until(
                lambda: all(
                    fleet.vms[vm].entry._placements.find_owner('model').name
                    == f'vm{owner}'
                    for vm in vms
                )
            )
            for number in range(REQUEST_COUNT):
                answer = await ask(fleet, vms[number % 2], f'i{number}')
                self.assertEqual(200, answer.status)


class TestWordOfLeaving(unittest.TestCase):
    # Guards against VMs that use a server until the store serves them again.
    @run
    async def test_word_reaches_vms_that_the_store_turns_away(self):
        for refusal in _store.refusals.names():
            with self.subTest(refusal=refusal):
                await self.check_word_reaches_all(refusal)

    async def check_word_reaches_all(self, refusal):
        async with fleets.running_fleet(
            engines=ENGINES, plain=('s1', 's2')
        ) as fleet:
            for vm in (1, 2):
                fleet.doors[vm].turn_away(refusal)
            fleet.list_server('s1', 'plain', state='draining')
            # Some servers never say that they leave.
            fleet.store.remove('servers/p1')
            fleet.list_engine('d1', state='draining')
            await sites.wait_until(
                lambda: all(
                    names_of(fleet, vm, 'plain') == {'s2'}
                    and names_of(fleet, vm, 'model') == {'p2', 'd2'}
                    for vm in fleet.vms
                )
            )
            async with await fleet.connect(1) as caller:
                for number in range(REQUEST_COUNT):
                    answer = await caller.call(
                        'GET', '/read/x', request_id=f'i{number}'
                    )
                    self.assertIn(b'from s2', answer.body)

    @run
    async def test_word_reaches_vms_that_were_away(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            directory = fleet.vms[1].entry.state.directory
            fleet.doors[2].turn_away('503')
            fleet.doors[1].turn_away('503')
            fleet.kill_vm(3)
            for name in LEAVING:
                fleet.list_engine(name, state='draining')
            self.assertFalse(directory.find('d1').is_draining)
            # The only VM that can read the store starts after that.
            await fleet.start_vm(3)
            await sites.wait_until(
                lambda: all(
                    names_of(fleet, vm, 'model') == {'p2', 'd2'}
                    for vm in fleet.vms
                )
            )

    @run
    async def test_next_process_of_a_server_that_left_is_used(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            for name in ENGINES:
                fleet.list_engine(name, born=5)
            await sites.wait_until(
                lambda: all(
                    vm.entry.state.directory.find(name).incarnation == 5
                    for vm in fleet.vms.values()
                    for name in ENGINES
                )
            )
            fleet.doors[2].turn_away('503')
            fleet.list_engine('d1', born=5, state='draining')
            await sites.wait_until(
                lambda: all(
                    'd1' not in names_of(fleet, vm, 'model')
                    for vm in fleet.vms
                )
            )
            fleet.doors[2].open()
            fleet.list_engine('d1', born=6)
            await sites.wait_until(
                lambda: all(
                    'd1' in names_of(fleet, vm, 'model') for vm in fleet.vms
                )
            )
