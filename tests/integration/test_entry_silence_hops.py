"""Silences on the way over another VM, and what they cost the servers."""

import contextlib
import types
import unittest
from unittest import mock

import trio

from bluebellthread.entry import _hand_on
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration import _server_cuts
from tests.integration import test_entry_server_cuts as server_cuts
from tests.integration import test_entry_silence as silences

run = server_cuts.run
PLAIN = ('s1', 's2', 's3')
CUT_VM = 1
HELPERS = ('vm2', 'vm3')


@contextlib.asynccontextmanager
async def running_fleet(**settings):
    """Run a fleet; yield it and the `ServerCuts` of VMs and servers.

    The VMs stand beside the servers under their own names.
    """
    known = {}
    with _server_cuts.watching_connects(known) as cuts:
        async with fleets.running_fleet(**settings) as fleet:
            known |= fleet.servers
            for number, vm in fleet.vms.items():
                known[f'vm{number}'] = types.SimpleNamespace(
                    port=vm.entry.ports['relay_port']
                )
            yield fleet, cuts


def list_extra_calls(fleet):
    """Return the ids of calls beyond the first of each stage, once each."""
    seen = set()
    extra = []
    for server in fleet.servers.values():
        for call in server.arrivals:
            if call.method == 'DELETE':
                continue
            request_id = call.headers['x-request-attempt-id']
            key = (request_id, call.headers.get('x-serving-stage'))
            if key in seen:
                extra.append(request_id)
            seen.add(key)
    return extra


class HopTestCase(unittest.TestCase):
    def set_pace(self, fleet):
        for name in silences.DECODERS:
            engine = fleet.servers[name]
            engine.event_count = silences.EVENT_COUNT
            engine.event_pause_s = silences.EVENT_PAUSE_S

    async def ask(self, fleet, vm, path, request_id, answers):
        """Make a stream; note its whole body and its longest pause."""
        async with await fleet.connect(vm) as caller:
            await caller.send('POST', path, b'a crack', request_id=request_id)
            status, _ = await caller.read_head()
            heard_s = trio.current_time()
            longest_s = 0
            body = b''
            while piece := await caller.read_chunk():
                longest_s = max(longest_s, trio.current_time() - heard_s)
                heard_s = trio.current_time()
                body += piece
            answers[request_id] = types.SimpleNamespace(
                status=status,
                body=body,
                whole=piece is not None,
                longest_pause_s=longest_s,
            )

    def check_whole(self, answers, count=silences.STREAMS):
        self.assertEqual(count, len(answers))
        for answer in answers.values():
            self.assertEqual(200, answer.status)
            self.assertEqual(silences.ALL_EVENTS, answer.body)
            self.assertTrue(answer.whole)


class TestStreamsOverAnotherVm(HopTestCase):
    async def check_silence(
        self, way, path='/ask/x', silence_s=silences.SILENCE_S, **settings
    ):
        """Check that streams outlast a silence; return their run counts."""
        async with running_fleet(engines=silences.ENGINES, **settings) as (
            fleet,
            cuts,
        ):
            self.set_pace(fleet)
            cuts.cut_off((CUT_VM,), way, names=silences.ENGINES)
            answers = {}
            async with trio.open_nursery() as nursery:
                for number in range(silences.STREAMS):
                    nursery.start_soon(
                        self.ask, fleet, CUT_VM, path, f'i{number}', answers
                    )
                await silences.wait_events(fleet, silences.STREAMS)
                for name in silences.DECODERS:
                    nursery.start_soon(
                        fleet.servers[name].be_silent, silence_s
                    )
            self.check_whole(answers)
            return [len(silences.runs_of(fleet, name)) for name in answers]

    @run
    async def test_stream_outlasts_a_silence_over_another_vm(self):
        for way in ('refused', 'silent'):
            runs = await self.check_silence(way)
            self.assertLessEqual(max(runs), 2)

    @run
    async def test_stream_keeps_to_its_attempts_in_a_long_silence(self):
        # The VM at which it arrived takes the other one for silent, too.
        runs = await self.check_silence('refused', silence_s=4.0)
        self.assertLessEqual(max(runs), 2)

    @run
    async def test_stream_outlasts_a_silence_there_without_budget(self):
        runs = await self.check_silence('refused', **silences.NO_RETRIES)
        self.assertEqual([1] * silences.STREAMS, runs)

    @run
    async def test_stream_that_runs_once_outlasts_a_silence_there(self):
        runs = await self.check_silence('refused', '/once/x')
        self.assertEqual([1] * silences.STREAMS, runs)


class TestCallsOverAnotherVm(unittest.TestCase):
    async def check_silence(self, method, path, **settings):
        """Check that a call outlasts a silence; return how often it ran."""
        async with running_fleet(plain=PLAIN, **settings) as (fleet, cuts):
            route = sites.make_route(
                '/read/', 'safe', 'plain', targetLatencyMs=250
            )
            order = sites.make_route('/order/', 'unsafe', 'plain')
            await silences.publish(fleet, [route, order])
            cuts.cut_off((CUT_VM,), 'refused', names=PLAIN)
            async with trio.open_nursery() as nursery:
                for server in fleet.servers.values():
                    nursery.start_soon(server.be_silent, silences.SILENCE_S)
                async with await fleet.connect(CUT_VM) as caller:
                    answer = await caller.call(method, path)
            self.assertEqual(200, answer.status, answer.body)
            await trio.sleep(2 * silences.EVENT_PAUSE_S)
            return sum(len(server.runs) for server in fleet.servers.values())

    @run
    async def test_idempotent_call_outlasts_a_silence_over_another_vm(self):
        runs = await self.check_silence('GET', '/read/x')
        self.assertLessEqual(runs, 2)

    @run
    async def test_idempotent_call_outlasts_it_without_budget(self):
        runs = await self.check_silence(
            'GET', '/read/x', **silences.NO_RETRIES
        )
        self.assertEqual(1, runs)

    @run
    async def test_call_that_runs_once_outlasts_a_silence_there(self):
        self.assertEqual(1, await self.check_silence('POST', '/order/x'))


class TestSilentVms(HopTestCase):
    async def check_held_back(self, path, held_s, **settings):
        """Check streams while what the other VMs send is held back.

        Returns
        -------
        list of int
            How often each stream has run.
        """
        async with running_fleet(engines=silences.ENGINES, **settings) as (
            fleet,
            cuts,
        ):
            self.set_pace(fleet)
            cuts.cut_off((CUT_VM,), 'refused', names=silences.ENGINES)
            answers = {}
            async with trio.open_nursery() as nursery:
                for number in range(silences.STREAMS):
                    nursery.start_soon(
                        self.ask, fleet, CUT_VM, path, f'i{number}', answers
                    )
                await silences.wait_events(fleet, silences.STREAMS)
                for name in HELPERS:
                    cuts.hold_back(CUT_VM, name)
                await trio.sleep(held_s)
                cuts.let_through()
            self.check_whole(answers)
            return [len(silences.runs_of(fleet, name)) for name in answers]

    @run
    async def test_stream_outlasts_a_silence_of_the_other_vm(self):
        runs = await self.check_held_back('/ask/x', silences.SILENCE_S)
        self.assertEqual([1] * silences.STREAMS, runs)

    @run
    async def test_stream_that_runs_once_outlasts_a_silence_of_the_vm(self):
        for held_s in (silences.SILENCE_S, 3.0):
            runs = await self.check_held_back('/once/x', held_s)
            self.assertEqual([1] * silences.STREAMS, runs)

    @run
    async def test_stream_outlasts_it_without_retry_budget(self):
        runs = await self.check_held_back('/ask/x', 3.0, **silences.NO_RETRIES)
        self.assertEqual([1] * silences.STREAMS, runs)

    @run
    @mock.patch.object(fleets, 'DATA_CENTRES', ('cluj-a',))
    async def test_stream_leaves_a_vm_that_has_ended_in_silence(self):
        """VMs of one data centre learn of it, by their probes."""
        async with running_fleet(engines=silences.ENGINES) as (fleet, cuts):
            self.set_pace(fleet)
            cuts.cut_off((CUT_VM,), 'refused', names=silences.ENGINES)
            answers = {}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self.ask, fleet, CUT_VM, '/ask/x', 'i0', answers
                )
                await silences.wait_events(fleet, 1)
                number = server_cuts.find_helper(fleet)
                cuts.hold_back(CUT_VM, f'vm{number}')
                fleet.kill_vm(number)
            self.check_whole(answers, 1)
            pause_s = answers['i0'].longest_pause_s
            print(f'{pause_s:.2f} s', end=' ')
            self.assertEqual(2, len(silences.runs_of(fleet, 'i0')))

    @run
    @mock.patch.object(fleets, 'DATA_CENTRES', ('brasov-b', *2 * ('cluj-a',)))
    @mock.patch.object(_hand_on.HandOn, 'is_served', lambda *_: False)
    async def test_stream_that_leaves_a_vm_does_not_go_back_to_it(self):
        # The silent VM is nearer than the other one.
        async with running_fleet(engines=silences.ENGINES) as (fleet, cuts):
            self.set_pace(fleet)
            cuts.cut_off((CUT_VM,), 'refused', names=silences.ENGINES)
            answers = {}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self.ask, fleet, CUT_VM, '/ask/x', 'i0', answers
                )
                await silences.wait_events(fleet, 1)
                self.assertEqual(2, server_cuts.find_helper(fleet))
                cuts.hold_back(CUT_VM, 'vm2')
            self.check_whole(answers, 1)
            self.assertIn((CUT_VM, 'vm3'), cuts.connects)


class TestAccounts(HopTestCase):
    @run
    async def test_stream_leaves_an_engine_at_its_first_silence(self):
        async with running_fleet(engines=silences.ENGINES) as (fleet, _):
            self.set_pace(fleet)
            answers = {}
            async with trio.open_nursery() as nursery:
                for number in range(silences.STREAMS):
                    nursery.start_soon(
                        self.ask,
                        fleet,
                        1 + number % 3,
                        '/ask/x',
                        f'i{number}',
                        answers,
                    )
                await silences.wait_events(fleet, silences.STREAMS)
                fleet.servers['d1'].fall_silent()
            self.check_whole(answers)
            pauses_s = {
                name: answer.longest_pause_s
                for name, answer in answers.items()
                if 'd1' in silences.runs_of(fleet, name)
            }
            print({k: round(v, 2) for k, v in pauses_s.items()}, end=' ')
            self.assertTrue(pauses_s)
            for name in pauses_s:
                self.assertEqual(2, len(silences.runs_of(fleet, name)))

    @run
    async def test_silences_stay_within_the_retry_budget(self):
        count = 12
        slack = 16
        async with running_fleet(
            engines=silences.ENGINES, repeat_slack=slack
        ) as (fleet, _):
            self.set_pace(fleet)
            answers = {}
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(
                        self.ask,
                        fleet,
                        1 + number % 3,
                        '/ask/x',
                        f'i{number}',
                        answers,
                    )
                await silences.wait_events(fleet, count)
                for name in ('d1', 'd2'):
                    nursery.start_soon(fleet.servers[name].be_silent, 3.0)
            self.check_whole(answers, count)
            extra = list_extra_calls(fleet)
            print(f'{len(extra)} extra calls', end=' ')
            self.assertTrue(extra)
            self.assertLessEqual(len(extra), 0.2 * count + slack)

    @run
    async def test_no_call_is_repeated_without_retry_budget(self):
        async with running_fleet(
            engines=silences.ENGINES, **silences.NO_RETRIES
        ) as (fleet, _):
            self.set_pace(fleet)
            answers = {}
            async with trio.open_nursery() as nursery:
                for number in range(silences.STREAMS):
                    nursery.start_soon(
                        self.ask, fleet, 1, '/ask/x', f'i{number}', answers
                    )
                await silences.wait_events(fleet, silences.STREAMS)
                for name in silences.ENGINES:
                    nursery.start_soon(fleet.servers[name].be_silent, 3.0)
            self.check_whole(answers)
            self.assertEqual([], list_extra_calls(fleet))
