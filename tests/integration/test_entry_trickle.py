"""Servers whose streams stall, though they send a byte now and then."""

import functools
import unittest

import trio

from standin import site as standins
from standin.site import _backend
from tests.integration import _entry_site as sites
from tests.integration.test_entry_plain import run

TRICKLE_PERIOD_S = 0.3
EVENT_COUNT = 4
ALL_EVENTS = _backend.make_events(range(1, EVENT_COUNT + 1))
DEADLINE_MS = 7000
COMMENT = b': still here\n\n'


async def trickle(pieces, request, *, ends=False):
    """Send the first event, then the pieces in turn, each after a pause.

    Unless the answer ends then, its connection stays open, without an end.
    """
    await request.begin(
        200,
        [
            ('x-request-attempt-id', request.headers['x-request-attempt-id']),
            ('x-server-seal', 'seal'),
            ('content-type', 'text/event-stream'),
        ],
        ending=standins.Ending(framing='chunks'),
        length=0,
    )
    await request.send_piece(_backend.make_event(1))
    for piece in pieces:
        await trio.sleep(TRICKLE_PERIOD_S)
        await request.send_piece(piece)
    if ends:
        await request.end()
    else:
        await trio.sleep_forever()


def split_bytes(data):
    return [data[index : index + 1] for index in range(len(data))]


class TestTrickle(unittest.TestCase):
    async def check_goes_on(self, pieces):
        """Check that a stream goes on elsewhere after its first event."""
        async with sites.running_site(
            plain=(), engines=('p1', 'd1', 'd2')
        ) as site:
            waiting = [functools.partial(trickle, pieces)]

            async def stall_once(server, request):
                script = waiting.pop() if waiting else server.run
                await script(request)

            for name in ('d1', 'd2'):
                server = site.servers[name]
                server.script = [functools.partial(stall_once, server)]
            with trio.fail_after(DEADLINE_MS / 1000):
                answer = await site.call(
                    'POST', '/ask/x', request_id='i1', deadline_ms=DEADLINE_MS
                )
            self.assertEqual([], waiting)
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.whole)
            return answer

    # Guards against a stream that a byte now and then keeps at a server that
    # makes no more events.
    @run
    async def test_bytes_without_an_event_are_a_silence(self):
        answer = await self.check_goes_on(split_bytes(30 * b'x'))
        self.assertEqual(ALL_EVENTS, answer.body)

    @run
    async def test_comments_without_an_event_are_a_silence(self):
        answer = await self.check_goes_on(30 * [COMMENT])
        self.assertEqual(ALL_EVENTS, answer.body.replace(COMMENT, b''))

    @run
    async def test_slow_stream_with_whole_events_is_not_left(self):
        events = b''.join(
            _backend.make_event(number) for number in range(2, EVENT_COUNT + 1)
        )
        async with sites.running_site(
            plain=(), engines=('p1', 'd1', 'd2')
        ) as site:
            pieces = [
                events[index : index + 8] for index in range(0, len(events), 8)
            ]
            for name in ('d1', 'd2'):
                site.servers[name].script = [
                    functools.partial(trickle, pieces, ends=True)
                ]
            answer = await site.call(
                'POST', '/ask/x', request_id='i1', deadline_ms=DEADLINE_MS
            )
            self.assertEqual(ALL_EVENTS, answer.body)
            self.assertTrue(answer.whole)
            scripts = [len(site.servers[n].script) for n in ('d1', 'd2')]
            self.assertEqual([0, 1], sorted(scripts))

    @run
    async def test_stalled_stream_that_runs_once_ends_at_its_deadline(self):
        async with sites.running_site(plain=(), engines=('p1', 'd1')) as site:
            site.servers['d1'].script = [
                functools.partial(trickle, 300 * [COMMENT])
            ]
            with trio.fail_after(6):
                answer = await site.call(
                    'POST', '/once/x', request_id='i1', deadline_ms=2000
                )
            self.assertFalse(answer.whole)
