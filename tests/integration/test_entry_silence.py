"""Sound servers that fall silent for a second or two and go on."""

import unittest

import trio

from standin.site import _backend
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

ENGINES = ('p1', 'p2', 'd1', 'd2', 'd3')
DECODERS = ('d1', 'd2', 'd3')
EVENT_COUNT = 12
EVENT_PAUSE_S = 0.1
SILENCE_S = 1.6
"""Longer than a second, shorter than callers wait for an event."""

STREAMS = 4
NO_RETRIES = {'repeat_ratio': 0.0, 'repeat_slack': 0}
ALL_EVENTS = _backend.make_events(range(1, EVENT_COUNT + 1))


def running_fleet(**settings):
    return fleets.running_fleet(engines=ENGINES, **settings)


def make_routes(**changes):
    """Return routes to the engines with some fields changed."""
    return [
        sites.make_route('/ask/', 'stream', 'model', **changes),
        sites.make_route(
            '/once/', 'stream', 'model', **{**changes, 'resumable': False}
        ),
    ]


def runs_of(fleet, request_id):
    """Return the engines that have run a request, in any order."""
    return [
        server.name
        for server in fleet.servers.values()
        for request in server.runs
        if request.headers['x-request-attempt-id'] == request_id
    ]


class SilenceTestCase(unittest.TestCase):
    async def start_streams(self, fleet, nursery, path='/ask/x'):
        """Start streams over all VMs; return their answers as they come."""
        for name in DECODERS:
            engine = fleet.servers[name]
            engine.event_count = EVENT_COUNT
            engine.event_pause_s = EVENT_PAUSE_S
        answers = {}

        async def ask(number):
            async with await fleet.connect(1 + number % 3) as caller:
                answers[f'i{number}'] = await caller.call(
                    'POST', path, b'a crack', request_id=f'i{number}'
                )

        for number in range(STREAMS):
            nursery.start_soon(ask, number)
        return answers

    def check_whole(self, answers):
        self.assertEqual(STREAMS, len(answers))
        for answer in answers.values():
            self.assertEqual(200, answer.status)
            self.assertEqual(ALL_EVENTS, answer.body)
            self.assertTrue(answer.whole)


async def wait_events(fleet, count):
    """Wait until the engines have sent the begin of all streams."""
    await sites.wait_until(
        lambda: (
            sum(len(fleet.servers[name].runs) for name in DECODERS) >= count
        )
    )
    await trio.sleep(3 * EVENT_PAUSE_S)


class TestSilentDecodeServers(SilenceTestCase):
    async def check_silence(self, path='/ask/x', changes=None, **settings):
        """Check that streams are whole though all engines fall silent."""
        async with running_fleet(**settings) as fleet:
            if changes is not None:
                await publish(fleet, make_routes(**changes))
            async with trio.open_nursery() as nursery:
                answers = await self.start_streams(fleet, nursery, path)
                await wait_events(fleet, STREAMS)
                for name in DECODERS:
                    nursery.start_soon(
                        fleet.servers[name].be_silent, SILENCE_S
                    )
            self.check_whole(answers)
            return {
                request_id: runs_of(fleet, request_id)
                for request_id in answers
            }

    @run
    async def test_stream_outlasts_a_silence_without_retry_budget(self):
        await self.check_silence(**NO_RETRIES)

    @run
    async def test_stream_outlasts_a_silence_without_attempts_left(self):
        runs = await self.check_silence(changes={'maxAttempts': 1})
        self.assertEqual([1] * STREAMS, [len(at) for at in runs.values()])

    @run
    async def test_stream_outlasts_a_silence_with_retries(self):
        await self.check_silence()

    @run
    async def test_stream_that_is_not_resumable_outlasts_a_silence(self):
        runs = await self.check_silence('/once/x')
        self.assertEqual([1] * STREAMS, [len(at) for at in runs.values()])

    @run
    async def test_stream_outlasts_a_silence_while_no_engine_takes_more(self):
        async with running_fleet() as fleet:
            async with trio.open_nursery() as nursery:
                answers = await self.start_streams(fleet, nursery)
                await wait_events(fleet, STREAMS)
                for server in fleet.servers.values():
                    server.retry_after = '5'
                    nursery.start_soon(server.be_silent, SILENCE_S)
            self.check_whole(answers)

    @run
    async def test_stream_outlasts_two_silences(self):
        async with running_fleet() as fleet:
            async with trio.open_nursery() as nursery:
                answers = await self.start_streams(fleet, nursery)
                await wait_events(fleet, STREAMS)
                for _ in range(2):
                    async with trio.open_nursery() as silence:
                        for name in DECODERS:
                            silence.start_soon(
                                fleet.servers[name].be_silent, SILENCE_S
                            )
                    await trio.sleep(2 * EVENT_PAUSE_S)
            self.check_whole(answers)

    @run
    async def test_stream_outlasts_engines_silent_in_turn(self):
        async with running_fleet() as fleet:
            async with trio.open_nursery() as nursery:
                answers = await self.start_streams(fleet, nursery)
                await wait_events(fleet, STREAMS)
                for name in DECODERS:
                    await fleet.servers[name].be_silent(SILENCE_S)
            self.check_whole(answers)

    @run
    async def test_silence_before_the_head_without_retry_budget(self):
        async with running_fleet(**NO_RETRIES) as fleet:
            async with trio.open_nursery() as nursery:
                for name in DECODERS:
                    nursery.start_soon(
                        fleet.servers[name].be_silent, SILENCE_S
                    )
                answers = await self.start_streams(fleet, nursery)
            self.check_whole(answers)


class TestOnlyServers(unittest.TestCase):
    @run
    async def test_nothing_is_asked_for_beside_the_only_engine(self):
        # Each try would reserve memory at the engine that is silent.
        async with sites.running_site(plain=(), engines=('p1', 'd1')) as site:
            engine = site.servers['d1']
            engine.event_pause_s = EVENT_PAUSE_S
            async with trio.open_nursery() as nursery:

                async def fall_silent():
                    await sites.wait_until(lambda: engine.runs)
                    await engine.be_silent(2 * SILENCE_S)

                nursery.start_soon(fall_silent)
                answer = await site.call('POST', '/ask/x', b'a crack')
            self.assertTrue(answer.whole)
            metrics = site.entry.stats.render().decode().splitlines()
            self.assertIn('bluebellthread_silences_total 1.0', metrics)
            self.assertIn('bluebellthread_followed_total 0.0', metrics)


class TestSilentPrefillServers(SilenceTestCase):
    async def check_silence(self, path, **settings):
        async with running_fleet(**settings) as fleet:
            async with trio.open_nursery() as nursery:
                for name in ('p1', 'p2'):
                    nursery.start_soon(
                        fleet.servers[name].be_silent, SILENCE_S
                    )
                answers = await self.start_streams(fleet, nursery, path)
            self.check_whole(answers)
            for request_id in answers:
                self.assertEqual(1, len(runs_of(fleet, request_id)))

    @run
    async def test_silent_prefill_without_retry_budget(self):
        await self.check_silence('/ask/x', **NO_RETRIES)

    @run
    async def test_silent_prefill_of_a_stream_that_runs_once(self):
        await self.check_silence('/once/x')


class TestDeadServers(SilenceTestCase):
    @run
    async def test_stream_leaves_an_engine_that_stays_silent(self):
        async with running_fleet() as fleet:
            async with trio.open_nursery() as nursery:
                answers = await self.start_streams(fleet, nursery)
                await wait_events(fleet, STREAMS)
                fleet.servers['d1'].fall_silent()
            self.check_whole(answers)

    @run
    async def test_engine_that_is_left_ends_its_run(self):
        # Work goes on at one engine only.
        async with running_fleet() as fleet:
            async with trio.open_nursery() as nursery:
                answers = await self.start_streams(fleet, nursery)
                await wait_events(fleet, STREAMS)
                fleet.servers['d1'].fall_silent()
            left = [
                request_id
                for request_id in answers
                if 'd1' in runs_of(fleet, request_id)
            ]
            self.assertTrue(left)
            for request_id in left:
                self.assertEqual(2, len(runs_of(fleet, request_id)))


async def publish(fleet, routes):
    """Publish routes; wait until they are in force at all VMs."""
    configuration = sites.make_configuration(2, routes)
    fleet.store.put('op/config', configuration)
    await sites.wait_until(
        lambda: all(
            vm.entry.state.table.version == 2 for vm in fleet.vms.values()
        )
    )


class TestSilentPlainServers(unittest.TestCase):
    async def check_silence(self, method, path, **settings):
        """Check that calls are answered though all servers fall silent."""
        async with sites.running_site(**settings) as site:
            route = sites.make_route(
                '/read/', 'safe', 'plain', targetLatencyMs=250
            )
            order = sites.make_route('/order/', 'unsafe', 'plain')
            configuration = sites.make_configuration(2, [route, order])
            site.store.put('op/config', configuration)
            await sites.wait_until(lambda: site.entry.state.table.version == 2)
            async with trio.open_nursery() as nursery:
                for server in site.servers.values():
                    nursery.start_soon(server.be_silent, SILENCE_S)
                answer = await site.call(method, path)
            self.assertEqual(200, answer.status)
            return sum(len(server.runs) for server in site.servers.values())

    @run
    async def test_idempotent_call_outlasts_a_silence(self):
        await self.check_silence('GET', '/read/x')

    @run
    async def test_idempotent_call_outlasts_a_silence_without_budget(self):
        runs = await self.check_silence('GET', '/read/x', **NO_RETRIES)
        self.assertEqual(1, runs)

    @run
    async def test_idempotent_call_outlasts_a_silence_at_the_only_server(self):
        runs = await self.check_silence('GET', '/read/x', plain=('s1',))
        self.assertEqual(1, runs)

    @run
    async def test_call_that_runs_once_outlasts_a_silence(self):
        self.assertEqual(1, await self.check_silence('POST', '/order/x'))
