import random
import unittest

import hypothesis
from hypothesis import strategies

from bluebellthread import core

steps = strategies.lists(
    strategies.tuples(strategies.integers(0, 400), strategies.integers(1, 5)),
    max_size=80,
)


class TestTokenBucket(unittest.TestCase):
    @hypothesis.given(
        steps=steps,
        rate=strategies.floats(0.001, 50),
        burst=strategies.integers(1, 20),
    )
    def test_never_gives_more_than_rate_and_burst(self, steps, rate, burst):
        bucket = core.TokenBucket(rate_per_s=rate, burst=burst, now_ms=0)
        taken = []
        now_ms = 0
        for elapsed_ms, count in steps:
            now_ms += elapsed_ms
            if bucket.take(count, now_ms=now_ms):
                taken.append((now_ms, count))
        for first, (start_ms, _) in enumerate(taken):
            total = 0
            for end_ms, count in taken[first:]:
                total += count
                allowed = burst + rate * (end_ms - start_ms) / 1000
                self.assertLessEqual(total, allowed + 1e-3)

    @hypothesis.given(
        rate=strategies.floats(0.01, 50), count=strategies.integers(1, 5)
    )
    def test_wait_is_the_shortest_that_suffices(self, rate, count):
        bucket = core.TokenBucket(rate_per_s=rate, burst=5, now_ms=0)
        bucket.take(5, now_ms=0)
        wait_ms = bucket.wait_ms(count, now_ms=0)
        self.assertFalse(bucket.take(count, now_ms=wait_ms - 1))
        self.assertTrue(bucket.take(count, now_ms=wait_ms))

    def test_wait_is_none_for_more_tokens_than_the_burst(self):
        bucket = core.TokenBucket(rate_per_s=1, burst=5, now_ms=0)
        self.assertIsNone(bucket.wait_ms(6, now_ms=0))


class TestCallerLimits(unittest.TestCase):
    def admit(self, limits, now_ms, caller='c', rate_per_s=2.0):
        return limits.admit(
            caller, concurrency=3, rate_per_s=rate_per_s, now_ms=now_ms
        )

    def test_rate_above_the_limit_is_refused_until_the_retry_delay(self):
        limits = core.CallerLimits()
        self.assertIsNone(self.admit(limits, 0))
        self.assertIsNone(self.admit(limits, 0))
        refusal = self.admit(limits, 100)
        self.assertEqual('caller-rate', refusal.kind)
        self.assertEqual(400, refusal.retry_after_ms)
        self.assertIsNone(self.admit(limits, 500))

    def test_concurrency_counts_unfinished_requests(self):
        limits = core.CallerLimits()
        for now_ms in (0, 1000, 2000):
            self.assertIsNone(self.admit(limits, now_ms))
        refusal = self.admit(limits, 9000)
        self.assertEqual('caller-concurrency', refusal.kind)
        limits.finish('c')
        self.assertIsNone(self.admit(limits, 9000))

    def test_callers_do_not_share_limits_and_idle_ones_are_forgotten(self):
        limits = core.CallerLimits()
        self.admit(limits, 0, caller='busy')
        for number in range(1300):
            now_ms = 10000 * number
            self.assertIsNone(self.admit(limits, now_ms, caller=str(number)))
            limits.finish(str(number))
        self.assertLess(len(limits._callers), 600)
        self.assertEqual(1, limits.running_count('busy'))

    def test_changed_rate_applies_at_once(self):
        limits = core.CallerLimits()
        self.admit(limits, 0, rate_per_s=2.0)
        self.assertIsNone(self.admit(limits, 1, rate_per_s=1.0))
        refusal = self.admit(limits, 2, rate_per_s=1.0)
        self.assertEqual('caller-rate', refusal.kind)


class TestConnectionLimits(unittest.TestCase):
    def test_total_and_each_peer_are_bounded(self):
        limits = core.ConnectionLimits(maximum_count=3, peer_maximum_count=2)
        self.assertIsNone(limits.open('a'))
        self.assertIsNone(limits.open('a'))
        self.assertEqual('caller-connections', limits.open('a').kind)
        self.assertIsNone(limits.open('b'))
        self.assertEqual('connections', limits.open('c').kind)
        limits.close('a')
        self.assertIsNone(limits.open('c'))


class TestRetryBudget(unittest.TestCase):
    @hypothesis.given(
        percent=strategies.floats(0, 100),
        retry_flags=strategies.lists(strategies.booleans(), max_size=300),
    )
    def test_retries_stay_within_their_share(self, percent, retry_flags):
        budget = core.RetryBudget(percent=percent)
        requests = retries = 0
        for is_retry in retry_flags:
            if is_retry:
                retries += budget.take()
            else:
                requests += 1
                budget.note_request()
            self.assertLessEqual(retries, 3 + requests * percent / 100 + 1e-4)

    def test_backoff_is_spread_over_a_doubling_bound(self):
        rng = random.Random(3)
        for number, bound_ms in ((0, 25), (1, 50), (3, 200), (60, 2000)):
            waits = [core.backoff_ms(number, rng) for _ in range(400)]
            self.assertLessEqual(max(waits), bound_ms)
            self.assertGreater(max(waits), 0.9 * bound_ms)
            self.assertLess(min(waits), 0.1 * bound_ms)
