"""What is held once a task that ran beside another one has failed."""

import gc
import unittest
import weakref

import trio

from bluebellthread.entry import _concurrency


class Body:
    """Stands for a long body; can be referred to weakly."""


class TestErrors(unittest.TestCase):
    def setUp(self):
        # Only what no cycle holds is freed at once.
        gc.disable()
        self.addCleanup(gc.enable)
        self.body = None

    async def hold_and_raise(self):
        body = Body()
        self.body = weakref.ref(body)
        await trio.lowlevel.checkpoint()
        raise ValueError

    async def check_released(self, run, helper):
        try:
            await run(helper, self.hold_and_raise)
        except ValueError:
            pass
        else:
            raise AssertionError('no error')
        self.assertIsNone(self.body())

    # Guards against bodies that an error keeps until the garbage is collected:
    # many connections that fail at a time exceed the memory.
    def test_error_keeps_no_frame_beside_a_watch(self):
        trio.run(
            self.check_released,
            _concurrency.run_until_either,
            trio.sleep_forever,
        )

    def test_error_keeps_no_frame_beside_a_helper(self):
        trio.run(
            self.check_released, _concurrency.run_beside, trio.sleep_forever
        )
