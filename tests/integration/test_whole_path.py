import standin
from tests.integration import _fleet
from tests.integration import _small_fleet


class TestWholePath(_fleet.FleetTestCase):
    def test_complete_answer_through_any_vm(self):
        self.run_fleet(self.check_whole_answer)

    async def check_whole_answer(self, fleet):
        await _small_fleet.start_fleet(fleet)
        for vm in ('vm1', 'vm2'):
            answer = await _small_fleet.complete(
                fleet, vm, max_tokens=20, headers={'x-request-id': f'r-{vm}'}
            )
            self.assertEqual(200, answer.status, answer.body)
            self.assertEqual(f'r-{vm}', answer.headers['x-request-id'])
            self.assertEqual(
                standin.expected_answer(_small_fleet.PROMPT, 20),
                answer.json()['choices'][0]['text'],
            )

    def test_streamed_chat(self):
        self.run_fleet(self.check_streamed_chat)

    async def check_streamed_chat(self, fleet):
        await _small_fleet.start_fleet(fleet)
        body = {
            'model': 'atelier-llm',
            'messages': [{'role': 'user', 'content': _small_fleet.PROMPT}],
            'max_tokens': 7,
            'stream': True,
        }
        async with fleet.open(
            'POST',
            fleet.daemons['vm2'].callers,
            '/v1/chat/completions',
            body,
        ) as response:
            events = [event async for event in _fleet.read_events(response)]
        text = ''.join(e['choices'][0]['delta']['content'] for e in events)
        self.assertEqual(
            standin.expected_answer(f'user: {_small_fleet.PROMPT}', 7), text
        )
        self.assertEqual({}, (await fleet.state('d1'))['token_counts'])

    def test_a_get_call_reaches_a_plain_service(self):
        self.run_fleet(self.check_read)

    async def check_read(self, fleet):
        await _small_fleet.start_fleet(fleet, vms=('vm1',))
        callers = fleet.daemons['vm1'].callers
        answer = await fleet.call(
            'GET', callers, '/services/magazin-piese/stock/eye-blue-12mm'
        )
        self.assertEqual(200, answer.status, answer.body)
        missing = await fleet.call('GET', callers, '/services/none/stock')
        self.assertEqual(404, missing.status)
        self.assertEqual('not-run', missing.headers['x-run'])
