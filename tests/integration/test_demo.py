import sys

import trio

from tests.integration import _fleet


class TestDemo(_fleet.FleetTestCase):
    def test_demo_exits_with_zero_and_shows_each_hop(self):
        self.run_fleet(self.check_demo)

    async def check_demo(self, fleet):
        process = await trio.run_process(
            [sys.executable, '-m', 'standin.demo'],
            cwd=_fleet.ROOT,
            capture_stdout=True,
        )
        text = process.stdout.decode()
        for hop in ('gateway', 'scheduler', 'prefill', 'decode'):
            self.assertRegex(text, rf'\n +{hop} [\d.]+ ms at cluj-2')
        self.assertIn('"item": "eye-blue-12mm"', text)
