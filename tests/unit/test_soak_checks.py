"""The checks of the soak on records made by hand."""

import random
import types
import unittest

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
