"""Decisions of an owner whose requests compete for engines."""

import unittest

from bluebellthread.core import routing
from bluebellthread.core.routing import _first_event_time
from bluebellthread.core.routing import _grant_pace
from tests.unit import _allocation

PATIENCE_MIN_MS = 2000
"""Shortest time that callers wait for an event (platform documentation)."""


def make_allocator(engines):
    allocator = routing.Allocator(options=routing.CONTENDED_OPTIONS)
    allocator.set_servers(tuple(engines))
    return allocator


def make_engines(decode_count, **changes):
    return [
        _allocation.make_engine('p0', 'prefill'),
        _allocation.make_engine('p1', 'prefill'),
        *(
            _allocation.make_engine(f'd{number}', 'decode', **changes)
            for number in range(decode_count)
        ),
    ]


class TestRefusals(unittest.TestCase):
    # Guards against a refusal of a request that misses its target while
    # engines are idle: one grant a moment ago looked like a slow pace.
    def test_late_request_is_granted_while_engines_are_idle(self):
        allocator = make_allocator(make_engines(8, memory_tokens=40_000))
        allocator.add_request(_allocation.make_request('a'), 0)
        self.assertEqual(['a'], _allocation.granted_ids(allocator.decide(0)))
        long = _allocation.make_request(
            'long',
            prompt_tokens=12_000,
            target_deadline_ms=1300,
            start_deadline_ms=3700,
        )
        allocator.add_request(long, 500)
        self.assertEqual(
            ['long'], _allocation.granted_ids(allocator.decide(500))
        )

    # Guards against an owner whose memory grows with each request.
    def test_counts_of_past_requests_are_bounded(self):
        pace = _grant_pace.GrantPace()
        for now_ms in range(0, 60_000, 10):
            pace.note_asked(now_ms)
            pace.note_granted(now_ms)
        self.assertLessEqual(len(pace._arrivals), 151)
        self.assertLessEqual(len(pace._grants), 151)


class TestEstimate(unittest.TestCase):
    # Guards against an estimate that makes every request count as too late,
    # so that none is granted and nothing is learned any more.
    def test_estimate_stays_below_the_patience_of_callers(self):
        times = _first_event_time.FirstEventTime()
        for took_ms in (60_000, 2_900) * 5_000:
            times.note_first_event(tokens=3000, took_ms=took_ms)
        self.assertLess(times.first_event_ms(12_000), PATIENCE_MIN_MS)
        for _ in range(500):
            times.note_first_event(tokens=3000, took_ms=300)
        self.assertLess(times.first_event_ms(3000), 900)


class TestReservation(unittest.TestCase):
    # Guards against an engine that stands empty while the request that it is
    # reserved for waits behind others that are blocked.
    def test_holder_of_an_engine_is_tried_first(self):
        allocator = make_allocator(make_engines(4))
        for number in range(4):
            allocator.add_request(
                _allocation.make_request(
                    f'first{number}', prompt_tokens=6000, priority=0
                ),
                0,
            )
            allocator.note_prefill_ended(f'first{number - 1}', 0)
            allocator.decide(0)
        allocator.note_prefill_ended('first3', 0)
        self.assertEqual(4, allocator.place_count)
        later = {
            'target_deadline_ms': 10_000,
            'start_deadline_ms': 12_000,
        }
        allocator.add_request(
            _allocation.make_request(
                'long', prompt_tokens=6500, priority=2, **later
            ),
            10,
        )
        for now_ms in (20, 250, 300):
            allocator.decide(now_ms)
        (reserved,) = [
            account
            for account in allocator._pool.by_role['decode']
            if account.reserved_for
        ]
        # Each is shorter than the one before, so that each is tried.
        for prompt_tokens in (6000, 5300, 4700):
            allocator.add_request(
                _allocation.make_request(
                    f'urgent{prompt_tokens}',
                    prompt_tokens=prompt_tokens,
                    priority=0,
                    **later,
                ),
                310,
            )
        (held,) = reserved.decoding
        allocator.release(held, 400)
        self.assertEqual(
            ['long'], _allocation.granted_ids(allocator.decide(400))
        )

    # Guards against an engine that is reserved for a prompt which it can
    # never hold.
    def test_engine_that_is_too_small_is_not_reserved(self):
        engines = [
            *make_engines(4, memory_tokens=8000),
            *(
                _allocation.make_engine(
                    f'large{number}', 'decode', memory_tokens=20_000
                )
                for number in range(4)
            ),
        ]
        allocator = make_allocator(engines)
        # The large ones have less free than the others, at the moment.
        allocator.register_held(
            _allocation.make_held(
                *(
                    _allocation.make_held_placement(
                        f'a{number}',
                        decode_server=f'large{number}',
                        prompt_tokens=15_000,
                    )
                    for number in range(4)
                )
            ),
            0,
        )
        request = _allocation.make_request('long', prompt_tokens=15_000)
        account = allocator._pool.reserve_decode(request, 0)
        self.assertTrue(account.server.name.startswith('large'))
