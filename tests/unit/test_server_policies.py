import random
import unittest

from bluebellthread import core
from tests.unit import _pool
from tests.unit import _requests


def choose(registry, name, candidates, **fields):
    request = _requests.make_request('r', **fields)
    return registry.get(name)().choose(request, candidates, random.Random(1))


class TestPrefillPolicies(unittest.TestCase):
    def candidates(self, *reserved_tokens, cached=None):
        return tuple(
            core.PrefillCandidate(
                name=f'p{number}',
                reserved_tokens=tokens,
                reported_queued=9 - number,
                cached_tokens=(cached or {}).get(f'p{number}', 0),
            )
            for number, tokens in enumerate(reserved_tokens)
        )

    def test_every_policy_returns_a_candidate(self):
        candidates = self.candidates(5, 0, 7)
        names = [item.name for item in candidates]
        for policy in core.prefill_policies.names():
            for hashes in ((), (4, 5)):
                chosen = choose(
                    core.prefill_policies,
                    policy,
                    candidates,
                    prefix_hashes=hashes,
                )
                self.assertIn(chosen, names, policy)

    def test_round_robin_wraps_around(self):
        policy = core.prefill_policies.get('round-robin')()
        chosen = [
            policy.choose(None, self.candidates(0, 0, 0), None)
            for _ in range(4)
        ]
        self.assertEqual(['p0', 'p1', 'p2', 'p0'], chosen)

    def test_prompts_with_one_prefix_go_to_one_server(self):
        policy = core.BoundedLoadPrefix()
        shared = {
            policy.choose(
                _requests.make_request('r', prefix_hashes=(8, number)),
                self.candidates(0, 0, 0, 0),
                None,
            )
            for number in range(20)
        }
        self.assertEqual(1, len(shared))

    def test_longest_cached_prefix_wins_within_the_bound(self):
        cached = {'p1': 512, 'p2': 1024}
        loads = self.candidates(900, 900, 900, cached=cached)
        chosen = choose(
            core.prefill_policies, 'prefix', loads, prefix_hashes=(1, 2)
        )
        self.assertEqual('p2', chosen)

    def test_prefixes_of_an_overloaded_server_go_to_others(self):
        cached = {'p2': 1024}
        loads = self.candidates(0, 0, 50000, cached=cached)
        chosen = choose(
            core.prefill_policies, 'prefix', loads, prefix_hashes=(1, 2)
        )
        self.assertIn(chosen, ('p0', 'p1'))

    def test_index_evicts_the_oldest_hash_beyond_its_limit(self):
        index = core.PrefixIndex(maximum_count=2)
        index.note_granted('p1', (1, 2, 3))
        self.assertEqual(0, index.cached_tokens('p1', (1,)))
        self.assertEqual(1024, index.cached_tokens('p1', (2, 3)))


class TestDecodePolicies(unittest.TestCase):
    def test_each_policy_chooses_by_its_criterion(self):
        candidates = tuple(
            core.DecodeCandidate(
                name=name,
                free_pieces=free,
                running_count=running,
                reported_free_pieces=reported,
            )
            for name, free, running, reported in (
                ('d1', 9, 3, 2),
                ('d2', 4, 5, 3),
                ('d3', 7, 1, 8),
            )
        )
        for policy, expected in (
            ('best-fit', 'd2'),
            ('fewest-running', 'd3'),
            ('most-free', 'd1'),
            ('most-reported', 'd3'),
            ('round-robin', 'd1'),
        ):
            chosen = choose(core.decode_policies, policy, candidates)
            self.assertEqual(expected, chosen, policy)


class TestSpillPolicies(unittest.TestCase):
    def summary(self, data_centre, region, wait_ms, **fields):
        values = {'free_pieces': 10, 'received_ms': 9000, **fields}
        return core.PoolSummary(
            data_centre=data_centre,
            region=region,
            wait_ms=wait_ms,
            **values,
        )

    def choose(self, name, peers, **link):
        policy = core.spill_policies.get(name)(**link)
        return self.choose_with_policy(policy, peers)

    def choose_with_policy(self, policy, peers):
        request = _requests.make_request('r')
        own = self.summary('cluj-a', 'transilvania', 800)
        return policy.choose(request, own, tuple(peers), now_ms=10000)

    def test_only_the_regions_policy_spills_to_another_region(self):
        peers = [self.summary('bucuresti-a', 'muntenia', 0)]
        link = {'link_bytes_per_s': 9000, 'link_burst_bytes': 9000}
        self.assertEqual('', self.choose('none', peers, **link))
        self.assertEqual('', self.choose('region', peers, **link))
        self.assertEqual('bucuresti-a', self.choose('regions', peers, **link))

    def test_spill_inside_the_region_uses_no_link_budget(self):
        peers = [
            self.summary('brasov-b', 'transilvania', 300),
            self.summary('bucuresti-a', 'muntenia', 0),
        ]
        self.assertEqual('brasov-b', self.choose('regions', peers))

    def test_link_budget_limits_spills_to_other_regions(self):
        policy = core.spill_policies.get('regions')(
            link_bytes_per_s=1, link_burst_bytes=13000
        )
        peers = [self.summary('bucuresti-a', 'muntenia', 0)]
        chosen = [self.choose_with_policy(policy, peers) for _ in range(3)]
        self.assertEqual(['bucuresti-a', 'bucuresti-a', ''], chosen)

    def test_stale_full_or_slow_peers_are_not_chosen(self):
        for peer in (
            self.summary('brasov-b', 'transilvania', 0, received_ms=0),
            self.summary('brasov-b', 'transilvania', 0, free_pieces=0),
            self.summary('brasov-b', 'transilvania', 750),
        ):
            self.assertEqual('', self.choose('regions', [peer]))


class TestFailedServers(unittest.TestCase):
    def grant_decode(self, scheduler, request_id, now_ms, **fields):
        request = _pool.make_request(request_id, **fields)
        (permit,) = _pool.find_granted(scheduler.handle(request, now_ms))
        return permit.decode_server

    def start(self):
        return _pool.start_scheduler(servers=('p1', 'p2', 'd1', 'd2'))

    def test_unreachable_server_gets_nothing_until_it_reports(self):
        scheduler = self.start()
        scheduler.handle(core.ServerFailed(server='d1'), 10)
        for number in range(2):
            decode_server = self.grant_decode(scheduler, f'r{number}', 11)
            self.assertEqual('d2', decode_server)
        scheduler.handle(_pool.make_report('d1', 2, 20), 20)
        self.assertEqual('d1', self.grant_decode(scheduler, 'r9', 21))

    def test_server_avoided_by_one_request_is_avoided_by_the_next(self):
        scheduler = self.start()
        self.grant_decode(scheduler, 'r1', 10, avoid_servers=('d1',))
        self.assertEqual('d2', self.grant_decode(scheduler, 'r2', 11))

    def test_failed_server_is_used_if_it_is_the_only_one(self):
        scheduler = _pool.start_scheduler()
        scheduler.handle(core.ServerFailed(server='d1'), 10)
        self.assertEqual('d1', self.grant_decode(scheduler, 'r1', 11))

    def test_decode_slots_limit_small_requests_too(self):
        scheduler = _pool.make_scheduler(decode_slots=1)
        servers = ('p1', 'p2', 'd1')
        scheduler.handle(_pool.make_servers(*servers), 0)
        # No gateway holds a permit of an earlier owner.
        scheduler.handle(_pool.make_gateways(), 0)
        for server in servers:
            report = _pool.make_report(server, 1, 0, total=40)
            scheduler.handle(report, 0)
        self.grant_decode(scheduler, 'r1', 1)
        second = scheduler.handle(_pool.make_request('r2'), 1)
        self.assertEqual([], _pool.find_granted(second))
