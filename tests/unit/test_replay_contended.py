"""Replays of loads in which streams compete for insufficient engines."""

import functools
import pathlib
import unittest

import attrs

from bench import _replay_load
from bench import _replay_patterns
from bench import _replay_world
from bluebellthread.core import routing

LOADS = pathlib.Path(__file__).parents[1] / 'loads'


@functools.cache
def replay(name, **changes):
    """Replay a load under `CONTENDED_OPTIONS` with some of them changed."""
    load = _replay_load.read_load(LOADS / f'{name}.json')
    options = attrs.evolve(routing.CONTENDED_OPTIONS, **changes)
    return _replay_world.ReplayWorld(load, options).run()


def share_of(counts, outcome):
    return counts[outcome] / max(1, counts.total())


def served_share(counts):
    return 1 - share_of(counts, 'unserved')


class TestLoads(unittest.TestCase):
    # Guards against loads that no longer come from the recorded figures.
    def test_files_hold_the_patterns(self):
        for name, make in _replay_patterns.PATTERNS.items():
            with self.subTest(name):
                load = _replay_load.read_load(LOADS / f'{name}.json')
                self.assertEqual(make(1), load)


class TestBurstsAtTarget(unittest.TestCase):
    # Guards against an estimate of the mean, by which half of the requests
    # of a burst are granted just too late.
    def test_quantile_has_fewer_requests_miss_their_target(self):
        mean = replay('bursts-at-target', first_event_time='mean-prefill')
        quantile = replay('bursts-at-target')
        self.assertLess(quantile.late, 0.7 * mean.late)
        self.assertGreater(quantile.worth_share, mean.worth_share + 0.05)
