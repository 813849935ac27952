import functools
import unittest

import trio

from standin.site import _backend
from standin.site import _connection
from tests.integration import _entry_site as sites


def run(test):
    """Run an ``async`` test method in an event loop of its own."""

    @functools.wraps(test)
    def wrapper(self):
        trio.run(test, self)

    return wrapper


async def reset(request):
    await request.reset()


async def refuse(request):
    await request.answer(503, headers=[('x-not-executed', '1')])


def fail_with(server, status):
    async def fail(request):
        server.runs.append(request)
        await request.answer(status, b'bad', server.answer_headers(request))

    return fail


def runs_of(site):
    return sum(len(server.runs) for server in site.servers.values())


class TestAnswers(unittest.TestCase):
    @run
    async def test_server_answer_is_passed_on(self):
        async with sites.running_site() as site:
            answer = await site.call('POST', '/order/x?q=1', b'two wigs')
            self.assertEqual(200, answer.status)
            self.assertIn(b'two wigs', answer.body)
            self.assertIn('seal-of-s', answer.headers['x-server-seal'])
            (server,) = [s for s in site.servers.values() if s.runs]
            sent = server.runs[0]
            self.assertEqual('/order/x?q=1', sent.target)
            self.assertLessEqual(int(sent.headers['x-deadline-ms']), 8000)

    @run
    async def test_router_only_headers_of_callers_are_dropped(self):
        async with sites.running_site(plain=('s1',)) as site:
            await site.call(
                'POST',
                '/order/x',
                headers=['X-Kv-Source: 10.0.0.1:1/h', 'X-Other: kept'],
            )
            sent = site.servers['s1'].runs[0].headers
            self.assertNotIn('x-kv-source', sent)
            self.assertEqual('kept', sent['x-other'])

    @run
    async def test_unknown_route_is_404_and_no_configuration_503(self):
        async with sites.running_site() as site:
            answer = await site.call('GET', '/nowhere/')
            self.assertEqual(404, answer.status)
            site.entry.state.table = type(site.entry.state.table)()
            answer = await site.call('GET', '/nowhere/')
            self.assertEqual(503, answer.status)
            self.assertIn('retry-after', answer.headers)

    # Guards against a refusal that blames the configuration while only the
    # list of servers is missing.
    @run
    async def test_refusal_names_what_is_not_known_yet(self):
        async with sites.running_site() as site:
            state = site.entry.state
            state.has_servers = False
            answer = await site.call('GET', '/read/x')
            self.assertEqual(503, answer.status)
            self.assertIn(b'no-server-list', answer.body)
            state.table = type(state.table)()
            answer = await site.call('GET', '/read/x')
            self.assertEqual(503, answer.status)
            self.assertIn(b'no-configuration', answer.body)

    @run
    async def test_connection_serves_many_requests(self):
        async with sites.running_site() as site:
            async with await site.connect() as caller:
                for number in range(3):
                    answer = await caller.call(
                        'GET', '/read/x', request_id=f'id-{number}'
                    )
                    self.assertEqual(200, answer.status)


class TestRetries(unittest.TestCase):
    @run
    async def test_idempotent_request_is_retried_after_a_failure(self):
        async with sites.running_site() as site:
            for server in site.servers.values():
                server.script.append(fail_with(server, 500))
            answer = await site.call('GET', '/read/x')
            # Each of the two servers may run the request once.
            self.assertEqual(500, answer.status)
            self.assertEqual(2, runs_of(site))
            answer = await site.call('GET', '/read/x', request_id='id-2')
            self.assertEqual(200, answer.status)

    @run
    async def test_at_most_once_request_is_not_retried_once_written(self):
        async with sites.running_site() as site:
            for server in site.servers.values():
                server.script.append(reset)
            answer = await site.call('POST', '/order/x', b'one wig')
            self.assertEqual(502, answer.status)
            arrivals = sum(len(s.arrivals) for s in site.servers.values())
            self.assertEqual(1, arrivals)

    @run
    async def test_at_most_once_request_is_retried_after_a_refusal(self):
        async with sites.running_site() as site:
            for server in site.servers.values():
                server.script.append(refuse)
            site.servers['s1'].script.clear()
            answer = await site.call('POST', '/order/x', b'one wig')
            self.assertEqual(200, answer.status)
            self.assertEqual(1, runs_of(site))

    @run
    async def test_refusal_by_all_servers_is_answered_as_not_run(self):
        async with sites.running_site() as site:
            for server in site.servers.values():
                server.script.append(refuse)
            answer = await site.call('POST', '/order/x', b'one wig')
            self.assertEqual(503, answer.status)
            self.assertIn('retry-after', answer.headers)
            self.assertEqual(0, runs_of(site))

    @run
    async def test_connection_of_a_refused_call_is_pooled_only_once(self):
        # A connection that was returned to the pool twice served two
        # requests at once.
        async with sites.running_site(plain=('s1',)) as site:
            server = site.servers['s1']
            server.script.append(refuse)
            await site.call('GET', '/read/x')
            idle = site.entry._connections._idle
            kept = [item for items in idle.values() for item, _ in items]
            self.assertEqual(len(set(map(id, kept))), len(kept))

    @run
    async def test_503_without_not_run_header_is_answered_as_502(self):
        async with sites.running_site(plain=('s1',)) as site:
            server = site.servers['s1']
            server.script.append(fail_with(server, 503))
            answer = await site.call('POST', '/order/x', b'one wig')
            self.assertEqual(502, answer.status)


class TestUnusualAnswers(unittest.TestCase):
    async def check_order(self, site, answer_bytes, status):
        async def send_raw(request):
            await request.stream.send_all(answer_bytes(request))
            request.keeps_connection = False

        site.servers['s1'].script.append(send_raw)
        answer = await site.call('POST', '/order/x', b'one wig')
        self.assertEqual(status, answer.status)
        return answer

    @run
    async def test_late_answer_to_another_request_is_skipped(self):
        async with sites.running_site(plain=('s1',)) as site:
            server = site.servers['s1']

            def two_answers(request):
                foreign = [('x-request-attempt-id', 'older')]
                return _connection.make_answer(
                    200, b'foreign', foreign
                ) + _connection.make_answer(
                    200, b'own', server.answer_headers(request)
                )

            answer = await self.check_order(site, two_answers, 200)
            self.assertEqual(b'own', answer.body)

    # Guards against a copy of an answer, sent late, that is taken for the
    # answer to the next request on the connection.
    @run
    async def test_late_copies_of_an_earlier_answer_go_to_nobody(self):
        copies = {
            'with the id': [('x-request-attempt-id', 'i1')],
            'without an id': [],
        }
        for name, headers in copies.items():
            with self.subTest(name):
                async with sites.running_site(plain=('s1',)) as site:
                    server = site.servers['s1']

                    async def send_copy_first(
                        request, server=server, headers=headers
                    ):
                        copy = [('x-server-seal', 'seal-of-s1'), *headers]
                        await request.stream.send_all(
                            _connection.make_answer(200, b'private', copy)
                        )
                        await server.run(request)

                    await site.call('POST', '/order/x', request_id='i1')
                    server.script.append(send_copy_first)
                    answer = await site.call(
                        'POST', '/order/x', b'next', request_id='i2'
                    )
                    self.assertEqual(2, len(server.runs))
                    self.assertNotIn(b'private', answer.body)
                    self.assertIn(answer.status, (200, 502))

    @run
    async def test_bytes_after_an_answer_end_the_connection(self):
        async with sites.running_site(plain=('s1',)) as site:
            server = site.servers['s1']

            def extra(request):
                own = server.answer_headers(request)
                return _connection.make_answer(
                    200, b'own', own
                ) + _connection.make_answer(200, b'extra', own)

            answer = await self.check_order(site, extra, 200)
            self.assertEqual(b'own', answer.body)
            answer = await site.call('POST', '/order/x', b'next')
            self.assertIn(b'next', answer.body)

    @run
    async def test_success_without_server_seal_is_answered_as_502(self):
        async with sites.running_site(plain=('s1',)) as site:
            await self.check_order(
                site,
                lambda request: _connection.make_answer(200, b'x'),
                502,
            )

    @run
    async def test_encoded_answer_is_answered_as_502(self):
        async with sites.running_site(plain=('s1',)) as site:
            server = site.servers['s1']

            def encoded(request):
                headers = server.answer_headers(request)
                headers.append(('content-encoding', 'gzip'))
                return _connection.make_answer(200, b'x', headers)

            await self.check_order(site, encoded, 502)

    @run
    async def test_truncated_answer_is_answered_as_502(self):
        async with sites.running_site(plain=('s1',)) as site:
            server = site.servers['s1']

            def half(request):
                return _connection.make_answer(
                    200, b'0123456789', server.answer_headers(request)
                )[:-5]

            await self.check_order(site, half, 502)

    @run
    async def test_answer_without_length_ends_with_its_connection(self):
        async with sites.running_site(plain=('s1',)) as site:
            server = site.servers['s1']

            def unframed(request):
                lines = ['HTTP/1.1 200 OK']
                for name, value in server.answer_headers(request):
                    lines.append(f'{name}: {value}')
                return ('\r\n'.join(lines) + '\r\n\r\nall').encode()

            answer = await self.check_order(site, unframed, 200)
            self.assertEqual(b'all', answer.body)

    @run
    async def test_invalid_http_answer_is_answered_as_502(self):
        async with sites.running_site(plain=('s1',)) as site:
            await self.check_order(site, lambda request: b'\0\1 junk\r\n', 502)


class TestCallers(unittest.TestCase):
    @run
    async def test_call_to_server_ends_when_the_caller_leaves(self):
        async with sites.running_site(plain=('s1',)) as site:
            ended = trio.Event()

            async def hang(request):
                try:
                    await _backend.never_answer(request)
                finally:
                    ended.set()

            server = site.servers['s1']
            server.script.append(hang)
            async with await site.connect() as caller:
                await caller.send('POST', '/order/x', b'one wig')
                await sites.wait_until(lambda: server.arrivals)
            await ended.wait()

    @run
    async def test_deadline_after_sending_is_answered_as_504(self):
        async with sites.running_site(plain=('s1',)) as site:
            site.servers['s1'].script.append(_backend.never_answer)
            answer = await site.call(
                'POST', '/order/x', b'one wig', deadline_ms=150
            )
            self.assertEqual(504, answer.status)

    @run
    async def test_caller_without_time_left_is_not_served(self):
        async with sites.running_site(plain=('s1',)) as site:
            answer = await site.call(
                'POST', '/order/x', b'one wig', deadline_ms=0
            )
            self.assertIn(answer.status, (503, 504))
            self.assertEqual([], site.servers['s1'].runs)

    async def check_refused(self, data, status):
        async with sites.running_site() as site:
            async with await site.connect() as caller:
                await caller.stream.send_all(data)
                answer = await caller.read_answer()
                self.assertEqual(status, answer.status)
                self.assertEqual('close', answer.headers['connection'])
            self.assertEqual(0, runs_of(site))

    @run
    async def test_two_lengths_are_refused(self):
        await self.check_refused(
            b'POST /order/x HTTP/1.1\r\nHost: calls.example\r\n'
            b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\nGET /order/y HTTP/1.1\r\n\r\n',
            400,
        )

    @run
    async def test_long_head_is_refused(self):
        await self.check_refused(
            b'GET /read/x HTTP/1.1\r\nHost: calls.example\r\nX: '
            + b'y' * 20000,
            431,
        )

    @run
    async def test_invalid_http_request_is_refused(self):
        await self.check_refused(b'nonsense\r\n\r\n', 400)

    @run
    async def test_long_body_is_refused(self):
        async with sites.running_site() as site:
            site.store.put(
                'op/config', sites.make_configuration(2, maxBodyBytes=10)
            )
            await sites.wait_until(lambda: site.entry.state.table.version == 2)
            answer = await site.call('POST', '/order/x', b'x' * 11)
            self.assertEqual(413, answer.status)
            self.assertEqual(0, runs_of(site))
