"""Prompts that end the engines that begin an answer on them."""

import itertools
import sys
import unittest

import trio

from bluebellthread.cli import _vm_calls
from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from standin import site
from standin.site import _backend
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration import _fleet
from tests.integration.test_entry_plain import run

ALL_EVENTS = _backend.make_events(range(1, 5))
ENGINES = ('p1', 'd1', 'd2', 'd3')
FIRST, BAD, OTHER = 'f1', 'bad', '0e'
CRASHES_MAX = 5
"""Engines that a part may end before no more of its requests are sent."""

ATTEMPTS_MAX = 60

_numbers = itertools.count(1)


def make_parts(*shared):
    """Return the parts of a prompt whose last part is its own."""
    return ','.join(f'{part}:100' for part in (*shared, f'{next(_numbers):x}'))


async def ask(fleet, vm, *shared, path='/ask/x'):
    """Send a request with shared parts to a VM; return id and answer."""
    request_id = f'i{next(_numbers)}'
    headers = [f'X-Prompt-Prefix: {make_parts(*shared)}']
    async with await fleet.connect(vm) as caller:
        answer = await caller.call(
            'POST', path, request_id=request_id, headers=headers
        )
    return request_id, answer


async def tell_shut_out(fleet, vm, service, parts):
    """Tell a VM, as another VM would, that parts are shut out."""
    item = routing.ShutOut(
        serves=service,
        parts=parts,
        keep_deadline_ms=_clock.read_clock_ms() + routing.SHUT_OUT_MS,
    )
    news = routing.News(shut_outs=(item,))
    await _vm_calls.call(fleet.vms[vm].host, fleet.peer_port, news)


def engines_of(fleet):
    return [
        server
        for server in fleet.servers.values()
        if isinstance(server, site.Engine)
    ]


def count_crashes(fleet):
    return sum(engine.crash_count for engine in engines_of(fleet))


def count_arrivals(fleet, request_id):
    return sum(
        request.headers['x-request-attempt-id'] == request_id
        for engine in engines_of(fleet)
        for request in engine.arrivals
    )


async def wait_all_run(fleet):
    """Wait until all engines run and all VMs list their processes."""
    await sites.wait_until(
        lambda: all(
            vm.entry.state.directory.find(engine.name).incarnation
            == engine.incarnation
            == engine.crash_count + 1
            for vm in fleet.vms.values()
            for engine in engines_of(fleet)
        )
    )


async def crash_until_refused(fleet, *shared, sound=()):
    """Send requests in turn to all VMs until one is refused at once."""
    for engine in engines_of(fleet):
        engine.deadly_parts = {BAD}
    # Somebody is served, so not all prompts end engines.
    await ask(fleet, 1, FIRST)
    for number in range(ATTEMPTS_MAX):
        vm = 1 + number % len(fleet.vms)
        if sound:
            await ask(fleet, vm, *sound)
        request_id, answer = await ask(fleet, vm, *shared)
        if answer.status == 503 and not count_arrivals(fleet, request_id):
            return
        await wait_all_run(fleet)
    raise AssertionError('no request was refused')


class TestCrashingPrompts(unittest.TestCase):
    async def check_shut_out(self, fleet, *shared):
        """Check that all VMs refuse requests with the part, and no others."""
        for vm in fleet.vms:
            request_id, answer = await ask(fleet, vm, *shared)
            self.assertEqual(503, answer.status)
            self.assertIn(b'ends-engines', answer.body)
            self.assertEqual(0, count_arrivals(fleet, request_id))

    async def check_served(self, fleet, *shared):
        for vm in fleet.vms:
            _, answer = await ask(fleet, vm, *shared)
            self.assertEqual(200, answer.status)
            self.assertEqual(ALL_EVENTS, answer.body)

    # Guards against prompts that end one engine after the other.
    @run
    async def test_part_that_ends_engines_is_shut_out_at_every_vm(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            await fleet.list_processes()
            shared = (FIRST, BAD, OTHER)
            await crash_until_refused(fleet, *shared, sound=(FIRST, OTHER))
            self.assertLessEqual(count_crashes(fleet), CRASHES_MAX)
            await sites.wait_until(
                lambda: all(
                    vm.entry.shut_outs.list_all() for vm in fleet.vms.values()
                )
            )
            await wait_all_run(fleet)
            crashes = count_crashes(fleet)
            await self.check_shut_out(fleet, *shared)
            await self.check_shut_out(fleet, BAD)
            await self.check_served(fleet, FIRST)
            await self.check_served(fleet, FIRST, OTHER)
            self.assertEqual(crashes, count_crashes(fleet))

    @run
    async def test_vm_that_starts_later_shuts_the_part_out(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            await fleet.list_processes()
            await crash_until_refused(fleet, FIRST, BAD)
            await sites.wait_until(
                lambda: all(
                    vm.entry.shut_outs.list_all() for vm in fleet.vms.values()
                )
            )
            # All VMs are replaced in turn.
            for number in (1, 2, 3):
                fleet.kill_vm(number)
                await fleet.start_vm(number)
                await fleet.wait_ready()
                await sites.wait_until(
                    lambda: all(
                        vm.entry.shut_outs.list_all()
                        for vm in fleet.vms.values()
                    )
                )
            await self.check_shut_out(fleet, FIRST, BAD)

    # Guards against one request that ends engine after engine.
    @run
    async def test_one_request_ends_two_engines_at_most(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            await fleet.list_processes()
            routes = [
                sites.make_route('/ask/', 'stream', 'model', maxAttempts=9)
            ]
            fleet.store.put('op/config', sites.make_configuration(2, routes))
            await sites.wait_until(
                lambda: all(
                    vm.entry.state.table.version == 2
                    for vm in fleet.vms.values()
                )
            )
            for engine in engines_of(fleet):
                engine.deadly_parts = {BAD}
            _, answer = await ask(fleet, 1, FIRST, BAD)
            self.assertFalse(answer.whole and answer.status == 200)
            self.assertLessEqual(count_crashes(fleet), 2)

    # Guards against a part that is shut out while its request waits.
    @run
    async def test_waiting_request_is_refused_when_its_part_is_shut_out(self):
        async with fleets.running_fleet(engines=('p1', 'd1')) as fleet:
            await fleet.list_processes()
            engine = fleet.servers['d1']
            engine.last_event_gate = trio.Event()
            fleet.list_engine('d1', born=engine.incarnation, slots=1)
            await sites.wait_until(
                lambda: all(
                    vm.entry.state.directory.find('d1').slot_count == 1
                    for vm in fleet.vms.values()
                )
            )
            async with await fleet.connect(1) as caller:
                await caller.send('POST', '/ask/x', request_id='first')
                await caller.read_head()
                answers = []

                async def wait_for_place():
                    answers.append(await ask(fleet, 2, FIRST, BAD))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(wait_for_place)
                    await sites.wait_until(
                        lambda: any(
                            vm.entry._placement_task.counts.get(
                                'model', (0, 0)
                            )[0]
                            for vm in fleet.vms.values()
                        )
                    )
                    await tell_shut_out(fleet, 1, 'model', (BAD,))
                engine.last_event_gate.set()
            request_id, answer = answers[0]
            self.assertEqual(503, answer.status)
            self.assertIn(b'ends-engines', answer.body)
            self.assertEqual(0, count_arrivals(fleet, request_id))


class TestOperators(unittest.TestCase):
    @run
    async def test_operator_sees_and_lifts_it_at_one_vm_for_all(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            await fleet.list_processes()
            await crash_until_refused(fleet, FIRST, BAD)
            vm = fleet.vms[2]
            address = f'{vm.host}:{fleet.peer_port}'
            await sites.wait_until(vm.entry.shut_outs.list_all)
            listed = await self.run_tool('list', '--vm', address)
            self.assertIn(f'model  {BAD}', listed.stdout.decode())
            self.assertIn('attempts ended', listed.stdout.decode())
            unknown = await self.run_tool(
                'lift', 'model', 'none', '--vm', address
            )
            self.assertEqual(5, unknown.returncode)
            await wait_all_run(fleet)
            for engine in engines_of(fleet):
                engine.deadly_parts = set()
            lifted = await self.run_tool('lift', 'model', BAD, '--vm', address)
            self.assertEqual(0, lifted.returncode, lifted.stderr)
            await sites.wait_until(
                lambda: (
                    not any(
                        other.entry.shut_outs.list_all()
                        for other in fleet.vms.values()
                    )
                )
            )
            for number in fleet.vms:
                _, answer = await ask(fleet, number, FIRST, BAD)
                self.assertEqual(ALL_EVENTS, answer.body)

    async def run_tool(self, *arguments):
        return await trio.run_process(
            [
                sys.executable,
                '-m',
                'bluebellthread.cli',
                'parts',
                *arguments,
            ],
            cwd=_fleet.ROOT,
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )


class TestOtherCrashes(unittest.TestCase):
    async def check_nobody_is_shut_out(self, fleet):
        for vm in fleet.vms.values():
            self.assertEqual((), vm.entry.shut_outs.list_all())
        for engine in engines_of(fleet):
            engine.last_event_gate = None
        await wait_all_run(fleet)
        for vm in fleet.vms:
            for shared in ((FIRST,), (FIRST, OTHER), (OTHER,)):
                _, answer = await ask(fleet, vm, *shared)
                self.assertEqual(200, answer.status)

    @run
    async def test_crashes_beside_popular_parts_shut_nobody_out(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            await fleet.list_processes()
            for number in range(8):
                vm = 1 + number % 3
                _, answer = await ask(fleet, vm, FIRST, OTHER)
                self.assertEqual(200, answer.status)
                await self.crash_beside(fleet, vm, FIRST, OTHER)
            await self.check_nobody_is_shut_out(fleet)

    async def crash_beside(self, fleet, vm, *shared):
        """End the engines that answer a request."""
        for engine in engines_of(fleet):
            engine.last_event_gate = trio.Event()
        async with await fleet.connect(vm) as caller:
            await caller.send(
                'POST',
                '/once/x',
                request_id=f'i{next(_numbers)}',
                headers=[f'X-Prompt-Prefix: {make_parts(*shared)}'],
            )
            await caller.read_head()
            for engine in engines_of(fleet):
                if engine.stage == 'decode':
                    engine.crash()
            await caller.read_chunk()
        for engine in engines_of(fleet):
            engine.last_event_gate = None
        await wait_all_run(fleet)

    # Guards against a reset that is taken for the end of an engine.
    @run
    async def test_resets_of_connections_shut_nobody_out(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            await fleet.list_processes()
            for number in range(8):
                for engine in engines_of(fleet):
                    engine.break_after = [1]
                await ask(fleet, 1 + number % 3, FIRST, OTHER, path='/once/x')
            for engine in engines_of(fleet):
                engine.break_after = []
            await self.check_nobody_is_shut_out(fleet)

    # Guards against a release that is taken for crashes.
    @run
    async def test_ends_of_leaving_engines_shut_nobody_out(self):
        async with fleets.running_fleet(engines=ENGINES) as fleet:
            await fleet.list_processes()
            for number in range(4):
                for engine in engines_of(fleet):
                    engine.last_event_gate = trio.Event()
                async with await fleet.connect(1) as caller:
                    await caller.send(
                        'POST',
                        '/once/x',
                        request_id=f'r{number}',
                        headers=[
                            f'X-Prompt-Prefix: {make_parts(FIRST, OTHER)}'
                        ],
                    )
                    await caller.read_head()
                    (engine,) = [
                        engine
                        for engine in engines_of(fleet)
                        if engine.runs
                        and engine.runs[-1].headers['x-request-attempt-id']
                        == f'r{number}'
                    ]
                    fleet.list_engine(
                        engine.name,
                        born=engine.incarnation,
                        state='draining',
                    )
                    await sites.wait_until(
                        lambda name=engine.name: (
                            fleet.vms[1]
                            .entry.state.directory.find(name)
                            .is_draining
                        )
                    )
                    engine.crash()
                    await caller.read_chunk()
                for engine in engines_of(fleet):
                    engine.last_event_gate = None
                await wait_all_run(fleet)
            await self.check_nobody_is_shut_out(fleet)
