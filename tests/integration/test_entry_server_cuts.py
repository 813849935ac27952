"""VMs that have no path to any server, while others have."""

import contextlib
import unittest

import trio

from standin.site import _backend
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration import _server_cuts
from tests.integration.test_entry_plain import run

ALL_EVENTS = _backend.make_events(range(1, 5))
ENGINES = ('p1', 'p2', 'd1', 'd2', 'd3')
PLAIN = ('s1', 's2', 's3')
REQUEST_COUNT = 8


@contextlib.asynccontextmanager
async def running_fleet(**options):
    """Run a fleet; yield it and the `ServerCuts` of its VMs."""
    servers = {}
    with _server_cuts.watching_connects(servers) as cuts:
        async with fleets.running_fleet(**options) as fleet:
            servers.update(fleet.servers)
            yield fleet, cuts


async def ask(fleet, vm, path, request_id, **options):
    async with await fleet.connect(vm) as caller:
        return await caller.call(
            'POST', path, request_id=request_id, **options
        )


class TestServerCuts(unittest.TestCase):
    async def check_served(self, fleet, vms, path):
        """Check that requests at some VMs are served, and run once."""
        arrived = {}
        for vm in vms:
            for number in range(REQUEST_COUNT):
                request_id = f'{path[1:3]}{vm}-{number}'
                answer = await ask(fleet, vm, path, request_id)
                self.assertEqual(200, answer.status, answer.body)
                self.assertTrue(answer.headers['x-server-seal'])
                arrived[request_id] = 0
        for server in fleet.servers.values():
            for call in server.runs:
                request_id = call.headers['x-request-attempt-id']
                if request_id in arrived:
                    arrived[request_id] += 1
        self.assertEqual({1}, set(arrived.values()))

    async def check_cut(self, cut_vms, way, path, **options):
        async with running_fleet(**options) as (fleet, cuts):
            cuts.cut_off(cut_vms, way)
            await self.check_served(fleet, fleet.vms, path)

    @run
    async def test_idempotent_calls_are_served_over_another_vm(self):
        await self.check_cut((1,), 'refused', '/read/x', plain=PLAIN)

    @run
    async def test_idempotent_calls_are_served_while_connections_hang(self):
        await self.check_cut((1,), 'silent', '/read/x', plain=PLAIN)

    @run
    async def test_calls_at_most_once_are_served_over_another_vm(self):
        await self.check_cut((1,), 'refused', '/order/x', plain=PLAIN)

    @run
    async def test_calls_at_most_once_are_served_while_connections_hang(self):
        await self.check_cut((1,), 'silent', '/order/x', plain=PLAIN)

    @run
    async def test_streams_are_served_over_another_vm(self):
        await self.check_cut((1,), 'refused', '/ask/x', engines=ENGINES)

    @run
    async def test_streams_are_served_while_connections_hang(self):
        await self.check_cut((1,), 'silent', '/ask/x', engines=ENGINES)

    @run
    async def test_streams_at_most_once_are_served_over_another_vm(self):
        await self.check_cut((1,), 'refused', '/once/x', engines=ENGINES)

    @run
    async def test_one_vm_with_a_path_serves_for_all_others(self):
        await self.check_cut(
            (1, 2, 3), 'refused', '/order/x', vms=4, plain=PLAIN
        )

    @run
    async def test_owner_without_a_path_still_places_streams(self):
        async with running_fleet(engines=ENGINES) as (fleet, cuts):
            (entry, *_) = [vm.entry for vm in fleet.vms.values()]
            owner = entry._placements.find_owner('model').name
            cuts.cut_off((int(owner.removeprefix('vm')),), 'refused')
            await self.check_served(fleet, fleet.vms, '/ask/x')

    @run
    async def test_stream_under_way_goes_on_over_another_vm(self):
        for way in ('refused', 'silent'):
            async with running_fleet(engines=('p1', 'd1', 'd2')) as (
                fleet,
                cuts,
            ):
                gate = trio.Event()
                for name in ('d1', 'd2'):
                    fleet.servers[name].last_event_gate = gate
                async with await fleet.connect(1) as caller:
                    await caller.send('POST', '/ask/x', request_id='once')
                    status, _ = await caller.read_head()
                    self.assertEqual(200, status)
                    body = await caller.read_chunk()
                    while b'id: 3' not in body:
                        body += await caller.read_chunk()
                    cuts.cut_off((1,), way)
                    gate.set()
                    while piece := await caller.read_chunk():
                        body += piece
                    self.assertEqual(b'', piece, 'the answer was cut off')
                    self.assertEqual(ALL_EVENTS, body)

    @run
    async def test_healed_vm_serves_by_itself_again(self):
        async with running_fleet(plain=PLAIN) as (fleet, cuts):
            cuts.cut_off((1,), 'refused')
            await self.check_served(fleet, (1,), '/read/x')
            cuts.heal()
            cuts.connects.clear()
            await sites.wait_until(
                lambda: any(vm == 1 for vm, _ in cuts.connects)
            )
            connects = cuts.connects
            await self.check_served(fleet, (1,), '/order/x')
            self.assertEqual([], [item for item in connects if item[0] != 1])

    @run
    async def test_request_is_refused_at_once_if_no_vm_has_a_path(self):
        async with running_fleet(plain=PLAIN) as (fleet, cuts):
            cuts.cut_off((1, 2, 3), 'refused')
            for vm in fleet.vms:
                for number in range(REQUEST_COUNT):
                    answer = await ask(
                        fleet, vm, '/order/x', f'i{vm}-{number}'
                    )
                    self.assertEqual(503, answer.status)
                    self.assertIn('retry-after', answer.headers)

    @run
    async def test_cut_vm_blames_no_request_for_the_end_of_servers(self):
        async with running_fleet(engines=ENGINES) as (fleet, cuts):
            gate = trio.Event()
            for server in fleet.servers.values():
                server.last_event_gate = gate
            async with contextlib.AsyncExitStack() as stack:
                for number in range(6):
                    caller = await stack.enter_async_context(
                        await fleet.connect(1)
                    )
                    await caller.send(
                        'POST',
                        '/once/x',
                        b'same',
                        request_id=f'i{number}',
                        headers=('X-Prompt-Prefix: aa:100',),
                    )
                    await caller.read_head()
                cuts.cut_off((1,), 'refused')
                gate.set()
                await self.check_served(fleet, (1, 2), '/ask/x')
            for vm in fleet.vms.values():
                self.assertEqual((), tuple(vm.entry.shut_outs.list_all()))


if __name__ == '__main__':
    unittest.main()
