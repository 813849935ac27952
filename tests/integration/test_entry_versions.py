"""Engines of several software versions in one service.

What two versions write doesn't fit together, and engines don't check it.
"""

import unittest

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from standin.site import _backend
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

ALL_EVENTS = _backend.make_events(range(1, 5))
FIRST_EVENTS = _backend.make_events((1, 2))
ENGINES = ('p1', 'p2', 'd1', 'd2', 'd3', 'd4')
VERSIONS = {'p2': 'v2', 'd3': 'v2', 'd4': 'v2'}
ZONES = {'p2': 'brasov-b', 'd3': 'brasov-b', 'd4': 'brasov-b'}
"""A VM prefers engines of its data centre, so VMs begin streams at different
versions."""

REQUEST_COUNT = 6


def runs_of(fleet, *request_ids):
    """Return the engines that ran requests, by the events' order."""
    return [
        engine
        for request_id in request_ids
        for engine in fleet.servers.values()
        for request in engine.runs
        if request.headers['x-request-attempt-id'] == request_id
    ]


def versions_of(engines):
    return {engine.software_version for engine in engines}


async def call_with_a_break(fleet, request_id):
    """Make a call whose first run breaks after two events."""
    breaks = [2]
    for engine in fleet.servers.values():
        engine.break_after = breaks
    async with await fleet.connect(1) as caller:
        return await caller.call('POST', '/ask/x', request_id=request_id)


async def begin_stream(fleet, vm, request_id):
    """Begin a stream and leave it after two events; return its engine."""
    gate = trio.Event()
    for engine in fleet.servers.values():
        engine.event_count = 3
        engine.last_event_gate = gate
    async with await fleet.connect(vm) as caller:
        await caller.send('POST', '/ask/x', request_id=request_id)
        status, _ = await caller.read_head()
        received = b''
        while status == 200 and received != FIRST_EVENTS:
            received += await caller.read_chunk()
    for engine in fleet.servers.values():
        engine.event_count = 4
        engine.last_event_gate = None
    (engine,) = runs_of(fleet, request_id)
    return engine


async def wait_known(fleet, attempt_id, *, besides):
    """Wait until another VM than one knows where a stream began."""
    await sites.wait_until(
        lambda: any(
            vm.entry._origins.knows(attempt_id)
            for number, vm in fleet.vms.items()
            if number != besides
        )
    )


async def resume(fleet, vm, request_id, first_id):
    """Take a stream up again after its second event; return the answer."""
    async with await fleet.connect(vm) as caller:
        return await caller.call(
            'POST',
            '/ask/x',
            request_id=request_id,
            headers=['Last-Event-Id: 2', f'Resumes: {first_id}'],
        )


class TestOneAnswer(unittest.TestCase):
    # Guards against a stream that goes on at an engine of another version.
    @run
    async def test_broken_stream_goes_on_at_its_version(self):
        async with fleets.running_fleet(
            vms=1, engines=ENGINES, versions=VERSIONS
        ) as fleet:
            for number in range(REQUEST_COUNT):
                answer = await call_with_a_break(fleet, f'i{number}')
                self.assertTrue(answer.whole)
                self.assertEqual(ALL_EVENTS, answer.body)
                runs = runs_of(fleet, f'i{number}')
                self.assertEqual(2, len(runs))
                self.assertEqual(1, len(versions_of(runs)))

    @run
    async def test_stream_whose_version_has_no_engine_left_is_broken_off(self):
        async with fleets.running_fleet(
            vms=1, engines=('p1', 'd1', 'd3'), versions=VERSIONS
        ) as fleet:
            for number in range(REQUEST_COUNT):
                answer = await call_with_a_break(fleet, f'i{number}')
                runs = runs_of(fleet, f'i{number}')
                self.assertEqual(1, len(versions_of(runs)))
                # The engine that failed may run the stream again.
                self.assertIn(answer.body, (FIRST_EVENTS, ALL_EVENTS))
                self.assertEqual(answer.body == ALL_EVENTS, answer.whole)

    @run
    async def test_kv_cache_stays_within_a_version(self):
        async with fleets.running_fleet(
            vms=1,
            engines=ENGINES,
            versions=VERSIONS,
            # The nearest prefill server is of another version.
            zones={'p1': 'brasov-b', 'd3': 'brasov-b', 'd4': 'brasov-b'},
        ) as fleet:
            ports = {
                str(engine.port): engine.software_version
                for engine in fleet.servers.values()
            }
            for number in range(REQUEST_COUNT):
                async with await fleet.connect(1) as caller:
                    answer = await caller.call(
                        'POST', '/ask/x', request_id=f'i{number}'
                    )
                self.assertEqual(ALL_EVENTS, answer.body)
            for engine in fleet.servers.values():
                for request in engine.runs:
                    source = request.headers.get('x-kv-source')
                    if source is None:
                        continue
                    port = source.partition('/')[0].rpartition(':')[2]
                    self.assertEqual(engine.software_version, ports[port])


class TestTriesOfACaller(unittest.TestCase):
    # Guards against a next try that goes on at another version.
    @run
    async def test_next_try_at_any_vm_goes_on_at_the_version_that_began(self):
        async with fleets.running_fleet(
            engines=ENGINES, versions=VERSIONS, zones=ZONES
        ) as fleet:
            for number in range(REQUEST_COUNT):
                first_id, next_id = f'first-{number}', f'next-{number}'
                vm = 1 + number % 3
                began = await begin_stream(fleet, vm, first_id)
                answer = await resume(
                    fleet, 1 + (number + 1) % 3, next_id, first_id
                )
                self.assertEqual(200, answer.status)
                self.assertEqual(
                    FIRST_EVENTS + answer.body, ALL_EVENTS, answer
                )
                runs = runs_of(fleet, next_id)
                self.assertEqual({began.software_version}, versions_of(runs))

    @run
    async def test_next_try_goes_on_after_its_vm_was_killed(self):
        async with fleets.running_fleet(
            vms=4, engines=ENGINES, versions=VERSIONS, zones=ZONES
        ) as fleet:
            for number in range(3):
                first_id, next_id = f'first-{number}', f'next-{number}'
                began = await begin_stream(fleet, number + 1, first_id)
                # A VM that is killed before it could tell others is excused.
                await wait_known(fleet, first_id, besides=number + 1)
                fleet.kill_vm(number + 1)
                answer = await resume(fleet, 4, next_id, first_id)
                self.assertEqual(200, answer.status)
                runs = runs_of(fleet, next_id)
                self.assertEqual({began.software_version}, versions_of(runs))
                await fleet.start_vm(number + 1)
                await fleet.wait_ready()

    # Guards against records that are lost although VMs go one by one.
    @run
    async def test_next_try_goes_on_after_all_vms_were_replaced_in_turn(self):
        async with fleets.running_fleet(
            engines=ENGINES, versions=VERSIONS, zones=ZONES
        ) as fleet:
            began = [
                await begin_stream(fleet, number, f'first-{number}')
                for number in (1, 2, 3)
            ]
            for number in (1, 2, 3):
                await wait_known(fleet, f'first-{number}', besides=number)
            for number in (1, 2, 3):
                fleet.kill_vm(number)
                await fleet.start_vm(number)
                await fleet.wait_ready()
            for number, engine in enumerate(began, 1):
                answer = await resume(
                    fleet, number, f'next-{number}', f'first-{number}'
                )
                self.assertEqual(200, answer.status)
                runs = runs_of(fleet, f'next-{number}')
                self.assertEqual({engine.software_version}, versions_of(runs))

    # Guards against a single version that is inferred from an old list.
    @run
    async def test_unknown_stream_is_refused_if_the_store_lists_another(self):
        async with fleets.running_fleet(
            engines=('p1', 'd1', 'd2'), is_first_start=True
        ) as fleet:
            for vm in fleet.vms.values():
                vm.entry.state.directory.put = lambda server, **options: None
            fleet.list_engine('d2', version='v2', born=7)
            answer = await resume(fleet, 1, 'next', 'never-seen')
            self.assertEqual(503, answer.status)
            self.assertEqual([], runs_of(fleet, 'next'))

    # Guards against a stream that is joined from two versions, as the only
    # VM that was not killed has not seen the one that began it.
    @run
    async def test_unknown_stream_is_refused_if_the_survivor_had_no_list(self):
        async with fleets.running_fleet(
            engines=('p1', 'd1'), is_first_start=True
        ) as fleet:
            fleet.doors[1].turn_away('503')
            await fleet.add_engine('d2', software_version='v2')
            await sites.wait_until(
                lambda: all(
                    fleet.vms[number].entry.state.directory.find('d2')
                    for number in (2, 3)
                )
            )
            fleet.list_engine('d1', state='draining')
            await sites.wait_until(
                lambda: (
                    not any(
                        server.name == 'd1'
                        for number in (2, 3)
                        for server in fleet.vms[
                            number
                        ].entry.state.directory.usable('model')
                    )
                )
            )
            began = await begin_stream(fleet, 2, 'first')
            self.assertEqual('v2', began.software_version)
            for number in (2, 3):
                fleet.kill_vm(number)
            # The new version is taken back, and its engine has gone.
            fleet.store.remove('servers/d2')
            await fleet.add_engine('d3')
            # In a larger fleet the survivor holds no record of the stream.
            fleet.vms[1].entry._origins._records = routing.OriginRecords()
            await fleet.start_vm(2, is_first_start=False)
            await sites.wait_until(lambda: fleet.vms[2].entry.state.is_ready)
            answer = await resume(fleet, 2, 'next', 'first')
            self.assertEqual([], runs_of(fleet, 'next'))
            self.assertEqual(503, answer.status)

    # Guards against refusals for half a minute after the store has dropped
    # its history, when all VMs read the list of servers again.
    @run
    async def test_unknown_stream_goes_on_after_the_store_lost_its_history(
        self,
    ):
        async with fleets.running_fleet(
            engines=('p1', 'd1', 'd2'), is_first_start=True
        ) as fleet:
            fleet.list_engine('d1', slots=7)
            fleet.store.compact()
            fleet.list_engine('d2', slots=7)
            await sites.wait_until(
                lambda: all(
                    vm.entry.state.directory.find(name).slot_count == 7
                    for vm in fleet.vms.values()
                    for name in ('d1', 'd2')
                )
            )
            answer = await resume(fleet, 1, 'next', 'never-seen')
            self.assertEqual(200, answer.status)

    # Guards against streams that a planned stop has cut and nobody takes up,
    # as all VMs were replaced in turn.
    @run
    async def test_unknown_stream_goes_on_after_all_vms_were_replaced(self):
        async with fleets.running_fleet(
            vms=2, engines=('p1', 'd1', 'd2'), is_first_start=True
        ) as fleet:
            for number in (1, 2):
                fleet.kill_vm(number)
                await fleet.start_vm(number, is_first_start=False)
                versions = fleet.vms[number].entry.state.versions
                await sites.wait_until(
                    lambda versions=versions: versions.knows_all(
                        _clock.read_clock_ms()
                    )
                )
                await fleet.wait_ready()
            answer = await resume(fleet, 1, 'next', 'never-seen')
            self.assertEqual(200, answer.status)

    # Guards against a VM that takes the word of one that knows less.
    @run
    async def test_versions_are_taken_over_only_from_vms_that_know_all(self):
        async with fleets.running_fleet(
            vms=2, engines=('p1', 'd1', 'd2')
        ) as fleet:
            for vm in fleet.vms.values():
                await vm.entry._origins._ask_versions()
                self.assertFalse(
                    vm.entry.state.versions.knows_all(_clock.read_clock_ms())
                )

    @run
    async def test_unknown_stream_is_refused_by_vms_that_have_just_started(
        self,
    ):
        async with fleets.running_fleet(engines=('p1', 'd1', 'd2')) as fleet:
            answer = await resume(fleet, 1, 'next', 'never-seen')
            self.assertEqual(503, answer.status)
            self.assertEqual([], runs_of(fleet, 'next'))

    @run
    async def test_stream_of_unknown_version_is_refused(self):
        async with fleets.running_fleet(
            engines=ENGINES, versions=VERSIONS, is_first_start=True
        ) as fleet:
            answer = await resume(fleet, 1, 'next', 'never-seen')
            self.assertEqual(503, answer.status)
            self.assertIn('retry-after', answer.headers)
            self.assertEqual([], runs_of(fleet, 'next'))

    @run
    async def test_stream_of_a_version_that_has_gone_is_refused(self):
        async with fleets.running_fleet(
            engines=('p1', 'p2', 'd1', 'd3'), versions=VERSIONS
        ) as fleet:
            began = await begin_stream(fleet, 1, 'first')
            fleet.store.remove(f'servers/{began.name}')
            await sites.wait_until(
                lambda: all(
                    vm.entry.state.directory.find(began.name) is None
                    for vm in fleet.vms.values()
                )
            )
            answer = await resume(fleet, 2, 'next', 'first')
            self.assertEqual(503, answer.status)
            self.assertEqual([], runs_of(fleet, 'next'))

    @run
    async def test_stream_goes_on_if_there_was_one_version_only(self):
        async with fleets.running_fleet(
            engines=('p1', 'd1', 'd2'), is_first_start=True
        ) as fleet:
            answer = await resume(fleet, 1, 'next', 'never-seen')
            self.assertEqual(200, answer.status)
            self.assertEqual(FIRST_EVENTS + answer.body, ALL_EVENTS)
