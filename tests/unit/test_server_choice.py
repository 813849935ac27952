import random
import unittest

from bluebellthread import platform
from bluebellthread.core import routing
from bluebellthread.core.routing import _server_choice

REGIONS = {'a': 'north', 'b': 'north', 'z': 'south'}


def make_server(name, data_centre='a'):
    return routing.ListedServer(
        name=name,
        service='s',
        host='h',
        port=1,
        data_centre=data_centre,
        slot_count=6,
    )


class TestChoice(unittest.TestCase):
    def setUp(self):
        self.choice = routing.ServerChoice(
            data_centre='a',
            region='north',
            regions=REGIONS,
            rng=random.Random(1),
        )

    def choose(self, servers, now_ms=0, **options):
        return self.choice.choose(servers, now_ms, **options).name

    def test_near_server_is_preferred_until_it_is_busy(self):
        near, far = make_server('near'), make_server('far', 'z')
        self.assertEqual('near', self.choose([far, near]))
        for _ in range(12):
            self.choice.begin(near)
        self.assertEqual('far', self.choose([far, near]))

    def test_back_off_doubles_with_each_consecutive_failure(self):
        servers = [make_server('x'), make_server('y', 'z')]
        self.choice.note_failure(servers[0], 0)
        first = _server_choice.BACK_OFF_FIRST_MS
        self.assertEqual('y', self.choose(servers, first - 1))
        self.assertEqual('x', self.choose(servers, first))
        self.choice.note_failure(servers[0], first)
        self.assertEqual('y', self.choose(servers, first + 2 * first - 1))

    def test_server_in_back_off_is_used_if_no_other_is_left(self):
        server = make_server('x')
        self.choice.note_failure(server, 0)
        self.assertEqual('x', self.choose([server], 1))

    def test_avoided_servers_are_not_chosen(self):
        server = make_server('x')
        self.assertIsNone(self.choice.choose([server], 0, avoid=['x']))

    def test_load_report_counts_until_it_is_too_old(self):
        servers = [make_server('x'), make_server('y', 'b')]
        self.choice.note_load(servers[0], routing.LoadReport(6, 3, 6), 0)
        self.assertEqual('y', self.choose(servers, 100))
        later = _server_choice.LOAD_REPORT_MAX_AGE_MS
        self.assertEqual('x', self.choose(servers, later))

    def test_accounts_of_removed_servers_are_discarded(self):
        server = make_server('s1')
        self.choice.note_failure(server, 0)
        self.choice.keep_only({'s1'})
        other = make_server('s2', 'z')
        self.assertEqual('s2', self.choose([server, other]))
        self.choice.keep_only({'s2'})
        self.assertEqual('s1', self.choose([server, other]))


class TestLoadReports(unittest.TestCase):
    def test_report_has_three_or_four_figures(self):
        """Older servers must stay readable beside those with a speed."""
        read = platform.make_dialect().read_load
        self.assertIsNone(read('3,0,6').work_percent)
        self.assertEqual(250, read('3,0,6,250').work_percent)
        for text in ('', '3,0', '3,0,6,', '3,0,6,0', '3,0,6,-1', '3,0,6,1,1'):
            self.assertIsNone(read(text), text)
