"""Servers whose answers end early although their framing tells nothing.

A server that dies closes its connections without a reset, and an answer may
have neither a length nor chunks.
"""

import json
import unittest

import trio

from standin import site as standins
from standin.site import _backend
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

ALL_EVENTS = _backend.make_events(range(1, 5))
FRAMINGS = ('connection', 'chunks', 'length')
CUTS = ((1, 0), (1, 5), (3, 1), (3, 8), (3, 18))
"""Numbers of the event that is cut off, and how many of its bytes arrive."""

CUT_BODY = standins.Ending(framing='connection', cut_bytes=20)
JSON_BODY = json.dumps({'filed': [1, 2, 3], 'remark': 'two wigs'}).encode()
CALL_WITHOUT_CHUNKS = (
    b'POST /once/x HTTP/1.0\r\n'
    b'Host: ' + sites.HOST.encode() + b'\r\n'
    b'X-Request-Attempt-Id: id-1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


def running_engines(*engines):
    return sites.running_site(plain=(), engines=engines)


def list_cuts():
    """Return each framing with each cut that it does not mark as whole."""
    return [
        (framing, cut)
        for framing in FRAMINGS
        for cut in CUTS
        # A stream of no events may be whole if its framing marks its end.
        if framing == 'connection' or cut != (1, 0)
    ]


class TestStreams(unittest.TestCase):
    # Guards against the end of a connection that is passed on as the end of
    # an answer.
    @run
    async def test_stream_that_ends_inside_an_event_is_broken_off(self):
        async with running_engines('p1', 'd1') as site:
            engine = site.servers['d1']
            for framing, cut in list_cuts():
                engine.framing = framing
                engine.stream_cuts.append(cut)
                answer = await site.call(
                    'POST', '/once/x', request_id=f'{framing}-{cut}'
                )
                seen = (framing, cut, answer)
                whole_events = _backend.make_events(range(1, cut[0]))
                if whole_events:
                    self.assertFalse(answer.whole, seen)
                    self.assertEqual(whole_events, answer.body, seen)
                else:
                    self.assertEqual(502, answer.status, seen)
                    self.assertTrue(answer.whole, seen)
                    self.assertNotIn(b'data:', answer.body, seen)

    @run
    async def test_stream_that_ends_inside_an_event_is_resumed(self):
        async with running_engines('p1', 'd1', 'd2') as site:
            engines = [site.servers[name] for name in ('d1', 'd2')]
            for framing, cut in list_cuts():
                # Only the first run at either engine is cut off.
                cuts = [cut]
                for engine in engines:
                    engine.framing = framing
                    engine.runs.clear()
                    engine.stream_cuts = cuts
                answer = await site.call(
                    'POST', '/ask/x', request_id=f'{framing}-{cut}'
                )
                seen = (framing, cut, answer)
                self.assertTrue(answer.whole, seen)
                self.assertEqual(ALL_EVENTS, answer.body, seen)
                runs = sum(len(engine.runs) for engine in engines)
                self.assertEqual(2, runs, seen)

    @run
    async def test_whole_streams_of_each_framing_are_passed_on(self):
        async with running_engines('p1', 'd1') as site:
            for framing in FRAMINGS:
                site.servers['d1'].framing = framing
                for path in ('/once/x', '/ask/x'):
                    answer = await site.call(
                        'POST', path, request_id=f'{framing}{path}'
                    )
                    self.assertTrue(answer.whole)
                    self.assertEqual(ALL_EVENTS, answer.body)

    # Guards against events that a caller gets twice, as nothing names the
    # last one that it has.
    @run
    async def test_broken_stream_without_ids_does_not_begin_again(self):
        nameless_events = b'data: a\n\ndata: b\n\n'

        def break_after_events(engine):
            async def answer(request):
                engine.runs.append(request)
                headers = engine.answer_headers(request)
                await request.begin_chunks(200, headers)
                await request.send_chunk(nameless_events)
                await request.reset()

            return answer

        async with running_engines('p1', 'd1', 'd2') as site:
            engines = [site.servers[name] for name in ('d1', 'd2')]
            for engine in engines:
                engine.script.append(break_after_events(engine))
            answer = await site.call('POST', '/ask/x')
            self.assertFalse(answer.whole)
            self.assertEqual(nameless_events, answer.body)
            self.assertEqual(1, sum(len(engine.runs) for engine in engines))

    @run
    async def test_document_on_a_stream_route_is_passed_on_when_whole(self):
        async def answer_document(request):
            await request.answer(
                200,
                JSON_BODY,
                [
                    *site.servers['d1'].answer_headers(request),
                    ('content-type', 'application/json'),
                ],
            )

        async with running_engines('p1', 'd1') as site:
            site.servers['d1'].script.append(answer_document)
            answer = await site.call('POST', '/once/x')
            self.assertEqual((200, JSON_BODY), (answer.status, answer.body))

    # Guards against an answer that has no length for an HTTP/1.0 caller and
    # looks complete if it is broken off by closing the connection.
    @run
    async def test_broken_stream_is_reset_for_a_caller_without_chunks(self):
        async with running_engines('p1', 'd1') as site:
            site.servers['d1'].break_after = [2]
            async with await site.connect() as caller:
                await caller.stream.send_all(CALL_WITHOUT_CHUNKS)
                with self.assertRaises(trio.BrokenResourceError):
                    while await caller.stream.receive_some(65536):
                        pass

    @run
    async def test_whole_stream_for_a_caller_without_chunks_is_not_reset(self):
        async with running_engines('p1', 'd1') as site:
            async with await site.connect() as caller:
                await caller.stream.send_all(CALL_WITHOUT_CHUNKS)
                received = b''
                while data := await caller.stream.receive_some(65536):
                    received += data
                self.assertTrue(received.endswith(b'\r\n\r\n' + ALL_EVENTS))


class TestPlainAnswers(unittest.TestCase):
    async def call_with_cut_answer(self, site, path):
        # Only the first answer of either server is cut off.
        endings = [CUT_BODY]
        for server in site.servers.values():
            server.body = JSON_BODY
            server.content_type = 'application/json'
            server.endings = endings
        return await site.call('POST', path)

    # Guards against a cut-off document that is passed on with a length.
    @run
    async def test_cut_off_json_is_not_passed_on_as_whole(self):
        async with sites.running_site() as site:
            answer = await self.call_with_cut_answer(site, '/order/x')
            self.assertEqual(502, answer.status)

    @run
    async def test_call_whose_json_was_cut_off_is_retried(self):
        async with sites.running_site() as site:
            answer = await self.call_with_cut_answer(site, '/read/x')
            self.assertEqual((200, JSON_BODY), (answer.status, answer.body))

    @run
    async def test_whole_answers_of_each_framing_are_passed_on(self):
        async with sites.running_site(plain=('s1',)) as site:
            server = site.servers['s1']
            for content_type in ('', 'application/json'):
                server.content_type = content_type
                server.body = JSON_BODY if content_type else b'some text'
                for framing in FRAMINGS:
                    server.endings = [standins.Ending(framing=framing)]
                    answer = await site.call(
                        'POST',
                        '/order/x',
                        request_id=f'{framing}{content_type}',
                    )
                    self.assertEqual(200, answer.status)
                    self.assertEqual(server.body, answer.body)


class TestOwnCalls(unittest.TestCase):
    @run
    async def test_handle_of_a_cut_off_prefill_answer_is_not_used(self):
        async with running_engines('p1', 'p2', 'd1') as site:
            for name in ('p1', 'p2'):
                site.servers[name].prefill_endings = [CUT_BODY]
            answer = await site.call('POST', '/ask/x')
            self.assertEqual(ALL_EVENTS, answer.body)
            for request in site.servers['d1'].runs:
                # The first handle of each prefill server was cut off.
                source = request.headers.get('x-kv-source', '')
                self.assertFalse(source.endswith('-1'), source)

    @run
    async def test_cut_off_list_of_servers_is_read_again(self):
        async with sites.running_site(plain=('s1', 's2')) as site:
            site.store.endings = [
                standins.Ending(framing='connection', cut_bytes=count)
                for count in (0, 30, 400)
            ]
            site.list_server('s1', 'plain', slots=7)
            site.list_server('s2', 'plain', slots=7)
            directory = site.entry.state.directory
            await sites.wait_until(
                lambda: all(
                    directory.find(name).slot_count == 7
                    for name in ('s1', 's2')
                )
            )
