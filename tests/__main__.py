"""Run every test and close with one line of counts.

Tests that KNOWN-RED.txt lists still run; their failures are printed but do
not decide the verdict. An unexpected pass of such a test is printed too.
"""

import pathlib
import sys
import unittest

from loguru import logger

KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known_red(path=KNOWN_RED_PATH):
    """Return the ids of the listed tests, the first word of each line."""
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return frozenset(line.split()[0] for line in entries)


def load_tests(names):
    """Return the suite of the named tests, or of all tests."""
    loader = unittest.defaultTestLoader
    if names:
        return loader.loadTestsFromNames(names)
    root = pathlib.Path(__file__).parent
    return loader.discover(str(root), top_level_dir=str(root.parent))


def main():
    """Run the tests that the command line names, or all of them."""
    # What entries inside the tests' own loops log is not looked at.
    logger.remove()
    known_red = read_known_red()
    runner = unittest.TextTestRunner(verbosity=2, stream=sys.stdout)
    result = runner.run(load_tests(sys.argv[1:]))
    failed = {test.id() for test, _ in result.failures + result.errors}
    for test_id in sorted(failed & known_red):
        print(f'known red, passed over: {test_id}')
    for test_id in sorted(known_red - failed):
        print(f'listed in KNOWN-RED.txt but did not fail: {test_id}')
    unexpected = failed - known_red
    for test_id in sorted(unexpected):
        print(f'failed: {test_id}')
    # A module that cannot be imported counts as one failed test.
    passed = max(result.testsRun - len(failed), 0)
    print(f'{passed} passed, {len(unexpected)} failed')
    return 1 if unexpected or result.testsRun == 0 else 0


if __name__ == '__main__':
    sys.exit(main())
