"""What a daemon that is being stopped still begins."""

import math
import unittest
from unittest import mock

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _fleet
from bluebellthread.daemon import _http
from bluebellthread.daemon import _stop_admission

BEGUN_MS = 50_000
LAG_MS = 3000
GRACE_MS = 13_000
END_MS = BEGUN_MS + GRACE_MS - 1000
TOOK_MS = 2000
SAMPLE_COUNT = 5


def make_member(name, state):
    return core.Member(
        name=name,
        data_centre='cluj-a',
        region='r',
        host='127.0.0.1',
        peer_port=1,
        caller_port=2,
        incarnation=1,
        state=state,
    )


class TestStopAdmission(unittest.TestCase):
    def setUp(self):
        self.fleet = _fleet.Fleet()
        self.fleet.publish_view(
            core.MembershipView(
                members=(make_member('vm2', 'alive'),), confirmed=True
            )
        )
        self.admission = _stop_admission.StopAdmission(
            vm='vm1', data_centre='cluj-a', fleet=self.fleet
        )
        self.now_ms = BEGUN_MS
        patcher = mock.patch.object(
            _clock, 'read_clock_ms', lambda: self.now_ms
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def begin(self):
        self.fleet.stop_schedule.begin(
            BEGUN_MS, grace_ms=GRACE_MS, lag_ms=LAG_MS
        )

    def measure(self):
        for _ in range(SAMPLE_COUNT):
            self.admission.note_ended(
                's',
                begun_ms=self.now_ms - TOOK_MS,
                first_output_ms=None,
                piece_count=0,
            )

    def may_begin(self, *, since_ms, deadline_ms=math.inf):
        self.now_ms = BEGUN_MS + since_ms
        return self.admission.may_begin(
            's', output_tokens=0, deadline_ms=deadline_ms
        )

    def test_everything_may_begin_before_a_stop(self):
        self.assertTrue(self.may_begin(since_ms=0))

    def test_request_of_unknown_duration_may_begin_in_the_lag_only(self):
        self.begin()
        self.assertTrue(self.may_begin(since_ms=LAG_MS))
        self.assertFalse(self.may_begin(since_ms=LAG_MS + 1))

    def test_request_that_its_deadline_ends_may_begin(self):
        self.begin()
        self.assertTrue(self.may_begin(since_ms=9000, deadline_ms=END_MS))

    def test_request_that_likely_outlasts_the_stop_may_not_begin(self):
        self.fleet.stop_schedule.begin(
            BEGUN_MS, grace_ms=LAG_MS + TOOK_MS, lag_ms=LAG_MS
        )
        self.measure()
        self.assertFalse(self.may_begin(since_ms=LAG_MS - 1))

    def test_request_that_surely_ends_may_begin_after_the_lag(self):
        self.begin()
        self.measure()
        need_ms = 2 * TOOK_MS + 1200
        since_ms = END_MS - BEGUN_MS - need_ms
        self.assertTrue(self.may_begin(since_ms=since_ms))
        self.assertFalse(self.may_begin(since_ms=since_ms + 1))

    def test_refusal_says_that_nothing_has_run_and_when_to_come_back(self):
        self.begin()
        self.now_ms = BEGUN_MS + LAG_MS + 1
        with self.assertRaises(_http.Refusal) as caught:
            self.admission.check('s', output_tokens=0, deadline_ms=math.inf)
        self.assertEqual(503, caught.exception.status)
        self.assertEqual('not-run', caught.exception.run)
        self.assertEqual(1000, caught.exception.retry_after_ms)
