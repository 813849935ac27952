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


def runs_of(fleet, request_id):
    return [
        call
        for server in fleet.servers.values()
        for call in server.runs
        if call.headers['x-request-attempt-id'] == request_id
    ]


def find_helper(fleet):
    """Return the number of the VM that serves for another one now."""
    (number,) = [
        number
        for number, vm in fleet.vms.items()
        if vm.entry._gateway._taken_count
    ]
    return number


def _count(metrics, name):
    (line,) = [
        line
        for line in metrics.decode().splitlines()
        if line.startswith(f'bluebellthread_{name}_total ')
    ]
    return float(line.partition(' ')[2])


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
    async def test_calls_are_served_while_open_connections_live_on(self):
        async with running_fleet(plain=PLAIN) as (fleet, cuts):
            await self.check_served(fleet, (1,), '/read/x')
            cuts.cut_off((1,), 'refused', keeps_open=True)
            await self.check_served(fleet, (1,), '/order/x')

    @run
    async def test_one_service_that_is_not_reached_is_served_elsewhere(self):
        async with running_fleet(plain=PLAIN, engines=ENGINES) as (
            fleet,
            cuts,
        ):
            cuts.cut_off((1,), 'refused', names=PLAIN)
            await self.check_served(fleet, (1,), '/order/x')
            handed_on = fleet.vms[1].entry.stats.render()
            await self.check_served(fleet, (1,), '/ask/x')
            # Streams have paths of their own.
            self.assertEqual(
                _count(handed_on, 'handed_on'),
                _count(fleet.vms[1].entry.stats.render(), 'handed_on'),
            )

    @run
    async def test_stream_goes_on_if_the_other_vm_is_killed(self):
        async with running_fleet(engines=('p1', 'd1', 'd2')) as (fleet, cuts):
            cuts.cut_off((1,), 'refused')
            gate = trio.Event()
            for name in ('d1', 'd2'):
                fleet.servers[name].last_event_gate = gate
            async with await fleet.connect(1) as caller:
                await caller.send('POST', '/ask/x', request_id='once')
                await caller.read_head()
                body = await caller.read_chunk()
                while b'id: 3' not in body:
                    body += await caller.read_chunk()
                helper = find_helper(fleet)
                await sites.wait_until(
                    lambda: all(
                        vm.entry._origins.knows('once')
                        for number, vm in fleet.vms.items()
                        if number != helper
                    )
                )
                fleet.kill_vm(helper)
                gate.set()
                while piece := await caller.read_chunk():
                    body += piece
                self.assertEqual(ALL_EVENTS, body)
                self.assertEqual(b'', piece, 'the answer was cut off')

    @run
    async def test_call_at_most_once_runs_once_if_the_other_vm_is_killed(
        self,
    ):
        async with running_fleet(plain=PLAIN) as (fleet, cuts):
            cuts.cut_off((1,), 'refused')
            for server in fleet.servers.values():
                server.run_pause_s = sites.TEST_TIMEOUT_S
            async with await fleet.connect(1) as caller:
                await caller.send('POST', '/order/x', request_id='once')
                await sites.wait_until(lambda: runs_of(fleet, 'once'))
                fleet.kill_vm(find_helper(fleet))
                for server in fleet.servers.values():
                    server.run_pause_s = 0
                answer = await caller.read_answer()
            self.assertEqual(502, answer.status)
            self.assertEqual(1, len(runs_of(fleet, 'once')))

    @run
    async def test_caller_that_leaves_ends_the_run_over_the_other_vm(self):
        async with running_fleet(plain=PLAIN) as (fleet, cuts):
            cuts.cut_off((1,), 'refused')
            begun, ended = trio.Event(), trio.Event()

            async def run_until_left(request):
                del request
                begun.set()
                try:
                    await trio.sleep_forever()
                finally:
                    ended.set()

            for server in fleet.servers.values():
                server.script = [run_until_left]
            async with await fleet.connect(1) as caller:
                await caller.send('POST', '/order/x', request_id='once')
                await begun.wait()
            await ended.wait()

    @run
    async def test_deadline_of_the_caller_is_kept_over_another_vm(self):
        async with running_fleet(plain=PLAIN) as (fleet, cuts):
            cuts.cut_off((1,), 'refused')
            answer = await ask(fleet, 1, '/order/x', 'once', deadline_ms=3000)
            self.assertEqual(200, answer.status)
            (call,) = runs_of(fleet, 'once')
            self.assertLessEqual(int(call.headers['x-deadline-ms']), 3000)
            self.assertEqual(
                [], [name for name in call.headers if 'bluebell' in name]
            )

    # Guards against a VM without a path that ends a request which may have run
    # elsewhere, though another VM could still serve it.
    @run
    async def test_repeated_call_is_not_taken_by_a_vm_without_a_path(self):
        async with running_fleet(plain=PLAIN) as (fleet, cuts):
            cuts.cut_off((2,), 'refused')
            vm = fleet.vms[2]
            for path in ('/read/x', '/order/x'):
                async with sites.Caller(
                    await trio.open_tcp_stream(
                        vm.host, vm.entry.ports['relay_port']
                    )
                ) as caller:
                    answer = await caller.call(
                        'POST', path, headers=('Bluebellthread-Runs: 1',)
                    )
                self.assertEqual(
                    'no-path', answer.headers.get('bluebellthread-not-taken')
                )

    @run
    async def test_vm_with_an_older_configuration_does_not_take_requests(
        self,
    ):
        async with running_fleet(plain=PLAIN) as (fleet, cuts):
            cuts.cut_off((1,), 'refused')
            state = fleet.vms[1].entry.state
            state.table.version = 10**6
            answer = await ask(fleet, 1, '/order/x', 'once')
            self.assertEqual(503, answer.status)
            self.assertEqual([], runs_of(fleet, 'once'))

    @run
    async def test_vm_that_knows_no_such_route_does_not_take_requests(self):
        # Its configuration may be newer; a 404 would not be this VM's answer.
        async with running_fleet(plain=PLAIN) as (fleet, cuts):
            cuts.cut_off((1,), 'refused')
            for number in (2, 3):
                table = fleet.vms[number].entry.state.table
                table.find = lambda host, path: None
            answer = await ask(fleet, 1, '/order/x', 'once')
            self.assertEqual(503, answer.status)
            self.assertEqual([], runs_of(fleet, 'once'))

    @run
    async def test_request_goes_on_if_the_other_vm_stops_beside_a_silence(
        self,
    ):
        async with running_fleet(plain=PLAIN, stop_grace_ms=2500) as (
            fleet,
            cuts,
        ):
            cuts.cut_off((1,), 'refused')
            for server in fleet.servers.values():
                server.fall_silent()
            answers = []

            async def call():
                answers.append(await ask(fleet, 1, '/read/x', 'kept'))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await sites.wait_until(
                    lambda: any(
                        vm.entry._gateway._taken_count
                        for vm in fleet.vms.values()
                    )
                )
                helper = find_helper(fleet)
                await fleet.vms[helper].entry._drain()
                fleet.kill_vm(helper)
                for server in fleet.servers.values():
                    server.go_on()
            (answer,) = answers
            self.assertEqual(200, answer.status)

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
            await sites.wait_until(
                lambda: not fleet.vms[1].entry._paths.lost_services
            )
            cuts.connects.clear()
            await self.check_served(fleet, (1,), '/order/x')
            self.assertLessEqual({vm for vm, _ in cuts.connects}, {1})

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
