"""A VM that is stopped while the servers of its requests are silent."""

import unittest

import trio

from tests.integration import _entry_fleet as fleets
from tests.integration.test_entry_plain import run

GRACE_MS = 2500


class TestStopBesideSilence(unittest.TestCase):
    @run
    async def test_requests_without_an_answer_are_told_so(self):
        statuses = {}
        async with fleets.running_fleet(
            vms=1,
            engines=('p1', 'd1'),
            plain=('s1',),
            stop_grace_ms=GRACE_MS,
        ) as fleet:
            (vm,) = fleet.vms.values()

            async def ask(path):
                async with await fleet.connect(1) as caller:
                    await caller.send('POST', path, request_id=path[1:-2])
                    data = await caller.stream.receive_some(65536)
                    statuses[path] = data[:12]

            async with trio.open_nursery() as nursery:
                for server in fleet.servers.values():
                    server.fall_silent()
                for path in ('/ask/x', '/read/x', '/order/x'):
                    nursery.start_soon(ask, path)
                await trio.sleep(0.3)
                await vm.entry._drain()
                fleet.kill_vm(1)
        # The stream waits for its prefill, so it has not run.
        self.assertEqual(
            {
                '/ask/x': b'HTTP/1.1 503',
                '/read/x': b'HTTP/1.1 502',
                '/order/x': b'HTTP/1.1 502',
            },
            statuses,
        )


if __name__ == '__main__':
    unittest.main()
