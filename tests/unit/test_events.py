import pathlib
import re
import unittest

from loguru import logger

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


class TestEmit(unittest.TestCase):
    # Guards against log lines as long as what clients send.
    def test_long_text_is_cut(self):
        records = []
        sink = logger.add(lambda message: records.append(message.record))
        self.addCleanup(logger.remove, sink)
        observe.emit(
            observe.events.REQUEST_UNACCEPTABLE,
            request_id=15_000 * 'i',
            status=431,
            remedy='send fewer headers',
        )
        (record,) = records
        self.assertTrue(record['extra']['request_id'].endswith('...'))
        self.assertLess(len(record['message']), 3000)
        self.assertEqual(431, record['extra']['status'])
