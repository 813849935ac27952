"""What VMs report to the owner about the answers of its engines."""

import unittest
from unittest import mock

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _placement_client


class TestPlacementReports(unittest.TestCase):
    def setUp(self):
        self.client = _placement_client.PlacementClient(
            state=None, links=None, incarnation=1
        )
        self.enterContext(
            mock.patch.object(_clock, 'read_clock_ms', lambda: 5000)
        )

    def report(self, **how):
        placement = _placement_client.Placement(
            ask_id='a',
            service='m',
            prefill_server='p1',
            decode_server='d1',
            prompt_tokens=3000,
            output_tokens=1000,
            deadline_ms=14000,
            owner='vm1',
            waited_ms=100,
            granted_ms=1000,
        )
        self.client._held['a'] = placement
        self.client.release(placement, **how)
        _, message, _ = self.client._queued_notices.receive_nowait()
        self.assertIsInstance(message, routing.PlacementEnded)
        return message.first_event_ms, message.writing_ms

    def test_whole_answer_is_reported_with_both_times(self):
        self.assertEqual(
            (350, 3650), self.report(began_ms=1350, is_whole=True)
        )

    # Guards against answers that broke and look like short ones.
    def test_broken_answer_is_reported_without_its_length(self):
        self.assertEqual((350, 0), self.report(began_ms=1350))

    # Guards against a time to the first event that other engines took.
    def test_resumed_stream_is_not_reported(self):
        self.assertEqual((0, 0), self.report(began_ms=900, is_whole=True))
        self.assertEqual((0, 0), self.report(is_whole=True))
