import collections
import copy
import random
import unittest

import hypothesis
from hypothesis import strategies

from bluebellthread import core
from tests.unit import _requests

NAMES = core.queue_policies.names()
RATE_COST_PER_MS = 100

requests = strategies.lists(
    strategies.tuples(
        strategies.sampled_from('abcdef'),  # caller
        strategies.integers(1, 20000),  # prompt_tokens
        strategies.integers(1, 5000),  # deadline_ms
        strategies.integers(-1, 1),  # priority
    ),
    max_size=60,
)


def make_requests(drawn):
    return [
        _requests.make_request(
            f'r{number}',
            caller=caller,
            prompt_tokens=tokens,
            deadline_ms=deadline_ms,
            first_output_deadline_ms=deadline_ms,
            priority=priority,
        )
        for number, (caller, tokens, deadline_ms, priority) in enumerate(drawn)
    ]


def teach_drain_rate(queue):
    """Drain a backlog at RATE_COST_PER_MS; return the end time in ms."""
    for number in range(60):
        queue.push(_requests.make_request(f't{number}'), now_ms=0)
    for number in range(60):
        queue.pop_next(_requests.fits_always, now_ms=10 * (number + 1))
    return 600


def start_wait_ms(queue, request, now_ms):
    """Return the wait of a request if the queue drains at RATE_COST_PER_MS."""
    served = 0
    while True:
        popped = queue.pop_next(_requests.fits_always, now_ms=now_ms)
        if popped.request_id == request.request_id:
            return served / RATE_COST_PER_MS
        served += popped.prompt_tokens


class Simulation:
    """Simulates one server of a fixed rate behind a queue."""

    def __init__(self, queue, *, target_ms):
        self.queue = queue
        self.target_ms = target_ms
        self.free_ms = 0
        self.in_time = collections.Counter()
        self.late = collections.Counter()
        self.refused = collections.Counter()

    def run(self, arrivals, *, end_ms):
        arrivals = collections.deque(sorted(arrivals))
        for now_ms in range(end_ms):
            while arrivals and arrivals[0][0] <= now_ms:
                self.arrive(*arrivals.popleft())
            for refusal in self.queue.pop_expired(now_ms=now_ms):
                self.refused[refusal.request.caller] += 1
            self.serve(now_ms)

    def arrive(self, now_ms, request_id, caller, tokens):
        request = _requests.make_request(
            request_id,
            caller=caller,
            prompt_tokens=tokens,
            deadline_ms=now_ms + 10 * self.target_ms,
            first_output_deadline_ms=now_ms + self.target_ms,
        )
        for refusal in self.queue.push(request, now_ms=now_ms):
            self.refused[refusal.request.caller] += 1

    def serve(self, now_ms):
        while self.free_ms <= now_ms:
            request = self.queue.pop_next(_requests.fits_always, now_ms=now_ms)
            if request is None:
                return
            start_ms = max(self.free_ms, now_ms)
            self.free_ms = start_ms + request.prompt_tokens / RATE_COST_PER_MS
            self.queue.note_granted(request, now_ms=now_ms)
            self.queue.note_first_output(
                request.request_id, now_ms=round(self.free_ms)
            )
            in_time = self.free_ms <= request.first_output_deadline_ms
            (self.in_time if in_time else self.late)[request.caller] += 1


def make_arrivals(seed, *, end_ms, load):
    """Return arrivals of 20 small callers and one that causes overload."""
    rng = random.Random(seed)
    arrivals = []
    rates = {f'small{n:02}': 0.5 / 21 for n in range(20)}
    rates['large'] = load - sum(rates.values())
    for caller, share in rates.items():
        now_ms = 0.0
        while True:
            now_ms += rng.expovariate(share * RATE_COST_PER_MS / 1000)
            if now_ms >= end_ms:
                break
            tokens = rng.randint(500, 1500)
            name = f'{caller}-{len(arrivals)}'
            arrivals.append((int(now_ms), name, caller, tokens))
    return arrivals


class TestEveryQueue(unittest.TestCase):
    @hypothesis.given(drawn=requests)
    def test_each_request_leaves_exactly_once(self, drawn):
        for name in NAMES:
            queue = core.queue_policies.get(name)(
                core.QueueOptions(maximum_count=20, caller_maximum_count=8)
            )
            left = []
            for request in make_requests(drawn):
                refused = queue.push(request, now_ms=0)
                left += [item.request.request_id for item in refused]
                self.assertLessEqual(len(queue), 20)
            if queue.remove('r3') is not None:
                left.append('r3')
            expired = queue.pop_expired(now_ms=2500)
            left += [item.request.request_id for item in expired]
            left += _requests.drain(queue, now_ms=2500)
            self.assertEqual(0, len(queue))
            expected = sorted(f'r{number}' for number in range(len(drawn)))
            self.assertEqual(expected, sorted(left), name)

    def test_request_that_does_not_fit_stays_in_the_queue(self):
        for name in NAMES:
            queue = core.queue_policies.get(name)()
            queue.push(_requests.make_request('r1'), now_ms=0)
            self.assertIsNone(queue.pop_next(lambda _: False, now_ms=1))
            self.assertEqual(['r1'], _requests.drain(queue, now_ms=1))


class TestFairQueue(unittest.TestCase):
    def push(self, queue, request_id, **fields):
        request = _requests.make_request(request_id, **fields)
        return queue.push(request, now_ms=0)

    def test_earliest_deadline_goes_first_within_a_caller(self):
        queue = core.FairQueue()
        for request_id, deadline_ms in (('r1', 900), ('r2', 300), ('r3', 600)):
            self.push(queue, request_id, first_output_deadline_ms=deadline_ms)
        self.assertEqual(['r2', 'r3', 'r1'], _requests.drain(queue))

    def test_backlog_of_one_caller_delays_no_other(self):
        queue = core.FairQueue()
        for number in range(50):
            self.push(queue, f'l{number}', caller='large')
        self.push(queue, 's', caller='small')
        self.assertLessEqual(_requests.drain(queue).index('s'), 1)

    def test_low_priority_is_slowed_but_not_starved(self):
        queue = core.FairQueue()
        for number in range(64):
            self.push(queue, f'h{number}', priority=1, caller='h')
            self.push(queue, f'l{number}', caller='l')
        first = _requests.drain(queue)[:36]
        low = [item for item in first if item.startswith('l')]
        self.assertTrue(3 <= len(low) <= 5, low)

    def test_shedding_takes_lowest_priority_then_largest_then_latest(self):
        queue = core.FairQueue(core.QueueOptions(maximum_count=4))
        self.push(queue, 'a1', caller='a', first_output_deadline_ms=10)
        self.push(queue, 'a2', caller='a', first_output_deadline_ms=20)
        self.push(queue, 'b1', caller='b')
        self.push(queue, 'h1', caller='h', priority=1, prompt_tokens=9000)
        shed = []
        for number in range(3):
            shed += self.push(queue, f'c{number}', caller=f'c{number}')
        names = [item.request.request_id for item in shed]
        self.assertEqual('a2', names[0])
        self.assertNotIn('h1', names)
        self.assertEqual({'overloaded'}, {item.kind for item in shed})

    def test_short_request_goes_first_only_within_the_window(self):
        for window, expected in ((10000, 's'), (0, 'l')):
            options = core.QueueOptions(fair_window_tokens=window)
            queue = core.FairQueue(options)
            self.push(queue, 'l0', caller='l', prompt_tokens=1000)
            self.push(queue, 's0', caller='s', prompt_tokens=4000)
            _requests.drain(queue)
            self.push(queue, 'l', caller='l', prompt_tokens=9000)
            self.push(queue, 's', caller='s', prompt_tokens=500)
            self.assertEqual(expected, _requests.drain(queue)[0])

    def test_long_request_is_not_starved_by_short_ones(self):
        queue = core.FairQueue()
        self.push(queue, 'long', caller='l', prompt_tokens=9000)
        for served in range(200):
            caller = f'c{served % 4}'
            self.push(queue, f's{served}', caller=caller, prompt_tokens=500)
            request = queue.pop_next(_requests.fits_always, now_ms=0)
            if request.request_id == 'long':
                break
        self.assertEqual('long', request.request_id)

    def test_one_caller_cannot_fill_the_queue(self):
        queue = core.FairQueue(core.QueueOptions(caller_maximum_count=2))
        self.push(queue, 'r1')
        self.push(queue, 'r2')
        (refusal,) = self.push(queue, 'r3')
        self.assertEqual('caller-limit', refusal.kind)

    def test_newer_attempt_supersedes_the_older(self):
        queue = core.FairQueue()
        self.push(queue, 'r1')
        (refusal,) = self.push(queue, 'r1', attempt_number=1)
        self.assertEqual('superseded', refusal.kind)
        self.assertEqual(0, refusal.request.attempt_number)
        self.assertEqual(['r1'], _requests.drain(queue))

    @hypothesis.given(drawn=requests)
    def test_backlogged_callers_get_equal_service(self, drawn):
        for window in (0, 10000):
            options = core.QueueOptions(fair_window_tokens=window)
            self.check_spread(drawn, core.FairQueue(options), window)

    def check_spread(self, drawn, queue, window):
        drawn = [(caller, tokens, 5000, 0) for caller, tokens, *_ in drawn]
        waiting = collections.Counter()
        for request in make_requests(drawn):
            queue.push(request, now_ms=0)
            waiting[request.caller] += request.prompt_tokens
        largest = max((item[1] for item in drawn), default=0)
        served = collections.Counter()
        while (
            request := queue.pop_next(_requests.fits_always, now_ms=0)
        ) is not None:
            served[request.caller] += request.prompt_tokens
            shares = [
                served[caller]
                for caller, tokens in waiting.items()
                if served[caller] < tokens
            ]
            if shares:
                spread = max(shares) - min(shares)
                self.assertLessEqual(spread, window + 2 * largest)


class TestEarlyRefusal(unittest.TestCase):
    def test_idle_queue_refuses_nothing(self):
        queue = core.EarlyRefusalQueue()
        now_ms = teach_drain_rate(queue)
        request = _requests.make_request(
            'r', first_output_deadline_ms=now_ms + 1
        )
        self.assertEqual((), queue.push(request, now_ms=now_ms))

    @hypothesis.given(
        drawn=requests,
        caller=strategies.sampled_from('abcdefg'),
        spare_ms=strategies.integers(1, 3000),
    )
    def test_early_refusal_agrees_with_the_expected_wait(
        self, drawn, caller, spare_ms
    ):
        queue = core.EarlyRefusalQueue()
        now_ms = teach_drain_rate(queue)
        for number, (name, tokens, *_) in enumerate(drawn):
            waiting = _requests.make_request(
                f'r{number}', caller=name, prompt_tokens=tokens
            )
            queue.push(waiting, now_ms=now_ms)
        request = _requests.make_request(
            'asked',
            caller=caller,
            first_output_deadline_ms=now_ms + spare_ms,
        )
        forced = copy.deepcopy(queue)
        refused = queue.push(request, now_ms=now_ms)
        core.FairQueue.push(forced, request, now_ms=now_ms)
        wait_ms = start_wait_ms(forced, request, now_ms)
        # The estimated rate is within 10 % of the true one, and each of
        # the six other callers may have one more or one less request served
        # before it.
        error_ms = 0.1 * wait_ms + 6 * 20000 / RATE_COST_PER_MS
        if refused:
            self.assertGreater(wait_ms + error_ms, spare_ms)
            self.assertEqual('deadline', refused[0].kind)
            self.assertGreater(refused[0].retry_after_ms, 0)
        else:
            self.assertLess(wait_ms - error_ms, spare_ms)

    def test_retry_after_the_given_delay_is_accepted(self):
        queue = core.EarlyRefusalQueue()
        now_ms = teach_drain_rate(queue)
        for number in range(100):
            waiting = _requests.make_request(f'w{number}', caller=f'c{number}')
            queue.push(waiting, now_ms=now_ms)
        first = _requests.make_request(
            'r', first_output_deadline_ms=now_ms + 500
        )
        (refusal,) = queue.push(first, now_ms=now_ms)
        self.assertTrue(400 <= refusal.retry_after_ms <= 700, refusal)
        retry_ms = now_ms + refusal.retry_after_ms
        for moment_ms in range(now_ms, retry_ms, 10):
            queue.pop_next(_requests.fits_always, now_ms=moment_ms)
        again = _requests.make_request(
            'r', first_output_deadline_ms=retry_ms + 500
        )
        self.assertEqual((), queue.push(again, now_ms=retry_ms))

    def test_request_that_cannot_meet_its_target_waits_behind_others(self):
        queue = core.EarlyRefusalQueue()
        for number in range(8):
            request = _requests.make_request(f't{number}')
            queue.note_granted(request, now_ms=0)
            queue.note_first_output(f't{number}', now_ms=900)
        for number in range(30):
            for name, target_ms in (('h', 800), ('r', 60000)):
                request = _requests.make_request(
                    f'{name}{number}',
                    caller=f'{name}{number}',
                    first_output_deadline_ms=target_ms,
                )
                self.assertEqual((), queue.push(request, now_ms=0))
        first = _requests.drain(queue)[:18]
        late = [item for item in first if item.startswith('h')]
        self.assertLessEqual(len(late), 3, first)

    def test_refused_callers_get_different_retry_delays(self):
        queue = core.EarlyRefusalQueue()
        now_ms = teach_drain_rate(queue)
        for number in range(100):
            waiting = _requests.make_request(f'w{number}', caller=f'c{number}')
            queue.push(waiting, now_ms=now_ms)
        retry_after_values_ms = [
            queue.push(
                _requests.make_request(
                    f'r{number}', first_output_deadline_ms=now_ms + 10
                ),
                now_ms=now_ms,
            )[0].retry_after_ms
            for number in range(10)
        ]
        self.assertEqual(10, len(set(retry_after_values_ms)))

    def test_small_callers_get_their_share_under_overload(self):
        for seed in range(5):
            for load in (1.2, 2.0, 5.0):
                arrivals = make_arrivals(seed, end_ms=20000, load=load)
                request_counts = collections.Counter(
                    item[2] for item in arrivals
                )
                del request_counts['large']
                run = Simulation(core.EarlyRefusalQueue(), target_ms=780)
                run.run(arrivals, end_ms=22000)
                served = sum(run.in_time[caller] for caller in request_counts)
                message = f'seed {seed} load {load}'
                self.assertGreaterEqual(
                    served, 0.95 * sum(request_counts.values()), message
                )
                self.assertLessEqual(
                    sum(run.late.values()),
                    0.05 * sum(run.in_time.values()),
                    message,
                )
