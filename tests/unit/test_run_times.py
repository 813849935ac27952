"""Bounds for the durations of requests, which may be too high only."""

import math
import random
import unittest

from bluebellthread.core import routing
from bluebellthread.core.routing import _run_times

NOW_MS = 100_000


class TestRunTimes(unittest.TestCase):
    def setUp(self):
        self.times = routing.RunTimes()

    def note(self, first_ms, rest_ms=None, *, events=100, **fields):
        self.times.note_whole('s', first_ms + (rest_ms or 0), **fields)
        self.times.note_first('s', first_ms, now_ms=NOW_MS, **fields)
        if rest_ms is not None:
            self.times.note_rest(
                's', rest_ms, event_count=events, now_ms=NOW_MS, **fields
            )

    def find_need_ms(self, tokens=100, *, later_ms=0, **fields):
        return self.times.find_need_ms(
            's', output_tokens=tokens, now_ms=NOW_MS + later_ms, **fields
        )

    def test_few_requests_tell_nothing(self):
        self.assertEqual(math.inf, self.times.find_likely_ms('s', risk=1))
        for _ in range(_run_times.COUNT_MIN - 1):
            self.note(10, 20)
        self.assertEqual(math.inf, self.find_need_ms())
        self.assertEqual(math.inf, self.times.find_likely_ms('s', risk=0.2))
        self.assertEqual(30, self.times.find_likely_ms('s', risk=0.25))
        self.note(10, 20)
        self.assertLess(self.find_need_ms(), math.inf)

    def test_failures_alone_tell_nothing(self):
        for _ in range(100):
            self.note(10, 20, is_answered=False)
        self.assertEqual(math.inf, self.find_need_ms())
        self.assertEqual(math.inf, self.times.find_likely_ms('s', risk=1))

    def test_long_failure_raises_the_bound_a_short_one_does_not_lower_it(self):
        for _ in range(_run_times.COUNT_MIN):
            self.note(100, 200)
        need_ms = self.find_need_ms()
        self.note(5, 5, is_answered=False)
        self.assertEqual(need_ms, self.find_need_ms())
        self.note(5000, 200, is_answered=False)
        self.assertGreaterEqual(self.find_need_ms(), 5200)

    # Guards against bounds that forget a long request that failed while few
    # had been measured.
    def test_long_failure_before_the_first_answers_raises_the_bound(self):
        self.note(9000, is_answered=False)
        for _ in range(_run_times.COUNT_MIN):
            self.note(10)
        self.assertGreaterEqual(self.find_need_ms(0), 9000)

    def test_need_grows_with_the_tokens_and_is_unknown_without(self):
        for _ in range(_run_times.COUNT_MIN):
            self.note(100, 200, events=100)
        self.assertEqual(
            2 * self._measured_ms(100) - self._measured_ms(0),
            self._measured_ms(200),
        )
        self.assertEqual(math.inf, self.find_need_ms(None))

    def _measured_ms(self, tokens):
        return self.find_need_ms(tokens) - _run_times.SILENCE_MS

    def test_prompt_that_was_read_needs_no_time(self):
        for _ in range(_run_times.COUNT_MIN):
            self.note(4000, 200)
        self.assertLess(self.find_need_ms(is_prefilled=True), 4000)

    def test_burst_is_remembered_for_a_while_only(self):
        self.note(9000)
        for _ in range(_run_times.COUNT_MIN):
            self.note(10)
        window_ms = _run_times.WINDOW_MS
        self.assertGreater(self.find_need_ms(0, later_ms=window_ms), 9000)
        self.assertEqual(
            math.inf, self.find_need_ms(0, later_ms=2 * window_ms)
        )

    def test_bound_holds_for_every_measured_request(self):
        rng = random.Random(40)
        longest_ms = 0
        for _ in range(200):
            first_ms, rest_ms = rng.randrange(900), rng.randrange(9000)
            longest_ms = max(longest_ms, first_ms + rest_ms)
            self.note(first_ms, rest_ms)
            if self.find_need_ms() < math.inf:
                self.assertGreater(self.find_need_ms(), longest_ms)

    def test_likely_duration_is_exceeded_with_the_probability(self):
        for took_ms in range(1, 11):
            self.times.note_whole('s', took_ms)
        for risk, likely_ms in ((0, 10), (0.1, 9), (0.5, 5), (1, 1)):
            self.assertEqual(
                likely_ms, self.times.find_likely_ms('s', risk=risk)
            )

    def test_services_that_are_gone_are_forgotten(self):
        for _ in range(_run_times.COUNT_MIN):
            self.note(10, 20)
        self.times.keep_only({'other'})
        self.assertEqual(math.inf, self.find_need_ms())


if __name__ == '__main__':
    unittest.main()
