"""Requests that were read whole end in a whole answer or a refusal."""

import contextlib
import functools
import math
import os
import unittest
from unittest import mock

import trio

from bluebellthread.core import routing
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _socket_options
from bluebellthread.entry import _caller_connection
from bluebellthread.entry import _connection_control
from bluebellthread.entry import _cut_runs
from bluebellthread.entry import _plain_path
from bluebellthread.entry import _stats
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

GRACE_MS = 1400
"""Grace period of short stops; requests may end until 1 s before its end."""

ENGINES = ('p1', 'd1')
EVENT_COUNT = 6
EVENT_PAUSE_S = 0.1
SILENCE_S = 1.6


class TestEndOfGracePeriod(unittest.TestCase):
    async def check_answered(self, method, path, statuses, hold):
        """Check the answer to a request that outlasts the grace period."""
        async with sites.running_site(
            engines=ENGINES, stop_grace_ms=GRACE_MS
        ) as site:
            hold(site.servers)
            async with await site.connect() as caller:
                await caller.send(method, path, b'one wig')
                # A silent server does not tell that the request has arrived.
                await trio.sleep(0.2)
                site.entry.stop()
                answer = await caller.read_answer()
            self.assertIn(answer.status, statuses)
            self.assertTrue(answer.whole)
            self.assertEqual('close', answer.headers['connection'])
            return answer

    @run
    async def test_call_that_may_have_run_is_answered(self):
        def hold(servers):
            servers['s1'].run_pause_s = servers['s2'].run_pause_s = 9

        await self.check_answered('POST', '/order/x', (502, 504), hold)

    @run
    async def test_stream_in_its_prefill_is_refused(self):
        def hold(servers):
            servers['p1'].fall_silent()

        answer = await self.check_answered('POST', '/once/x', (503,), hold)
        self.assertIn('retry-after', answer.headers)

    @run
    async def test_stream_at_a_silent_decode_server_is_answered(self):
        def hold(servers):
            servers['d1'].fall_silent()

        await self.check_answered('POST', '/once/x', (502, 504), hold)


class TestSilenceInStop(unittest.TestCase):
    @run
    async def test_requests_are_answered_though_servers_are_silent(self):
        async with sites.running_site(engines=ENGINES) as site:
            engine = site.servers['d1']
            engine.event_count = EVENT_COUNT
            engine.event_pause_s = EVENT_PAUSE_S
            answers = {}

            async def ask(caller, method, path):
                answers[path] = await caller.call(
                    method, path, b'one wig', request_id=path
                )

            async def ask_all(callers, mark):
                async with trio.open_nursery() as nursery:
                    for caller, (method, path) in zip(
                        callers,
                        (
                            ('GET', '/read/'),
                            ('POST', '/order/'),
                            ('POST', '/ask/'),
                            ('POST', '/once/'),
                        ),
                        strict=True,
                    ):
                        nursery.start_soon(ask, caller, method, path + mark)

            async with contextlib.AsyncExitStack() as stack:

                async def connect():
                    return [
                        await stack.enter_async_context(await site.connect())
                        for _ in range(4)
                    ]

                kept, new = await connect(), await connect()
                await ask_all(kept, 'kept')
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask_all, new, 'before')
                    # Streams are under way, other requests soon are.
                    await trio.sleep(2 * EVENT_PAUSE_S)
                    for server in site.servers.values():
                        nursery.start_soon(server.be_silent, SILENCE_S)
                    nursery.start_soon(ask_all, kept, 'silent')
                    await trio.sleep(0.1)
                    site.entry.stop()
                    site.entry.apply_settings(site.entry.state.settings)
                    site.entry.stop()
                    await trio.sleep(0.3)
                    nursery.start_soon(ask_all, await connect(), 'stopping')
            self.assertEqual(16, len(answers))
            for path, answer in answers.items():
                with self.subTest(path):
                    self.assertEqual(200, answer.status)
                    self.assertTrue(answer.whole)


class TestUnusualNumbers(unittest.TestCase):
    async def check_answered(self, *headers):
        """Check that a request with some headers is answered."""
        async with sites.running_site(engines=ENGINES) as site:
            for path in (b'/read/x', b'/ask/x'):
                lines = [
                    b'POST %b HTTP/1.1' % path,
                    b'Host: calls.example',
                    b'X-Request-Attempt-Id: id-1',
                    b'Content-Length: 0',
                    *headers,
                ]
                async with await site.connect() as caller:
                    await caller.stream.send_all(
                        b'\r\n'.join(lines) + b'\r\n\r\n'
                    )
                    answer = await caller.read_answer()
                self.assertEqual(200, answer.status)
                self.assertTrue(answer.whole)

    @run
    async def test_deadline_in_superscript_digits(self):
        await self.check_answered(b'X-Deadline-Ms: \xb2\xb3')

    @run
    async def test_deadline_of_thousands_of_digits(self):
        await self.check_answered(b'X-Deadline-Ms: ' + b'9' * 5000)

    @run
    async def test_deadline_of_hundreds_of_digits(self):
        await self.check_answered(b'X-Deadline-Ms: ' + b'9' * 400)

    @run
    async def test_token_counts_of_hundreds_of_digits(self):
        await self.check_answered(
            b'X-Token-Count: ' + b'9' * 400 + b',' + b'9' * 400
        )


class TestCrashes(unittest.TestCase):
    @run
    async def test_crash_before_a_path_is_chosen_is_answered(self):
        async with sites.running_site() as site:
            with mock.patch.object(
                routing.Route, 'choose_service', side_effect=ValueError
            ):
                answer = await site.call('GET', '/read/x')
            self.assertEqual(502, answer.status)
            self.assertTrue(answer.whole)

    @run
    async def test_broken_connection_of_another_is_answered(self):
        for error in (trio.BrokenResourceError, trio.ClosedResourceError):
            async with sites.running_site() as site:
                with mock.patch.object(
                    _plain_path.PlainPath, 'serve', side_effect=error
                ):
                    answer = await site.call('GET', '/read/x')
                self.assertEqual(502, answer.status)
                self.assertTrue(answer.whole)


class TestFailingConnections(unittest.TestCase):
    """A connection that fails in an unexpected way ends no other one."""

    async def check_survived(self, site, port, failure):
        site.servers['s1'].run_pause_s = 0.3
        answers = []

        async def ask():
            answers.append(await site.call('GET', '/read/x'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await sites.wait_until(lambda: site.servers['s1'].arrivals)
            with failure:
                stream = await trio.open_tcp_stream('127.0.0.1', port)
                async with sites.Caller(stream) as caller:
                    await caller.send('GET', '/metrics')
                    with contextlib.suppress(trio.BrokenResourceError):
                        self.assertEqual(b'', await stream.receive_some(1))
        self.assertEqual([200], [answer.status for answer in answers])

    @run
    async def test_caller(self):
        async with sites.running_site(plain=('s1',)) as site:
            await self.check_survived(
                site,
                site.entry.ports['caller_port'],
                mock.patch.object(
                    _socket_options,
                    'set_silence_timeouts',
                    side_effect=OSError,
                ),
            )

    @run
    async def test_monitoring(self):
        async with sites.running_site(plain=('s1',)) as site:
            await self.check_survived(
                site,
                site.entry.ports['metrics_port'],
                mock.patch.object(
                    _stats.EntryStats, 'render', side_effect=ValueError
                ),
            )


class TestMonitoringConnections(unittest.TestCase):
    # Guards against connections for monitoring that use up all descriptors.
    @run
    async def test_connections_beyond_the_limit_are_refused(self):
        async with sites.running_site(plain=('s1',)) as site:
            port = site.entry.ports['ready_port']
            async with contextlib.AsyncExitStack() as stack:
                callers = [
                    await stack.enter_async_context(
                        sites.Caller(
                            await trio.open_tcp_stream('127.0.0.1', port)
                        )
                    )
                    for _ in range(200)
                ]
                # It is refused or closed, but the first one is not.
                await callers[-1].has_more()
                self.assertFalse(callers[0].stream.socket.is_readable())
                # A probe takes the place of one that has long been idle.
                status = None
                while status != 200:
                    await trio.sleep(0.05)
                    stream = await trio.open_tcp_stream('127.0.0.1', port)
                    async with sites.Caller(stream) as probe:
                        answer = await probe.call('GET', '/-/ready')
                        status = answer.status


@contextlib.asynccontextmanager
async def serving(handler):
    """Serve callers with a handler; yield a connection and its control."""
    control = _connection_control.ConnectionControl(routing.CallerLimits)

    async def serve(stream):
        control.open_count += 1
        await _caller_connection.CallerConnection(
            stream=stream, handler=handler, control=control
        ).run()
        control.open_count -= 1

    with trio.fail_after(sites.TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            (listener,) = await nursery.start(
                functools.partial(trio.serve_tcp, serve, 0, host='127.0.0.1')
            )
            stream = await trio.open_tcp_stream(*listener.socket.getsockname())
            async with sites.Caller(stream) as caller:
                await sites.wait_until(lambda: control.open_count)
                yield caller, control
            nursery.cancel_scope.cancel()


def make_request(number):
    return b'GET /read/%d HTTP/1.1\r\nHost: calls.example\r\n\r\n' % number


async def echo(exchange):
    await exchange.respond(200, [], exchange.request.target)


class TestDeadlineBeforeFirstByte(unittest.TestCase):
    async def check_answered_otherwise(self, answer):
        """Check the answer after one that was cancelled before any byte."""

        async def serve(exchange):
            with trio.CancelScope() as scope:
                scope.cancel()
                await answer(exchange)
            if not exchange.is_started:
                await exchange.respond(504, [], b'late')

        async with serving(serve) as (caller, _):
            await caller.stream.send_all(make_request(1))
            answer = await caller.read_answer()
            self.assertEqual(504, answer.status)
            self.assertTrue(answer.whole)

    @run
    async def test_whole_answer(self):
        await self.check_answered_otherwise(echo)

    @run
    async def test_streamed_answer(self):
        await self.check_answered_otherwise(
            lambda exchange: exchange.start(200, [])
        )


class TestDeadlineWithinAnswer(unittest.TestCase):
    @run
    async def test_nothing_follows_an_answer_that_was_cut(self):
        # Longer than what the connection's buffers hold.
        body = b'x' * 16_000_000

        async def serve(exchange):
            with trio.move_on_after(0.2):
                await exchange.respond(200, [], body)

        async with serving(serve) as (caller, _):
            await caller.stream.send_all(make_request(1) + make_request(2))
            await trio.sleep(0.3)
            received = b''
            with contextlib.suppress(trio.BrokenResourceError):
                async for data in caller.stream:
                    received += data
            self.assertLess(len(received), len(body))
            self.assertEqual(1, received.count(b'HTTP/1.1'))


class TestFailureBesideAnAnswer(unittest.TestCase):
    @run
    async def test_failed_attempt_does_not_end_one_that_answers(self):
        body = b'x' * 12_000_000
        arrivals = []

        async def handle(request):
            arrivals.append(request)
            if len(arrivals) == 1:
                await trio.sleep(0.7)
                await request.reset()
                return
            await trio.sleep(0.5)
            (server, *_) = site.servers.values()
            await request.answer(200, body, server.answer_headers(request))

        async def may_have_ended_servers(runs):
            await trio.sleep(0.5)
            return True

        async with sites.running_site() as site:
            route = sites.make_route(
                '/read/', 'safe', 'plain', targetLatencyMs=100
            )
            site.store.put('op/config', sites.make_configuration(2, [route]))
            await sites.wait_until(lambda: site.entry.state.table.version == 2)
            for server in site.servers.values():
                server.script.extend([handle, handle])
            with mock.patch.object(
                _cut_runs.CutRuns,
                'may_have_ended_servers',
                may_have_ended_servers,
            ):
                async with await site.connect() as caller:
                    await caller.send('GET', '/read/x')
                    # The caller is slower than its connection's buffers.
                    await trio.sleep(1.5)
                    answer = await caller.read_answer()
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.whole)


class TestStops(unittest.TestCase):
    @run
    async def test_answer_after_the_begin_of_a_stop_closes(self):
        async def stop(exchange):
            control.schedule.begin(_clock.read_clock_ms(), grace_ms=8000)
            await echo(exchange)

        async with serving(stop) as (caller, control):
            await caller.stream.send_all(make_request(1))
            answer = await caller.read_answer()
            self.assertEqual('close', answer.headers.get('connection'))

    @run
    async def test_requests_read_ahead_are_answered(self):
        received = []

        async def serve(exchange):
            received.append(exchange.request.target)
            control.schedule.begin(_clock.read_clock_ms(), grace_ms=8000)
            # The caller's next requests are read meanwhile.
            await trio.sleep(0.1)
            await echo(exchange)

        async with serving(serve) as (caller, control):
            await caller.stream.send_all(b''.join(map(make_request, range(3))))
            answers = [await caller.read_answer() for _ in range(3)]
            self.assertEqual(
                [b'/read/0', b'/read/1', b'/read/2'],
                [answer.body for answer in answers],
            )
            self.assertEqual('close', answers[-1].headers['connection'])

    @run
    async def test_request_that_arrives_at_the_close_is_answered(self):
        async with serving(echo) as (caller, control):
            await trio.sleep(0.05)
            # The connection is closed before the event loop sees the request.
            os.write(caller.stream.socket.fileno(), make_request(7))
            control.schedule.begin(0, grace_ms=0)
            control.end_due(math.inf)
            answer = await caller.read_answer()
            self.assertEqual(b'/read/7', answer.body)

    @run
    async def test_idle_connection_is_closed(self):
        async with serving(echo) as (caller, control):
            await trio.sleep(0.05)
            control.schedule.begin(0, grace_ms=0)
            control.end_due(math.inf)
            self.assertEqual(b'', await caller.stream.receive_some(1))


class TestChangedLimits(unittest.TestCase):
    """Limits of a configuration that comes while a connection is open."""

    async def publish(self, site, version, **limits):
        site.store.put(
            'op/config', sites.make_configuration(version, **limits)
        )
        await sites.wait_until(
            lambda: site.entry.state.table.version == version
        )

    async def check_served(self, caller, number):
        answer = await caller.call('POST', '/order/x', request_id=f'i{number}')
        self.assertEqual(200, answer.status)

    async def check_quiet(self, caller, duration_s):
        """Check that the connection is neither answered on nor closed."""
        with trio.move_on_after(duration_s) as waited:
            await caller.has_more()
        self.assertTrue(waited.cancelled_caught)

    # Guards against a proper request that gets 431, since its connection was
    # opened under a configuration with a lower limit.
    @run
    async def test_raised_header_limit_holds_for_open_connections(self):
        long = 'X-Long: ' + 1500 * 'a'
        async with sites.running_site() as site:
            await self.publish(site, 2, maxHeaderBytes=1024)
            async with await site.connect() as caller:
                await self.check_served(caller, 1)
                await self.publish(site, 3, maxHeaderBytes=16384)
                await caller.stream.send_all(
                    b'POST /order/x HTTP/1.1\r\nHost: calls.example\r\n'
                    b'X-Request-Attempt-Id: i2\r\n' + long.encode()
                )
                await self.check_quiet(caller, 0.2)
                await caller.stream.send_all(b'\r\nContent-Length: 0\r\n\r\n')
                self.assertEqual(200, (await caller.read_answer()).status)

    # Guards against a connection that is closed just as its caller, who
    # knows the longer timeout, uses it again.
    @run
    async def test_raised_idle_timeout_holds_for_idle_connections(self):
        async with sites.running_site() as site:
            await self.publish(site, 2, idleTimeoutMs=600)
            async with await site.connect() as caller:
                await self.check_served(caller, 1)
                await self.publish(site, 3, idleTimeoutMs=10000)
                await self.check_quiet(caller, 0.9)
                await self.check_served(caller, 2)

    # Guards against a request that gets 408 by a limit that is no longer in
    # force.
    @run
    async def test_raised_header_timeout_holds_for_heads_in_transit(self):
        async with sites.running_site() as site:
            await self.publish(site, 2, headerTimeoutMs=600)
            async with await site.connect() as caller:
                await caller.stream.send_all(make_request(1)[:-2])
                await self.publish(site, 3, headerTimeoutMs=9000)
                await self.check_quiet(caller, 0.9)
                await caller.stream.send_all(b'\r\n')
                self.assertEqual(200, (await caller.read_answer()).status)

    # Guards against a body that a lowered limit refuses half-way.
    @run
    async def test_lowered_body_limit_is_for_later_requests(self):
        async with sites.running_site() as site:
            async with await site.connect() as caller:
                await caller.stream.send_all(
                    b'POST /order/x HTTP/1.1\r\nHost: calls.example\r\n'
                    b'X-Request-Attempt-Id: i1\r\nContent-Length: 4\r\n\r\nab'
                )
                await self.check_quiet(caller, 0.2)
                await self.publish(site, 2, maxBodyBytes=1)
                await caller.stream.send_all(b'cd')
                self.assertEqual(200, (await caller.read_answer()).status)
                answer = await caller.call(
                    'POST', '/order/x', b'ab', request_id='i2'
                )
                self.assertEqual(413, answer.status)
