"""What callers of the daemon are told when a planned stop runs out of time."""

import json

import trio

from tests.integration import _fleet
from tests.integration import _ticket_faults
from tests.integration import _vm_fleet

SETTINGS = {
    'balancer_lag_ms': 1000,
    'drain_timeout_ms': 2500,
    'ticket_keys': [_ticket_faults.KEY],
}
MODEL_PATH = '/v1/completions'
SERVICE_PATH = '/services/magazin-piese'
STEP_MS = 500
OUTPUT_TOKENS = 100
"""An answer of so many steps lasts longer than the stop."""

MEASURED_COUNT = 5
"""Requests after which the VM knows how long they take."""


class Caller:
    """A caller that sends parts of requests and reads whole answers.

    Parameters
    ----------
    stream : trio.SocketStream
        Connection to the VM.
    """

    def __init__(self, stream):
        self._stream = stream
        self._data = b''

    async def send(self, method, path, body=b'', *, held_back=0, headers=()):
        """Send a request but for the last bytes of its body."""
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: x',
            f'Content-Length: {len(body)}',
            *headers,
        ]
        head = '\r\n'.join(lines) + '\r\n\r\n'
        sent_body = body[: len(body) - held_back]
        await self._stream.send_all(head.encode() + sent_body)

    async def send_rest(self, data):
        """Send the bytes that were held back."""
        await self._stream.send_all(data)

    async def close(self):
        """Close the connection."""
        await self._stream.aclose()

    async def read_events(self):
        """Read a stream to the end of the connection; return its events."""
        async for data in self._stream:
            self._data += data
        return [
            line.removeprefix(b'data: ')
            for line in self._data.splitlines()
            if line.startswith(b'data: ')
        ]

    async def read_answer(self):
        """Return the `Answer`, or None if the connection ends before it."""
        while b'\r\n\r\n' not in self._data:
            if not await self._receive():
                return None
        head, _, self._data = self._data.partition(b'\r\n\r\n')
        status_line, *lines = head.decode().split('\r\n')
        pairs = (line.split(': ', 1) for line in lines)
        headers = {name.lower(): value for name, value in pairs}
        length = int(headers['content-length'])
        while len(self._data) < length:
            if not await self._receive():
                return None
        body, self._data = self._data[:length], self._data[length:]
        return _fleet.Answer(
            status=int(status_line.split()[1]), headers=headers, body=body
        )

    async def _receive(self):
        try:
            data = await self._stream.receive_some()
        except trio.BrokenResourceError:
            data = b''
        self._data += data
        return data


def make_body(*, stream=False, output_tokens=OUTPUT_TOKENS):
    return json.dumps(
        {
            'model': 'atelier-llm',
            'prompt': 'a lost wig',
            'max_tokens': output_tokens,
            'stream': stream,
        }
    ).encode()


async def connect(fleet):
    callers = fleet.daemons['vm1'].callers
    return Caller(await trio.open_tcp_stream(callers.host, callers.port))


async def start(fleet, **engines):
    await _vm_fleet.start(
        fleet, vms=('vm1',), settings=SETTINGS, engines=engines
    )


class StopTestCase(_fleet.FleetTestCase):
    """Checks the refusals of a stop."""

    def check_refusal(self, answer, *, status, run):
        self.assertIsNotNone(answer, 'cut without an answer')
        self.assertEqual(status, answer.status, answer)
        self.assertEqual(run, answer.headers['x-run'])
        self.assertEqual('stopping', answer.json()['error']['kind'])
        self.assertIn('retry-after', answer.headers)


class TestEndOfStop(StopTestCase):
    async def stop(self, fleet):
        process = fleet.process_of('vm1')
        process.terminate()
        self.assertEqual(0, await process.wait())
        return process.stderr

    def test_body_that_never_ends_is_refused_and_not_cut(self):
        self.run_fleet(self.check_body)

    async def check_body(self, fleet):
        await start(fleet)
        caller = await connect(fleet)
        await caller.send('POST', MODEL_PATH, make_body(), held_back=1)
        log = await self.stop(fleet)
        answer = await caller.read_answer()
        self.check_refusal(answer, status=503, run='not-run')
        self.assertIn('E7077', log)

    def test_request_that_waits_for_a_permit_is_refused_and_not_cut(self):
        self.run_fleet(self.check_permit)

    async def check_permit(self, fleet):
        await start(fleet, total_pieces=1)
        await fleet.control('d1', step_ms=STEP_MS)
        first, second = await connect(fleet), await connect(fleet)
        await first.send('POST', MODEL_PATH, make_body())
        await _fleet.until(lambda: _vm_fleet.read_running_ids(fleet))
        await second.send('POST', MODEL_PATH, make_body())
        await self.stop(fleet)
        answer = await second.read_answer()
        self.check_refusal(answer, status=503, run='not-run')
        answer = await first.read_answer()
        self.check_refusal(answer, status=502, run='unknown')

    def test_stream_under_way_ends_with_a_refusal(self):
        self.run_fleet(self.check_stream)

    async def check_stream(self, fleet):
        await start(fleet)
        await fleet.control('d1', step_ms=STEP_MS)
        caller = await connect(fleet)
        await caller.send('POST', MODEL_PATH, make_body(stream=True))
        await _fleet.until(lambda: _vm_fleet.read_running_ids(fleet))
        await self.stop(fleet)
        event = json.loads((await caller.read_events())[-1])
        self.assertEqual('stopping', event['error']['kind'])
        self.assertEqual('unknown', event['error']['run'])

    def test_plain_call_under_way_learns_that_it_may_have_run(self):
        self.run_fleet(self.check_plain)

    async def check_plain(self, fleet):
        await start(fleet)
        await fleet.control('s1', read_ms=60000)
        caller = await connect(fleet)
        await caller.send('GET', f'{SERVICE_PATH}/stock/piece')
        await self.stop(fleet)
        answer = await caller.read_answer()
        self.check_refusal(answer, status=502, run='unknown')

    def test_call_with_a_ticket_learns_that_it_may_have_run(self):
        self.run_fleet(self.check_ticket)

    async def check_ticket(self, fleet):
        await start(fleet)
        await fleet.control('s1', after_run_ms=60000)
        order = json.dumps({'order_id': 'o1'}).encode()
        path = f'{SERVICE_PATH}/orders'
        headers = ('X-Caller-Id: c1',)
        caller = await connect(fleet)
        await caller.send('POST', path, order, headers=headers)
        issued = await caller.read_answer()
        ticket = f'X-Ticket: {issued.headers["x-ticket"]}'
        await caller.send('POST', path, order, headers=(*headers, ticket))
        await _fleet.until(lambda: has_run(fleet))
        await self.stop(fleet)
        answer = await caller.read_answer()
        self.assertIsNotNone(answer, 'cut without an answer')
        self.assertEqual('unknown', answer.headers['x-run'], answer)
        self.assertIn('x-check-after-ms', answer.headers)


async def has_run(fleet):
    address = fleet.standins['s1']
    answer = await fleet.call('GET', address, '/orders/o1')
    return answer.json()['runs']


async def is_unready(fleet):
    callers = fleet.daemons['vm1'].callers
    answer = await fleet.call('GET', callers, '/readyz')
    return answer.status == 503


class TestKeptConnection(_fleet.FleetTestCase):
    def test_answers_in_a_stop_announce_the_close(self):
        self.run_fleet(self.check_announced)

    async def check_announced(self, fleet):
        await _vm_fleet.start(
            fleet,
            vms=('vm1',),
            settings=SETTINGS | {'balancer_lag_ms': 20000},
        )
        caller = await connect(fleet)
        body = make_body(output_tokens=1)
        await caller.send('POST', MODEL_PATH, body)
        answer = await caller.read_answer()
        self.assertNotIn('connection', answer.headers)
        fleet.process_of('vm1').terminate()
        await _fleet.until(lambda: is_unready(fleet))
        await caller.send('POST', MODEL_PATH, body)
        answer = await caller.read_answer()
        self.assertEqual(200, answer.status, answer)
        self.assertEqual('close', answer.headers['connection'])

    def test_request_written_ahead_is_not_run_after_the_announced_close(self):
        self.run_fleet(self.check_written_ahead)

    async def check_written_ahead(self, fleet):
        await start(fleet)
        await fleet.control('s1', read_ms=2000)
        caller = await connect(fleet)
        await caller.send('GET', f'{SERVICE_PATH}/stock/one')
        await _fleet.until(lambda: read_count(fleet))
        process = fleet.process_of('vm1')
        process.terminate()
        await _fleet.until(lambda: is_unready(fleet))
        await caller.send('GET', f'{SERVICE_PATH}/stock/two')
        answer = await caller.read_answer()
        self.assertEqual(200, answer.status, answer)
        self.assertEqual('close', answer.headers['connection'])
        self.assertIsNone(await caller.read_answer())
        self.assertEqual(0, await process.wait())
        self.assertEqual(1, await read_count(fleet))


async def read_count(fleet):
    answer = await fleet.call('GET', fleet.standins['s1'], '/ledger')
    return answer.json()['reads']


async def refuses_connections(fleet):
    try:
        await connect(fleet)
    except OSError:
        return True
    return False


async def stop_accepting(fleet):
    """Begin a stop and wait until the lag of the balancer is over."""
    fleet.process_of('vm1').terminate()
    await _fleet.until(lambda: refuses_connections(fleet))


class TestLateInStop(StopTestCase):
    def test_late_body_of_a_request_that_may_outlast_the_stop(self):
        self.run_fleet(self.check_late_body)

    async def check_late_body(self, fleet):
        await start(fleet)
        asked_count = (await fleet.state('p1'))['asked_count']
        await fleet.control('d1', step_ms=STEP_MS)
        caller = await connect(fleet)
        body = make_body()
        await caller.send('POST', MODEL_PATH, body, held_back=1)
        await stop_accepting(fleet)
        await caller.send_rest(body[-1:])
        answer = await caller.read_answer()
        self.check_refusal(answer, status=503, run='not-run')
        self.assertEqual(asked_count, (await fleet.state('p1'))['asked_count'])

    def test_late_body_of_a_plain_call_that_may_outlast_the_stop(self):
        self.run_fleet(self.check_late_call)

    async def check_late_call(self, fleet):
        await start(fleet)
        await fleet.control('s1', read_ms=60000)
        caller = await connect(fleet)
        path = f'{SERVICE_PATH}/stock/piece'
        await caller.send('GET', path, b'x', held_back=1)
        await stop_accepting(fleet)
        await caller.send_rest(b'x')
        answer = await caller.read_answer()
        self.check_refusal(answer, status=503, run='not-run')
        self.assertEqual(0, await read_count(fleet))

    def test_permit_that_is_free_too_late_begins_nothing(self):
        self.run_fleet(self.check_late_permit)

    async def check_late_permit(self, fleet):
        await start(fleet, total_pieces=1)
        await fleet.control('d1', step_ms=STEP_MS)
        first, second = await connect(fleet), await connect(fleet)
        await first.send('POST', MODEL_PATH, make_body())
        await _fleet.until(lambda: _vm_fleet.read_running_ids(fleet))
        await second.send('POST', MODEL_PATH, make_body())
        await stop_accepting(fleet)
        await first.close()
        answer = await second.read_answer()
        self.check_refusal(answer, status=503, run='not-run')

    def test_late_body_of_a_request_that_surely_ends_is_served(self):
        self.run_fleet(self.check_served)

    async def check_served(self, fleet):
        await _vm_fleet.start(
            fleet,
            vms=('vm1',),
            settings=SETTINGS | {'drain_timeout_ms': 30000},
        )
        for _ in range(MEASURED_COUNT):
            await _vm_fleet.can_answer(fleet, 'vm1')
        caller = await connect(fleet)
        body = make_body(output_tokens=1)
        await caller.send('POST', MODEL_PATH, body, held_back=1)
        await stop_accepting(fleet)
        await caller.send_rest(body[-1:])
        answer = await caller.read_answer()
        self.assertEqual(200, answer.status, answer)
