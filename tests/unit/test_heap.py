import subprocess
import sys
import unittest

from tests import _checkouts

KEPT_MAX_BYTES = 12 * 1024 * 1024
"""Three times the short blocks that the process still holds."""


class TestHeap(unittest.TestCase):
    # Guards against a process that keeps several times the memory of what it
    # holds, after bursts of long bodies of many lengths (review/6).
    def test_long_blocks_are_given_back_after_bursts(self):
        ended = subprocess.run(
            [sys.executable, '-m', 'tests.unit._heap_bursts'],
            cwd=_checkouts.ROOT,
            env=_checkouts.make_environment(_checkouts.ROOT),
            stdout=subprocess.PIPE,
            check=True,
        )
        self.assertLess(int(ended.stdout), KEPT_MAX_BYTES)
