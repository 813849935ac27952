"""The check of an entry's configuration by the command-line tool."""

import json
import pathlib
import tempfile
import unittest

from tests.integration import _entry_site as sites
from tests.unit.test_cli import run

TENANT = {'name': 'ash', 'apiKeys': ['key-of-ash'], 'priority': 1}


class TestRoutes(unittest.TestCase):
    def write(self, name, fields):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / name
        path.write_text(
            fields if isinstance(fields, str) else json.dumps(fields),
            encoding='utf-8',
        )
        return path

    def check(self, *argv):
        code, output, _ = run('config', 'routes', '--json', *argv)
        shown = json.loads(output)
        self.assertNotIn('key-of', output)
        return code, [item['text'] for item in shown['findings']], shown

    def test_sound_configuration_has_no_findings(self):
        path = self.write('new.json', sites.make_configuration())
        code, output, _ = run('config', 'routes', path)
        self.assertEqual((0, 'no faults found\n'), (code, output))

    def test_routes_that_never_match_are_errors(self):
        for change, text in (
            ({'prefix': '/read'}, 'end with a slash'),
            ({'prefix': 'read/'}, 'begin with a slash'),
            ({'host': 'calls.example:80'}, 'has a port'),
            ({'prefix': '/order/'}, 'routes[1] has the same host'),
            ({'service': 'none'}, "'none' is not configured"),
            ({'kind': 'stream'}, 'of no engine'),
        ):
            with self.subTest(change=change):
                fields = sites.make_configuration()
                fields['routes'][0].update(change)
                path = self.write('new.json', fields)
                code, texts, _ = self.check(path)
                self.assertEqual(1, code)
                (found,) = texts
                self.assertIn(text, found)

    def test_contradicting_limits_are_warnings(self):
        limited = {
            'ratePerS': 50,
            'burst': 100,
            'unit': 'token_stream',
            'plainTokens': 200,
        }
        for route, tenants, text in (
            ({'targetLatencyMs': 9000}, None, 'requests end after 8000 ms'),
            ({'priority': 12}, None, 'is taken for 9'),
            ({}, [], 'all keys get 401'),
            ({}, [{**TENANT, **limited}], 'a plain request costs 200'),
        ):
            with self.subTest(text=text):
                fields = sites.make_configuration()
                fields['routes'][0].update(route)
                path = self.write('new.json', {**fields, 'tenants': tenants})
                code, texts, _ = self.check(path)
                self.assertEqual(0, code)
                (found,) = texts
                self.assertIn(text, found)

    def test_differences_are_listed_without_keys(self):
        old = self.write('old.json', sites.make_configuration(1))
        fields = sites.make_configuration(2, maxBodyBytes=9)
        fields['routes'][0]['priority'] = 3
        del fields['routes'][1]
        first = self.write('first.json', {**fields, 'tenants': [TENANT]})
        code, texts, shown = self.check(first, '--in-force', old)
        self.assertEqual((0, []), (code, texts))
        self.assertEqual(
            [
                'version: 1 -> 2',
                'route calls.example/order/: removed',
                'route calls.example/read/: priority: 1 -> 3',
                'limits: body_max_bytes: 4194304 -> 9',
                'customer ash: added',
                'customers: keys are needed from now on',
                'customer ash: 1 keys added, 0 removed',
            ],
            shown['differences'],
        )
        other = {**TENANT, 'apiKeys': ['key-of-ash-2']}
        second = self.write('second.json', {**fields, 'tenants': [other]})
        code, texts, shown = self.check(second, '--in-force', first)
        self.assertEqual(1, code)
        self.assertIn('VMs would ignore it', texts[0])
        self.assertEqual(
            ['customer ash: 1 keys added, 1 removed'], shown['differences']
        )

    def test_files_that_are_no_configuration_end_without_a_traceback(self):
        bad = {**sites.make_configuration(), 'tenants': [TENANT, 7]}
        for fields in ('{', '[]', '{"version": 1}', bad):
            code, texts, _ = self.check(self.write('new.json', fields))
            self.assertEqual(1, code)
            self.assertEqual(1, len(texts))
        path = self.write('new.json', '{').parent / 'absent.json'
        self.assertEqual(3, run('config', 'routes', path)[0])


if __name__ == '__main__':
    unittest.main()
