import trio

from tests.integration import _fleet
from tests.integration import _small_fleet


class TestLimits(_fleet.FleetTestCase):
    def test_rate_limit_of_one_caller_does_not_affect_others(self):
        self.run_fleet(self.check_rate)

    async def check_rate(self, fleet):
        await _small_fleet.start_fleet(fleet, vms=('vm1',))
        value = _small_fleet.make_configuration(fleet)
        value['revision'] = 2
        value['exceptions'] = [
            {
                'scope': {'caller': 'iasi'},
                'reason': 'its script asks without pause',
                'values': {'caller_rate_per_s': 0.01},
            }
        ]
        await fleet.publish_config(value)

        async def ask(caller):
            headers = {'x-caller-id': caller}
            return await _small_fleet.complete(
                fleet, 'vm1', max_tokens=1, headers=headers
            )

        async def find_refusal():
            answer = await ask('iasi')
            return answer if answer.status == 429 else None

        refusal = await _fleet.until(find_refusal)
        self.assertEqual('not-run', refusal.headers['x-run'])
        self.assertGreater(int(refusal.headers['retry-after']), 1)
        self.assertEqual('caller-rate', refusal.json()['error']['kind'])
        self.assertEqual(200, (await ask('cluj')).status)

    def test_malformed_requests_are_refused_without_running(self):
        self.run_fleet(self.check_malformed)

    async def check_malformed(self, fleet):
        await _small_fleet.start_fleet(fleet, vms=('vm1',))
        callers = fleet.daemons['vm1'].callers
        for body, kind in (
            (b'{', 'bad-request'),
            (b'[]', 'bad-request'),
            (b'{"model": "none", "prompt": "x"}', 'bad-request'),
            (b'{"model": "atelier-llm", "prompt": ""}', 'bad-request'),
            (b'x' * 5_000_000, 'body-too-large'),
        ):
            answer = await fleet.call('POST', callers, '/v1/completions', body)
            self.assertEqual(kind, answer.json()['error']['kind'])
            self.assertEqual('not-run', answer.headers['x-run'])

    def test_incomplete_request_does_not_count_as_concurrent(self):
        self.run_fleet(self.check_incomplete)

    async def check_incomplete(self, fleet):
        await _small_fleet.start_fleet(fleet, vms=('vm1',))
        value = _small_fleet.make_configuration(fleet)
        value['revision'] = 2
        value['defaults'] = {'caller_concurrency': 1}
        await fleet.publish_config(value)
        await _fleet.until(
            lambda: (
                'revision 2 is in force' in fleet.daemons['vm1'].process.stderr
            )
        )
        callers = fleet.daemons['vm1'].callers
        stream = await trio.open_tcp_stream(callers.host, callers.port)
        async with stream:
            await stream.send_all(
                b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
                b'Content-Length: 100\r\n\r\n{"model":'
            )
            await stream.send_eof()
            while await stream.receive_some(4096):
                pass
        answer = await _small_fleet.complete(fleet, 'vm1', max_tokens=1)
        self.assertEqual(200, answer.status)
