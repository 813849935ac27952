import unittest

from bluebellthread import core
from tests.unit import _golden
from tests.unit import _pool


class TestGoldenScheduler(unittest.TestCase):
    def start(self, **options):
        session = _golden.Session(_pool.make_scheduler(**options))
        session.feed(0, _pool.make_servers('p1', 'd1'))
        return session

    def test_new_owner_rebuilds_its_state(self):
        session = self.start()
        session.note('Both gateways of the view are asked for permits.')
        session.feed(0, _pool.make_gateways('vm2', 'vm3'))
        session.note('Unknown permits use three of four memory blocks.')
        ids = ('vm9-9-1', 'vm9-9-2', 'vm9-9-3')
        for server in ('p1', 'd1'):
            session.feed(
                10,
                _pool.make_report(server, 1, 10, free=1, running_ids=ids),
            )
        session.note('These reports may not show all permits: both wait.')
        session.feed(20, _pool.make_request('r10'))
        session.feed(21, _pool.make_request('r11', gateway='vm3'))
        session.note('vm2 registers one permit, vm3 does not answer.')
        known = _pool.make_permit('vm9-9-1', 'r1')
        session.feed(30, _pool.register('vm2', known))
        session.feed(310, core.Tick())
        session.note('vm3 registers another; all gateways have registered.')
        session.note('One memory block is free: one grant, one request waits.')
        other = _pool.make_permit('vm9-9-2', 'r2', gateway='vm3')
        session.feed(320, _pool.register('vm3', other))
        session.note('The third is orphaned: cancelled after the timeout.')
        session.feed(1819, core.Tick())
        session.feed(1820, core.Tick())
        session.check(self, 'scheduler_rebuilds')

    def test_gateway_is_killed_and_restarts(self):
        session = self.start()
        session.feed(0, _pool.make_gateways('vm2'))
        session.feed(0, _pool.register('vm2'))
        for server in ('p1', 'd1'):
            session.feed(1, _pool.make_report(server, 1, 1))
        session.feed(10, _pool.make_request('r1'))
        session.feed(11, _pool.make_request('r2', prompt_tokens=7000))
        session.note('vm2 restarted: its permit and waiting request end.')
        session.feed(1200, core.GatewaysChanged(live=(('vm2', 77),)))
        session.note('A late request of the dead process is ignored.')
        session.feed(1210, _pool.make_request('r3'))
        for server in ('p1', 'd1'):
            session.feed(
                1220, core.CancelConfirmed(server=server, permit_id='vm1-1-1')
            )
        session.check(self, 'scheduler_gateway_killed')

    def test_deadline_passes_and_engine_restarts(self):
        session = self.start()
        session.feed(0, _pool.make_gateways('vm2'))
        session.feed(0, _pool.register('vm2'))
        for server in ('p1', 'd1'):
            session.feed(1, _pool.make_report(server, 1, 1))
        session.feed(10, _pool.make_request('r1', deadline_ms=500))
        session.feed(11, _pool.make_request('r2', deadline_ms=5000))
        session.feed(499, core.Tick())
        session.feed(500, core.Tick())
        session.note('The decode server restarts as a new process.')
        session.feed(600, _pool.make_report('d1', 1, 600, incarnation=5))
        session.check(self, 'scheduler_deadline_and_restart')
