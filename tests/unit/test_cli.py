import contextlib
import io
import pathlib
import tempfile
import unittest

from bluebellthread.cli import __main__ as cli

EXAMPLE = (
    pathlib.Path(__file__).parents[2]
    / 'examples'
    / 'papuseria'
    / 'configuration.json'
)


def run(*argv):
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(errors):
            try:
                code = cli.main([str(item) for item in argv])
            except SystemExit as stop:
                code = stop.code
    return code, output.getvalue(), errors.getvalue()


class TestConfigCommands(unittest.TestCase):
    def write(self, text):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / 'new.json'
        path.write_text(text, encoding='utf-8')
        return path

    def test_check_accepts_the_example(self):
        code, output, _ = run('config', 'check', EXAMPLE)
        self.assertEqual(0, code)
        self.assertIn('13 backend servers', output)

    def test_check_prints_a_line_for_each_problem(self):
        path = self.write('{"revision": 0,\n"models": 3}')
        code, _, errors = run('config', 'check', path)
        self.assertEqual(1, code)
        self.assertEqual(2, len(errors.splitlines()))

    def test_bad_input_gives_one_line_without_a_traceback(self):
        broken = self.write('{')
        cases = (
            (3, ('config', 'check', broken.parent / 'absent.json')),
            (3, ('config', 'check', broken.parent)),
            (1, ('config', 'explain', broken)),
            (5, ('config', 'explain', EXAMPLE, '--service', 'atelier')),
            (5, ('config', 'explain', EXAMPLE, '--data-centre', 'cluj')),
        )
        for expected, argv in cases:
            with self.subTest(argv=argv):
                code, _, errors = run(*argv)
                self.assertEqual(expected, code)
                self.assertEqual(1, len(errors.splitlines()))
                self.assertIn('; ', errors)

    def test_wrong_command_line_exits_with_code_two(self):
        self.assertEqual(2, run('config', 'chekc')[0])

    def test_diff_lists_changes_and_requires_a_higher_revision(self):
        text = EXAMPLE.read_text(encoding='utf-8')
        path = self.write(text.replace('"port": 9000', '"port": 9001', 1))
        code, output, errors = run('config', 'diff', EXAMPLE, path)
        self.assertEqual(1, code)
        self.assertIn('port: 9000 -> 9001', output)
        self.assertIn('raise it', errors)

    def test_explain_shows_the_reason_of_an_exception(self):
        argv = ('config', 'explain', EXAMPLE, '--service', 'magazin-piese')
        code, output, _ = run(*argv, '--data-centre', 'cluj-a')
        self.assertEqual(0, code)
        self.assertRegex(output, r'priority +5  \(exceptions\[0\].*counter')
        self.assertRegex(output, r'output_tokens +400  \(default\)')

    def test_every_command_has_help(self):
        for argv in (('-h',), ('config', '-h'), ('config', 'diff', '-h')):
            self.assertEqual(0, run(*argv)[0])
