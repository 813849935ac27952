"""Replays of loads in which streams compete for insufficient engines."""

import collections
import functools
import pathlib
import random
import statistics
import unittest

import attrs

from bench import _replay_load
from bench import _replay_patterns
from bench import _replay_world
from bluebellthread.core import routing
from bluebellthread.core.routing import _demand_shares
from bluebellthread.core.routing import _engine_pool
from bluebellthread.core.routing import _overtaking
from bluebellthread.core.routing import _ownership_epoch
from tests.unit import _allocation

TARGET_MS = 900
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

    # The users' goal is at most 3 wasted prefills in 100. Guards against
    # growth that is reserved by a constant pace and the longest answer.
    def test_few_requests_are_preempted(self):
        result = replay('bursts-at-target')
        total = result.on_time + result.late
        self.assertLess(result.preemptions, 0.03 * total)
        growth = replay('bursts-at-target', memory_model='growth')
        self.assertLess(result.preemptions, 0.8 * growth.preemptions)

    # Guards against requests that are held until their callers leave.
    def test_requests_that_are_not_reached_are_refused_early(self):
        result = replay('bursts-at-target')
        self.assertLess(statistics.median(result.held_ms), TARGET_MS)
        held = replay('bursts-at-target', refuses_unreached=False)
        self.assertGreater(result.on_time, held.on_time)


class TestLongPrompts(unittest.TestCase):
    # Guards against a long prompt that keeps all shorter ones waiting.
    def test_shorter_prompts_pass_those_that_wait_for_memory(self):
        stopped = replay('long-prompts', overtaking_max=0)
        passing = replay('long-prompts')
        self.assertLess(
            statistics.quantiles(passing.waits_ms, n=4)[2],
            0.6 * statistics.quantiles(stopped.waits_ms, n=4)[2],
        )

    # Guards against long prompts that all others pass for ever.
    def test_long_prompts_are_served(self):
        load = _replay_load.read_load(LOADS / 'long-prompts.json')
        lengths = [item.prompt_tokens for item in load.requests]
        longest = statistics.quantiles(lengths, n=10)[-1]
        events = replay('long-prompts').grant_to_event_ms
        served = sum(tokens >= longest for tokens, _ in events)
        count = sum(tokens >= longest for tokens in lengths)
        self.assertGreater(served / count, 0.5 * len(events) / len(lengths))


class TestPriorities(unittest.TestCase):
    # Guards against an order by target alone.
    def test_urgent_requests_are_on_time_more_often(self):
        plain = replay('priorities', waiting_order='on-time-first')
        result = replay('priorities')
        self.assertGreater(
            share_of(result.by_kind[0], 'on_time'),
            share_of(plain.by_kind[0], 'on_time'),
        )

    def test_no_priority_starves_and_urgent_ones_are_served_as_often(self):
        kinds = replay('priorities').by_kind
        for kind in kinds:
            self.assertGreater(served_share(kinds[kind]), 0.25)
        for urgent, other in ((0, 1), (0, 2), (1, 2)):
            self.assertGreater(
                served_share(kinds[urgent]), served_share(kinds[other]) - 0.05
            )

    # Guards against a priority that waits for ever while a more urgent one
    # takes all engines.
    def test_starved_priority_goes_first(self):
        shares = _demand_shares.DemandShares()
        urgent = _allocation.make_request('a', priority=0)
        other = _allocation.make_request('b', priority=2)
        for now_ms in range(0, 2000, 50):
            shares.note_asked(urgent, now_ms)
            shares.note_granted(urgent, now_ms)
            shares.note_asked(other, now_ms)
        self.assertLess(shares.level(urgent), shares.level(other))
        shares.review(2000)
        self.assertLess(shares.level(other), shares.level(urgent))


class TestOneCustomer(unittest.TestCase):
    # Guards against a customer that pushes the others out.
    def test_others_are_on_time_as_without_the_one(self):
        plain = replay('one-customer', weighs_demand=False)
        result = replay('one-customer')
        for name, counts in result.by_customer.items():
            if name != 'c0':
                self.assertGreater(served_share(counts), 0.95)
        others = [
            sum(
                counts['unserved'] + counts['late']
                for name, counts in x.by_customer.items()
                if name != 'c0'
            )
            for x in (result, plain)
        ]
        self.assertLess(others[0], 0.6 * others[1])
        total = served_share(
            sum(result.by_customer.values(), start=collections.Counter())
        )
        self.assertGreater(served_share(result.by_customer['c0']), total / 4)


class TestOptions(unittest.TestCase):
    # Guards against services of earlier deployments that are decided anew,
    # and against a service that changes back with each ask of an old build.
    def test_options_follow_what_vms_tell(self):
        owned = routing.OwnedAllocator(options=None, rng=random.Random(1))
        owned.note_request(0)
        default = owned.allocator.options
        owned.note_contention(False, 0)
        self.assertEqual(routing.AllocatorOptions(), default)
        owned.note_contention(True, 1)
        owned.note_contention(False, 2)
        self.assertEqual(routing.CONTENDED_OPTIONS, owned.allocator.options)
        owned.note_contention(False, 2 + _ownership_epoch.CONTENDED_MS)
        self.assertEqual(default, owned.allocator.options)

    # Guards against placements that are lost when the options change.
    def test_queue_and_placements_are_kept(self):
        allocator = routing.Allocator()
        engines = (
            _allocation.make_engine('p1', 'prefill'),
            _allocation.make_engine('d1', 'decode', slot_count=1),
        )
        allocator.set_servers(engines)
        for ask_id in ('a', 'b'):
            allocator.add_request(_allocation.make_request(ask_id), 0)
        allocator.decide(0)
        allocator.set_options(routing.CONTENDED_OPTIONS)
        self.assertEqual([], allocator.decide(0))
        self.assertEqual(
            (1, 1), (allocator.waiting_count, allocator.place_count)
        )
        allocator.release('a', 10, first_event_ms=300, writing_ms=2000)
        self.assertEqual(['b'], _allocation.granted_ids(allocator.decide(10)))

    # Guards against an error where a customer's request was queued before the
    # options changed.
    def test_request_queued_before_the_change_is_granted(self):
        allocator = routing.Allocator()
        ask = _allocation.make_request('a', customer='c1')
        allocator.add_request(ask, 0)
        allocator.set_options(routing.CONTENDED_OPTIONS)
        for number, name in enumerate(('c2', 'c3')):
            other = _allocation.make_request(str(number), customer=name)
            allocator.add_request(other, 0)
        allocator.set_servers((_allocation.make_engine('d1', 'decode'),))
        granted = []
        for now_ms in (0, 400):
            granted += _allocation.granted_ids(allocator.decide(now_ms))
        self.assertIn('a', granted)


class TestLateEventShare(unittest.TestCase):
    # Guards against a metric that stays at 0 while the estimate is too low.
    def test_share_follows_the_quantile(self):
        load = _replay_load.read_load(LOADS / 'bursts-at-target.json')
        world = _replay_world.ReplayWorld(load, routing.CONTENDED_OPTIONS)
        world.run()
        self.assertGreater(world._allocator.late_event_share, 0.02)
        self.assertLess(world._allocator.late_event_share, 0.5)


class TestReservation(unittest.TestCase):
    # Guards against short prompts that take each piece of memory that ends.
    def test_engine_is_reserved_after_the_bound_on_overtaking(self):
        allocator = routing.Allocator(
            options=routing.AllocatorOptions(
                overtaking_max=1, overtaking_ms=1000
            )
        )
        allocator.set_servers(
            (
                _allocation.make_engine('p1', 'prefill'),
                *(
                    _allocation.make_engine(f'd{n}', 'decode', slot_count=2)
                    for n in range(4)
                ),
            )
        )
        for n in range(4):
            allocator.add_request(
                _allocation.make_request(f'{n}', prompt_tokens=5000), 0
            )
            allocator.decide(0)
            allocator.note_prefill_ended(f'{n}', 0)
        ask = _allocation.make_request('long', prompt_tokens=8000)
        allocator.add_request(ask, 1)
        granted = []
        for n in range(6):
            short = _allocation.make_request(
                f'short{n}', prompt_tokens=500, target_deadline_ms=950
            )
            allocator.add_request(short, 2)
            granted += _allocation.granted_ids(allocator.decide(2))
            allocator.note_prefill_ended(f'short{n}', 2)
        # Four engines have a slot left each; one of them is kept.
        self.assertEqual(3, len(granted))
        for n in range(4):
            allocator.release(f'{n}', 3)
            if n < 3:
                allocator.release(f'short{n}', 3)
        self.assertIn('long', _allocation.granted_ids(allocator.decide(3)))

    # Guards against a reservation that stays with an engine that has left.
    def test_another_engine_is_reserved_if_one_leaves(self):
        pool = _engine_pool.EnginePool()
        pool.set_model(fits=lambda *arguments: False, prefill_depth=2)
        engines = tuple(
            _allocation.make_engine(f'd{n}', 'decode') for n in range(5)
        )
        pool.set_servers(engines)
        overtaking = _overtaking.Overtaking(count_max=1, age_max_ms=0)
        ask = _allocation.make_request('long')
        overtaking.may_pass(ask, pool, 0)
        (first,) = self.list_reserved(pool)
        pool.set_servers(tuple(x for x in engines if x.name != first))
        overtaking.may_pass(ask, pool, 1)
        (second,) = self.list_reserved(pool)
        self.assertNotEqual(first, second)
        overtaking.begin_decision({})
        self.assertEqual([], self.list_reserved(pool))

    @staticmethod
    def list_reserved(pool):
        return [
            account.server.name
            for account in pool.by_role['decode']
            if account.reserved_for
        ]
