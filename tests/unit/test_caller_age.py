import random
import unittest

from bench import _replay_load
from bench import _replay_world
from bluebellthread.core import routing
from tests.unit import test_replay_loads as loads


class TestCallerAges(unittest.TestCase):
    def test_first_attempts_have_no_age(self):
        ages = routing.CallerAges()
        found = {ages.estimate_ms('r', 14000) for _ in range(100)}
        self.assertEqual({0}, found)

    def test_age_of_a_retry_is_the_missing_remaining_time(self):
        ages = routing.CallerAges()
        ages.estimate_ms('r', 14000)
        self.assertEqual(4200, ages.estimate_ms('r', 9800))

    def test_few_ages_are_wrong_in_a_burst_of_mostly_retries(self):
        rng = random.Random(1)
        ages = routing.CallerAges()
        wrong = 0
        for _ in range(500):
            age_ms = rng.choice((0, 3000, 4600))
            wrong += ages.estimate_ms('r', 14000 - age_ms) != age_ms
        # Estimates may be wrong only until a few requests have arrived.
        self.assertLess(wrong, 10)

    def test_one_long_timeout_does_not_make_other_requests_look_old(self):
        ages = routing.CallerAges()
        for _ in range(20):
            ages.estimate_ms('r', 14000)
        ages.estimate_ms('r', 60000)
        self.assertEqual(0, ages.estimate_ms('r', 14000))

    def test_requests_with_varying_timeouts_have_no_age(self):
        # The recording quiet-1 of papusi-ro is like this, without refusals.
        rng = random.Random(1)
        ages = routing.CallerAges()
        found = {
            ages.estimate_ms('r', rng.randint(12000, 14000))
            for _ in range(200)
        }
        self.assertEqual({0}, found)

    def test_routes_are_learned_separately_and_discarded(self):
        ages = routing.CallerAges()
        ages.estimate_ms('r1', 14000)
        self.assertEqual(0, ages.estimate_ms('r2', 2000))
        ages.keep_only({'r2'})
        self.assertEqual(0, ages.estimate_ms('r1', 3000))
        ages.estimate_ms('r2', 6000)
        self.assertEqual(3000, ages.estimate_ms('r2', 3000))


class TestGain(unittest.TestCase):
    def test_known_ages_keep_more_requests_on_time_in_overload(self):
        """Retries then displace no requests that can still be on time."""
        load = _replay_load.read_load(loads.LOADS / 'heavy.json')
        before = _replay_world.ReplayWorld(
            load, recognises_retries=False
        ).run()
        after = _replay_world.ReplayWorld(load).run()
        self.assertGreater(after.on_time, before.on_time)
        self.assertGreater(after.worth_share, before.worth_share + 0.03)
