import unittest

import trio

from bluebellthread.daemon import _platform
from tests.unit import _shared_link

SLOW_MBPS = 2
FAST_MBPS = 100
BUFFERED_MAX_BYTES = 256 * 1024
"""Most bytes that a connection may still receive after the limit of a value
was exceeded."""


class Endpoint:
    """Endpoint of the platform that answers each call in the same way.

    Parameters
    ----------
    text : str
        Value that it answers with.
    wait_s : float
        Time until its answer begins.
    silent_after : int or None
        Number of bytes of the value after which it goes silent.
    """

    def __init__(self, text='', *, wait_s=0, silent_after=None):
        self._body = text.encode()
        self._wait_s = wait_s
        self._silent_after = silent_after
        self.call_count = 0

    async def handle(self, request):
        self.call_count += 1
        await trio.sleep(self._wait_s)
        if self._silent_after is None:
            await request.answer(200, self._body)
            return
        await request.begin_chunks(200)
        await request.send_chunk(self._body[: self._silent_after])
        await trio.sleep_forever()


class EndlessEndpoint:
    """Endpoint of the platform whose answer never ends."""

    def __init__(self):
        self.status = 200

    async def handle(self, request):
        await request.begin_chunks(self.status)
        while True:
            await request.send_chunk(8000 * b'x')


def watch(endpoint, *, rate_mbps, wait_s):
    """Return the answer to a call, or its error, its time and its bytes.

    Times are in simulated seconds.
    """
    link = _shared_link.Link(rate_mbps)

    async def call():
        async with trio.open_nursery() as nursery:
            client = _platform.PlatformClient(
                addresses=('platform:1',),
                network_backend=_shared_link.Backend(
                    store=endpoint, links=(link,), nursery=nursery
                ),
            )
            started_s = trio.current_time()
            try:
                result = await client.watch_configuration(
                    after=0, wait_s=wait_s
                )
            except _platform.PlatformError as error:
                result = error
            took_s = trio.current_time() - started_s
            await client.close()
            nursery.cancel_scope.cancel()
        return result, took_s, link.sent_bytes

    return _shared_link.run_simulated(call)


class TestSlowLink(unittest.TestCase):
    # Guards against a limit on the whole answer, which cuts each try before
    # the value can have arrived.
    def test_large_value_arrives_at_once_over_a_slow_link(self):
        text = _platform.VALUE_MAX_BYTES * 'x'
        for answers_after_s, wait_s in ((0, 0), (0, 4), (4, 4)):
            endpoint = Endpoint(text, wait_s=answers_after_s)
            with self.subTest(after_s=answers_after_s, wait_s=wait_s):
                result, took_s, _ = watch(
                    endpoint, rate_mbps=SLOW_MBPS, wait_s=wait_s
                )
                self.assertTrue(result == text, str(result)[:80])
                self.assertEqual(1, endpoint.call_count)
                self.assertGreater(took_s, answers_after_s + 4)


class TestSilence(unittest.TestCase):
    def test_answer_that_does_not_begin_fails_after_the_wait(self):
        result, took_s, _ = watch(
            Endpoint('x', wait_s=60), rate_mbps=FAST_MBPS, wait_s=4
        )
        self.assertIsInstance(result, _platform.PlatformError)
        self.assertAlmostEqual(4 + _platform.CALL_MARGIN_S, took_s, delta=0.1)

    def test_answer_that_stops_fails_after_a_pause_without_the_wait(self):
        result, took_s, _ = watch(
            Endpoint(100_000 * 'x', silent_after=50_000),
            rate_mbps=FAST_MBPS,
            wait_s=20,
        )
        self.assertIsInstance(result, _platform.PlatformError)
        self.assertAlmostEqual(_platform.CALL_MARGIN_S, took_s, delta=0.1)


class TestTooLong(unittest.TestCase):
    # Guards against an answer that fills the memory.
    def test_endless_answer_is_cut_at_the_limit(self):
        for status in (200, 503):
            endpoint = EndlessEndpoint()
            endpoint.status = status
            with self.subTest(status=status):
                result, _, sent_bytes = watch(
                    endpoint, rate_mbps=FAST_MBPS, wait_s=20
                )
                self.assertIsInstance(result, _platform.PlatformError)
                self.assertLess(
                    sent_bytes, _platform.VALUE_MAX_BYTES + BUFFERED_MAX_BYTES
                )

    def test_value_one_byte_over_the_limit_is_refused(self):
        result, _, _ = watch(
            Endpoint((_platform.VALUE_MAX_BYTES + 1) * 'x'),
            rate_mbps=FAST_MBPS,
            wait_s=0,
        )
        self.assertIsInstance(result, _platform.PlatformError)
        self.assertIn('too long', str(result))
