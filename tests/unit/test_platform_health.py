import unittest

from bluebellthread import core


def outage(start_ms, end_ms):
    return core.Outage(start_clock_ms=start_ms, end_clock_ms=end_ms)


class TestPlatformHealth(unittest.TestCase):
    def setUp(self):
        self.health = core.PlatformHealth()

    def test_any_answer_after_a_failure_ends_the_outage(self):
        self.health.note_answer(100)
        self.health.note_failed(200, 700)
        self.assertTrue(self.health.is_in_doubt)
        self.assertTrue(self.health.note_answer(900))
        self.assertFalse(self.health.is_in_doubt)
        self.assertEqual(outage(200, 900), self.health.outage)
        self.assertFalse(self.health.note_answer(1000))

    def test_outage_begins_no_earlier_than_others_were_answered(self):
        self.health.note_failed(200, 700)
        self.assertFalse(self.health.note_heard(500))
        self.assertTrue(self.health.is_in_doubt)
        self.assertTrue(self.health.note_heard(800))
        self.assertEqual(outage(500, 800), self.health.outage)

    def test_later_failures_do_not_move_the_begin_of_an_outage(self):
        self.health.note_failed(200, 700)
        self.health.note_failed(900, 1400)
        self.health.note_answer(1500)
        self.assertEqual(outage(200, 1500), self.health.outage)

    def test_outage_that_another_vm_tells_is_news_once(self):
        self.health.note_answer(100)
        self.assertTrue(self.health.note_outage(outage(200, 900)))
        self.assertFalse(self.health.note_outage(outage(200, 900)))
        self.assertFalse(self.health.note_outage(outage(300, 950)))
        self.assertEqual(outage(200, 900), self.health.outage)

    def test_outage_is_no_news_to_a_vm_that_was_answered_since(self):
        self.health.note_answer(100)
        self.health.note_failed(200, 700)
        self.health.note_answer(900)
        self.assertFalse(self.health.note_outage(outage(150, 850)))
        self.assertEqual(outage(150, 850), self.health.outage)

    def test_vm_that_was_answered_meanwhile_shortens_an_outage(self):
        self.health.note_answer(500)
        self.assertTrue(self.health.note_outage(outage(200, 900)))
        self.assertEqual(outage(500, 900), self.health.outage)

    def test_word_of_another_vm_ends_the_doubt(self):
        self.health.note_failed(200, 700)
        self.assertTrue(self.health.note_outage(outage(200, 800)))
        self.assertFalse(self.health.is_in_doubt)

    def test_older_outage_of_another_vm_is_no_news(self):
        self.health.note_outage(outage(1000, 2000))
        self.assertFalse(self.health.note_outage(outage(100, 300)))
        self.assertEqual(outage(1000, 2000), self.health.outage)


if __name__ == '__main__':
    unittest.main()
