"""Requests that come, go on or are begun during a planned stop."""

import unittest

import attrs
import trio

from bluebellthread.daemon import _clock
from standin.site import _backend
from tests.integration import _entry_fleet as fleets
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

GRACE_MS = 6000
"""Requests may end until 1 s before its end, here 5 s after the stop began."""

LATE_S = 2.3
"""When a request comes too late for a stream of `STREAM_S`."""

END_S = 5.0

EVENT_COUNT = 8
EVENT_PAUSE_S = 0.4
STREAM_S = EVENT_COUNT * EVENT_PAUSE_S
ALL_EVENTS = _backend.make_events(range(1, EVENT_COUNT + 1))
PLAIN = ('s1',)
ENGINES = ('p1', 'd1')


def make_head(path, length, *headers, request_id='late'):
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {sites.HOST}',
        f'X-Request-Attempt-Id: {request_id}',
        'X-Deadline-Ms: 8000',
        'X-Token-Count: 1000,200',
        f'Content-Length: {length}',
        *headers,
    )
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def running_site(**settings):
    return sites.running_site(
        plain=PLAIN, engines=ENGINES, stop_grace_ms=GRACE_MS, **settings
    )


def set_slow(site, *, after_gate=None):
    """Make streams take `STREAM_S`; return the decode engine."""
    engine = site.servers['d1']
    engine.event_count = EVENT_COUNT
    engine.event_pause_s = EVENT_PAUSE_S
    engine.last_event_gate = after_gate
    return engine


def check_before_end(test, site):
    """Check that requests may still end, so that nothing is cut yet."""
    remaining_ms = site.entry.state.stop_schedule.find_remaining_ms(
        _clock.read_clock_ms()
    )
    test.assertGreater(remaining_ms, 0)


class Stop:
    """A stop of a VM, and the time since it began."""

    def __init__(self, entry):
        self.begun_s = trio.current_time()
        entry.stop()

    @property
    def elapsed_s(self):
        return trio.current_time() - self.begun_s

    async def wait(self, elapsed_s):
        await trio.sleep_until(self.begun_s + elapsed_s)


class TestLateRequests(unittest.TestCase):
    def check_refused(self, answer):
        """Check that an answer says that nothing has run, and when to ask."""
        self.assertEqual(503, answer.status)
        self.assertTrue(answer.whole)
        self.assertIn('retry-after', answer.headers)

    # Guards against streams that are taken late in a stop and cut off at its
    # end; callers that can't be served are told so, by a VM that listens.
    @run
    async def test_stream_on_a_new_connection_is_refused_not_cut(self):
        async with running_site() as site:
            engine = set_slow(site, after_gate=trio.Event())
            async with await site.connect() as earlier:
                await earlier.send('POST', '/once/x')
                await sites.wait_until(lambda: engine.runs)
                stop = Stop(site.entry)
                await stop.wait(LATE_S)
                while stop.elapsed_s < END_S:
                    self.check_refused(
                        await site.call('POST', '/once/x', b'prompt')
                    )
                    await trio.sleep(0.1)
            self.assertEqual(1, len(engine.runs))

    @run
    async def test_short_call_on_a_new_connection_is_served(self):
        async with running_site() as site:
            route = sites.make_route(
                '/order/', 'unsafe', 'plain', timeoutMs=500
            )
            site.store.put('op/config', sites.make_configuration(2, [route]))
            await sites.wait_until(lambda: site.entry.state.table.version == 2)
            async with await site.connect() as earlier:
                # The process does not end before its requests do.
                await earlier.stream.send_all(make_head('/unknown/', 2))
                await trio.sleep(0.1)
                stop = Stop(site.entry)
                while stop.elapsed_s < END_S - 1.5:
                    answer = await site.call('POST', '/order/x', b'one wig')
                    self.assertEqual(200, answer.status)
                    await trio.sleep(0.1)

    async def check_late_body(self, path):
        async with running_site() as site:
            engine = set_slow(site)
            async with await site.connect() as caller:
                body = b'a long prompt'
                await caller.stream.send_all(make_head(path, len(body)))
                await caller.stream.send_all(body[:-1])
                await trio.sleep(0.1)
                stop = Stop(site.entry)
                await stop.wait(LATE_S)
                await caller.stream.send_all(body[-1:])
                self.check_refused(await caller.read_answer())
                check_before_end(self, site)
            self.assertEqual([], engine.runs)

    @run
    async def test_resumable_stream_with_a_late_body_is_refused(self):
        await self.check_late_body('/ask/x')

    @run
    async def test_stream_that_runs_once_with_a_late_body_is_refused(self):
        await self.check_late_body('/once/x')

    @run
    async def test_order_with_a_late_body_is_refused(self):
        async with running_site() as site:
            server = site.servers['s1']
            server.run_pause_s = 1.8
            async with await site.connect() as caller:
                await caller.stream.send_all(make_head('/order/x', 2) + b'a')
                await trio.sleep(0.1)
                stop = Stop(site.entry)
                await stop.wait(LATE_S)
                await caller.stream.send_all(b'b')
                self.check_refused(await caller.read_answer())
            self.assertEqual([], server.runs)

    @run
    async def test_caller_that_sends_slowly_is_told_in_the_end(self):
        head = make_head('/once/x', 10)
        for sent in (head[:25], head, head + b'a pro'):
            with self.subTest(sent=sent):
                await self.check_told(sent)

    async def check_told(self, sent):
        async with running_site() as site:
            site.store.put(
                'op/config',
                sites.make_configuration(2, headerTimeoutMs=60000),
            )
            await sites.wait_until(lambda: site.entry.state.table.version == 2)
            async with await site.connect() as caller:
                await caller.stream.send_all(sent)
                await trio.sleep(0.1)
                Stop(site.entry)
                self.check_refused(await caller.read_answer())
                if b'\r\n\r\n' in sent:
                    check_before_end(self, site)
                # What is still sent does not destroy the refusal.
                await caller.stream.send_all(b'mpt')
                self.assertEqual(b'', await caller.stream.receive_some(1))

    @run
    async def test_request_written_ahead_is_refused_not_cut(self):
        async with running_site() as site:
            gate = trio.Event()
            engine = set_slow(site, after_gate=gate)
            engine.event_pause_s = 0.01
            async with await site.connect() as caller:
                await caller.send('POST', '/once/x', request_id='first')
                _, headers = await caller.read_head()
                self.assertNotIn('connection', headers)
                stop = Stop(site.entry)
                await caller.send('POST', '/once/x', request_id='ahead')
                await stop.wait(LATE_S)
                engine.event_pause_s = EVENT_PAUSE_S
                gate.set()
                body = b''
                while chunk := await caller.read_chunk():
                    body += chunk
                # The last chunk, which marks the answer as whole.
                self.assertEqual(b'', chunk)
                self.assertEqual(ALL_EVENTS, body)
                self.check_refused(await caller.read_answer())
            self.assertEqual(1, len(engine.runs))

    @run
    async def test_request_as_an_answer_ends_is_answered(self):
        async with running_site() as site:
            gate = trio.Event()
            engine = set_slow(site, after_gate=gate)
            engine.event_pause_s = 0.0
            async with await site.connect() as caller:
                await caller.send('POST', '/once/x', request_id='first')
                _, headers = await caller.read_head()
                self.assertNotIn('connection', headers)
                stop = Stop(site.entry)
                # The balancer has noticed, so idle connections are closed.
                await stop.wait(2.7)
                gate.set()
                while await caller.read_chunk():
                    pass
                await trio.sleep(0.1)
                await caller.send('POST', '/once/x', request_id='next')
                self.check_refused(await caller.read_answer())


class TestRequestsBegunLate(unittest.TestCase):
    check_refused = TestLateRequests.check_refused

    # Guards against requests that wait for a place in a stop and get it too
    # late.
    @run
    async def test_request_that_waits_for_a_place_is_refused_in_time(self):
        async with running_site() as site:
            gate = trio.Event()
            engine = set_slow(site, after_gate=gate)
            engine.event_pause_s = 0.01
            site.list_server('d1', 'model', slots=1)
            await sites.wait_until(
                lambda: site.entry.state.directory.find('d1').slot_count == 1
            )
            answers = {}

            async def ask(request_id):
                answers[request_id] = await site.call(
                    'POST', '/once/x', request_id=request_id
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, 'first')
                await sites.wait_until(lambda: engine.runs)
                nursery.start_soon(ask, 'waits')
                await sites.wait_until(
                    lambda: site.entry._placement_task.counts['model'][0]
                )
                stop = Stop(site.entry)
                await sites.wait_until(lambda: 'waits' in answers)
                # Nobody knows yet how long a stream takes.
                check_before_end(self, site)
                engine.event_pause_s = EVENT_PAUSE_S
                await stop.wait(LATE_S)
                gate.set()
            self.check_refused(answers['waits'])
            self.assertTrue(answers['first'].whole)
            self.assertEqual(1, len(engine.runs))

    @run
    async def test_broken_stream_does_not_begin_again_without_time(self):
        async with running_site() as site:
            engine = set_slow(site)
            engine.event_pause_s = 1.0
            engine.break_after = [2]
            async with await site.connect() as caller:
                await caller.send('POST', '/ask/x', request_id='first')
                await sites.wait_until(lambda: engine.runs)
                Stop(site.entry)
                answer = await caller.read_answer()
                # The caller may take it up at another VM at once.
                self.assertFalse(answer.whole)
                check_before_end(self, site)
            self.assertEqual(1, len(engine.runs))

    @run
    async def test_measured_streams_are_taken_while_there_is_time(self):
        async with running_site() as site:
            engine = set_slow(site)
            engine.event_pause_s = 0.01
            for _ in range(4):
                self.assertTrue((await site.call('POST', '/once/x')).whole)
            Stop(site.entry)
            answer = await site.call('POST', '/once/x')
            self.assertEqual(ALL_EVENTS, answer.body)

    # Guards against orders that are taken late since the slow ones that still
    # run have not been measured.
    @run
    async def test_order_is_refused_while_one_before_it_takes_long(self):
        async with sites.running_site(
            plain=PLAIN, stop_grace_ms=2 * GRACE_MS
        ) as site:
            server = site.servers['s1']
            for number in range(8):
                answer = await site.call(
                    'POST', '/order/x', request_id=f'short-{number}'
                )
                self.assertEqual(200, answer.status)
            server.run_pause_s = 30.0
            async with await site.connect() as earlier:
                await earlier.send('POST', '/order/x', request_id='long')
                await sites.wait_until(lambda: len(server.runs) == 9)
                stop = Stop(site.entry)
                await stop.wait(END_S)
                answer = await site.call('POST', '/order/x', request_id='late')
                self.check_refused(answer)
            self.assertEqual(9, len(server.runs))

    # Guards against streams that are taken late since those before them ended
    # long before the most tokens that they might have had.
    @run
    async def test_stream_is_refused_if_those_before_it_ended_early(self):
        async with sites.running_site(
            plain=PLAIN, engines=ENGINES, stop_grace_ms=2 * GRACE_MS
        ) as site:
            server = site.servers['s1']
            server.run_pause_s = 30.0
            engine = set_slow(site)
            engine.event_count = 2
            for number in range(4):
                answer = await site.call(
                    'POST', '/once/x', request_id=f'early-{number}'
                )
                self.assertTrue(answer.whole)
            engine.event_count = 5 * EVENT_COUNT
            async with await site.connect() as earlier:
                await earlier.send('POST', '/order/x')
                await sites.wait_until(lambda: server.runs)
                stop = Stop(site.entry)
                await stop.wait(END_S)
                answer = await site.call('POST', '/once/x', request_id='late')
                self.check_refused(answer)


class TestOtherVms(unittest.TestCase):
    # Guards against a stop that only shuts the door of the callers.
    @run
    async def test_request_of_another_vm_is_returned_to_it(self):
        async with fleets.running_fleet(
            vms=2, engines=ENGINES, stop_grace_ms=GRACE_MS
        ) as fleet:
            stopped = fleet.vms[2].entry
            stop = Stop(stopped)
            await stop.wait(LATE_S)
            stream = await trio.open_tcp_stream(
                fleet.vms[2].host, stopped.ports['relay_port']
            )
            async with sites.Caller(stream) as caller:
                await caller.send(
                    'POST',
                    '/ask/x',
                    headers=('Bluebellthread-Config-Version: 1',),
                )
                answer = await caller.read_answer()
            self.assertEqual(503, answer.status)
            self.assertEqual(
                'stopping', answer.headers['bluebellthread-not-taken']
            )
            self.assertEqual([], fleet.servers['d1'].runs)

    # Guards against refusals that the VM that hands on takes for answers.
    @run
    async def test_request_of_another_vm_is_returned_before_its_body(self):
        async with fleets.running_fleet(
            vms=2, engines=ENGINES, stop_grace_ms=GRACE_MS
        ) as fleet:
            stopped = fleet.vms[2].entry
            stop = Stop(stopped)
            await stop.wait(LATE_S)
            stream = await trio.open_tcp_stream(
                fleet.vms[2].host, stopped.ports['relay_port']
            )
            async with sites.Caller(stream) as caller:
                await stream.send_all(
                    make_head('/ask/x', 10, 'Bluebellthread-Config-Version: 1')
                )
                answer = await caller.read_answer()
            self.assertEqual(503, answer.status)
            self.assertEqual(
                'stopping', answer.headers.get('bluebellthread-not-taken')
            )

    # Guards against fleets of which all VMs that still run turn callers away.
    @run
    async def test_callers_find_open_doors_while_all_vms_stop(self):
        async with fleets.running_fleet(
            vms=2, plain=PLAIN, engines=ENGINES, stop_grace_ms=GRACE_MS
        ) as fleet:
            engine = fleet.servers['d1']
            engine.last_event_gate = trio.Event()
            statuses = []

            async def hold(number):
                async with await fleet.connect(number) as caller:
                    await caller.send(
                        'POST', '/once/x', request_id=f'hold-{number}'
                    )
                    await caller.read_answer()

            async def ask(number, count):
                async with await fleet.connect(number) as caller:
                    answer = await caller.call(
                        'POST',
                        '/once/x',
                        request_id=f'once-{number}-{count}',
                    )
                    statuses.append(answer.status)
                    self.retry_after = answer.headers['retry-after']

            async with trio.open_nursery() as nursery:
                for number in fleet.vms:
                    nursery.start_soon(hold, number)
                await sites.wait_until(lambda: len(engine.runs) == 2)
                stops = [Stop(vm.entry) for vm in fleet.vms.values()]
                await stops[0].wait(LATE_S)
                for count in range(8):
                    for number in fleet.vms:
                        await ask(number, count)
                    await trio.sleep(0.1)
                engine.last_event_gate.set()
            self.assertEqual({503}, set(statuses))
            # No VM takes callers now; each is back within a moment.
            self.assertGreater(float(self.retry_after), 0)

    @run
    async def test_refused_caller_is_sent_to_the_other_vm_at_once(self):
        async with fleets.running_fleet(
            vms=2, engines=ENGINES, stop_grace_ms=GRACE_MS
        ) as fleet:
            stop = Stop(fleet.vms[1].entry)
            await stop.wait(LATE_S)
            async with await fleet.connect(1) as caller:
                answer = await caller.call('POST', '/once/x')
            self.assertEqual(503, answer.status)
            self.assertEqual(0.0, float(answer.headers['retry-after']))


class TestStops(unittest.TestCase):
    # Guards against connections that are closed without an answer.
    @run
    async def test_order_is_answered_in_a_short_grace_period(self):
        async with sites.running_site(plain=PLAIN, stop_grace_ms=500) as site:
            server = site.servers['s1']
            server.run_pause_s = 5.0
            async with await site.connect() as caller:
                await caller.send('POST', '/order/x')
                await sites.wait_until(lambda: server.runs)
                Stop(site.entry)
                answer = await caller.read_answer()
                self.assertEqual(502, answer.status)

    async def check_second_signal(self, signal):
        """Check that a further signal neither extends nor shortens a stop."""
        async with running_site() as site:
            engine = set_slow(site, after_gate=trio.Event())
            engine.event_pause_s = 0.0
            async with await site.connect() as caller:
                await caller.send('POST', '/once/x')
                await sites.wait_until(lambda: engine.runs)
                stop = Stop(site.entry)
                await stop.wait(1.5)
                schedule = site.entry.state.stop_schedule
                before = attrs.evolve(schedule)
                signal(site.entry)
                self.assertEqual(before, schedule)
                answer = await caller.read_answer()
                self.assertFalse(answer.whole)
                self.assertGreater(stop.elapsed_s, END_S - 0.1)

    @run
    async def test_second_stop_changes_no_deadline(self):
        await self.check_second_signal(lambda entry: entry.stop())

    @run
    async def test_reload_during_a_stop_changes_no_deadline(self):
        await self.check_second_signal(
            lambda entry: entry.apply_settings(
                attrs.evolve(entry.state.settings, stop_grace_ms=60000)
            )
        )


if __name__ == '__main__':
    unittest.main()
