"""Answers without a length or chunks whose connection ends early."""

import json
import types
import unittest

import attrs
import httpcore
import trio

from bluebellthread import core
from bluebellthread.daemon import _clock
from bluebellthread.daemon import _fleet
from bluebellthread.daemon import _http
from bluebellthread.daemon import _one_shot
from bluebellthread.daemon import _service_path
from bluebellthread.daemon import _stop_admission
from bluebellthread import engines
from standin import site
from standin.site import _connection

TEST_TIMEOUT_S = 10
JSON_HEADERS = (('content-type', 'application/json'),)
DOCUMENT = json.dumps({'filed': [1, 2, 3], 'kv_transfer_params': {}}).encode()
CUT = site.Ending(framing='connection', cut_bytes=20)
WHOLE = site.Ending(framing='connection')


def run_with_server(ending, function):
    """Serve a document that ends in a way; return a function's result."""

    async def answer(request):
        await request.answer(200, DOCUMENT, JSON_HEADERS, ending=ending)

    return run_with_handler(answer, function)


def run_with_handler(handler, function):
    """Serve calls with a handler; return a function's result.

    The function is ``async`` and takes the `core.BackendServer`.
    """

    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                port = await _connection.serve(nursery, handler)
                result = await function(
                    core.BackendServer(
                        name='s1',
                        host='127.0.0.1',
                        port=port,
                        data_centre='cluj-a',
                        serves='ledger',
                        role=core.ROLE_SERVICE,
                    )
                )
                nursery.cancel_scope.cancel()
        return result

    return trio.run(main)


async def send_once(server):
    return await _one_shot.send_once(
        [server],
        method='POST',
        path='/orders',
        headers=[],
        body=b'',
        deadline_ms=_clock.read_clock_ms() + 60000,
        cancel_scope=trio.CancelScope(),
    )


@attrs.define
class _Responder:
    """Records the answer that a caller gets."""

    answers: list = attrs.field(factory=list)

    async def answer(self, status, headers, body):
        del headers
        self.answers.append((status, body))


async def forward(server):
    """Return the answers that the caller of an idempotent call gets."""
    path = _service_path.ServicePath(
        data_centre='cluj-a',
        fleet=None,
        ticket_path=None,
        stop_admission=_stop_admission.StopAdmission(
            vm='vm1', data_centre='cluj-a', fleet=_fleet.Fleet()
        ),
    )
    exchange = types.SimpleNamespace(
        request=_http.Request(
            method='GET', path='/x', query='', headers=(), body=b''
        ),
        request_id='r',
        responder=_Responder(),
    )
    try:
        await path._forward(exchange, server, '/x')
    except _http.Refusal as error:
        exchange.responder.answers.append((error.status, error.run))
    finally:
        await path.close()
    return exchange.responder.answers


async def prefill(server):
    """Return the kind of a prefill's error, or its transfer parameters."""
    parameters = engines.GenerationParameters(
        model='m', prompt='p', output_tokens=1
    )
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        engine = engines.engine_adapters.get('completions')(pool=pool)
        try:
            result = await engine.prefill(server, 'r', parameters)
        except engines.EngineError as error:
            return error.kind
    return result.transfer


class TestCutOffBodies(unittest.TestCase):
    def test_cut_off_answer_of_an_at_most_once_call_is_unknown(self):
        result = run_with_server(CUT, send_once)
        self.assertIsInstance(result, _one_shot.MaybeSent)

    def test_cut_off_answer_of_an_idempotent_call_is_a_failure(self):
        answers = run_with_server(CUT, forward)
        self.assertEqual([(502, _http.RUN_UNKNOWN)], answers)

    # Guards against a claim that an engine ran nothing, made only because
    # its answer was cut off.
    def test_cut_off_answer_of_an_engine_is_no_refusal(self):
        self.assertEqual('unreadable', run_with_server(CUT, prefill))

    def test_whole_answers_that_end_with_their_connection_are_taken(self):
        result = run_with_server(WHOLE, send_once)
        self.assertEqual(DOCUMENT, result.answer.body)
        self.assertEqual([(200, DOCUMENT)], run_with_server(WHOLE, forward))
        self.assertEqual({}, run_with_server(WHOLE, prefill))
