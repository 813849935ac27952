import pathlib
import unittest

from bluebellthread import core

from tests.golden import _answer  # noqa: F401  registers the answer machine
from tests.golden import _replay
from tests.golden import _revisions  # noqa: F401  registers the revisions machine

SESSIONS = sorted(pathlib.Path(__file__).parent.glob('*.session'))


class TestSessions(unittest.TestCase):
    maxDiff = None

    def test_each_session_returns_the_recorded_commands(self):
        self.assertGreater(len(SESSIONS), 4)
        for path in SESSIONS:
            with self.subTest(path.name):
                text = path.read_text(encoding='utf-8')
                self.assertEqual(
                    text, _replay.replay(text, event_classes=core)
                )
