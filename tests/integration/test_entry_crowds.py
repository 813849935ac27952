"""Crowds of clients that send malformed, unfinished or oversized requests.

Each test starts the real program with lowered limits, as in
test_entry_floods. The crowds and the bounds were set on the code of c99f665;
docs/design/memory-for-clients.md has what they showed there.
"""

import contextlib
import unittest

import trio

from tests.integration import _entry_site as sites
from tests.integration import test_entry_floods as floods
from tests.integration.test_entry_plain import run

BODY_MAX_BYTES = 4 * 1024 * 1024
"""Longest body that the configuration allows."""

HEADERS_OF_16_KB = 1650
"""Number of headers of 9 bytes in a head of 15 KB."""


def make_head(path, *lines, request_id='crowd', deadline_ms=3000):
    return (
        '\r\n'.join(
            [
                f'POST {path} HTTP/1.1',
                f'Host: {sites.HOST}',
                f'X-Request-Attempt-Id: {request_id}',
                f'X-Deadline-Ms: {deadline_ms}',
                *lines,
            ]
        )
        + '\r\n\r\n'
    ).encode()


def make_chunks(chunk_bytes, body_bytes):
    """Return the chunks of a body, without the last one, which ends it."""
    data = chunk_bytes * b'c'
    chunk = b'%x\r\n%s\r\n' % (len(data), data)
    return (body_bytes // chunk_bytes) * chunk


CHUNKED = make_head('/held/x', 'Transfer-Encoding: chunked')
LAST_CHUNK = b'0\r\n\r\n'


class TestCrowds(unittest.TestCase):
    fd_limit = floods.MANY_FDS

    async def send_to_each(self, flood, count, data):
        """Send the same bytes on new connections, and read to their end.

        The process must end each of them; they stay open at the other side.
        """
        async with trio.open_nursery() as nursery:
            for stream in await flood.connect(count):
                flood.send(stream, data)
                nursery.start_soon(self.read_to_end, stream)

    async def read_to_end(self, stream):
        # A client that has sent more than was read may get a reset.
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some(65536):
                pass

    # Guards against a process that parses short chunks and does nothing else.
    @run
    async def test_chunks_have_one_byte(self):
        async with floods.flooding(self) as flood:
            data = CHUNKED + make_chunks(1, 300_000)
            await self.send_to_each(flood, 60, data)

    @run
    async def test_chunks_have_three_bytes(self):
        async with floods.flooding(self) as flood:
            data = CHUNKED + make_chunks(3, 900_000)
            await self.send_to_each(flood, 60, data)

    # Guards against bodies that are copied or leave gaps when they are held.
    @run
    async def test_bodies_in_long_chunks_stop_before_their_end(self):
        async with floods.flooding(self) as flood:
            data = CHUNKED + make_chunks(256 * 1024, 15 * 256 * 1024)
            await self.send_to_each(flood, 200, data)

    # Guards against memory that is kept for refused clients while they send.
    @run
    async def test_bodies_over_the_limit_are_sent(self):
        async with floods.flooding(self) as flood:
            data = CHUNKED + make_chunks(64 * 1024, 16 * BODY_MAX_BYTES)
            await self.send_to_each(flood, 60, data)

    @run
    async def test_bodies_over_the_limit_are_announced(self):
        async with floods.flooding(self) as flood:
            head = make_head('/held/x', f'Content-Length: {2**30}')
            await self.send_to_each(
                flood, 100, head + 2 * BODY_MAX_BYTES * b'a'
            )

    # Guards against a crowd that comes back as soon as it was refused.
    @run
    async def test_refused_crowd_comes_back(self):
        async with floods.flooding(self) as flood:
            data = (
                CHUNKED + make_chunks(3, 120_000) + make_chunks(65536, 2**20)
            )
            for _ in range(4):
                await self.send_to_each(flood, 40, data)
                await flood.call('between')

    # Guards against lines that take time by the square of their length.
    @run
    async def test_chunk_extensions_are_blank(self):
        async with floods.flooding(self) as flood:
            line = b'1;' + 60_000 * b' ' + b'\n\r\n'
            await self.send_to_each(flood, 8, CHUNKED + line)

    @run
    async def test_header_values_are_blank(self):
        async with floods.flooding(self) as flood:
            head = make_head('/held/x', 'X-Blank: ' + 60_000 * ' ' + '\x0b')
            await self.send_to_each(flood, 8, head)

    @run
    async def test_trailers_are_blank(self):
        async with floods.flooding(self) as flood:
            trailer = b'0\r\nX-Blank: ' + 60_000 * b' ' + b'\x0b\r\n\r\n'
            await self.send_to_each(flood, 8, CHUNKED + trailer)

    # Guards against framing that is held or copied beyond its own length.
    @run
    async def test_chunk_extensions_are_long(self):
        async with floods.flooding(self) as flood:
            chunk = b'1;' + 15_000 * b'e' + b'\r\nc\r\n'
            await self.send_to_each(flood, 60, CHUNKED + 200 * chunk)

    @run
    async def test_chunk_extensions_never_end(self):
        async with floods.flooding(self) as flood:
            line = b'1;' + 16_000 * b'e'
            await self.send_to_each(flood, 250, CHUNKED + line)

    @run
    async def test_trailers_are_many(self):
        async with floods.flooding(self) as flood:
            trailers = b'0\r\n' + 3_900 * b't:\r\n' + b'\r\n'
            await self.send_to_each(flood, 120, 4 * (CHUNKED + trailers))

    # Guards against headers that count for less than they take (review/9).
    @run
    async def test_headers_are_many_and_short(self):
        async with floods.flooding(self) as flood:
            lines = [f'{number:03x}: ab' for number in range(HEADERS_OF_16_KB)]
            head = make_head('/held/x', 'Content-Length: 2', *lines)
            await self.send_to_each(flood, 180, head + b'ab')

    @run
    async def test_headers_are_the_shortest(self):
        async with floods.flooding(self) as flood:
            lines = 3_900 * ['a:']
            head = make_head('/held/x', 'Content-Length: 2', *lines)
            await self.send_to_each(flood, 120, head + b'ab')

    # Guards against ids that pooled connections to servers remember.
    @run
    async def test_request_ids_are_long(self):
        async with floods.flooding(self) as flood:
            async with trio.open_nursery() as nursery:
                for stream in await flood.connect(8):
                    nursery.start_soon(self.call_with_long_ids, stream)

    async def call_with_long_ids(self, stream):
        caller = sites.Caller(stream)
        for number in range(200):
            request_id = f'{id(stream)}-{number}-'.ljust(15_000, 'i')
            await stream.send_all(
                make_head(
                    '/read/x', 'Content-Length: 0', request_id=request_id
                )
            )
            self.assertEqual(200, (await caller.read_answer()).status)

    # Guards against long bodies that meet long answers (review/6).
    @run
    async def test_long_bodies_get_long_answers(self):
        async with floods.flooding(self) as flood:
            bodies = [size * b'b' for size in (100_000, 300_000, 700_000)]
            async with trio.open_nursery() as nursery:
                for number in range(60):
                    body = bodies[number % len(bodies)]
                    nursery.start_soon(self.exchange_long, flood, body)

    async def exchange_long(self, flood, body):
        for _ in range(4):
            (stream,) = await flood.connect()
            flood.send(stream, floods.make_calls('large', 1, 'POST', body))
            # The helper fails on the head of an answer that does not come.
            with contextlib.suppress(AttributeError, trio.BrokenResourceError):
                await sites.Caller(stream).read_answer()
            await stream.aclose()

    # Guards against bounds that hold for each kind of client alone.
    @run
    async def test_crowds_are_mixed(self):
        async with floods.flooding(self) as flood:
            for data in (
                CHUNKED + make_chunks(1, 100_000),
                CHUNKED + make_chunks(256 * 1024, 15 * 256 * 1024),
                CHUNKED + make_chunks(64 * 1024, 4 * BODY_MAX_BYTES),
                CHUNKED + b'1;' + 16_000 * b'e',
                make_head('/held/x', 'Content-Length: 2', *3_900 * ['a:']),
                floods.make_calls('large', 4),
                floods.make_calls('held', 200, 'POST'),
            ):
                for stream in await flood.connect(20):
                    flood.send(stream, data)
            await flood.wait_answered()

    # Guards against clients that are served worse than before: a request
    # inside the limits is served, however it is divided into chunks.
    @run
    async def test_longest_body_in_short_chunks_is_served(self):
        async with floods.flooding(self) as flood:
            body = make_chunks(4, BODY_MAX_BYTES) + LAST_CHUNK
            head = make_head(
                '/long/x', 'Transfer-Encoding: chunked', deadline_ms=60_000
            )
            (stream,) = await flood.connect()
            flood.send(stream, head + body)
            answer = await sites.Caller(stream).read_answer()
            self.assertEqual(200, answer.status)

    # Guards against refusals that no client can read.
    @run
    async def test_client_that_sends_before_it_reads_gets_the_refusal(self):
        async with floods.flooding(self) as flood:
            head = make_head('/held/x', f'Content-Length: {2**30}')
            (stream,) = await flood.connect()
            await stream.send_all(head + 8 * BODY_MAX_BYTES * b'a')
            answer = await sites.Caller(stream).read_answer()
            self.assertEqual(413, answer.status)
            await self.read_to_end(stream)
