import pathlib
import unittest

from bluebellthread import configuration
from bluebellthread import core

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'

FAULTY = """{
  "revision": 2, // every fault below is reported, in this order
  "surplus": 1,
  "regions": [{"name": "north", "data_centres": ["a"]}],
  "models": [{"name": "m"}],
  "backend_servers": [
    {"name": "p1", "host": "10.0.0.1", "port": 70000, "data_centre": "a",
     "serves": "m", "role": "prefil"},
    {"name": "p2", "host": "10.0.0.1", "port": 9, "data_centre": "b",
     "serves": "m", "role": "prefill"}
  ],
  "exceptions": [
    {"scope": {"region": "south"},
     "reason": " ", "values": {"priority": "high"}},
    {"scope": {"caller": "c"}, "reason": "pilot",
     "values": {"decode_policy": "mots-free"}},
  ],
}"""


class TestFaultyFiles(unittest.TestCase):
    def read_problems(self, text):
        with self.assertRaises(core.ConfigurationError) as caught:
            configuration.parse_configuration(text)
        return caught.exception.problems

    def test_all_faults_are_reported_with_path_and_line(self):
        found = [(p.line, p.path) for p in self.read_problems(FAULTY)]
        expected = [
            (3, 'surplus'),
            (7, 'backend_servers[0].port'),
            (8, 'backend_servers[0].role'),
            (9, 'backend_servers[1].data_centre'),
            (13, 'exceptions[0].scope.region'),
            (14, 'exceptions[0].values.priority'),
            (14, 'exceptions[0].reason'),
            (16, 'exceptions[1].values.decode_policy'),
        ]
        self.assertEqual(expected, found)

    def test_remedy_lists_the_valid_choices(self):
        problems = self.read_problems(FAULTY)
        self.assertIn('most-free', problems[-1].remedy)

    def test_repeated_key_is_rejected(self):
        text = '{"revision": 1, "defaults": {"priority": 1,\n"priority": 2}}'
        problem = self.read_problems(text)[0]
        self.assertEqual(
            (2, 'defaults.priority'), (problem.line, problem.path)
        )

    def test_malformed_texts_raise_only_configuration_errors(self):
        texts = ('', '[', '[]', 'null', '{"revision": 1e999}', '[' * 100000)
        for text in texts:
            with self.subTest(text=text[:9]):
                self.assertTrue(self.read_problems(text))

    def test_missing_settings_are_named(self):
        with self.assertRaisesRegex(core.ConfigurationError, "add 'vm'"):
            configuration.parse_settings('{"region": "north"}')


class TestExamples(unittest.TestCase):
    def test_example_deployments_load_with_their_settings(self):
        counts = {'papuseria': (10, 3), 'lanhu': (10, 3)}
        for name, (engines, workers) in counts.items():
            with self.subTest(deployment=name):
                loaded = configuration.load_configuration(
                    EXAMPLES / name / 'configuration.json'
                )
                roles = [server.role for server in loaded.backend_servers]
                self.assertEqual(workers, roles.count('service'))
                self.assertEqual(engines, len(roles) - workers)
                self.check_settings(name, loaded)

    def check_settings(self, name, loaded):
        files = sorted((EXAMPLES / name).glob('*.settings.json'))
        self.assertEqual(3, len(files))
        for path in files:
            settings = configuration.load_settings(path)
            self.assertEqual(
                settings.region, loaded.region_of(settings.data_centre)
            )
