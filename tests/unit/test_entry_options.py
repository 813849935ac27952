import unittest

from bluebellthread import core
from bluebellthread.entry import _service


class TestMembershipOptions(unittest.TestCase):
    def test_a_pause_is_noticed_before_anybody_takes_it_for_a_death(self):
        for options in (core.MembershipOptions(), _service.MEMBERSHIP_OPTIONS):
            shortest_ms = (
                options.direct_timeout_ms
                + options.indirect_timeout_ms
                + options.suspicion_timeout_ms
            )
            self.assertLess(options.lease_timeout_ms, shortest_ms)
            self.assertLess(options.late_timeout_ms, options.lease_timeout_ms)

    def test_what_is_due_is_looked_at_in_time(self):
        for options in (core.MembershipOptions(), _service.MEMBERSHIP_OPTIONS):
            self.assertLess(options.tick_period_ms, options.direct_timeout_ms)
            self.assertLess(options.tick_period_ms, options.lease_timeout_ms)
