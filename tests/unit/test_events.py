import pathlib
import re
import unittest

from bluebellthread import observe

DOCS = pathlib.Path(__file__).parents[2] / 'docs'
ROW = re.compile(r'^\| E(\d+) \| (\w+) \| `(.*?)` \|', re.MULTILINE)
METRIC_ROW = re.compile(r'^\| `(.*?)` \| (\w+) \|', re.MULTILINE)


class TestCatalogue(unittest.TestCase):
    def test_page_lists_exactly_the_events_of_the_code(self):
        page = (DOCS / 'EVENTS.md').read_text(encoding='utf-8')
        listed = [
            (int(number), level, template)
            for number, level, template in ROW.findall(page)
        ]
        known = [
            (event.number, event.level, event.template)
            for event in observe.list_events()
        ]
        self.assertEqual(known, listed)

    def test_event_numbers_are_unique(self):
        numbers = [event.number for event in observe.list_events()]
        self.assertEqual(sorted(set(numbers)), numbers)

    def test_page_lists_exactly_the_metrics_of_the_code(self):
        page = (DOCS / 'METRICS.md').read_text(encoding='utf-8')
        known = [(item.name, item.kind) for item in observe.list_metrics()]
        self.assertEqual(known, METRIC_ROW.findall(page))
