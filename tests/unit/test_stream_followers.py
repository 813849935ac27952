"""Which servers an attempt beside a silent one may use."""

import types
import unittest
from unittest import mock

import trio

from bluebellthread.entry import _server_calls
from bluebellthread.entry import _stream_attempts
from bluebellthread.entry import _stream_context


def make_attempts(*, silent, spent):
    """Return attempts at one request while some servers are silent."""

    def spend(service, count):
        spent.append(count)
        return True

    context = types.SimpleNamespace(
        **dict.fromkeys(
            (
                'caller',
                'dialect',
                'origins',
                'paths',
                'placements',
                'server_watch',
                'shut_outs',
                'stats',
            )
        ),
        state=types.SimpleNamespace(settings=types.SimpleNamespace(vm='v')),
        budgets=types.SimpleNamespace(spend=spend),
        silences=types.SimpleNamespace(list_avoided=lambda: silent),
    )
    return _stream_attempts.StreamAttempts(
        work=types.SimpleNamespace(
            service='model', run_count=1, in_flight_count=0, repeat_count=2
        ),
        context=context,
        relay=types.SimpleNamespace(begun_by=None, began_ms=None),
        hop=None,
        cut_runs=None,
        caller_age_ms=0,
    )


def make_follower():
    """Return an attempt beside one that waits for d1."""
    return types.SimpleNamespace(
        is_follower=True,
        is_paid=False,
        others=(types.SimpleNamespace(waits_for='d1'),),
        begin=lambda: None,
        note_idle=lambda: None,
    )


def make_placement(decode_server):
    return types.SimpleNamespace(
        prefill_server='p1', decode_server=decode_server, failed_prefill=''
    )


class TestServersOfFollowers(unittest.TestCase):
    def check_not_used(self, decode_server, silent):
        spent = []
        attempts = make_attempts(silent=silent, spent=spent)
        with self.assertRaises(_stream_context.NoPlacementError):
            attempts._check_follower(
                make_follower(), make_placement(decode_server)
            )
        self.assertEqual([], spent)

    def test_server_that_the_other_attempt_waits_for_is_not_used(self):
        self.check_not_used('d1', ())

    def test_server_that_keeps_other_requests_waiting_is_not_used(self):
        self.check_not_used('d2', ('d1', 'd2'))

    def test_server_that_is_not_silent_is_paid_for_and_used(self):
        spent = []
        attempts = make_attempts(silent=('d1', 'p1'), spent=spent)
        follower = make_follower()
        follower.run = types.SimpleNamespace(is_ended=False)
        attempts._placements = mock.Mock()
        attempts._admit = mock.AsyncMock(return_value={'d2': None})
        attempts._connect = mock.AsyncMock(return_value=mock.AsyncMock())
        attempts._run_prefill = mock.AsyncMock(return_value=None)
        attempts._decode = mock.AsyncMock()
        trio.run(attempts._use, follower, make_placement('d2'))
        attempts._decode.assert_awaited_once()
        self.assertEqual([2], spent)

    def test_server_that_takes_no_further_request_costs_no_retry(self):
        spent = []
        attempts = make_attempts(silent=('d1',), spent=spent)

        async def admit(placement):
            raise _server_calls.ServerLimitedError(
                placement.decode_server, retry_after_ms=100
            )

        attempts._placements = mock.Mock()
        attempts._admit = admit
        follower = make_follower()
        follower.run = types.SimpleNamespace(is_ended=False)
        with self.assertRaises(_server_calls.ServerLimitedError):
            trio.run(attempts._use, follower, make_placement('d2'))
        self.assertEqual([], spent)


if __name__ == '__main__':
    unittest.main()
