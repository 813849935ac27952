import unittest

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
        self.directory.note_outage_end(_directory.LAPSE_OUTAGE_MS, 10000)
        self.directory.replace([], 10000)
        self.assertEqual(['a'], names(self.directory))
        end_ms = 10000 + _directory.LAPSE_RETURN_MS
        self.assertEqual([], self.directory.expire(end_ms - 1))
        self.assertEqual(['a'], self.directory.expire(end_ms))
        self.assertEqual([], names(self.directory))

    def test_entry_listed_again_after_an_outage_is_kept(self):
        self.directory.put(make_server('a'))
        self.directory.note_outage_end(_directory.LAPSE_OUTAGE_MS, 10000)
        self.directory.remove('a', 10100)
        self.directory.put(make_server('a'))
        self.assertEqual([], self.directory.expire(99999))
        self.assertEqual(['a'], names(self.directory))

    def test_removal_after_a_short_outage_is_final(self):
        self.directory.put(make_server('a'))
        self.directory.note_outage_end(_directory.LAPSE_OUTAGE_MS - 1, 10000)
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

    def setUp(self):
        self.directory = routing.ServerDirectory()

    def restore(self, servers, now_ms):
        self.directory.note_restore(now_ms)
        self.directory.replace(servers, now_ms)

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
        self.directory.note_outage_end(_directory.LAPSE_OUTAGE_MS, 4000)
        self.directory.replace([], 4000)
        self.restore([], 5000)
        end_ms = 5000 + _directory.LAPSE_RETURN_MS
        self.assertEqual([], self.directory.expire(end_ms - 1))
        self.assertEqual(['a'], self.directory.expire(end_ms))
