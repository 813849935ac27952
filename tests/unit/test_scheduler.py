import unittest

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bluebellthread import core
from tests.unit import _pool

BOTH_SERVERS = ['p1', 'd1']


def grant(scheduler, request_id, now_ms, **fields):
    request = _pool.make_request(request_id, **fields)
    (permit,) = _pool.find_granted(scheduler.handle(request, now_ms))
    return permit


def cancels_of(permit):
    return [(server, permit.permit_id) for server in BOTH_SERVERS]


class TestGrants(unittest.TestCase):
    def test_duplicate_request_gets_the_same_permit(self):
        scheduler = _pool.start_scheduler()
        permit = grant(scheduler, 'r1', 1)
        self.assertEqual(permit, grant(scheduler, 'r1', 2))
        self.assertEqual(1, len(scheduler.permits))

    def test_newer_attempt_supersedes_the_granted_one(self):
        scheduler = _pool.start_scheduler()
        old = grant(scheduler, 'r1', 1)
        newer = _pool.make_request('r1', attempt_number=1)
        commands = scheduler.handle(newer, 2)
        self.assertEqual(cancels_of(old), _pool.find_cancels(commands))
        self.assertIn(('vm2', 'superseded'), _pool.find_kinds(commands))
        late = scheduler.handle(_pool.make_request('r1'), 3)
        self.assertEqual([('vm2', 'superseded')], _pool.find_kinds(late))

    def test_silent_permit_stays_until_its_replacement_is_granted(self):
        scheduler = _pool.start_scheduler()
        old = grant(scheduler, 'r1', 1)
        commands = scheduler.handle(
            _pool.make_request(
                'r1',
                attempt_number=1,
                replaces_silent=True,
                prompt_tokens=90000,
            ),
            2,
        )
        self.assertEqual([], commands)
        self.assertEqual([old.permit_id], list(scheduler.permits))
        smaller = _pool.make_request(
            'r1', attempt_number=2, replaces_silent=True
        )
        commands = scheduler.handle(smaller, 3)
        [new] = _pool.find_granted(commands)
        self.assertEqual(cancels_of(old), _pool.find_cancels(commands))
        self.assertEqual([new.permit_id], list(scheduler.permits))

    def test_silent_permit_of_another_gateway_is_superseded_at_once(self):
        scheduler = _pool.start_scheduler()
        old = grant(scheduler, 'r1', 1)
        newer = _pool.make_request('r1', gateway='vm3', replaces_silent=True)
        commands = scheduler.handle(newer, 2)
        self.assertEqual(cancels_of(old), _pool.find_cancels(commands))

    def test_attempt_at_another_gateway_supersedes_the_waiting_one(self):
        scheduler = _pool.start_scheduler()
        waiting = _pool.make_request('r1', prompt_tokens=90000)
        scheduler.handle(waiting, 1)
        commands = scheduler.handle(_pool.make_request('r1', gateway='vm3'), 2)
        self.assertEqual([('vm2', 'superseded')], _pool.find_kinds(commands))
        self.assertEqual('vm3', _pool.find_granted(commands)[0].gateway)

    def test_abandoned_request_holds_nothing_in_any_message_order(self):
        scheduler = _pool.start_scheduler()
        abandoned = core.PermitAbandoned(
            caller='workshop-12',
            request_id='r1',
            attempt_number=0,
            gateway='vm2',
            gateway_incarnation=2,
            pool=_pool.POOL,
        )
        scheduler.handle(abandoned, 1)
        self.assertEqual(
            [],
            _pool.find_granted(scheduler.handle(_pool.make_request('r1'), 2)),
        )
        permit = grant(scheduler, 'r2', 3)
        commands = scheduler.handle(
            core.PermitAbandoned(
                caller='workshop-12',
                request_id='r2',
                attempt_number=0,
                gateway='vm2',
                gateway_incarnation=2,
                pool=_pool.POOL,
            ),
            4,
        )
        self.assertEqual(cancels_of(permit), _pool.find_cancels(commands))

    def test_transfer_link_is_reserved_too(self):
        scheduler = _pool.start_scheduler(servers=('p1', 'p2', 'p3', 'd1'))
        scheduler.handle(_pool.make_report('d1', 2, 0, total=40), 0)
        permits = [grant(scheduler, f'r{n}', 1) for n in range(4)]
        without_link = scheduler.handle(_pool.make_request('r4'), 2)
        self.assertEqual([], _pool.find_granted(without_link))
        progress = core.PermitProgressed(
            permit_id=permits[0].permit_id, pool=_pool.POOL, stage='decoding'
        )
        commands = scheduler.handle(progress, 3)
        self.assertEqual(1, len(_pool.find_granted(commands)))

    def test_two_callers_may_use_one_request_id(self):
        scheduler = _pool.start_scheduler()
        waiting = _pool.make_request('r1', prompt_tokens=7000)
        grant(scheduler, 'r0', 0)
        scheduler.handle(waiting, 1)
        other = attrs.evolve(
            _pool.make_request('r1', prompt_tokens=7000), caller='workshop-3'
        )
        self.assertEqual([], scheduler.handle(other, 2))
        self.assertEqual(2, scheduler.waiting_count)


class TestEnds(unittest.TestCase):
    def test_cancelled_permit_keeps_its_memory_until_confirmed(self):
        scheduler = _pool.start_scheduler()
        permit = grant(scheduler, 'r1', 1, prompt_tokens=7900)
        released = _pool.release(permit.permit_id, clean=False)
        commands = scheduler.handle(released, 2)
        self.assertEqual(cancels_of(permit), _pool.find_cancels(commands))
        self.assertEqual([], scheduler.handle(released, 3))
        self.assertEqual([], scheduler.handle(_pool.make_request('r2'), 4))
        for server in BOTH_SERVERS:
            confirmed = core.CancelConfirmed(
                server=server, permit_id=permit.permit_id
            )
            commands = scheduler.handle(confirmed, 5)
        self.assertEqual(1, len(_pool.find_granted(commands)))

    def test_load_report_without_the_permit_confirms_its_cancel(self):
        scheduler = _pool.start_scheduler()
        permit = grant(scheduler, 'r1', 1)
        scheduler.handle(_pool.release(permit.permit_id, clean=False), 2)
        for now_ms, count in ((500, 1), (1100, 0)):
            for server in BOTH_SERVERS:
                report = _pool.make_report(server, now_ms, now_ms)
                scheduler.handle(report, now_ms)
            self.assertEqual(count, scheduler.permit_count)

    def test_permits_of_a_dead_gateway_are_cancelled(self):
        scheduler = _pool.start_scheduler()
        permit = grant(scheduler, 'r1', 1)
        grant(scheduler, 'r2', 1, gateway='vm3')
        commands = scheduler.handle(_pool.make_gateways('vm3'), 2)
        self.assertEqual(cancels_of(permit), _pool.find_cancels(commands))

    def test_vm_that_may_be_partitioned_delays_cancels(self):
        scheduler = _pool.start_scheduler()
        permit = grant(scheduler, 'r1', 1, deadline_ms=60000)
        alone = attrs.evolve(_pool.make_gateways('vm3'), minority=True)
        commands = scheduler.handle(alone, 2)
        commands += scheduler.handle(core.Tick(), 10001)
        self.assertEqual([], _pool.find_cancels(commands))
        commands = scheduler.handle(core.Tick(), 10002)
        self.assertEqual(cancels_of(permit), _pool.find_cancels(commands))

    def test_gateway_not_yet_in_the_view_keeps_its_permit_for_a_while(self):
        scheduler = _pool.start_scheduler()
        permit = grant(scheduler, 'r1', 1, gateway='vm4')
        commands = scheduler.handle(_pool.make_gateways('vm2'), 2)
        self.assertEqual([], _pool.find_cancels(commands))
        commands = scheduler.handle(core.Tick(), 3002)
        self.assertEqual(cancels_of(permit), _pool.find_cancels(commands))

    def test_engine_restart_cancels_permits_and_notifies_the_gateway(self):
        scheduler = _pool.start_scheduler()
        permit = grant(scheduler, 'r1', 1)
        restarted = _pool.make_report('d1', 1, 2, incarnation=9)
        commands = scheduler.handle(restarted, 2)
        self.assertEqual([('vm2', 'backend-lost')], _pool.find_kinds(commands))
        self.assertEqual(cancels_of(permit), _pool.find_cancels(commands))

    def test_permit_released_before_its_registration_is_not_added(self):
        scheduler = _pool.make_scheduler()
        scheduler.handle(_pool.release('vm9-7-1'), 0)
        permit = _pool.make_permit('vm9-7-1', 'r1')
        scheduler.handle(_pool.register('vm2', permit), 1)
        self.assertEqual({}, scheduler.permits)


class TestRebuild(unittest.TestCase):
    """A VM that owned a pool, was paused and owns the pool again."""

    def start(self):
        scheduler = _pool.make_scheduler()
        scheduler.handle(_pool.make_servers('p1', 'd1'), 0)
        scheduler.handle(_pool.make_gateways('vm2', 'vm3'), 0)
        scheduler.handle(_pool.register('vm2'), 1)
        for number in range(2):
            scheduler.handle(_pool.make_request(f'queued-{number}'), 2)
        return scheduler

    def report(self, scheduler, now_ms, *, free):
        commands = []
        for server in BOTH_SERVERS:
            report = _pool.make_report(server, now_ms, now_ms, free=free)
            commands += scheduler.handle(report, now_ms)
        return _pool.find_granted(commands)

    def test_full_engine_gets_no_permit_before_all_gateways_register(self):
        scheduler = self.start()
        # Another VM filled d1 meanwhile; the report does not show it yet.
        self.assertEqual([], self.report(scheduler, 60, free=4))
        held = [
            _pool.make_permit(f'vm3-9-{n}', f'r{n}', gateway='vm3')
            for n in range(4)
        ]
        commands = scheduler.handle(_pool.register('vm3', *held), 70)
        self.assertEqual([], _pool.find_granted(commands))
        self.assertEqual([], self.report(scheduler, 310, free=4))
        commands = scheduler.handle(_pool.release('vm3-9-0'), 320)
        self.assertEqual(1, len(_pool.find_granted(commands)))

    def test_gateway_that_stays_silent_holds_up_grants_for_a_while_only(self):
        scheduler = self.start()
        self.assertEqual([], self.report(scheduler, 999, free=1))
        commands = scheduler.handle(core.Tick(), 1000)
        self.assertEqual([], _pool.find_granted(commands))
        self.assertEqual(1, len(self.report(scheduler, 1001, free=1)))
        self.assertEqual(1, scheduler.waiting_count)


class TestOrphanedRequests(unittest.TestCase):
    def run_orphans(self, scheduler, now_ms, ids, sequence):
        report = _pool.make_report(
            'd1', sequence, now_ms, free=4 - len(ids), running_ids=ids
        )
        scheduler.handle(report, now_ms)
        return _pool.find_cancels(scheduler.handle(core.Tick(), now_ms))

    def test_orphaned_request_is_cancelled_after_its_grace_period(self):
        scheduler = _pool.start_scheduler()
        ids = ('vm9-7-1',)
        self.assertEqual([], self.run_orphans(scheduler, 100, ids, 2))
        self.assertEqual([], self.run_orphans(scheduler, 1599, ids, 3))
        self.assertEqual(
            [('d1', 'vm9-7-1')], self.run_orphans(scheduler, 1600, ids, 4)
        )

    def test_orphaned_request_of_a_partitioned_process_is_kept(self):
        scheduler = _pool.start_scheduler()
        for number in range(1, 20):
            ids = ('vm9-7-1', f'vm9-7-{number + 1}')
            cancels = self.run_orphans(
                scheduler, number * 1000, ids, number + 1
            )
            self.assertEqual([], cancels)

    def test_memory_of_orphaned_requests_is_not_granted(self):
        scheduler = _pool.start_scheduler()
        ids = ('vm9-7-1', 'vm9-7-2', 'vm9-7-3')
        self.run_orphans(scheduler, 100, ids, 2)
        grant(scheduler, 'r1', 101)
        commands = scheduler.handle(_pool.make_request('r2'), 102)
        self.assertEqual([], _pool.find_granted(commands))

    def start_rebuild(self, *gateways):
        scheduler = _pool.make_scheduler()
        scheduler.handle(_pool.make_servers('p1', 'd1'), 0)
        scheduler.handle(_pool.make_gateways(*gateways), 0)
        return scheduler

    def test_orphaned_requests_are_not_cancelled_during_a_rebuild(self):
        scheduler = self.start_rebuild('vm2')
        ids = ('vm9-7-1',)
        for now_ms in (100, 1999):
            self.assertEqual(
                [], self.run_orphans(scheduler, now_ms, ids, now_ms)
            )
        scheduler.handle(_pool.register('vm2'), 2001)
        self.assertEqual([], self.run_orphans(scheduler, 3500, ids, 3500))
        self.assertEqual(
            [('d1', 'vm9-7-1')], self.run_orphans(scheduler, 3501, ids, 3501)
        )

    def test_streams_of_a_gateway_that_registers_late_are_not_cancelled(self):
        scheduler = self.start_rebuild('vm2', 'vm3')
        scheduler.handle(_pool.register('vm2'), 1)
        ids = ('vm9-7-1',)
        for now_ms in range(100, 9000, 100):
            self.assertEqual(
                [], self.run_orphans(scheduler, now_ms, ids, now_ms)
            )
        held = _pool.make_permit(
            'vm9-7-1', 'r1', gateway='vm3', deadline_ms=20_000
        )
        scheduler.handle(_pool.register('vm3', held), 9001)
        self.assertEqual({'vm9-7-1'}, set(scheduler.permits))
        self.assertEqual([], self.run_orphans(scheduler, 9800, ids, 9800))

    def test_silent_gateway_delays_cancels_for_a_while_only(self):
        scheduler = self.start_rebuild('vm2')
        ids = ('vm9-7-1',)
        for now_ms in (100, 2000, 11999):
            self.assertEqual(
                [], self.run_orphans(scheduler, now_ms, ids, now_ms)
            )
        self.assertEqual(
            [('d1', 'vm9-7-1')], self.run_orphans(scheduler, 12000, ids, 12000)
        )

    def test_gateway_that_has_not_registered_is_asked_after_the_rebuild(self):
        scheduler = self.start_rebuild('vm2', 'vm3')
        scheduler.handle(_pool.register('vm2'), 1)
        scheduler.handle(core.Tick(), 2000)
        (command,) = scheduler.handle(core.Tick(), 5000)
        self.assertEqual('vm3', command.gateway)
        self.assertIsInstance(command.message, core.RegistrationWanted)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                'request',
                'clean',
                'unclean',
                'confirm',
                'decode',
                'tick',
                'report',
                'gone',
                'register',
                'restart',
                'duplicate',
            ]
        ),
        st.integers(0, 7),
        st.integers(0, 400),
    ),
    max_size=60,
)


class Driver:
    """Feeds random gateway and engine events to a scheduler."""

    def __init__(self):
        self.scheduler = _pool.start_scheduler(servers=('p1', 'p2', 'd1'))
        self.now_ms = 1
        self.permits = []
        self.sequence = 1

    def play(self, kind, number, wait_ms):
        self.now_ms += wait_ms
        permit = (
            self.permits[number % len(self.permits)]
            if (self.permits)
            else None
        )
        for event in self.make_events(kind, number, permit):
            commands = self.scheduler.handle(event, self.now_ms)
            for granted in _pool.find_granted(commands):
                if granted not in self.permits:
                    self.permits.append(granted)

    def make_events(self, kind, number, permit):
        self.sequence += 1
        if kind in ('request', 'duplicate'):
            name = number if kind == 'duplicate' else self.sequence
            yield _pool.make_request(
                f'r{name}',
                deadline_ms=self.now_ms + 700 + number,
                prompt_tokens=1 + number * 900,
            )
        elif kind == 'gone':
            yield _pool.make_gateways('vm3')
            yield _pool.make_gateways('vm2', 'vm3')
        elif kind == 'tick' or permit is None:
            yield core.Tick()
        elif kind == 'report':
            for server in ('p1', 'p2', 'd1'):
                yield _pool.make_report(server, self.sequence, self.now_ms)
        elif kind == 'restart':
            yield _pool.make_report(
                'd1', 1, self.now_ms, incarnation=self.sequence
            )
        elif kind == 'register':
            yield _pool.register('vm2', permit)
        elif kind == 'decode':
            yield core.PermitProgressed(
                permit_id=permit.permit_id, pool=_pool.POOL, stage='decoding'
            )
        elif kind == 'confirm':
            for server in (permit.prefill_server, permit.decode_server):
                yield core.CancelConfirmed(
                    server=server, permit_id=permit.permit_id
                )
        else:
            yield _pool.release(permit.permit_id, clean=kind == 'clean')


class TestProperties(unittest.TestCase):
    @settings(max_examples=200, deadline=None, print_blob=True)
    @given(EVENTS)
    def test_memory_blocks_are_never_overcommitted_or_leaked(self, plays):
        driver = Driver()
        for play in plays:
            driver.play(*play)
            permits = driver.scheduler.permits.values()
            self.assertLessEqual(sum(p.pieces for p in permits), 4)
            for permit in permits:
                self.assertGreater(permit.deadline_ms, driver.now_ms)
        driver.now_ms += 10000
        driver.scheduler.handle(core.Tick(), driver.now_ms)
        self.assertEqual({}, driver.scheduler.permits)
        for server in ('p1', 'p2', 'd1'):
            for permit in driver.permits:
                driver.scheduler.handle(
                    core.CancelConfirmed(
                        server=server, permit_id=permit.permit_id
                    ),
                    driver.now_ms,
                )
        self.assertEqual(0, driver.scheduler.permit_count)
        for server in ('p1', 'p2', 'd1'):
            report = _pool.make_report(
                server, 1, driver.now_ms, incarnation=10**6
            )
            driver.scheduler.handle(report, driver.now_ms)
        # All four memory blocks can be granted again.
        self.assertEqual(
            4,
            grant(
                driver.scheduler,
                'last',
                driver.now_ms,
                prompt_tokens=7900,
                deadline_ms=driver.now_ms + 1,
            ).pieces,
        )
