import types
import unittest

import trio

from bluebellthread.core import routing
from bluebellthread.entry import _plain_attempts


class _Choice:
    """Counts the requests at servers."""

    def __init__(self):
        self.count = 0

    def begin(self, server):
        self.count += 1

    def end(self, server):
        self.count -= 1


def raise_overtaken():
    raise routing.OvertakenError


class TestPlainPieces(unittest.TestCase):
    def test_attempt_overtaken_before_it_is_sent_does_not_count(self):
        """Its server would look busier than it is ever after."""
        choice = _Choice()
        others = (
            'state caller budgets limits shut_outs server_watch paths '
            'silences hand_on dialect'
        )
        attempts = _plain_attempts.PlainAttempts(
            choice=choice, **dict.fromkeys(others.split())
        )

        async def scenario():
            with self.assertRaises(routing.OvertakenError):
                await attempts._attempt(
                    types.SimpleNamespace(work=None),
                    types.SimpleNamespace(send=raise_overtaken),
                    types.SimpleNamespace(name='s1'),
                    None,
                )

        trio.run(scenario)
        self.assertEqual(0, choice.count)
