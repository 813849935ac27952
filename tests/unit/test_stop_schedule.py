"""What a VM that is being stopped still begins."""

import math
import unittest

from bluebellthread.core import routing
from bluebellthread.core.routing import _stop_schedule

BEGUN_MS = 50_000
GRACE_MS = 8000
END_MS = BEGUN_MS + GRACE_MS - _stop_schedule.END_MARGIN_MS
LEAVE_MS = BEGUN_MS + _stop_schedule.BALANCER_LAG_MS


class TestStopSchedule(unittest.TestCase):
    def setUp(self):
        self.schedule = routing.StopSchedule()

    def begin(self):
        self.schedule.begin(BEGUN_MS, grace_ms=GRACE_MS)

    def find(self, *, need_ms=math.inf, likely_ms=math.inf, late_ms=9000):
        return self.schedule.find_begin_deadline_ms(
            need_ms=need_ms,
            likely_ms=likely_ms,
            deadline_ms=END_MS + late_ms,
        )

    def test_everything_may_begin_before_a_stop(self):
        self.assertEqual(math.inf, self.find())
        self.assertEqual(math.inf, self.schedule.find_remaining_ms(BEGUN_MS))

    def test_request_of_unknown_duration_may_not_begin(self):
        self.begin()
        self.assertEqual(-math.inf, self.find())

    def test_request_that_its_deadline_ends_may_begin(self):
        self.begin()
        self.assertEqual(math.inf, self.find(late_ms=0))
        self.assertEqual(-math.inf, self.find(late_ms=1))

    def test_request_may_begin_while_it_surely_ends(self):
        self.begin()
        self.assertEqual(END_MS - 700, self.find(need_ms=700))

    def test_likely_end_counts_only_until_the_balancer_knows(self):
        self.begin()
        self.assertEqual(END_MS - 6500, self.find(likely_ms=6500))
        self.assertEqual(LEAVE_MS, self.find(likely_ms=100))
        self.assertEqual(END_MS - 90, self.find(likely_ms=100, need_ms=90))

    def test_second_stop_changes_no_deadline(self):
        self.begin()
        self.schedule.begin(BEGUN_MS + 5000, grace_ms=60_000)
        self.assertEqual(END_MS, self.schedule.end_deadline_ms)
        self.assertEqual(100, self.schedule.find_remaining_ms(END_MS - 100))
        self.assertEqual(0, self.schedule.find_remaining_ms(END_MS + 100))

    def test_deadlines_of_a_grace_period_that_is_short_are_in_order(self):
        for grace_ms in (0, 300, 1400, 3000):
            schedule = routing.StopSchedule()
            schedule.begin(BEGUN_MS, grace_ms=grace_ms)
            self.assertLessEqual(BEGUN_MS, schedule.end_deadline_ms)
            self.assertLessEqual(
                schedule.end_deadline_ms, schedule.exit_deadline_ms
            )
            self.assertLessEqual(
                schedule.exit_deadline_ms, BEGUN_MS + grace_ms
            )


if __name__ == '__main__':
    unittest.main()
