"""Long bodies of requests, which share a bounded memory."""

import contextlib
import unittest

import trio

from bluebellthread.core._body_budget import FREE_BYTES
from bluebellthread.entry import _service
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

MEMORY_MB = 8
BODIES_BYTES = MEMORY_MB * _service.MB_BYTES // _service.BODIES_PART
LONG_BYTES = BODIES_BYTES - 1000


def make_head(request_id, framing, path='/order/x'):
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {sites.HOST}',
        f'X-Request-Attempt-Id: {request_id}',
        'X-Deadline-Ms: 9000',
        framing,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def make_chunk(data):
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def count_runs(site):
    return sum(len(server.runs) for server in site.servers.values())


class TestLongBodies(unittest.TestCase):
    @contextlib.asynccontextmanager
    async def half_sent(self, site):
        """Send all but one byte of a body that takes most of the memory."""
        control = site.entry._control
        async with (
            await site.connect() as announcing,
            await site.connect() as caller,
        ):
            await announcing.stream.send_all(
                make_head('announced', f'Content-Length: {LONG_BYTES}')
            )
            await caller.stream.send_all(
                make_head('long', f'Content-Length: {LONG_BYTES}')
                + (LONG_BYTES - 1) * b'a'
            )
            await sites.wait_until(
                lambda: (
                    control.length_budget.used_bytes > BODIES_BYTES
                    and control.body_budget.used_bytes
                    > BODIES_BYTES - 2 * FREE_BYTES
                )
            )
            yield caller

    async def wait_released(self, site):
        control = site.entry._control
        await sites.wait_until(
            lambda: (
                not control.body_budget.used_bytes
                and not control.length_budget.used_bytes
            )
        )

    def check_refused(self, answer):
        self.assertEqual(503, answer.status)
        self.assertIn(b'no-memory', answer.body)
        self.assertLess(0, float(answer.headers['retry-after']))
        self.assertEqual('close', answer.headers['connection'])

    # Guards against a process that exceeds its memory and is killed, with all
    # its requests, since many callers send long bodies (review/4).
    @run
    async def test_body_without_memory_is_refused_before_it_is_read(self):
        async with sites.running_site(memory_max_mb=MEMORY_MB) as site:
            async with self.half_sent(site) as first:
                async with await site.connect() as second:
                    # The refusal comes before the body, which is then sent
                    # whole, and dropped.
                    await second.stream.send_all(
                        make_head('refused', f'Content-Length: {LONG_BYTES}')
                    )
                    self.check_refused(await second.read_answer())
                    await second.stream.send_all(LONG_BYTES * b'b')
                self.assertEqual(0, count_runs(site))
                short = await site.call('POST', '/order/x', b'short')
                self.assertEqual(200, short.status)
                await first.stream.send_all(b'a')
                answer = await first.read_answer()
                self.assertEqual(200, answer.status)
                self.assertTrue(answer.body.endswith(LONG_BYTES * b'a'))
            await self.wait_released(site)
            again = await site.call('POST', '/order/x', LONG_BYTES * b'b')
            self.assertEqual(200, again.status)
            self.assertEqual(3, count_runs(site))

    @run
    async def test_chunked_body_without_memory_is_refused(self):
        async with sites.running_site(memory_max_mb=MEMORY_MB) as site:
            async with self.half_sent(site):
                async with await site.connect() as second:
                    await second.stream.send_all(
                        make_head('chunked', 'Transfer-Encoding: chunked')
                        + make_chunk(200_000 * b'b')
                    )
                    self.check_refused(await second.read_answer())
            self.assertEqual(0, count_runs(site))
            await self.wait_released(site)

    # Guards against a request that is given up, though another VM has the
    # memory for it.
    @run
    async def test_request_of_another_vm_without_memory_is_not_taken(self):
        async with sites.running_site(memory_max_mb=MEMORY_MB) as site:
            async with self.half_sent(site):
                stream = await trio.open_tcp_stream(
                    '127.0.0.1', site.entry.ports['relay_port']
                )
                async with sites.Caller(stream) as vm:
                    await vm.stream.send_all(
                        make_head('hop', f'Content-Length: {LONG_BYTES}')
                    )
                    answer = await vm.read_answer()
            self.assertEqual(503, answer.status)
            self.assertEqual(
                'busy', answer.headers['bluebellthread-not-taken']
            )
            self.assertEqual(0, count_runs(site))

    @run
    async def test_length_over_the_limit_is_refused_before_the_body(self):
        async with sites.running_site() as site:
            for length in ('4194305', f'{10**19}'):
                async with await site.connect() as caller:
                    await caller.stream.send_all(
                        make_head('long', f'Content-Length: {length}')
                    )
                    self.assertEqual(413, (await caller.read_answer()).status)

    # Guards against a client that is answered long after its deadline, since
    # the deadline isn't looked at while a body arrives (review/7).
    @run
    async def test_deadline_that_passes_while_a_body_arrives_is_kept(self):
        async with sites.running_site() as site:
            async with await site.connect() as caller:
                head = make_head('late', 'Transfer-Encoding: chunked')
                head = head.replace(b'9000', b'300')
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.send_slowly, caller.stream, head)
                    answer = await caller.read_answer()
                    nursery.cancel_scope.cancel()
                self.assertEqual(408, answer.status)
                self.assertEqual('close', answer.headers['connection'])
            self.assertEqual(0, count_runs(site))
            await self.wait_released(site)

    async def send_slowly(self, stream, head):
        """Send a body that never ends, with pauses that are allowed."""
        await stream.send_all(head)
        while True:
            await stream.send_all(make_chunk(b'slow'))
            await trio.sleep(0.05)

    # Guards against a client that sends its whole body before it reads, and
    # finds its connection reset in place of the refusal.
    @run
    async def test_refusal_is_read_after_a_body_that_is_sent_whole(self):
        async with sites.running_site() as site:
            for framing in (
                'Content-Length: 40000000',
                'Transfer-Encoding: x',
            ):
                async with await site.connect() as caller:
                    await caller.stream.send_all(make_head('long', framing))
                    for _ in range(30):
                        await caller.stream.send_all(100_000 * b'a')
                        await trio.sleep(0.05)
                    answer = await caller.read_answer()
                    self.assertIn(answer.status, (413, 501))
                    self.assertFalse(await caller.has_more())
