"""Texts of servers, of the store and of callers that make no valid request."""

import json
import unittest

from bluebellthread.entry import _dialect
from bluebellthread.entry import _http_messages
from bluebellthread.entry import _server_calls
from bluebellthread.platform import _decoding
from bluebellthread.platform import _dialect as platform_dialect
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run
from tests.integration.test_entry_stream import ALL_EVENTS
from tests.integration.test_entry_stream import running_engines

SPOILED_HANDLES = (
    '3fa09 41b7d5',
    '3fa09\n41b7d5',
    '3fa09\r\nx: y',
    '3fa09\x0041b7',
    '3fa09/41b7d5',
    '3fa09?1b7d5',
    '3fa09#1b7d5',
    '3fa09\xe441b7',
    '3fa09\ud80041b7',
    ' 3fa0941b7d5',
    1001 * 'a',
    '',
)


def spoil(engine, handle):
    """Let an engine answer the next prefill with a spoiled handle."""

    async def answer(request):
        engine.prefills.append(request)
        body = json.dumps({'handle': handle, 'tokens': 1, 'version': 1})
        await request.answer(
            200,
            body.encode(),
            [
                (
                    'x-request-attempt-id',
                    request.headers['x-request-attempt-id'],
                )
            ],
        )

    engine.script.append(answer)


class TestSpoiledTexts(unittest.TestCase):
    # Guards against a process that ends when it frees a handle in which a
    # server has spoiled a byte (review/2: LocalProtocolError).
    @run
    async def test_spoiled_handle_does_not_end_the_process(self):
        async with running_engines() as site:
            for number, handle in enumerate(SPOILED_HANDLES):
                with self.subTest(repr(handle)[:20]):
                    spoil(site.servers['p1'], handle)
                    answer = await site.call(
                        'POST', '/ask/x', b'a', request_id=f'i{number}'
                    )
                    self.assertIn(answer.status, (200, 502, 503))
                    if answer.status == 200:
                        self.assertEqual(ALL_EVENTS, answer.body)
                    site.servers['p1'].script.clear()
            answer = await site.call('POST', '/ask/x', b'a', request_id='j')
            self.assertEqual(ALL_EVENTS, answer.body)

    def test_handle_that_makes_no_valid_request_is_none(self):
        for handle in SPOILED_HANDLES:
            with self.subTest(repr(handle)[:20]):
                body = json.dumps({'handle': handle}).encode()
                self.assertIsNone(platform_dialect.read_handle(body))
        deep = b'{"handle":' + 10**5 * b'[' + 10**5 * b']' + b'}'
        self.assertIsNone(platform_dialect.read_handle(deep))

    # Guards against an error of the HTTP library that no caller expects.
    @run
    async def test_request_that_is_not_valid_http_fails_before_it_is_sent(
        self,
    ):
        async with running_engines(('p1',)) as site:
            server = site.entry.state.directory.find('p1')
            arrival_count = len(site.servers['p1'].arrivals)
            with self.assertRaises(_server_calls.CallFailedError) as caught:
                await site.entry._roles._caller.call_control(
                    server,
                    _dialect.ControlCall(method=b'DELETE', target=b'/a b'),
                    timeout_s=5,
                )
            self.assertFalse(caught.exception.may_have_run)
            self.assertEqual(arrival_count, len(site.servers['p1'].arrivals))

    # Guards against names that are written into a header of each request.
    def test_server_whose_name_or_version_fits_no_header_is_not_listed(self):
        entry = {
            'service': 'plain',
            'state': 'ready',
            'address': '10.128.0.9:8080',
            'zone': 'cluj-a',
            'version': 'v1',
        }
        self.assertEqual(
            'i-1', _decoding.decode_server('servers/i-1', entry).name
        )
        for text in ('i 2', '\xe4', '\u0416'):
            server = _decoding.decode_server(f'servers/{text}', entry)
            self.assertEqual(text, server.name)
        for text in ('a\r\nx: y', 'a\nb', 'a\x00', 'a\x7f', '', ' a', 'a '):
            with self.subTest(repr(text)):
                with self.assertRaises(_decoding.EntryError):
                    _decoding.decode_server(f'servers/{text}', entry)
                with self.assertRaises(_decoding.EntryError):
                    _decoding.decode_server(
                        'servers/i-1', {**entry, 'version': text}
                    )

    # Guards against a caller whose request can't be passed on without a host.
    @run
    async def test_host_that_a_connection_header_names_is_passed_on(self):
        headers = [(b'host', b'a'), (b'connection', b'Host, x-a')]
        self.assertEqual(
            [(b'host', b'a')], _http_messages.keep_end_to_end(headers)
        )
        async with sites.running_site() as site:
            answer = await site.call(
                'POST', '/order/x', b'one', headers=['Connection: host']
            )
            self.assertEqual(200, answer.status)
