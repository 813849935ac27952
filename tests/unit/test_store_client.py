import unittest

from bluebellthread.platform import _store_client

CONTACT_MS = 4000
CONFIGURATION_MS = 2500
"""After the platform has been calm for the first, a change has to be in
force within the second (the platform's settings)."""


class TestWatch(unittest.TestCase):
    def test_lost_watch_ends_before_the_next_change_is_due(self):
        longest_ms = _store_client.WATCH_MS + int(
            1000 * _store_client.WATCH_MARGIN_S
        )
        # The rest is for reading all anew.
        rest_ms = CONTACT_MS + CONFIGURATION_MS - longest_ms
        self.assertGreaterEqual(rest_ms, 500)
