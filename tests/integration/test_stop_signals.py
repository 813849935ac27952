"""Signals that reach a daemon in an unusual moment of its life."""

from tests.integration import _fleet
from tests.integration import _vm_fleet
from tests.integration import test_stop_end


class TestStopSignals(_fleet.FleetTestCase):
    def test_second_sigterm_does_not_shorten_the_stop(self):
        self.run_fleet(self.check_second)

    async def check_second(self, fleet):
        await test_stop_end.start(fleet)
        await fleet.control('s1', read_ms=2000)
        caller = await test_stop_end.connect(fleet)
        path = f'{test_stop_end.SERVICE_PATH}/stock/one'
        await caller.send('GET', path)
        await _fleet.until(lambda: test_stop_end.read_count(fleet))
        process = fleet.process_of('vm1')
        process.terminate()
        await _fleet.until(lambda: test_stop_end.is_unready(fleet))
        process.terminate()
        answer = await caller.read_answer()
        self.assertEqual(200, answer.status, answer)
        self.assertEqual(0, await process.wait())
        self.assertEqual(1, process.stderr.count(' E1002 '))

    def test_sigterm_right_after_the_start_ends_the_process_cleanly(self):
        self.run_fleet(self.check_start)

    async def check_start(self, fleet):
        await test_stop_end.start(fleet)
        await _vm_fleet.start_vm(fleet, 'vm2', balancer_lag_ms=1)
        process = fleet.process_of('vm2')
        process.terminate()
        self.assertEqual(0, await process.wait())
        self.assertIn(' E1003 ', process.stderr)
