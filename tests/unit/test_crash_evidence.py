import collections
import random
import unittest
from unittest import mock

import attrs

from bluebellthread.core import routing
from bluebellthread.core.routing import _crash_evidence
from bluebellthread import platform

SETTLE_MS = _crash_evidence.SETTLE_MS
SURVIVAL_MS = _crash_evidence.SURVIVAL_MS


def make_run(attempt_id, *parts, age_ms=80):
    return routing.EndedRun(attempt_id=attempt_id, parts=parts, age_ms=age_ms)


def make_end(server, at_ms, *runs, vm='vm1', incarnation=1, version='v1'):
    return routing.EngineEnded(
        vm=vm,
        number=at_ms,
        server=server,
        incarnation=incarnation,
        serves='s',
        software_version=version,
        runs=runs,
        keep_deadline_ms=at_ms + routing.EVIDENCE_MS,
    )


class EvidenceTestCase(unittest.TestCase):
    def setUp(self):
        self.evidence = routing.CrashEvidence()
        self.now_ms = 0

    def end(self, *runs, vm='vm1', server=None, version='v1'):
        """End an engine under some runs, a second after the one before."""
        self.now_ms += 1000
        self.evidence.add_end(
            make_end(
                server or f'd{self.now_ms}',
                self.now_ms,
                *runs,
                vm=vm,
                version=version,
            ),
            self.now_ms,
        )

    def judge(self):
        self.now_ms += SETTLE_MS
        return [item.parts for item in self.evidence.judge(self.now_ms)]

    def survive(self, *parts, version='v1'):
        return self.evidence.note_survived('s', parts, version, self.now_ms)

    def is_shut_out(self, *parts):
        found = self.evidence.find_shut_out('s', parts, self.now_ms)
        return found is not None


class TestBlame(EvidenceTestCase):
    def test_part_that_never_survives_is_blamed_after_four_ends(self):
        self.survive('first')
        for number in range(4):
            self.assertEqual([], self.judge())
            self.end(make_run(f'a{number}', 'first', 'bad', f'o{number}'))
        self.assertEqual([('bad',)], self.judge())
        self.assertTrue(self.is_shut_out('other', 'bad', 'own'))
        self.assertFalse(self.is_shut_out('first', 'own'))
        self.assertEqual([], self.judge())

    def test_parts_that_always_come_together_are_refused_together_only(self):
        self.survive('sound')
        for number in range(4):
            self.end(make_run(f'a{number}', 'bad', 'other', f'o{number}'))
        self.assertEqual([('bad', 'other')], self.judge())
        self.assertTrue(self.is_shut_out('bad', 'other', 'x'))
        self.assertFalse(self.is_shut_out('other', 'x'))
        # One of them survives, so the other is to blame.
        self.assertEqual(1, len(self.survive('other', 'x')))
        self.assertTrue(self.is_shut_out('bad', 'x'))
        self.assertFalse(self.is_shut_out('other', 'x'))

    def test_requests_beside_the_culprit_are_not_blamed(self):
        for number in range(5):
            self.end(
                make_run(f'a{number}', 'f', 'bad', f'o{number}'),
                # One stream that goes on at engine after engine, and its
                # caller's next attempt.
                make_run(f'b{number // 2}', 'f', 'beside', age_ms=900),
            )
        self.survive('f')
        self.assertEqual([('bad',)], self.judge())
        self.assertFalse(self.is_shut_out('f', 'beside'))

    def test_reports_of_all_vms_tell_of_one_end(self):
        for vm in ('vm1', 'vm2', 'vm3'):
            self.now_ms = 0
            self.end(make_run(f'a-{vm}', 'bad', vm), vm=vm, server='d1')
        self.assertEqual([], self.judge())

    def test_several_parts_at_once_are_all_blamed(self):
        self.survive('first')
        for number in range(16):
            self.end(
                make_run(
                    f'a{number}', 'first', f'bad{number % 4}', f'o{number}'
                )
            )
        blamed = self.judge()
        self.assertCountEqual([(f'bad{n}',) for n in range(4)], blamed)

    def test_attempts_of_one_request_alone_are_not_enough(self):
        for _ in range(5):
            self.end(make_run('a', 'bad', 'own'))
        self.assertEqual([], self.judge())

    def test_blame_at_one_version_takes_no_word_from_another(self):
        self.survive('sound')
        for number in range(4):
            self.end(make_run(f'a{number}', 'bad', f'o{number}'), version='v2')
        self.survive('bad', version='v1')
        self.assertEqual([('bad',)], self.judge())
        self.assertTrue(self.is_shut_out('bad'))

    def test_part_that_survived_long_ago_can_be_blamed(self):
        self.survive('bad')
        self.now_ms += 2 * SURVIVAL_MS
        self.survive('sound')
        for number in range(4):
            self.end(make_run(f'a{number}', 'bad', f'o{number}'))
        self.assertEqual([('bad',)], self.judge())


class TestRequests(EvidenceTestCase):
    """Requests as a whole, which count as one more part."""

    def request(self, number, attempt=None):
        return make_run(attempt or f'a{number}', f'={number:x}')

    def end_under(self, *numbers):
        """End a server under some requests, each by an attempt of its own."""
        runs = [self.request(n, f'a{n}-{self.now_ms}') for n in numbers]
        self.end(*runs)

    def test_request_is_blamed_after_three_ends(self):
        self.survive('=0')
        self.end_under(1)
        self.end_under(1)
        self.assertEqual([], self.judge())
        self.end_under(1)
        self.assertEqual([('=1',)], self.judge())
        self.assertTrue(self.is_shut_out('=1'))
        self.assertFalse(self.is_shut_out('=2'))

    def test_request_that_is_all_of_a_service_is_blamed(self):
        self.survive('=0')
        for _ in range(300):
            self.evidence.note_request('s', ('=1',))
        for _ in range(3):
            self.end_under(1)
        self.assertEqual([('=1',)], self.judge())

    def test_identical_request_that_is_answered_once_is_not_blamed(self):
        for _ in range(3):
            self.end_under(1, 2)
        self.survive('=2')
        self.assertEqual([('=1',)], self.judge())
        self.assertFalse(self.is_shut_out('=2'))

    def test_one_attempt_alone_is_not_blamed(self):
        self.survive('=0')
        for _ in range(4):
            self.end(self.request(1))
        self.assertEqual([], self.judge())

    def test_servers_that_end_at_once_blame_no_request(self):
        self.survive('=0')
        for number in range(3):
            self.evidence.add_end(
                make_end(
                    f'd{number}',
                    1000 + 60 * number,
                    self.request(1, f'a{number}'),
                ),
                1000,
            )
        self.now_ms = 2000
        self.assertEqual([], self.judge())

    def test_request_in_two_of_many_ends_is_not_blamed(self):
        self.survive('=0')
        for number in range(2, 9):
            self.end_under(*((1, number) if number % 3 else (number,)))
        self.survive('=1')
        self.assertEqual([], self.judge())

    def test_third_server_is_not_asked_after_two_ends(self):
        self.end_under(1)
        self.assertFalse(
            self.evidence.is_suspicious('s', ('=1',), self.now_ms)
        )
        self.end_under(1)
        self.assertTrue(self.evidence.is_suspicious('s', ('=1',), self.now_ms))

    # Guards against a VM that stands still as a server ends, since each of its
    # requests there goes through all evidence (review/8).
    def test_requests_that_are_not_suspicious_cost_no_look_at_all_evidence(
        self,
    ):
        for number in range(5):
            runs = [
                make_run(
                    f'a{number}-{index}', 'shared', f'own{number}-{index}'
                )
                for index in range(48)
            ]
            self.survive('shared')
            self.end(*runs)
        with mock.patch.object(
            self.evidence, '_merge_reports', side_effect=AssertionError
        ):
            for index in range(48):
                parts = ('shared', f'own4-{index}', 'new')
                self.assertFalse(
                    self.evidence.is_suspicious('s', parts, self.now_ms)
                )

    def test_requests_displace_no_parts(self):
        self.survive('f0')
        for number in range(30_000):
            self.survive(f'={number:x}')
        self.assertLessEqual(
            len(self.evidence._survived_requests_ms),
            _crash_evidence.SURVIVED_REQUESTS_MAX,
        )
        for number in range(4):
            self.end(make_run(f'a{number}', 'f0', f'={number}'))
        self.assertEqual([], self.judge())

    def test_lifted_request_is_served_and_blamed_anew(self):
        self.survive('=0')
        for _ in range(3):
            self.end_under(1)
        self.judge()
        self.evidence.lift('s', ('=1',), self.now_ms)
        self.assertFalse(self.is_shut_out('=1'))
        self.end_under(1)
        self.end_under(1)
        self.assertEqual([], self.judge())
        self.end_under(1)
        self.assertEqual([('=1',)], self.judge())


class TestIdentity(unittest.TestCase):
    def identify(self, **changes):
        fields = {
            'method': b'POST',
            'host': 'h',
            'target': b'/a?b=1',
            'headers': ((b'cookie', b'secret'),),
            'body': b'body',
            **changes,
        }
        return routing.identify_request(**fields)

    def test_each_field_tells_requests_apart(self):
        ids = {
            self.identify(),
            self.identify(method=b'PUT'),
            self.identify(host='i'),
            self.identify(target=b'/a?b=2'),
            self.identify(headers=()),
            self.identify(headers=((b'authorization', b'secret'),)),
            self.identify(body=b'bod'),
            # The same bytes, split elsewhere.
            self.identify(headers=((b'cookies', b'ecret'),)),
        }
        self.assertEqual(8, len(ids))
        self.assertEqual(self.identify(), self.identify())

    def test_callers_cannot_name_a_request(self):
        request_id = self.identify()
        self.assertTrue(routing.is_request_id(request_id))
        read = platform.make_dialect().read_prompt_parts
        self.assertEqual((), read(f'{request_id}:1'))
        self.assertNotIn('body', request_id)


class TestOtherReasons(EvidenceTestCase):
    def test_popular_parts_are_never_blamed(self):
        for number in range(50):
            self.survive('popular', f'x{number}')
            self.end(
                *(
                    make_run(
                        f'a{number}-{beside}', 'popular', f'o{number}{beside}'
                    )
                    for beside in range(5)
                )
            )
            self.assertEqual([], self.judge())

    def test_all_engines_that_go_on_ending_blame_nobody(self):
        rng = random.Random(3)
        for number in range(300):
            parts = ('f', f't{rng.randrange(20)}', f'o{number}')
            self.evidence.note_request('s', parts)
            self.end(make_run(f'a{number}', *parts))
            self.judge()
        self.assertEqual([], self.evidence.list_shut_outs(self.now_ms))

    # Guards against a kill of the service just after all VMs have started.
    def test_engines_that_end_at_once_blame_nobody(self):
        self.survive('x')
        for number in range(9):
            self.end(make_run(f'a{number}', 'f', f'o{number}'))
            self.now_ms -= 999
        self.now_ms += 5000
        self.assertEqual([], self.judge())

    def test_part_of_most_requests_is_not_blamed(self):
        for number in range(40):
            self.evidence.note_request('s', ('f', f'o{number}'))
        for number in range(5):
            self.end(make_run(f'a{number}', 'f', f'o{number}'))
        self.assertEqual([], self.judge())

    def test_word_of_a_survival_elsewhere_comes_before_the_decision(self):
        other = routing.CrashEvidence()
        other.note_survived('s', ('sound',), 'v1', 0)
        self.survive('x')
        for number in range(4):
            self.end(make_run(f'a{number}', 'sound', f'o{number}'))
        (report, *_) = self.evidence.list_ends(self.now_ms)
        (survival,) = other.find_survivals(report, self.now_ms)
        self.assertTrue(self.evidence.add_survival(survival, self.now_ms))
        self.assertEqual([], self.judge())

    def test_survival_that_is_told_again_is_news_to_all(self):
        first = routing.PartSurvived(
            serves='s',
            part='sound',
            software_version='v1',
            keep_deadline_ms=SURVIVAL_MS,
        )
        # The first word took long, the second one did not.
        late = attrs.evolve(first, keep_deadline_ms=SURVIVAL_MS + 5000)
        self.evidence.add_survival(late, 0)
        again = attrs.evolve(
            first,
            keep_deadline_ms=SURVIVAL_MS + _crash_evidence.SURVIVAL_TELL_MS,
        )
        self.assertTrue(self.evidence.add_survival(again, 1))


class TestShutOuts(EvidenceTestCase):
    def shut_out(self):
        self.survive('sound')
        for _ in range(4):
            self.end(make_run(f'a{self.now_ms}', 'bad', f'o{self.now_ms}'))
        return self.judge()

    def test_operator_lifts_it_and_its_ends_are_not_held_against_it(self):
        self.shut_out()
        (lifted,) = self.evidence.lift('s', ('bad',), self.now_ms)
        self.assertTrue(lifted.is_lifted)
        self.assertFalse(self.is_shut_out('bad'))
        self.assertEqual([], self.judge())
        self.end(make_run('b1', 'bad', 'x1'))
        self.assertEqual([], self.judge())
        # It is blamed again if it goes on.
        self.assertEqual([('bad',)], self.shut_out())
        self.assertTrue(self.is_shut_out('bad'))

    def test_it_ends_after_its_time(self):
        self.shut_out()
        self.now_ms += routing.SHUT_OUT_MS + 1
        self.assertFalse(self.is_shut_out('bad'))
        self.evidence.expire(self.now_ms + routing.EVIDENCE_MS)
        self.assertEqual([], self.evidence.list_ends(self.now_ms))

    def test_lift_and_shut_out_end_the_same_in_any_order(self):
        self.shut_out()
        (item,) = self.evidence.list_shut_outs(self.now_ms)
        (lifted,) = self.evidence.lift('s', ('bad',), self.now_ms)
        again = attrs.evolve(item, number=3)
        for order in ((item, lifted), (lifted, item), (lifted, again, item)):
            other = routing.CrashEvidence()
            for change in order:
                other.add_shut_out(change, self.now_ms)
            is_last = again in order
            found = other.find_shut_out('s', ('bad',), self.now_ms)
            self.assertEqual(is_last, found is not None)

    def test_memory_is_bounded_whatever_callers_send(self):
        for number in range(20_000):
            parts = tuple(f'{number}-{part}' for part in range(32))
            self.evidence.note_request('s', parts)
            self.evidence.note_survived('s', parts, 'v1', number)
        for number in range(3000):
            run = make_run(f'a{number}', f'p{number}', f'q{number}')
            self.end(*[run] * 200)
            self.evidence.note_survived('s', run.parts, 'v1', self.now_ms)
        evidence = self.evidence
        limits = _crash_evidence
        self.assertLessEqual(len(evidence._survived_ms), limits.SURVIVED_MAX)
        self.assertLessEqual(len(evidence._reports), limits.REPORTS_MAX)
        self.assertLessEqual(
            evidence._reported_part_count, limits.REPORTED_PARTS_MAX
        )
        for report in evidence.list_ends(self.now_ms):
            self.assertLessEqual(len(report.runs), limits.RUNS_PER_REPORT_MAX)
        self.assertLessEqual(
            len(evidence._acquitted_deadlines_ms), limits.ACQUITTED_MAX
        )
        self.assertLessEqual(len(evidence._questioned), 2 * limits.REPORTS_MAX)
        for number in range(1000):
            item = routing.ShutOut(
                serves='s',
                parts=(f'{number}',),
                keep_deadline_ms=self.now_ms + 1000 + number,
            )
            evidence.add_shut_out(item, self.now_ms)
        self.assertLessEqual(
            len(evidence.list_all_shut_outs(self.now_ms)),
            limits.SHUT_OUTS_MAX,
        )

    def test_parts_that_callers_send_are_bounded(self):
        read = platform.make_dialect().read_prompt_parts
        many = ','.join(f'{number:x}:1' for number in range(1000))
        self.assertLessEqual(len(read(many)), 32)
        self.assertEqual((), read(f'{"f" * 1000}:1'))
        self.assertEqual(('f0',), read('f0:1,f1,:2,\xe9:1,f 2:3'))


class TestDays(unittest.TestCase):
    """Days with one deadly part among sound requests, on nine engines."""

    def play(self, seed, *, is_deadly=True):
        """Play a day; return ends of engines until the blame, and blamed."""
        rng = random.Random(seed)
        evidence = routing.CrashEvidence()
        events = []
        for number in range(600):
            at_ms = rng.randrange(60_000)
            kind = rng.choice('abc')
            parts = (f'f{kind}', f't{rng.randrange(12)}', f'o{number}')
            events.append((at_ms, f'r{number}', parts, False))
        for number in range(40 if is_deadly else 0):
            at_ms = 10_000 + rng.randrange(50_000)
            parts = [f'f{rng.choice("abc")}', f't{rng.randrange(3)}']
            parts.insert(rng.randrange(3), 'bad')
            events.append((at_ms, f'b{number}', (*parts, f'x{number}'), True))
        running = collections.defaultdict(dict)
        down_until_ms = collections.Counter()
        ends_ms, blamed, ended = [], [], 0
        for at_ms, attempt_id, parts, deadly in sorted(events):
            for runs in running.values():
                for other, (since_ms, other_parts) in list(runs.items()):
                    if at_ms - since_ms > 1500:
                        del runs[other]
                        evidence.note_survived('s', other_parts, 'v1', at_ms)
            blamed += evidence.judge(at_ms)
            evidence.note_request('s', parts)
            if evidence.find_shut_out('s', parts, at_ms):
                continue
            up = [n for n in range(9) if down_until_ms[n] <= at_ms]
            if not up:
                continue
            engine = rng.choice(up)
            running[engine][attempt_id] = (at_ms, parts)
            crashes = deadly or (not is_deadly and rng.random() < 0.05)
            if not crashes:
                continue
            ended += 1
            ends_ms.append(at_ms)
            end_ms = at_ms + 80
            runs = [
                make_run(name, *known, age_ms=end_ms - since_ms)
                for name, (since_ms, known) in running.pop(engine).items()
            ]
            down_until_ms[engine] = at_ms + 3000
            evidence.add_end(
                make_end(f'd{engine}', end_ms, *runs, incarnation=ended),
                end_ms,
            )
        return ended, [item.parts for item in blamed]

    def test_deadly_part_is_blamed_within_five_ends_and_nothing_else(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                ended, blamed = self.play(seed)
                self.assertTrue(blamed)
                for parts in blamed:
                    self.assertIn('bad', parts)
                self.assertLessEqual(ended, 8)

    def test_ends_at_random_blame_nothing(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                _, blamed = self.play(seed, is_deadly=False)
                self.assertEqual([], blamed)


class TestPlainDays(unittest.TestCase):
    """Days of a plain service with three servers, of which some end."""

    def make_requests(self, rng):
        """Return times and ids of popular, rare and unique requests."""
        requests = [
            (rng.randrange(60_000), f'={rng.randrange(20):x}')
            for _ in range(900)
        ]
        requests += [
            (rng.randrange(60_000), f'={100 + rng.randrange(100):x}')
            for _ in range(200)
        ]
        return requests + [
            (rng.randrange(60_000), f'={1000 + number:x}')
            for number in range(900)
        ]

    def play(self, seed, *, is_deadly):
        """Play a day; return the number of ends under the bad one."""
        rng = random.Random(seed)
        evidence = routing.CrashEvidence()
        requests = self.make_requests(rng)
        if is_deadly:
            requests += [
                (10_000 + rng.randrange(50_000), '=bad') for _ in range(50)
            ]
        else:
            requests += [(rng.randrange(60_000), 'end') for _ in range(25)]
        running = {name: [] for name in 'abc'}
        down_until_ms = collections.Counter()
        blamed, ends = [], 0
        for number, (at_ms, request) in enumerate(sorted(requests)):
            for name in running:
                done = [r for r in running[name] if r[0] <= at_ms - 60]
                running[name] = running[name][len(done) :]
                for _, _, part in done:
                    evidence.note_survived('s', (part,), 'v1', at_ms)
            blamed += evidence.judge(at_ms)
            if evidence.find_shut_out('s', (request,), at_ms):
                continue
            up = [name for name in 'abc' if down_until_ms[name] <= at_ms]
            if not up:
                continue
            name = rng.choice(up)
            if request != 'end':
                running[name].append((at_ms, f'a{number}', request))
            if request not in ('=bad', 'end'):
                continue
            ends += 1
            down_until_ms[name] = at_ms + 3000
            runs = [
                make_run(attempt, part, age_ms=at_ms - since_ms)
                for since_ms, attempt, part in running[name]
            ]
            running[name] = []
            if runs:
                end = make_end(name, at_ms, *runs, incarnation=number)
                evidence.add_end(end, at_ms)
        return ends, [item.parts for item in blamed]

    def test_deadly_request_is_blamed_and_no_other(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                ends, blamed = self.play(seed, is_deadly=True)
                self.assertEqual([('=bad',)], blamed)
                self.assertLessEqual(ends, 7)

    def test_ends_at_random_blame_no_request(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                _, blamed = self.play(seed, is_deadly=False)
                self.assertEqual([], blamed)
