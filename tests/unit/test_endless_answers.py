"""Answers to the daemon's calls whose bytes never end."""

import json
import unittest

import httpcore

from bluebellthread import engines
from standin import site
from tests.unit import test_cut_off_bodies as bodies

PIECE = 64000 * b' '
PARAMETERS = engines.GenerationParameters(
    model='m', prompt='p', output_tokens=1
)


def send_without_end(framing, status=200):
    """Return a handler that answers with a body without end."""

    async def send(request):
        request.keeps_connection = False
        await request.begin(
            status, ending=site.Ending(framing=framing), length=10**12
        )
        while True:
            await request.send_piece(PIECE)

    return send


async def decode(server):
    """Return the kind of the error that ends a stream of pieces."""
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        engine = engines.engine_adapters.get('completions')(pool=pool)
        try:
            async for _ in engine.decode(server, 'r', PARAMETERS, None):
                pass
        except engines.EngineError as error:
            return error.kind
    return ''


class TestEndlessAnswers(unittest.TestCase):
    def test_idempotent_call_fails(self):
        for framing in ('connection', 'chunks', 'length'):
            answers = bodies.run_with_handler(
                send_without_end(framing), bodies.forward
            )
            self.assertEqual([(502, 'unknown')], answers)

    def test_answer_of_an_engine_is_unreadable(self):
        kind = bodies.run_with_handler(
            send_without_end('chunks'), bodies.prefill
        )
        self.assertEqual('unreadable', kind)

    def test_refusal_of_an_engine_without_end_is_unreadable(self):
        kind = bodies.run_with_handler(
            send_without_end('chunks', 503), bodies.prefill
        )
        self.assertEqual('unreadable', kind)
        kind = bodies.run_with_handler(send_without_end('chunks', 503), decode)
        self.assertEqual('broken-stream', kind)

    def test_event_of_an_engine_without_end_breaks_its_stream(self):
        kind = bodies.run_with_handler(send_without_end('chunks'), decode)
        self.assertEqual('broken-stream', kind)

    def test_pieces_before_an_endless_event_are_kept(self):
        fields = {'offset': 0, 'choices': [{'text': 'a'}]}
        event = b'data: ' + json.dumps(fields).encode() + b'\n\n'

        async def send(request):
            request.keeps_connection = False
            await request.begin(200, ending=site.Ending(framing='chunks'))
            await request.send_piece(event)
            while True:
                await request.send_piece(PIECE)

        async def read_texts(server):
            texts = []
            async with httpcore.AsyncConnectionPool(retries=0) as pool:
                engine = engines.engine_adapters.get('completions')(pool=pool)
                with self.assertRaises(engines.EngineError):
                    async for piece in engine.decode(
                        server, 'r', PARAMETERS, None
                    ):
                        texts.append(piece.text)
            return texts

        self.assertEqual(['a'], bodies.run_with_handler(send, read_texts))
