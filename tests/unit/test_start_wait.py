import unittest

from bluebellthread.core import routing
from bluebellthread.core.routing import _start_wait

START_MS = 5000


class TestStartWait(unittest.TestCase):
    def setUp(self):
        self.wait = routing.StartWait(start_ms=START_MS)

    def find_wait_ms(self, after_ms, patience_ms=None):
        now_ms = START_MS + after_ms
        deadline_ms = self.wait.find_deadline_ms(
            now_ms=now_ms, patience_ms=patience_ms
        )
        return deadline_ms - now_ms

    def test_patient_caller_waits_for_what_a_start_takes(self):
        self.assertEqual(_start_wait.WAIT_MAX_MS, self.find_wait_ms(10))

    def test_caller_keeps_most_of_its_patience(self):
        self.assertEqual(200, self.find_wait_ms(10, patience_ms=800))
        self.assertEqual(0, self.find_wait_ms(10, patience_ms=0))

    def test_nobody_waits_long_after_the_start(self):
        last_ms = _start_wait.START_MAX_MS
        self.assertEqual(100, self.find_wait_ms(last_ms - 100))
        self.assertEqual(0, self.find_wait_ms(last_ms))
        self.assertEqual(0, self.find_wait_ms(last_ms + 60000))

    def test_more_than_a_few_hundred_do_not_wait(self):
        self.wait.waiting_count = _start_wait.WAITING_MAX
        self.assertEqual(0, self.find_wait_ms(10))
