import pathlib
import unittest

from tests import _checkouts


class TestFindOldBuild(unittest.TestCase):
    def test_old_build_is_the_folder_of_the_environment(self):
        variable = _checkouts.OLD_BUILD_VARIABLE
        self.assertIsNone(_checkouts.find_old_build({}))
        found = _checkouts.find_old_build({variable: '/'})
        self.assertEqual(pathlib.Path('/'), found)


class TestChooseCheckout(unittest.TestCase):
    def choose(self, **values):
        environment = {
            f'BLUEBELLTHREAD_TEST_OLD_{name.upper()}': value
            for name, value in values.items()
        }
        return [
            _checkouts.choose_checkout(number, environment)
            for number in range(3)
        ]

    def test_all_processes_run_this_checkout_by_default(self):
        self.assertEqual([_checkouts.ROOT] * 3, self.choose())

    def test_every_other_process_runs_the_old_build(self):
        new, old = _checkouts.ROOT, pathlib.Path('/')
        self.assertEqual([old, new, old], self.choose(build='/'))
        found = self.choose(build='/', parity='1')
        self.assertEqual([new, old, new], found)

    def test_missing_folder_is_an_error(self):
        with self.assertRaises(FileNotFoundError):
            self.choose(build='/this/folder/is/missing')
