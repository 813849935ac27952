"""Requests in any division into bytes, chunks and lines."""

import random
import unittest

import h11

from bluebellthread import core
from bluebellthread.core import _chunked_body
from bluebellthread.entry import _request_parser

HEAD = b'POST /x HTTP/1.1\r\nHost: a\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
LINE_MAX_BYTES = 1000
SEED = 20261207
RANDOM_REQUESTS = 3000
PARTS = (
    b'\r\n',
    b'\n',
    b'\r',
    b' ',
    b'\t',
    b':',
    b'0',
    b'3',
    b';x',
    b'abc',
    b'\x00',
    b' folded\r\n',
    b'X-A: b\r\n',
    b'X-A: \x0b\r\n',
    b'0\r\n\r\n',
    b'3\r\nabc\r\n',
    b'1;e=f\r\nz\r\n',
)


def parse(data, *, piece_sizes=(1 << 20,), max_bytes=LINE_MAX_BYTES):
    """Parse one request; return its body, what follows it, and the steps.

    The body is None if the request is not whole.
    """
    parser = _request_parser.RequestParser(h11.Connection(h11.SERVER))
    body = b''
    begin = 0
    steps = 0
    while True:
        steps += 1
        event = parser.next_event(max_bytes)
        if isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            rest_bytes = parser.ahead_bytes + len(data[begin:])
            return body, data[len(data) - rest_bytes :], steps
        elif event is h11.NEED_DATA:
            if begin >= len(data):
                return None, b'', steps
            end = begin + piece_sizes[steps % len(piece_sizes)]
            parser.receive(data[begin:end])
            begin = end


def parse_by_h11(data):
    """Return what `parse` returns, without the steps."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(data)
    body = b''
    while True:
        event = conn.next_event()
        if isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return body, conn.trailing_data[0]
        elif event is h11.NEED_DATA:
            return None, b''


def make_random_request(rng):
    def draw(count_max):
        return b''.join(rng.choices(PARTS, k=rng.randrange(count_max + 1)))

    framing = rng.choice(
        (b'Transfer-Encoding: chunked\r\n', b'Content-Length: 5\r\n', b'')
    )
    mistakes = draw(3) if rng.random() < 0.3 else b''
    return HEAD + mistakes + framing + b'\r\n' + draw(8)


class TestParser(unittest.TestCase):
    def check_refused(self, status, data, **options):
        with self.assertRaises(_request_parser.BadRequestError) as raised:
            parse(data, **options)
        self.assertEqual(status, raised.exception.status)

    def test_random_requests_are_parsed_as_by_h11(self):
        rng = random.Random(SEED)
        whole = 0
        for _ in range(RANDOM_REQUESTS):
            data = make_random_request(rng)
            with self.subTest(data=data):
                try:
                    body, rest, _ = parse(
                        data, piece_sizes=rng.choices((1, 2, 7, 99), k=5)
                    )
                except _request_parser.BadRequestError:
                    # A line with a bare CR or LF may be refused before its
                    # end, for which h11 waits.
                    self.check_not_whole_by_h11(data)
                    continue
                self.assertEqual((body, rest), parse_by_h11(data))
                whole += body is not None
        self.assertLess(RANDOM_REQUESTS / 10, whole)

    def check_not_whole_by_h11(self, data):
        try:
            body, _ = parse_by_h11(data)
        except h11.RemoteProtocolError:
            return
        self.assertIsNone(body)

    # Guards against a process that does nothing else while a buffer of short
    # chunks is parsed.
    def test_one_step_parses_a_bounded_number_of_chunks(self):
        count = 10 * _chunked_body.CHUNKS_MAX
        data = CHUNKED + count * b'1\r\na\r\n' + b'0\r\n\r\n'
        body, _, steps = parse(data)
        self.assertEqual(count * b'a', body)
        self.assertLess(10, steps)

    # Guards against lines that take time by the square of their length: each
    # of these would take minutes.
    def test_blank_lines_take_no_time(self):
        blanks = 200_000 * b' '
        for data in (
            HEAD + b'X-A:' + blanks + b'\x0b\r\n\r\n',
            HEAD + b'X-A:' + blanks + b'\r\r\n\r\n',
            CHUNKED + b'1;' + blanks + b'\n\r\n',
            CHUNKED + b'1' + blanks + b'\x00\r\n',
            CHUNKED + b'0\r\nX-A:' + blanks + b'\x00\r\n\r\n',
        ):
            self.check_refused(400, data, max_bytes=len(data))

    def test_parts_that_are_too_long_are_refused(self):
        long = (LINE_MAX_BYTES + 1) * b'a'
        for data in (
            b'GET /' + long,
            b'GET /' + long + b' HTTP/1.1\r\nHost: a\r\n\r\n',
            HEAD + long,
            HEAD + b'X-A: ' + long + b'\r\n\r\n',
            CHUNKED + b'1;' + long,
            CHUNKED + b'0\r\nX-A: ' + long,
            CHUNKED + b'0\r\nX-A: ' + long + b'\r\n\r\n',
        ):
            self.check_refused(431, data)
            self.check_refused(431, data, piece_sizes=(100,))

    def test_headers_of_the_greatest_length_are_taken(self):
        headers = b'Host: a\r\nX-A: '
        headers += (LINE_MAX_BYTES - len(headers) - 4) * b'a' + b'\r\n\r\n'
        body, _, _ = parse(b'GET / HTTP/1.1\r\n' + headers)
        self.assertEqual(b'', body)

    def test_ambiguous_framing_is_refused(self):
        for lines in (
            b'Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n',
            b'Content-Length: 3\r\nContent-Length: 4\r\n\r\n',
            b'Host: b\r\n\r\n',
        ):
            self.check_refused(400, HEAD + lines)


class TestChunks(unittest.TestCase):
    def test_malformed_chunks_are_refused_at_their_first_wrong_byte(self):
        for data in (b'x\r\n', b'-1\r\n', b'0x1\r\n', b'1\n', b'1\r\nabc'):
            with self.assertRaises(core.ChunkedBodyError, msg=data):
                core.ChunkedDecoder().decode(bytearray(data))

    def test_announced_chunk_is_known_before_it_arrives(self):
        decoder = core.ChunkedDecoder()
        self.assertEqual((b'', 6), decoder.decode(bytearray(b'ffff\r\n')))
        self.assertEqual(0xFFFF, decoder.rest_bytes)
