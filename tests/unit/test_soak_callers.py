"""The callers of the soak beside servers made by hand."""

import types
import unittest

import trio
import trio.testing

from tests.integration import _entry_site
from tests.soak import _callers
from tests.soak import _stop_callers


class TestStopCallers(unittest.TestCase):
    """Two requests that are written ahead."""

    def test_what_was_written_ahead_is_behind_a_close(self):
        records = self.call(
            b'HTTP/1.1 503 Busy\r\nConnection: close\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.assertEqual([503, None], [item.status for item in records])
        self.assertEqual(
            [False, True], [item.is_behind_end for item in records]
        )
        self.assertFalse(records[0].brings_more)

    def test_what_was_written_ahead_is_behind_a_cut_answer(self):
        records = self.call(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut')
        self.assertEqual([False, False], [item.whole for item in records])
        self.assertEqual(
            [False, True], [item.is_behind_end for item in records]
        )

    def test_answer_after_a_close_is_noticed(self):
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
        records = self.call(
            answer + b'Connection: close\r\n\r\n' + answer + b'\r\n'
        )
        self.assertTrue(records[0].brings_more)

    def test_answers_are_read_in_turn(self):
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
        records = self.call(2 * answer)
        self.assertEqual([200, 200], [item.status for item in records])
        self.assertEqual(records[0].ended_s, records[1].turn_s)

    def call(self, answers):
        """Return the records of two requests that get these bytes."""
        records = []

        async def run():
            ours, theirs = trio.testing.memory_stream_pair()
            callers = types.SimpleNamespace(records=records, is_stopped=False)
            vm = types.SimpleNamespace(name='vm0')
            exchange = _stop_callers.Exchange(
                callers=callers,
                caller=_entry_site.Caller(ours),
                make_record=lambda is_kept: _callers.CallRecord(
                    request_id=f's{len(records)}',
                    kind='order',
                    vm=vm.name,
                    begun_s=trio.current_time(),
                    is_kept=is_kept,
                ),
            )

            async def answer():
                received = b''
                while received.count(b'POST') < 2:
                    received += await theirs.receive_some(65536)
                await theirs.send_all(answers)
                await theirs.aclose()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer)
                await exchange.run([_stop_callers.Sending()] * 2)

        trio.run(run)
        return records


class TestSending(unittest.TestCase):
    DATA = b'POST /order/x HTTP/1.1\r\nHost: a\r\n\r\n' + b'.' * 40

    def test_pieces_are_the_whole_request_and_take_their_time(self):
        sending = _stop_callers.Sending(head_s=2.0, body_s=4.0)
        pieces = sending.cut(self.DATA)
        self.assertEqual(self.DATA, b''.join(part for _, part in pieces))
        total_s = sum(pause_s for pause_s, _ in pieces)
        self.assertAlmostEqual(6.0, total_s, delta=0.5)

    def test_request_that_takes_no_time_is_one_piece(self):
        self.assertEqual(
            [(0.0, self.DATA)], _stop_callers.Sending().cut(self.DATA)
        )
