import unittest

from bluebellthread.entry import _refusals


class TestBackOff(unittest.TestCase):
    # Guards against back-offs that callers can't use: they came back sooner
    # than they were told, and all at the same time.
    def test_back_off_is_at_most_the_third_of_the_time_left(self):
        back_offs_ms = {
            _refusals.make_not_run_refusal('full', 4000, 9000).retry_after_ms
            for _ in range(200)
        }
        self.assertLessEqual(max(back_offs_ms), 3000)
        self.assertGreater(len(back_offs_ms), 50)

    def test_back_off_that_fits_is_spread_about_the_wanted_one(self):
        back_offs_ms = [
            _refusals.make_not_run_refusal('full', 400, 9000).retry_after_ms
            for _ in range(200)
        ]
        self.assertLessEqual(max(back_offs_ms), 500)
        self.assertGreaterEqual(min(back_offs_ms), 300)
        self.assertGreater(max(back_offs_ms), 400)

    def test_caller_without_time_left_gets_no_back_off(self):
        refusal = _refusals.make_not_run_refusal('full', 400, -5)
        self.assertEqual(0, refusal.retry_after_ms)
