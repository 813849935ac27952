import json
import sys

import trio

from tests.integration import _fleet
from tests.integration import _small_fleet


async def run_tool(*arguments):
    return await trio.run_process(
        [sys.executable, '-m', 'bluebellthread.cli', *arguments],
        cwd=_fleet.ROOT,
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )


class TestCommandsThatCallVms(_fleet.FleetTestCase):
    def test_status_lists_all_vms_and_request_shows_the_outcome(self):
        self.run_fleet(self.check_status)

    async def check_status(self, fleet):
        await _small_fleet.start_fleet(fleet)
        await _small_fleet.complete(
            fleet, 'vm2', max_tokens=3, headers={'x-request-id': 'r9'}
        )
        peers = fleet.daemons['vm1'].peers
        address = f'{peers.host}:{peers.port}'
        table = await run_tool('status', '--vm', address)
        self.assertEqual(0, table.returncode, table.stderr)
        self.assertEqual(3, len(table.stdout.decode().splitlines()))
        lines = await run_tool('status', '--vm', address, '--json')
        found = [json.loads(line) for line in lines.stdout.splitlines()]
        self.assertEqual(['vm1', 'vm2'], [item['vm'] for item in found])
        self.assertEqual([1, 1], [item['revision'] for item in found])
        pools = [pool for item in found for pool in item['pools_owned']]
        self.assertEqual(['atelier-llm/cluj-a/0'], pools)
        known = await run_tool('request', 'r9', '--vm', address)
        self.assertEqual('vm2  done', known.stdout.decode().strip())
        unknown = await run_tool('request', 'none', '--vm', address)
        self.assertEqual(5, unknown.returncode)

    def test_unreachable_vm_gives_one_line_with_a_remedy(self):
        self.run_fleet(self.check_unreachable)

    async def check_unreachable(self, fleet):
        result = await run_tool('status', '--vm', '127.0.0.1:1')
        self.assertEqual(4, result.returncode)
        self.assertRegex(result.stderr.decode(), r'^[^\n]*check the address')
        self.assertEqual(1, result.stderr.decode().count('\n'))
