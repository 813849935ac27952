import unittest

import attrs

from bluebellthread import core
from bluebellthread.core import routing
from bluebellthread.core.routing import _directory


def make_server(name, **changes):
    return routing.ListedServer(
        name=name,
        service='s',
        host='10.0.0.1',
        port=80,
        data_centre='cluj-a',
        **changes,
    )


def names(directory):
    return [server.name for server in directory.usable('s')]


def make_outage(length_ms, end_ms):
    return core.Outage(start_clock_ms=end_ms - length_ms, end_clock_ms=end_ms)


class TestDirectory(unittest.TestCase):
    def setUp(self):
        self.directory = routing.ServerDirectory()

    def test_removal_without_an_outage_is_final(self):
        self.directory.put(make_server('a'))
        self.directory.remove('a', 1000)
        self.assertEqual([], names(self.directory))

    def test_draining_server_gets_no_requests(self):
        self.directory.put(make_server('a'))
        self.directory.put(make_server('a', is_draining=True))
        self.assertEqual([], names(self.directory))

    def test_entry_missing_after_an_outage_is_kept_for_a_while(self):
        self.directory.put(make_server('a'))
        self.directory.note_outage(
            make_outage(_directory.LAPSE_OUTAGE_MS, 10000)
        )
        self.directory.replace([], 10000)
        self.assertEqual(['a'], names(self.directory))
        end_ms = 10000 + _directory.LAPSE_RETURN_MS
        self.assertEqual([], self.directory.expire(end_ms - 1))
        self.assertEqual(['a'], self.directory.expire(end_ms))
        self.assertEqual([], names(self.directory))

    def test_entry_listed_again_after_an_outage_is_kept(self):
        self.directory.put(make_server('a'))
        self.directory.note_outage(
            make_outage(_directory.LAPSE_OUTAGE_MS, 10000)
        )
        self.directory.remove('a', 10100)
        self.directory.put(make_server('a'))
        self.assertEqual([], self.directory.expire(99999))
        self.assertEqual(['a'], names(self.directory))

    # Guards against a departure that is taken for a lapse because this VM
    # reads the list long after the platform's return.
    def test_removal_read_late_after_an_outage_is_final(self):
        self.directory.put(make_server('a'))
        self.directory.note_outage(
            make_outage(_directory.LAPSE_OUTAGE_MS, 10000)
        )
        self.directory.remove('a', 10000 + _directory.LAPSE_RETURN_MS)
        self.assertEqual([], names(self.directory))

    def test_entry_is_kept_from_the_return_that_others_saw_on(self):
        self.directory.put(make_server('a'))
        self.directory.note_outage(
            make_outage(_directory.LAPSE_OUTAGE_MS + 900, 10900)
        )
        self.directory.note_outage(
            make_outage(_directory.LAPSE_OUTAGE_MS, 10000)
        )
        self.directory.remove('a', 11000)
        self.assertEqual(
            ['a'],
            self.directory.expire(10000 + _directory.LAPSE_RETURN_MS),
        )

    def test_removal_after_a_short_outage_is_final(self):
        self.directory.put(make_server('a'))
        self.directory.note_outage(
            make_outage(_directory.LAPSE_OUTAGE_MS - 1, 10000)
        )
        self.directory.remove('a', 10000)
        self.assertEqual([], names(self.directory))

    def test_delayed_ready_entry_does_not_undo_draining(self):
        self.directory.put(make_server('a', incarnation=5))
        self.directory.put(make_server('a', incarnation=5, is_draining=True))
        self.directory.put(make_server('a', incarnation=5))
        self.assertEqual([], names(self.directory))

    def test_new_process_with_the_name_of_a_draining_one_is_used(self):
        self.directory.put(make_server('a', incarnation=5, is_draining=True))
        self.directory.put(make_server('a', incarnation=6))
        self.assertEqual(['a'], names(self.directory))

    def test_entry_of_an_older_process_does_not_replace_a_newer_one(self):
        self.directory.put(make_server('a', incarnation=6, slot_count=2))
        self.directory.put(make_server('a', incarnation=5, slot_count=1))
        self.assertEqual(2, self.directory.find('a').slot_count)


class TestRestore(unittest.TestCase):
    """The platform comes back from a copy that is some seconds old."""

    HOLD_MS = _directory.RESTORE_HOLD_MS

    def setUp(self):
        self.directory = routing.ServerDirectory()

    def restore(self, servers, now_ms):
        self.directory.note_restore(now_ms)
        self.directory.replace(servers, now_ms)

    def test_server_that_left_is_not_used_again_from_the_copy(self):
        for incarnation in (0, 5):
            with self.subTest(incarnation=incarnation):
                self.setUp()
                server = make_server('a', incarnation=incarnation)
                self.directory.put(server)
                self.directory.remove('a', 1000)
                self.restore([server], 4000)
                self.assertEqual([], names(self.directory))
                self.assertTrue(self.directory.is_held('a'))
                self.directory.put(server)
                self.assertEqual([], names(self.directory))

    def test_draining_server_is_not_used_again_from_the_copy(self):
        for incarnation in (0, 5):
            with self.subTest(incarnation=incarnation):
                self.setUp()
                server = make_server('a', incarnation=incarnation)
                self.directory.put(server)
                self.directory.put(attrs.evolve(server, is_draining=True))
                self.restore([server], 4000)
                self.assertEqual([], names(self.directory))

    def test_server_that_left_and_drains_is_listed_as_draining(self):
        server = make_server('a', incarnation=5)
        self.directory.put(server)
        self.directory.remove('a', 1000)
        self.restore([server], 4000)
        self.directory.put(attrs.evolve(server, is_draining=True))
        self.assertFalse(self.directory.is_held('a'))
        self.assertTrue(self.directory.find('a').is_draining)
        self.directory.release(4000 + self.HOLD_MS)
        self.directory.put(server)
        self.assertEqual([], names(self.directory))

    def test_departure_binds_across_two_restores(self):
        server = make_server('a', incarnation=5)
        self.directory.put(server)
        self.directory.remove('a', 1000)
        self.restore([server], 4000)
        self.restore([server], 20000)
        self.assertEqual([], self.directory.release(4000 + self.HOLD_MS))
        self.assertEqual([], names(self.directory))
        end_ms = 20000 + self.HOLD_MS
        self.assertEqual(['a'], self.directory.release(end_ms))

    def test_unusable_entry_is_no_departure(self):
        server = make_server('a', incarnation=5)
        self.directory.put(server)
        self.directory.remove('a', 1000, has_left=False)
        self.assertEqual([], names(self.directory))
        self.restore([server], 4000)
        self.assertEqual(['a'], names(self.directory))

    def test_server_that_drained_and_left_is_never_used_again(self):
        server = make_server('a', incarnation=5)
        self.directory.put(attrs.evolve(server, is_draining=True))
        self.directory.remove('a', 1000)
        self.restore([server], 4000)
        self.assertEqual([], self.directory.release(4000 + self.HOLD_MS))
        self.directory.put(server)
        self.assertEqual([], names(self.directory))
        self.directory.remove('a', 90000)
        self.directory.put(attrs.evolve(server, incarnation=6))
        self.assertEqual(['a'], names(self.directory))

    def test_server_that_drained_and_is_lost_from_the_copy_stays_unused(self):
        server = make_server('a', incarnation=5)
        self.directory.put(attrs.evolve(server, is_draining=True))
        self.restore([], 4000)
        end_ms = 4000 + _directory.LAPSE_RETURN_MS
        self.assertEqual(['a'], self.directory.expire(end_ms))
        self.directory.put(server)
        self.assertEqual([], names(self.directory))

    def test_new_process_with_the_name_of_one_that_left_is_used(self):
        server = make_server('a', incarnation=5)
        self.directory.put(server)
        self.directory.remove('a', 1000)
        self.restore([server], 4000)
        self.directory.put(attrs.evolve(server, incarnation=6))
        self.assertEqual(['a'], names(self.directory))
        self.assertFalse(self.directory.is_held('a'))

    def test_older_process_than_the_one_that_left_is_not_used(self):
        self.directory.put(make_server('a', incarnation=6))
        self.directory.remove('a', 1000)
        self.restore([make_server('a', incarnation=5)], 4000)
        self.assertEqual([], names(self.directory))

    def test_server_that_is_still_listed_after_the_hold_is_used(self):
        # Its entry has been renewed since, so the process runs.
        server = make_server('a', incarnation=5)
        self.directory.put(server)
        self.directory.remove('a', 1000)
        self.restore([server], 4000)
        end_ms = 4000 + self.HOLD_MS
        self.assertEqual([], self.directory.release(end_ms - 1))
        self.assertTrue(self.directory.has_deadlines)
        self.assertEqual(['a'], self.directory.release(end_ms))
        self.assertEqual(['a'], names(self.directory))
        self.assertFalse(self.directory.has_deadlines)

    def test_older_process_than_one_that_drained_is_held_back(self):
        server = make_server('a', incarnation=5)
        self.directory.put(attrs.evolve(server, is_draining=True))
        self.directory.remove('a', 1000)
        self.restore([attrs.evolve(server, incarnation=4)], 4000)
        self.assertEqual([], names(self.directory))
        end_ms = 4000 + self.HOLD_MS
        self.assertEqual(['a'], self.directory.release(end_ms))

    def test_server_whose_copied_entry_is_removed_stays_unused(self):
        server = make_server('a', incarnation=5)
        self.directory.put(server)
        self.directory.remove('a', 1000)
        self.restore([server], 4000)
        self.directory.remove('a', 7000)
        self.assertFalse(self.directory.is_held('a'))
        self.assertEqual([], self.directory.release(4000 + self.HOLD_MS))
        self.assertEqual([], names(self.directory))

    def test_entry_lost_from_the_copy_is_kept_for_a_while(self):
        self.directory.put(make_server('a'))
        self.restore([], 4000)
        self.assertEqual(['a'], names(self.directory))
        end_ms = 4000 + _directory.LAPSE_RETURN_MS
        self.assertEqual([], self.directory.expire(end_ms - 1))
        self.assertEqual(['a'], self.directory.expire(end_ms))
        self.assertEqual([], names(self.directory))

    def test_entry_lost_from_the_copy_is_used_when_it_comes_back_late(self):
        server = make_server('a', incarnation=5)
        self.directory.put(server)
        self.restore([], 4000)
        self.directory.expire(4000 + _directory.LAPSE_RETURN_MS)
        self.directory.put(server)
        self.assertEqual(['a'], names(self.directory))

    def test_restore_extends_the_time_for_entries_that_lapsed(self):
        self.directory.put(make_server('a'))
        self.directory.note_outage(
            make_outage(_directory.LAPSE_OUTAGE_MS, 4000)
        )
        self.directory.replace([], 4000)
        self.restore([], 5000)
        end_ms = 5000 + _directory.LAPSE_RETURN_MS
        self.assertEqual([], self.directory.expire(end_ms - 1))
        self.assertEqual(['a'], self.directory.expire(end_ms))

    def test_server_that_came_back_before_the_restore_is_used(self):
        server = make_server('a', incarnation=5)
        self.directory.put(server)
        self.directory.remove('a', 1000)
        self.directory.put(server)
        self.restore([server], 4000)
        self.assertEqual(['a'], names(self.directory))

    def test_departures_are_forgotten_when_no_copy_can_be_older(self):
        memory_ms = _directory.DEPARTURE_MEMORY_MS
        server = make_server('a', incarnation=5)
        self.directory.put(server)
        self.directory.remove('a', 1000)
        self.restore([server], 1000 + memory_ms)
        self.assertEqual(['a'], names(self.directory))

    def test_number_of_remembered_departures_is_bounded_by_time(self):
        for number in range(1000):
            self.directory.put(make_server(f'a{number}'))
            self.directory.remove(f'a{number}', 1000 * number)
        count = self.directory.departure_count
        self.assertEqual(_directory.DEPARTURE_MEMORY_MS // 1000, count)
