import json
import types
import unittest

from bench import _deployments
from bench import _report
from bench import _summary
from bench import _workload
from bench import capacity


def make_outcome(caller, state='whole', first_ms=100.0, **fields):
    values = {'kind': '', 'pace_ms': 30.0, 'ended_ms': 900.0, 'lag_ms': 1.0}
    values.update(fields)
    return types.SimpleNamespace(
        arrival=types.SimpleNamespace(caller=caller),
        state=state,
        first_ms=first_ms,
        **values,
    )


class TestSummary(unittest.TestCase):
    def test_goodput_leaves_out_late_slow_refused_and_failed_answers(self):
        outcomes = [
            make_outcome('a'),
            make_outcome('a', first_ms=781.0),
            make_outcome('a', pace_ms=46.0),
            make_outcome('a', state='refused', kind='deadline'),
            make_outcome('a', state='failed', kind='cut-off'),
        ]
        record = _summary.summarise(outcomes, {}, duration_s=2)
        self.assertEqual(0.5, record['goodput_per_s'])
        self.assertEqual({'deadline': 1}, record['refusals'])
        self.assertEqual({'cut-off': 1}, record['failures'])

    def test_small_callers_are_those_below_the_fair_share(self):
        outcomes = [make_outcome('large') for _ in range(60)]
        outcomes += [make_outcome('large', 'refused') for _ in range(60)]
        outcomes += [make_outcome('small') for _ in range(9)]
        outcomes += [make_outcome('small', 'refused')]
        record = _summary.summarise_fairness(outcomes)
        self.assertEqual(1, record['small_callers'])
        self.assertEqual(0.9, record['small_callers_share'])

    def test_prefills_without_a_decode_are_wasted(self):
        states = {
            'p': {'role': 'prefill', 'runs': {'x': 1, 'y': 2}},
            'd': {'role': 'decode', 'started': {'x': 1}},
        }
        record = _summary.summarise_prefill(states)
        self.assertEqual(3, record['prefills'])
        self.assertEqual(0.6667, record['wasted_prefill_share'])

    def test_table_has_a_line_for_each_group(self):
        record = _summary.summarise([make_outcome('a')], {}, duration_s=1)
        common = {'deployment': 'd', 'places': ['x'], 'fault': 'none'}
        records = [
            {**common, **record, 'load': load, 'policy': 'full'}
            for load in (1.0, 1.0, 2.0)
        ]
        records = json.loads(json.dumps(records))
        self.assertEqual(4, len(_report.make_table(records).splitlines()))


class TestWorkload(unittest.TestCase):
    def draw(self, seed):
        deployment = _deployments.DEPLOYMENTS['lanhu']
        workload = _workload.Workload(seed=seed, deployment=deployment)
        return workload.arrivals(duration_s=5, load=1.0)

    def test_a_seed_gives_the_same_arrivals(self):
        self.assertEqual(self.draw(3), self.draw(3))
        self.assertNotEqual(self.draw(3), self.draw(4))


class TestCapacity(unittest.TestCase):
    def test_every_stored_slope_has_its_command(self):
        text = capacity.SLOPES_PATH.read_text(encoding='utf-8')
        for name, slope in json.loads(text).items():
            self.assertTrue(slope['command'].startswith('python -m'), name)

    def test_owner_of_a_smaller_shard_has_less_cost(self):
        slopes = capacity.read_slopes()
        whole = capacity.scheduler_cost(slopes, shards=1)
        fifth = capacity.scheduler_cost(slopes, shards=5)
        self.assertAlmostEqual(whole.bytes_per_s, 5 * fifth.bytes_per_s)
        self.assertIn('| owner of a pool', capacity.make_tables(slopes))
