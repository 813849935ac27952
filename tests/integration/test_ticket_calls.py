import subprocess
import sys

from tests.integration import _fleet
from tests.integration import _ticket_faults

ORDERS = f'/services/{_ticket_faults.SERVICE}/orders'


class TestTicketCalls(_fleet.FleetTestCase):
    def test_calls_with_and_without_tickets(self):
        self.run_fleet(self.check_calls)

    async def check_calls(self, fleet):
        workload = _ticket_faults.Workload(fleet, 1)
        await workload.start()
        caller = {'x-caller-id': 'c1'}

        async def call(vm, path, headers=caller, method='POST'):
            callers = fleet.daemons[vm].callers
            body = {'order_id': 'o1'} if method == 'POST' else None
            return await fleet.call(method, callers, path, body, headers)

        refused = await call('vm1', ORDERS)
        self.assertEqual(428, refused.status)
        self.assertEqual('not-run', refused.headers['x-run'])
        ticket = refused.headers['x-ticket']
        shown = await call('vm2', f'/tickets/{ticket}', method='GET')
        self.assertEqual('issued', shown.json()['state'])
        mine = {**caller, 'x-ticket': ticket}
        for vm in _ticket_faults.VMS:
            done = await call(vm, ORDERS, mine)
            self.assertEqual(200, done.status, done)
            self.assertEqual(
                (200, 'done'), (done.status, done.headers['x-run'])
            )
            self.assertEqual(1, done.json()['runs'])
        shown = await call('vm3', f'/tickets/{ticket}', method='GET')
        self.assertEqual('done', shown.json()['state'])
        self.assertEqual(200, shown.json()['answer']['status'])

        foreign = {'x-caller-id': 'c2', 'x-ticket': ticket}
        for answer, status, kind in (
            (await call('vm1', ORDERS, foreign), 403, 'invalid-ticket'),
            (await call('vm2', f'{ORDERS}/2', mine), 409, 'other-call'),
            (
                await call(
                    'vm2', f'/services/{_ticket_faults.SERVICE}/a/../b'
                ),
                400,
                'bad-request',
            ),
        ):
            self.assertEqual(status, answer.status, answer)
            self.assertEqual(kind, answer.json()['error']['kind'])
        # A refused attempt must not claim "not run": an earlier attempt with
        # this ticket has run.
        early = await call(
            'vm1', ORDERS, {**mine, 'x-request-timeout-ms': '0'}
        )
        self.assertEqual('bad-timeout', early.json()['error']['kind'])
        self.assertEqual('not-this-time', early.headers['x-run'])
        hidden = await call(
            'vm1', f'/tickets/{ticket}', {'x-caller-id': 'c2'}, 'GET'
        )
        self.assertEqual(403, hidden.status)

        peers = fleet.daemons['vm2'].peers
        tool = subprocess.run(
            [sys.executable, '-m', 'bluebellthread.cli', 'ticket', ticket]
            + ['--vm', f'{peers.host}:{peers.port}'],
            capture_output=True,
            text=True,
            cwd=_fleet.ROOT,
        )
        self.assertEqual('vm1  done  status 200\n', tool.stdout, tool.stderr)
