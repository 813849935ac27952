"""Retries of requests to plain services that a stop prevents."""

import types
import unittest
from unittest import mock

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _plain_attempts
from bluebellthread.entry import _plain_path

FAILURE = _http_messages.Answer(
    head=_http_messages.AnswerHead(status=500, headers=()), body=b'sealed'
)


class TestStops(unittest.TestCase):
    # Guards against failures of servers that a retry which is not begun
    # replaces by another one.
    def test_failure_is_passed_on_if_its_retry_comes_too_late(self):
        work = mock.Mock(
            request_id='r',
            service='s',
            parts=(),
            deadline_ms=_clock.read_clock_ms() + 8000,
            is_handed_on=False,
            has_runs_left=True,
            pass_on=mock.AsyncMock(),
            route=types.SimpleNamespace(kind=routing.KIND_IDEMPOTENT),
        )
        # There is time when the retry is chosen, and none when it begins.
        work.may_begin.side_effect = [True, False]

        class Attempts:
            count = 0

            async def make(self, progress, attempt):
                self.count += 1
                if self.count == 1:
                    raise _plain_attempts.UnansweredError(FAILURE)
                attempt.send()

        shut_outs = mock.Mock()
        shut_outs.find.return_value = None
        path = _plain_path.PlainPath(
            attempts=Attempts(),
            budgets=mock.Mock(),
            shut_outs=shut_outs,
            server_watch=mock.Mock(),
            paths=mock.Mock(),
            silences=mock.Mock(),
            hand_on=mock.Mock(),
        )
        trio.run(path.serve, work)
        work.pass_on.assert_awaited_once_with(FAILURE)


if __name__ == '__main__':
    unittest.main()
