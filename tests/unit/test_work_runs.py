"""Counts the servers that may have run a request, if its call is cancelled."""

import types
import unittest

import trio
import trio.testing

from bluebellthread.entry import _concurrency
from bluebellthread.entry import _work
from bluebellthread import platform


def make_work():
    request = types.SimpleNamespace(
        header=lambda name: '',
        method=b'GET',
        host='h',
        target=b'/',
        headers=(),
        body=b'',
        received_ms=0,
    )
    return _work.Work(
        exchange=types.SimpleNamespace(request=request),
        route=types.SimpleNamespace(timeout_ms=8000, run_max=2),
        service='plain',
        table_version=1,
        dialect=platform.make_dialect(),
        stats=None,
        admission=None,
    )


class TestRunsOfCancelledCalls(unittest.TestCase):
    def test_call_that_is_cancelled_while_it_waits_counts_as_run(self):
        async def check():
            work = make_work()
            with trio.move_on_after(1):
                with work.sending('s1'):
                    # As an exchange waits for the head of an answer.
                    await _concurrency.run_beside(
                        trio.sleep_forever, trio.sleep_forever
                    )
            self.assertEqual(
                (0, 1, True),
                (work.in_flight_count, work.run_count, work.may_have_run),
            )

        trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_call_that_fails_is_counted_by_its_failure(self):
        work = make_work()
        with self.assertRaises(ValueError), work.sending('s1'):
            raise ValueError
        self.assertEqual(0, work.run_count)


if __name__ == '__main__':
    unittest.main()
