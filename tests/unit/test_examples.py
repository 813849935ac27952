"""Run the doctests of all modules of the package."""

import doctest
import importlib
import pkgutil
import unittest

import bluebellthread


def list_modules():
    found = pkgutil.walk_packages(
        bluebellthread.__path__, prefix='bluebellthread.'
    )
    # Skips __main__ modules, because importing one may run a program.
    return [item.name for item in found if not item.name.endswith('__main__')]


def load_tests(loader, tests, pattern):
    options = doctest.ELLIPSIS | doctest.IGNORE_EXCEPTION_DETAIL
    for name in list_modules():
        module = importlib.import_module(name)
        tests.addTests(doctest.DocTestSuite(module, optionflags=options))
    return tests


class TestModules(unittest.TestCase):
    def test_modules_with_doctests_are_found(self):
        self.assertIn('bluebellthread.core._model', list_modules())
