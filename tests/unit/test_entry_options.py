import unittest

from bluebellthread import core
from bluebellthread.entry import _service


class TestMembershipOptions(unittest.TestCase):
    def test_own_pause_is_detected_before_peers_declare_the_vm_dead(self):
        for options in (core.MembershipOptions(), _service.MEMBERSHIP_OPTIONS):
            shortest_ms = (
                options.direct_timeout_ms
                + options.indirect_timeout_ms
                + options.suspicion_timeout_ms
            )
            self.assertLess(options.lease_timeout_ms, shortest_ms)
            self.assertLess(
                options.deadline_extension_pause_ms, options.lease_timeout_ms
            )

    def test_tick_period_is_shorter_than_the_timeouts(self):
        for options in (core.MembershipOptions(), _service.MEMBERSHIP_OPTIONS):
            self.assertLess(options.tick_period_ms, options.direct_timeout_ms)
            self.assertLess(options.tick_period_ms, options.lease_timeout_ms)
