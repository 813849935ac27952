"""The checks of the soak on records made by hand."""

import random
import types
import unittest

import trio

from standin import site as site_standins
from tests.soak import _callers
from tests.soak import _checks
from tests.soak import _site
from tests.soak import _spans

SENT_S = 100.0
SILENCE = [100.5, 102.0]


def make_vm(index):
    return _site.Vm(
        launcher=None,
        index=index,
        folder='.',
        store_port=1,
        seeds=[],
        ports={},
        zone='cluj-a',
        bounds={},
        checkout=None,
    )


def make_call(request_id, begun_s=SENT_S, ended_s=None):
    """Return a call as a stand-in records it."""
    return types.SimpleNamespace(
        headers={'x-request-attempt-id': request_id},
        begun_s=begun_s,
        received_s=begun_s,
        ended_s=ended_s,
    )


class ChecksTestCase(unittest.TestCase):
    """One VM, two engines and a plain server, without any process."""

    def setUp(self):
        self.site = _site.SoakSite(
            rng=random.Random(1), folder='.', vm_count=3
        )
        self.site.max_attempts = 1
        self.site.vms = [make_vm(0), make_vm(1)]
        for name, service in (
            ('plain-1', 'plain'),
            ('decode-1', 'model'),
            ('decode-2', 'model'),
        ):
            make = (
                site_standins.PlainServer
                if service == 'plain'
                else site_standins.Engine
            )
            self.site.backends[name] = _site.Backend(
                make(name=name), service, None
            )
        self.engine = self.site.backends['decode-1']
        self.other = self.site.backends['decode-2']
        self.plain = self.site.backends['plain-1']
        self.callers = types.SimpleNamespace(records=[])

    def add_record(self, kind='ask', ended_s=SENT_S + 1.7, **fields):
        """Add a request that ended; one that was cut off by default."""
        fields = {'status': 200, 'server_seal': 's', **fields}
        request_id = f'c{len(self.callers.records)}'
        record = _callers.CallRecord(
            request_id=request_id,
            kind=kind,
            vm='vm0',
            begun_s=SENT_S,
            ended_s=ended_s,
            **fields,
        )
        self.callers.records.append(record)
        return record


class TestSilences(ChecksTestCase):
    def check(self):
        return _checks.check_silences(self.site, self.callers)

    def silence(self, backend, record, span=SILENCE):
        backend.silences = _spans.Spans([list(span)])
        backend.server.held.append(make_call(record.request_id))

    def test_stream_that_a_silence_ends_is_found(self):
        self.silence(self.engine, self.add_record())
        self.assertEqual(1, len(self.check()))
        self.assertIn('decode-1', self.check()[0])

    def test_missing_answer_is_found(self):
        record = self.add_record('order', status=None, server_seal='')
        self.silence(self.plain, record)
        self.assertEqual(1, len(self.check()))

    def test_failure_of_the_router_is_found(self):
        record = self.add_record(
            'read', status=502, whole=True, server_seal=''
        )
        self.silence(self.plain, record)
        self.assertEqual(1, len(self.check()))

    def test_whole_answers_and_refusals_are_sound(self):
        self.silence(self.engine, self.add_record(whole=True))
        record = self.add_record(status=503, whole=True, server_seal='')
        self.silence(self.engine, record)
        self.assertEqual([], self.check())

    def test_end_without_a_silence_is_left_to_other_checks(self):
        record = self.add_record()
        self.silence(self.engine, record, (90.0, 91.0))
        self.assertEqual([], self.check())

    def test_deadline_excuses_what_silence_and_work_fill(self):
        self.engine.server.event_count = 12
        self.engine.server.event_pause_s = 0.2
        self.silence(self.engine, self.add_record(ended_s=SENT_S + 4.0))
        self.assertEqual([], self.check())

    def test_deadline_excuses_nothing_that_had_the_time(self):
        self.silence(self.engine, self.add_record(ended_s=SENT_S + 4.0))
        self.assertEqual(1, len(self.check()))

    def test_other_trouble_excuses(self):
        self.silence(self.engine, self.add_record())
        vm = self.site.vms[0]
        trouble = _spans.Spans([[101.0, 101.2]])
        for owner, name in (
            (vm, 'failures'),
            (vm, 'stops'),
            (vm, 'path_cuts'),
            (vm, 'store_faults'),
            (self.site, 'store_faults'),
            (self.engine, 'faults'),
        ):
            with self.subTest(name=name):
                before = getattr(owner, name)
                setattr(owner, name, trouble)
                self.assertEqual([], self.check())
                setattr(owner, name, before)
        self.assertEqual(1, len(self.check()))

    def test_trouble_elsewhere_does_not_excuse_a_cut_stream(self):
        self.silence(self.engine, self.add_record())
        trouble = _spans.Spans([[101.0, 101.2]])
        self.site.vms[1].failures = trouble
        self.other.faults = trouble
        self.plain.faults = trouble
        self.assertEqual(1, len(self.check()))

    def test_silence_of_over_two_seconds_excuses(self):
        self.silence(self.engine, self.add_record(), (100.5, 102.6))
        self.assertEqual([], self.check())


class TestLost(ChecksTestCase):
    def test_request_that_only_a_silent_server_held_was_passed_on(self):
        record = self.add_record('order', status=None, server_seal='')
        self.site.vms[0].reload_times_s = [SENT_S + 0.1]
        self.assertEqual([], _checks.check_lost(self.site, self.callers))
        self.plain.server.held.append(make_call(record.request_id))
        self.assertEqual(1, len(_checks.check_lost(self.site, self.callers)))


class TestAttempts(ChecksTestCase):
    def check(self, count):
        for _ in range(count):
            record = self.add_record(whole=True)
            for backend in (self.engine, self.other):
                backend.server.runs.append(make_call(record.request_id))
        return _checks.check_attempts(self.site, self.callers)

    def test_more_than_three_requests_beyond_their_attempts_are_found(self):
        self.assertEqual([], self.check(3))
        self.assertEqual(4, len(self.check(1)))

    def test_attempts_that_the_route_allows(self):
        self.site.max_attempts = 2
        self.assertEqual([], self.check(4))

    def test_servers_with_a_fault_do_not_count(self):
        self.other.faults = _spans.Spans([[101.0, 101.2]])
        self.assertEqual([], self.check(4))


class TestWorkOverlaps(ChecksTestCase):
    def check(self, overlap_s):
        record = self.add_record(whole=True)
        for backend, begun_s, ended_s in (
            (self.engine, SENT_S, SENT_S + 1 + overlap_s),
            (self.other, SENT_S + 1, SENT_S + 3),
        ):
            backend.server.runs.append(
                make_call(record.request_id, begun_s, ended_s)
            )
        return _checks.check_work_overlaps(self.site, self.callers)

    def test_work_that_goes_on_beside_another_run_is_found(self):
        self.assertEqual(1, len(self.check(0.5)))

    def test_work_that_ends_soon_is_sound(self):
        self.assertEqual([], self.check(0.3))

    def test_engine_with_a_fault_is_excused(self):
        self.engine.faults = _spans.Spans([[101.0, 101.2]])
        self.assertEqual([], self.check(0.5))


class TestStops(ChecksTestCase):
    """One VM gets SIGTERM a second after requests began."""

    TERM_S = SENT_S + 1

    def setUp(self):
        super().setUp()
        self.vm = self.site.vms[0]
        self.stop = _site.ProcessRun(
            started_s=SENT_S - 50,
            term_s=self.TERM_S,
            ended_s=self.TERM_S + 8,
        )
        self.vm.runs = [self.stop]
        self.decisions = []
        self.vm.read_events = lambda: self.decisions

    def check(self):
        return _checks.check_stops(self.site, self.callers)

    def add(self, *, sent_s, ended_s, backend=None, **fields):
        """Add a request without an answer, by times after SIGTERM."""
        record = self.add_record(
            **{
                'status': None,
                'server_seal': '',
                'deadline_ms': 12000,
                'sent_s': self.TERM_S + sent_s,
                'ended_s': self.TERM_S + ended_s,
                **fields,
            }
        )
        if backend is not None:
            backend.server.arrivals.append(make_call(record.request_id))
        return record

    def test_late_request_that_was_passed_on_is_found_with_its_decision(self):
        record = self.add(sent_s=3.1, ended_s=7.0, backend=self.engine)
        message = f'E7077 request {record.request_id}: taken'
        self.decisions.append(
            {
                'event': _checks.STOP_DECISION_EVENT,
                'request_id': record.request_id,
                'message': message,
            }
        )
        self.assertEqual(1, len(self.check()))
        self.assertIn(message, self.check()[0])

    def test_request_that_no_server_had_is_found_unless_it_crosses_a_close(
        self,
    ):
        self.add(sent_s=4.0, ended_s=4.2 - 0.01)
        self.assertEqual([], self.check())
        self.add(sent_s=4.0, ended_s=4.3)
        self.assertEqual(1, len(self.check()))
        self.assertIn('no E7077', self.check()[0])

    def test_early_request_is_excused_in_the_last_sixth_only(self):
        self.add(sent_s=2.9, ended_s=6.7, backend=self.engine)
        self.assertEqual([], self.check())
        self.add(sent_s=2.9, ended_s=6.6, backend=self.engine)
        self.assertEqual(1, len(self.check()))

    def test_request_that_waited_for_its_turn_is_late(self):
        self.add(
            sent_s=0.5,
            ended_s=7.0,
            backend=self.engine,
            turn_s=self.TERM_S + 4.3,
        )
        self.assertEqual(1, len(self.check()))

    def test_request_behind_a_close_is_found_if_it_was_passed_on(self):
        self.add(sent_s=1.0, ended_s=5.0, is_behind_end=True)
        self.assertEqual([], self.check())
        self.add(
            sent_s=1.0,
            ended_s=5.0,
            is_behind_end=True,
            backend=self.plain,
        )
        self.assertEqual(1, len(self.check()))

    def test_failure_of_the_router_is_found(self):
        self.add(
            sent_s=3.5,
            ended_s=7.0,
            status=502,
            whole=True,
            backend=self.plain,
            kind='order',
        )
        self.assertEqual(1, len(self.check()))

    def test_whole_answers_and_true_refusals_are_sound(self):
        self.add(
            sent_s=4.0,
            ended_s=5.0,
            status=200,
            whole=True,
            server_seal='s',
            backend=self.engine,
        )
        self.add(sent_s=4.0, ended_s=4.1, status=503, whole=True)
        self.add(sent_s=4.0, ended_s=4.1, status=408, whole=True)
        self.assertEqual([], self.check())

    def test_refusal_of_what_has_run_is_found(self):
        for kind in _callers.KINDS:
            record = self.add(
                sent_s=4.0, ended_s=4.1, status=503, whole=True, kind=kind
            )
            self.plain.server.runs.append(make_call(record.request_id))
        self.assertEqual(len(_callers.KINDS), len(self.check()))

    def test_request_that_was_not_sent_whole_or_reached_its_limit(self):
        record = self.add(sent_s=4.0, ended_s=5.0, backend=self.engine)
        record.sent_s = None
        self.add(
            sent_s=0.0, ended_s=4.0, backend=self.engine, deadline_ms=4000
        )
        self.assertEqual([], self.check())

    def test_request_outside_of_a_stop_is_left_to_other_checks(self):
        self.add(sent_s=-0.9, ended_s=-0.1, backend=self.engine)
        self.add(sent_s=8.5, ended_s=9.1, backend=self.engine)
        self.assertEqual([], self.check())

    def test_second_sigterm_begins_no_other_stop(self):
        self.add(sent_s=3.5, ended_s=7.0, backend=self.engine)
        self.vm.term_times_s = [self.TERM_S, self.TERM_S + 1]
        self.assertEqual(1, len(self.check()))

    def test_unplanned_trouble_excuses(self):
        self.add(sent_s=3.5, ended_s=7.0, backend=self.engine)
        trouble = _spans.Spans([[self.TERM_S, self.TERM_S + 0.2]])
        for owner, name in (
            (self.vm, 'failures'),
            (self.vm, 'path_cuts'),
            (self.vm, 'store_faults'),
            (self.site, 'store_faults'),
            (self.engine, 'faults'),
        ):
            with self.subTest(name=name):
                before = getattr(owner, name)
                setattr(owner, name, trouble)
                self.assertEqual([], self.check())
                setattr(owner, name, before)
        self.assertEqual(1, len(self.check()))

    def test_trouble_of_the_store_or_elsewhere_excuses_no_plain_call(self):
        self.add(sent_s=3.5, ended_s=7.0, backend=self.plain, kind='order')
        trouble = _spans.Spans([[self.TERM_S, self.TERM_S + 0.2]])
        self.site.store_faults = self.vm.store_faults = trouble
        self.site.vms[1].failures = self.engine.faults = trouble
        self.assertEqual(1, len(self.check()))


class TestDoors(ChecksTestCase):
    def check(self, refused_s, **fields):
        self.site.vms[0].runs = [
            _site.ProcessRun(
                started_s=SENT_S,
                accepted_s=SENT_S + 1,
                refused_s=refused_s,
                **fields,
            )
        ]
        return _checks.check_doors(self.site)

    def test_closed_port_of_a_process_that_stops_is_found(self):
        stop = {'term_s': SENT_S + 10, 'ended_s': SENT_S + 18}
        found = self.check([SENT_S + 12.7, SENT_S + 13.0], **stop)
        self.assertEqual(1, len(found))
        self.assertIn('2 connections', found[0])

    def test_closed_port_without_a_stop_is_found(self):
        self.assertEqual(1, len(self.check([SENT_S + 2])))

    def test_port_may_be_closed_in_the_last_moment_of_the_exit(self):
        end_s = SENT_S + 18
        stop = {'term_s': SENT_S + 10, 'ended_s': end_s}
        self.assertEqual([], self.check([end_s - 0.4], **stop))
        self.assertEqual(1, len(self.check([end_s - 0.6], **stop)))

    def test_port_counts_from_the_first_connection_on(self):
        vm = self.site.vms[0]
        vm.runs = [_site.ProcessRun(started_s=SENT_S)]

        async def call():
            vm.note_refused()
            vm.note_accepted()
            self.assertEqual([], vm.runs[0].refused_s)
            vm.note_refused()
            self.assertEqual(1, len(vm.runs[0].refused_s))

        trio.run(call)


class TestRequests(ChecksTestCase):
    def check(self, **fields):
        record = self.add_record(status=503, whole=True, **fields)
        return _checks.check_request(record, 0)

    def test_answer_to_another_request_is_found(self):
        self.assertEqual([], self.check(answered_id='c0'))
        self.assertEqual(1, len(self.check(answered_id='c0')))

    def test_bytes_after_an_answer_that_closes_are_found(self):
        self.assertEqual(1, len(self.check(brings_more=True)))
