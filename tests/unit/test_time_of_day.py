"""The time of day may jump on any VM; no decision may hang on it."""

import ast
import pathlib
import unittest

import bluebellthread

PACKAGE = pathlib.Path(bluebellthread.__file__).parent

SHOWN_ONLY = {'daemon/_answer_writer.py': 'the field "created" of an answer'}
"""Modules that read the time of day, and what for; it is only shown. The log's
library stamps its lines."""

TIME_OF_DAY = {
    'time.time',
    'time.time_ns',
    'time.localtime',
    'time.gmtime',
    'time.CLOCK_REALTIME',
    'datetime.now',
    'datetime.utcnow',
    'datetime.today',
}


def find_uses(source):
    """Return what a module reads of the time of day."""
    uses = {
        '.'.join(ast.unparse(node).split('.')[-2:])
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Attribute)
    }
    return uses & TIME_OF_DAY


class TestTimeOfDay(unittest.TestCase):
    def test_it_is_found_where_it_is_read(self):
        self.assertEqual(
            {'time.time', 'datetime.now'},
            find_uses('a = time.time()\nb = datetime.datetime.now(tz=x)'),
        )

    def test_only_what_is_shown_reads_it(self):
        paths = sorted(PACKAGE.rglob('*.py'))
        self.assertGreater(len(paths), 100)
        for path in paths:
            name = str(path.relative_to(PACKAGE))
            with self.subTest(name):
                uses = find_uses(path.read_text(encoding='utf-8'))
                if uses:
                    self.assertIn(name, SHOWN_ONLY)
