import random
import unittest

import attrs

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.core.routing import _departures
from bluebellthread.core.routing import _directory
from tests.unit.test_server_directory import make_server
from tests.unit.test_server_directory import names

LONG_MS = _directory.DEPARTURE_MEMORY_MS


def at(revision, era=1):
    return routing.Position(era=era, revision=revision)


def make_departure(name='a', *, revision=50, era=1, **changes):
    return routing.Departure(
        name=name,
        era=era,
        revision=revision,
        **{
            'incarnation': 0,
            'has_drained': False,
            'keep_deadline_ms': LONG_MS,
            **changes,
        },
    )


def make_outage(length_ms, end_ms):
    return core.Outage(start_clock_ms=end_ms - length_ms, end_clock_ms=end_ms)


class TestHeardDepartures(unittest.TestCase):
    def setUp(self):
        self.directory = routing.ServerDirectory()

    def test_server_that_left_by_the_word_of_others_is_not_used(self):
        self.directory.put(make_server('a'), position=at(10))
        self.directory.put(make_server('b'), position=at(11))
        self.assertTrue(self.directory.hear_departure(make_departure(), 0))
        self.assertEqual(['b'], names(self.directory))
        self.assertFalse(self.directory.hear_departure(make_departure(), 0))

    def test_word_is_kept_while_the_platform_says_nothing(self):
        self.directory.put(make_server('a'), position=at(10))
        self.directory.hear_departure(make_departure(), 0)
        self.directory.hear_departure(make_departure('b'), 10 * LONG_MS)
        self.assertEqual([], names(self.directory))

    def test_word_that_is_older_than_the_entry_changes_nothing(self):
        self.directory.put(make_server('a'), position=at(60))
        self.assertFalse(self.directory.hear_departure(make_departure(), 0))
        self.assertEqual(['a'], names(self.directory))

    def test_later_entry_of_the_platform_goes_before_the_word(self):
        self.directory.put(make_server('a'), position=at(10))
        self.directory.hear_departure(make_departure(), 0)
        self.directory.put(make_server('a'), position=at(60))
        self.assertEqual(['a'], names(self.directory))

    def test_process_that_drained_never_becomes_ready_again(self):
        self.directory.put(make_server('a', incarnation=5), position=at(10))
        departure = make_departure(incarnation=5, has_drained=True)
        self.directory.hear_departure(departure, 0)
        # Delayed on the way: the entry was read before the other VM told.
        self.directory.put(make_server('a', incarnation=5), position=at(60))
        self.assertEqual([], names(self.directory))
        self.directory.put(make_server('a', incarnation=6), position=at(70))
        self.assertEqual(['a'], names(self.directory))

    def test_word_of_an_earlier_process_changes_nothing(self):
        self.directory.put(make_server('a', incarnation=6), position=at(10))
        departure = make_departure(incarnation=5, has_drained=True)
        self.assertFalse(self.directory.hear_departure(departure, 0))
        self.assertEqual(['a'], names(self.directory))

    def test_word_that_comes_before_the_entry_holds(self):
        self.directory.hear_departure(make_departure(), 0)
        self.directory.put(make_server('a'), position=at(10))
        self.assertEqual([], names(self.directory))

    def test_word_of_the_era_before_holds_after_a_restore(self):
        self.directory.put(make_server('a'), position=at(10))
        self.directory.hear_departure(make_departure(), 0)
        self.directory.note_restore(100)
        self.directory.put(make_server('a'), position=at(10, era=2))
        self.assertEqual([], names(self.directory))
        self.directory.release(100 + _directory.RESTORE_HOLD_MS)
        self.assertEqual(['a'], names(self.directory))

    def test_removal_and_draining_are_told_once(self):
        for name in ('a', 'b', 'c'):
            self.directory.put(make_server(name), position=at(10))
        self.directory.put(make_server('a', is_draining=True), position=at(20))
        self.directory.put(make_server('a', is_draining=True), position=at(21))
        self.directory.remove('b', 0, position=at(30))
        self.directory.remove('c', 0, has_left=False, position=at(31))
        news = {item.name: item for item in self.directory.take_news(0)}
        self.assertEqual({'a', 'b'}, set(news))
        self.assertTrue(news['a'].has_drained)
        self.assertEqual((1, 30), (news['b'].era, news['b'].revision))
        self.assertEqual([], self.directory.take_news(0))
        known = self.directory.list_departures(0)
        self.assertEqual({'a', 'b'}, {item.name for item in known})

    def test_lapsed_entry_is_not_told_before_it_counts_as_gone(self):
        self.directory.put(make_server('a'), position=at(10))
        self.directory.note_outage(
            make_outage(_directory.LAPSE_OUTAGE_MS, 1000)
        )
        self.directory.remove('a', 1000, position=at(20))
        self.assertEqual([], self.directory.take_news(1000))
        self.directory.expire(1000 + _directory.LAPSE_RETURN_MS)
        self.assertEqual(1, len(self.directory.take_news(5000)))

    def test_any_order_of_words_and_entries_ends_the_same(self):
        """Entries and words of one history, in any order of arrival."""
        drained = make_server('a', incarnation=1, is_draining=True)
        entries = [
            (make_server('a', incarnation=1), at(10)),
            (drained, at(20)),
            (make_server('a', incarnation=2), at(40)),
        ]
        words = [
            make_departure(incarnation=1, has_drained=True, revision=20),
            make_departure(incarnation=1, has_drained=True, revision=30),
        ]
        rng = random.Random(7)
        for _ in range(50):
            directory = routing.ServerDirectory()
            steps = [('put', item) for item in entries]
            for word in words:
                steps.insert(rng.randint(0, len(steps)), ('hear', word))
            for kind, item in steps:
                if kind == 'put':
                    directory.put(item[0], position=item[1])
                else:
                    directory.hear_departure(item, 0)
            self.assertEqual(['a'], names(directory))

    def test_forgotten_words_do_not_pile_up(self):
        heard = _departures.HeardDepartures()
        for number in range(10):
            heard.add(make_departure(f's{number}'))
        heard.expire(LONG_MS, {'s3'})
        self.assertEqual(1, len(heard.list_all()))


class TestGrantReview(unittest.TestCase):
    def setUp(self):
        self.directory = routing.ServerDirectory()
        self.directory.put(make_server('p', role='prefill'))
        self.directory.put(make_server('d', role='decode'))
        self.directory.put(
            make_server('left', role='decode', is_draining=True)
        )
        self.review = routing.GrantReview('me')

    def find(self, name, role='decode'):
        return routing.find_dispute(self.directory, name, role, 0)

    def test_known_server_of_the_role_is_not_disputed(self):
        self.assertIsNone(self.find('d'))
        self.assertIsNone(self.find('p', 'prefill'))

    def test_server_that_left_or_is_unknown_is_disputed(self):
        self.assertEqual('left', self.find('left').kind)
        self.assertEqual('not-listed', self.find('x').kind)
        self.assertEqual('other-role', self.find('p').kind)

    def test_owner_is_told_once_and_then_passed_over(self):
        dispute = self.find('left')
        self.assertTrue(self.review.may_ask_again('owner', dispute))
        self.assertEqual(set(), self.review.passed_over)
        self.assertEqual('left', self.review.departures[0].name)
        self.assertTrue(self.review.may_ask_again('owner', dispute))
        self.assertEqual({'owner'}, self.review.passed_over)

    def test_owner_that_knows_new_servers_is_asked_again(self):
        asked = [
            self.review.may_ask_again('owner', self.find(f'new{number}'))
            for number in range(5)
        ]
        self.assertEqual([True] * 5, asked)
        self.assertEqual(set(), self.review.passed_over)

    def test_disputes_end_at_this_vm(self):
        dispute = self.find('left')
        answers = [self.review.may_ask_again('me', dispute) for _ in range(2)]
        self.assertEqual([True, False], answers)

    def test_refusal_for_want_of_engines_that_exist_is_not_final(self):
        engines = [
            attrs.evolve(
                make_server('d', role='decode'), software_version='v1'
            )
        ]
        ask = self.review.may_ask_others
        self.assertTrue(ask('one', 'no-server', engines, ''))
        self.assertFalse(ask('one', 'no-server', engines, ''))
        self.assertFalse(ask('two', 'no-version', engines, 'v2'))
        self.assertTrue(ask('three', 'no-version', engines, 'v1'))
        self.assertFalse(ask('four', 'too-late', engines, ''))
        self.assertFalse(ask('me', 'no-server', engines, ''))
        self.assertFalse(ask('five', 'no-server', [], ''))


class TestPartners(unittest.TestCase):
    def test_news_reaches_all_vms_that_live(self):
        rng = random.Random(5)
        for count in (1, 2, 3, 6, 40, 390):
            vms = [f'vm{number}' for number in range(count)]
            lost = set(rng.sample(vms, count // 10))
            told = {next(vm for vm in vms if vm not in lost)}
            todo = list(told)
            while todo:
                vm = todo.pop()
                partners = routing.choose_partners(vm, vms) - lost - told
                told |= partners
                todo += partners
            self.assertEqual(set(vms) - lost, told)

    def test_change_of_one_vm_changes_few_partners(self):
        vms = [f'vm{number}' for number in range(100)]
        changed = sum(
            len(
                routing.choose_partners(vm, vms[:-1])
                - routing.choose_partners(vm, vms)
            )
            for vm in vms[:-1]
        )
        self.assertLessEqual(changed, 3 * _expected_partners())


def _expected_partners():
    """Partners that a VM has on average, as many as VMs that have it."""
    return len(routing.choose_partners('vm0', [f'vm{n}' for n in range(9)]))
