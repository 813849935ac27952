import json
import subprocess
import sys
import unittest

from bluebellthread import core
from bluebellthread.core import _body_blocks
from tests import _checkouts
from tests.unit import _growing_bodies

DOCUMENT = json.dumps({'text': 'a "wig"', 'count': [1, {'b': None}]}).encode()
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'


def read_body(content, content_type, framing=core.FRAMED_BY_CONNECTION):
    body = core.AnswerBody(
        framing=framing, content_type=content_type, size_max_bytes=1000
    )
    body.add(content)
    return body.finish()


class TestAnswerBody(unittest.TestCase):
    def test_whole_content_is_returned(self):
        for content, content_type in (
            (DOCUMENT, 'application/json'),
            (DOCUMENT, 'Application/Problem+JSON; charset=utf-8'),
            (EVENTS, 'text/event-stream'),
            (b'any text', 'text/plain'),
            (b'', ''),
        ):
            self.assertEqual(content, read_body(content, content_type))

    def test_each_cut_of_a_document_is_noticed(self):
        for count in range(len(DOCUMENT)):
            for content_type in ('application/json', 'a/b+json'):
                with self.assertRaises(core.AnswerCutOffError):
                    read_body(DOCUMENT[:count], content_type)

    def test_cuts_inside_an_event_are_noticed(self):
        event_bytes = len(EVENTS) // 2
        for count in range(event_bytes):
            with self.assertRaises(core.AnswerCutOffError):
                read_body(EVENTS[:count], 'text/event-stream')

    def test_content_with_a_marked_end_is_not_judged(self):
        for framing in (
            core.FRAMED_BY_CHUNKS,
            core.FRAMED_BY_LENGTH,
            core.FRAMED_WITHOUT_BODY,
        ):
            self.assertEqual(
                b'{', read_body(b'{', 'application/json', framing)
            )

    def test_too_long_body_is_not_kept(self):
        body = core.AnswerBody(
            framing=core.FRAMED_BY_CHUNKS, content_type='', size_max_bytes=4
        )
        body.add(b'1234')
        with self.assertRaises(core.AnswerTooLongError):
            body.add(b'5')
        self.assertEqual(4, body.size_bytes)

    def test_pieces_of_any_size_are_joined_in_order(self):
        block_bytes = _body_blocks.BLOCK_BYTES
        content = bytes(n % 251 for n in range(3 * block_bytes + 7))
        for size_bytes in (
            1000,
            block_bytes - 1,
            block_bytes,
            block_bytes + 1,
            len(content),
        ):
            budget = core.BodyBudget(len(content))
            body = core.AnswerBody(
                framing=core.FRAMED_BY_LENGTH,
                content_type='',
                size_max_bytes=len(content),
                budget=budget,
            )
            for begin in range(0, len(content), size_bytes):
                self.assertEqual(begin, body.size_bytes)
                body.add(content[begin : begin + size_bytes])
            with self.assertRaises(core.AnswerTooLongError):
                body.add(b'1')
            self.assertEqual(content, body.finish())
            self.assertLess(0, budget.used_bytes)
            body.close()
            self.assertEqual(0, budget.used_bytes)


class TestMemory(unittest.TestCase):
    # Guards against long answers that take twice the memory they share,
    # since each was moved as it grew and left gaps.
    def test_bodies_that_grow_side_by_side_leave_no_gaps(self):
        ended = subprocess.run(
            [sys.executable, '-m', 'tests.unit._growing_bodies'],
            cwd=_checkouts.ROOT,
            env=_checkouts.make_environment(_checkouts.ROOT),
            stdout=subprocess.PIPE,
            check=True,
        )
        self.assertLess(int(ended.stdout), 1.5 * _growing_bodies.BUDGET_BYTES)


class TestFraming(unittest.TestCase):
    def test_framing_is_found_in_the_head(self):
        length = (b'content-length', b'3')
        chunks = (b'Transfer-Encoding', b'chunked')
        for expected, status, headers, method in (
            (core.FRAMED_BY_LENGTH, 200, [length], b'GET'),
            (core.FRAMED_BY_CHUNKS, 200, [chunks], b'GET'),
            (core.FRAMED_BY_CONNECTION, 200, [], b'POST'),
            (core.FRAMED_BY_CONNECTION, 500, [], b'GET'),
            (core.FRAMED_WITHOUT_BODY, 200, [], b'HEAD'),
            (core.FRAMED_WITHOUT_BODY, 204, [], b'GET'),
            (core.FRAMED_WITHOUT_BODY, 304, [length], b'GET'),
        ):
            self.assertEqual(
                expected, core.find_framing(status, headers, method=method)
            )
