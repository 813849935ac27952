import unittest

from bluebellthread.platform import _store_client

CONTACT_MS = 4000
CONFIGURATION_MS = 2500
"""After the platform has been without faults for `CONTACT_MS`, a change must
be in force within `CONFIGURATION_MS` (the platform's settings)."""


class TestWatch(unittest.TestCase):
    def test_lost_watch_times_out_before_the_next_change_is_due(self):
        longest_ms = _store_client.WATCH_MS + int(
            1000 * _store_client.WATCH_MARGIN_S
        )
        # The remaining time is needed to read all entries again.
        rest_ms = CONTACT_MS + CONFIGURATION_MS - longest_ms
        self.assertGreaterEqual(rest_ms, 500)
