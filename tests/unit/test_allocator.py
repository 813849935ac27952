import random
import unittest

from bluebellthread.core import routing
from bluebellthread.core.routing import _allocator
from bluebellthread.core.routing import _ownership_epoch
from tests.unit import _allocation as make

PAIR = (make.make_engine('p1', 'prefill'), make.make_engine('d1', 'decode'))


class TestPlacements(unittest.TestCase):
    def setUp(self):
        self.allocator = routing.Allocator()
        self.allocator.set_servers(PAIR)

    def submit(self, ask_id, now_ms=0, **changes):
        self.allocator.add_request(
            make.make_request(ask_id, **changes), now_ms
        )

    def test_grant_names_both_engines(self):
        self.submit('a')
        (answer,) = self.allocator.decide(0)
        self.assertEqual(
            ('p1', 'd1'), (answer.prefill_server, answer.decode_server)
        )

    def test_repeated_request_after_a_lost_grant_gets_the_same_grant(self):
        self.submit('a')
        (answer,) = self.allocator.decide(0)
        known = self.allocator.add_request(make.make_request('a'), 5)
        self.assertEqual(answer, known)
        self.assertEqual(1, self.allocator.place_count)

    def test_memory_limits_the_placements(self):
        for name in 'abcd':
            self.submit(name, prompt_tokens=2900)
        self.assertEqual(
            ['a', 'b'], make.granted_ids(self.allocator.decide(0))
        )
        for name in 'ab':
            self.allocator.note_prefill_ended(name, 100)
        # Three prompts and their growth leave no memory for a fourth.
        self.assertEqual(['c'], make.granted_ids(self.allocator.decide(100)))
        self.allocator.note_prefill_ended('c', 200)
        self.assertEqual([], make.granted_ids(self.allocator.decide(200)))
        self.allocator.release('a', 300)
        self.assertEqual(['d'], make.granted_ids(self.allocator.decide(300)))

    def test_prefill_server_gets_at_most_two_prompts_at_a_time(self):
        for name in 'abc':
            self.submit(name, prompt_tokens=100)
        self.assertEqual(
            ['a', 'b'], make.granted_ids(self.allocator.decide(0))
        )
        self.allocator.note_prefill_ended('a', 50)
        self.assertEqual(['c'], make.granted_ids(self.allocator.decide(50)))

    def test_decode_server_runs_the_prefill_without_prefill_servers(self):
        self.allocator.set_servers([PAIR[1]])
        self.submit('a')
        (answer,) = self.allocator.decide(0)
        self.assertEqual('', answer.prefill_server)

    def test_failed_engine_gets_no_requests_during_back_off(self):
        engines = [*PAIR, make.make_engine('d2', 'decode')]
        self.allocator.set_servers(engines)
        self.submit('a')
        (answer,) = self.allocator.decide(0)
        self.allocator.release('a', 10, failed_server=answer.decode_server)
        for name in 'bc':
            self.submit(name, now_ms=10, prompt_tokens=100)
        chosen = {item.decode_server for item in self.allocator.decide(10)}
        self.assertEqual(1, len(chosen))
        self.assertNotIn(answer.decode_server, chosen)

    def test_placement_without_an_end_is_released_at_its_deadline(self):
        self.submit('a', deadline_ms=5000)
        self.allocator.decide(0)
        self.allocator.decide(4999)
        self.assertEqual(1, self.allocator.place_count)
        self.allocator.decide(5000)
        self.assertEqual(0, self.allocator.place_count)

    def test_placements_of_a_dead_vm_are_released(self):
        self.submit('a', vm='vm1')
        self.submit('b', vm='vm2')
        self.allocator.decide(0)
        self.allocator.release_dead_vms(lambda vm, incarnation: vm == 'vm1')
        self.assertEqual(1, self.allocator.place_count)

    def test_placements_known_before_their_engine_are_counted(self):
        # VMs may register their placements with a new owner before it has
        # read the list of engines.
        allocator = routing.Allocator()
        held = make.make_held(
            *(make.make_held_placement(name) for name in 'xyz')
        )
        allocator.register_held(held, 0)
        allocator.set_servers(PAIR)
        allocator.add_request(make.make_request('a'), 0)
        self.assertEqual([], make.granted_ids(allocator.decide(0)))

    def test_restarted_engine_is_empty(self):
        for name in 'abc':
            self.submit(name)
        self.allocator.decide(0)
        restarted = make.make_engine('d1', 'decode', incarnation=2)
        self.allocator.set_servers([PAIR[0], restarted])
        for name in 'ab':
            self.allocator.note_prefill_ended(name, 10)
        self.assertEqual(['c'], make.granted_ids(self.allocator.decide(10)))

    def test_engine_with_more_memory_is_tried_again(self):
        for name in 'abc':
            self.submit(name)
        self.allocator.decide(0)
        for name in 'ab':
            self.allocator.note_prefill_ended(name, 10)
        # Two requests fill the server, which is then recorded as full.
        self.assertEqual([], self.allocator.decide(10))
        larger = make.make_engine('d1', 'decode', memory_tokens=20000)
        self.allocator.set_servers([PAIR[0], larger])
        self.assertEqual(['c'], make.granted_ids(self.allocator.decide(20)))

    def test_held_placements_replace_the_known_ones(self):
        self.submit('a')
        self.allocator.decide(0)
        late_ms = _allocator.REGISTRATION_DELAY_MAX_MS
        held = make.make_held(make.make_held_placement('b'))
        self.allocator.register_held(held, late_ms)
        self.assertEqual(1, self.allocator.place_count)

    def test_placement_granted_while_a_list_is_in_flight_is_kept(self):
        self.submit('a')
        self.allocator.decide(0)
        self.allocator.register_held(make.make_held(), 10)
        self.assertEqual(1, self.allocator.place_count)


class TestLocalPrefill(unittest.TestCase):
    """Decode servers run prefills while all prefill servers are busy."""

    def setUp(self):
        self.allocator = routing.Allocator()
        self.allocator.set_servers(
            [PAIR[0], make.make_engine('d1', 'decode', memory_tokens=40000)]
        )
        for name in 'ab':
            self.allocator.add_request(make.make_request(name), 0)
        self.allocator.decide(0)

    def submit_and_decide(self, name, now_ms, **changes):
        self.allocator.add_request(make.make_request(name, **changes), now_ms)
        return {
            answer.ask_id: answer.prefill_server
            for answer in self.allocator.decide(now_ms)
        }

    def test_request_with_time_left_waits_for_a_prefill_server(self):
        self.assertEqual(
            {}, self.submit_and_decide('c', 10, target_deadline_ms=5000)
        )

    def test_prefill_of_an_urgent_request_runs_on_its_decode_server(self):
        self.assertEqual(
            {'c': ''}, self.submit_and_decide('c', 10, target_deadline_ms=600)
        )

    def test_decode_server_runs_one_prefill_at_a_time(self):
        self.submit_and_decide('c', 10, target_deadline_ms=600)
        self.assertEqual(
            {}, self.submit_and_decide('d', 20, target_deadline_ms=600)
        )

    def test_heavily_used_decode_server_runs_no_prefill(self):
        held = (make.make_held_placement(f'x{number}') for number in range(6))
        self.allocator.register_held(make.make_held(*held, vm='vm2'), 0)
        self.assertEqual(
            {}, self.submit_and_decide('c', 10, target_deadline_ms=600)
        )


class TestRefusals(unittest.TestCase):
    def setUp(self):
        self.allocator = routing.Allocator()
        self.allocator.set_servers(PAIR)

    def test_request_without_any_engine_is_refused_at_once(self):
        allocator = routing.Allocator()
        allocator.add_request(make.make_request('a'), 0)
        self.assertEqual(
            {'a': 'no-server'}, make.refusal_kinds(allocator.decide(0))
        )

    def test_request_that_fits_no_engine_is_refused_at_once(self):
        self.allocator.add_request(
            make.make_request('a', prompt_tokens=20000), 0
        )
        self.assertEqual(
            {'a': 'too-large'}, make.refusal_kinds(self.allocator.decide(0))
        )

    def test_request_that_cannot_start_in_time_is_refused_as_too_late(self):
        self.allocator.add_request(
            make.make_request('a', start_deadline_ms=100), 0
        )
        self.assertEqual(
            {'a': 'too-late'}, make.refusal_kinds(self.allocator.decide(0))
        )

    def test_late_requests_beyond_the_queue_limit_are_refused(self):
        self.allocator.set_servers([PAIR[0]] + [PAIR[1]])
        full = make.make_held(
            *(make.make_held_placement(name) for name in 'xyz')
        )
        self.allocator.register_held(full, 0)
        for index, name in enumerate('abcd'):
            late = make.make_request(
                name, target_deadline_ms=0, deadline_ms=9000 + index
            )
            self.allocator.add_request(late, 0)
        answers = self.allocator.decide(0)
        self.assertEqual(
            {'c': 'overloaded', 'd': 'overloaded'}, make.refusal_kinds(answers)
        )
        for answer in answers:
            self.assertTrue(
                _allocator.RETRY_FIRST_MS
                <= answer.retry_after_ms
                <= _allocator.RETRY_LAST_MS
            )


class TestWaitingOrder(unittest.TestCase):
    def test_requests_that_can_be_on_time_precede_late_ones(self):
        allocator = routing.Allocator()
        allocator.set_servers(PAIR)
        allocator.register_held(
            make.make_held(
                *(make.make_held_placement(name) for name in 'xyz')
            ),
            0,
        )
        allocator.add_request(
            make.make_request('late', target_deadline_ms=0), 0
        )
        allocator.add_request(
            make.make_request('second', target_deadline_ms=950), 0
        )
        allocator.add_request(
            make.make_request('first', target_deadline_ms=900), 0
        )
        allocator.decide(0)
        order = []
        for name in 'xyz':
            allocator.release(name, 10)
            order += make.granted_ids(allocator.decide(10))
        self.assertEqual(['first', 'second'], order[:2])


class TestEpoch(unittest.TestCase):
    def setUp(self):
        self.owned = routing.OwnedAllocator(options=None, rng=random.Random(1))

    def test_new_owner_waits_until_all_live_vms_have_registered(self):
        live = {('vm1', 1), ('vm2', 7)}
        self.owned.note_request(0)
        self.owned.register_held(make.make_held(), 1)
        self.assertFalse(self.owned.may_grant(live, 2))
        self.owned.register_held(make.make_held(vm='vm2', incarnation=7), 3)
        self.assertTrue(self.owned.may_grant(live, 4))

    def test_wait_for_registrations_ends_after_a_timeout(self):
        live = {('silent', 1)}
        self.owned.note_request(0)
        end_ms = _ownership_epoch.REBUILD_TIMEOUT_MS
        self.assertFalse(self.owned.may_grant(live, end_ms - 1))
        self.assertTrue(self.owned.may_grant(live, end_ms))

    def test_placements_are_discarded_when_an_idle_epoch_ends(self):
        self.owned.register_held(
            make.make_held(make.make_held_placement('a')), 0
        )
        end_ms = _ownership_epoch.OWNER_IDLE_TIMEOUT_MS
        self.assertFalse(self.owned.end_if_idle(False, end_ms - 1))
        self.assertFalse(self.owned.end_if_idle(True, end_ms))
        self.assertTrue(self.owned.end_if_idle(False, end_ms))
        self.assertEqual(0, self.owned.allocator.place_count)


def make_engines(*names):
    """Return engines whose names end with their version's digit."""
    return tuple(
        make.make_engine(
            name,
            'prefill' if name.startswith('p') else 'decode',
            software_version=f'v{name[-1]}',
        )
        for name in names
    )


class TestVersions(unittest.TestCase):
    def setUp(self):
        self.allocator = routing.Allocator()

    def decide(self, now_ms=0):
        """Return the engines granted to each request, or its refusal."""
        return {
            answer.ask_id: answer.kind
            if isinstance(answer, routing.PlacementRefused)
            else (answer.prefill_server, answer.decode_server)
            for answer in self.allocator.decide(now_ms)
        }

    def add(self, ask_id, now_ms=0, **changes):
        request = make.make_request(ask_id, **changes)
        self.allocator.add_request(request, now_ms)

    # Guards against a stream that goes on at another version.
    def test_stream_gets_engines_of_its_version_only(self):
        self.allocator.set_servers(make_engines('pa1', 'da1', 'pa2', 'da2'))
        for version in ('v2', 'v1', 'v2'):
            self.add(version, software_version=version)
            number = version[-1]
            self.assertEqual(
                {version: (f'pa{number}', f'da{number}')}, self.decide()
            )
            self.allocator.release(version, 0)

    def test_kv_cache_is_read_by_the_version_that_wrote_it(self):
        self.allocator.set_servers(make_engines('pa1', 'da2'))
        self.add('a')
        self.assertEqual({'a': ('', 'da2')}, self.decide())

    def test_stream_whose_version_has_gone_is_refused_at_once(self):
        self.allocator.set_servers(make_engines('pa1', 'da1'))
        self.add('a', software_version='v2')
        self.assertEqual({'a': 'no-version'}, self.decide())

    def test_others_are_granted_while_a_version_is_full(self):
        self.allocator.set_servers(make_engines('pa1', 'da1', 'pa2', 'da2'))
        for ask_id in 'ab':
            self.add(ask_id, software_version='v2', prompt_tokens=4000)
            self.decide()
        self.add('c', software_version='v2', prompt_tokens=4000)
        self.add('d', prompt_tokens=4000, target_deadline_ms=2000)
        self.assertEqual({'d': ('pa1', 'da1')}, self.decide())
        self.allocator.release('a', 10)
        self.assertEqual({'c': ('pa2', 'da2')}, self.decide(10))

    def test_new_stream_avoids_an_engine_that_failed_it(self):
        self.allocator.set_servers(make_engines('pa1', 'da1', 'pa2', 'da2'))
        for failed in (('da1',), ('da2',), ('pa1',), ('pa2',)):
            self.add('a', avoid_servers=failed)
            (granted,) = self.decide().values()
            self.assertNotIn(failed[0], granted)
            self.allocator.release('a', 0)

    # Guards against streams that begin where they can't go on.
    def test_stream_begins_at_a_version_that_has_another_engine(self):
        self.allocator.set_servers(
            make_engines('pa1', 'da1', 'pa2', 'db2', 'dc2')
        )
        engines = set()
        for ask_id in 'abc':
            self.add(ask_id, prompt_tokens=2000)
            ((_, engine),) = self.decide().values()
            engines.add(engine)
            self.allocator.note_prefill_ended(ask_id, 0)
        self.assertEqual({'db2', 'dc2'}, engines)

    def test_lone_engine_is_used_if_the_others_are_full(self):
        self.allocator.set_servers(
            make_engines('pa1', 'da1', 'pa2', 'db2', 'dc2')
        )
        for ask_id in 'abc':
            self.add(ask_id, prompt_tokens=6000)
            self.decide()
            self.allocator.note_prefill_ended(ask_id, 0)
        engines = {
            self.allocator._pool.find_placement(ask_id).decode_server
            for ask_id in 'abc'
        }
        self.assertEqual({'da1', 'db2', 'dc2'}, engines)

    # Guards against streams that callers have half of and that wait behind
    # new ones.
    def test_stream_that_has_begun_goes_on_before_new_ones_begin(self):
        self.allocator.set_servers(make_engines('pa1', 'da1'))
        self.add('running', prompt_tokens=5000)
        self.decide()
        self.allocator.note_prefill_ended('running', 0)
        self.add('new', 10, prompt_tokens=6000)
        # Its target has passed with its first event.
        self.add(
            'begun',
            20,
            prompt_tokens=6000,
            software_version='v1',
            target_deadline_ms=0,
        )
        self.assertEqual({}, self.decide(20))
        self.allocator.release('running', 30)
        self.assertEqual(['begun'], list(self.decide(30)))

    def test_streams_that_have_begun_are_not_refused_as_late(self):
        self.allocator.set_servers(make_engines('pa1', 'da1'))
        self.add('running', prompt_tokens=9000)
        self.decide()
        self.allocator.note_prefill_ended('running', 0)
        for number in range(6):
            self.add(
                f'begun{number}',
                10,
                prompt_tokens=9000,
                software_version='v1',
                target_deadline_ms=0,
            )
        self.assertEqual({}, self.decide(10))
