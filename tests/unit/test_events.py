import pathlib
import re
import unittest

from bluebellthread import observe

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'EVENTS.md'
ROW = re.compile(r'^\| E(\d+) \| (\w+) \| `(.*?)` \|', re.MULTILINE)


class TestCatalogue(unittest.TestCase):
    def test_page_lists_exactly_the_events_of_the_code(self):
        page = PAGE.read_text(encoding='utf-8')
        listed = [
            (int(number), level, template)
            for number, level, template in ROW.findall(page)
        ]
        known = [
            (event.number, event.level, event.template)
            for event in observe.list_events()
        ]
        self.assertEqual(known, listed)

    def test_no_number_stands_twice(self):
        numbers = [event.number for event in observe.list_events()]
        self.assertEqual(sorted(set(numbers)), numbers)
